"""Case 1 on loopback: a rolling release of two services while the primary is
cut off from one edge node. The last member that joins is not in the list of
members by which that node promotes another one."""
import os, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand_in"))
from stand_in import *


async def case(record, trouble):
    edges = ["edge-1", "edge-2", "edge-3"]
    store, group, fleet = await make(record, hosts=edges, services=("svc1", "svc2"), promote_ms=1000)
    other = await make_group(store, record, "svc2", "j")
    await fleet.wait_ready()
    end = time.monotonic() + 18
    writers = [asyncio.create_task(writer(fleet, e, record, "%s-%d" % (e, n), end))
               for e in edges for n in range(3)]
    await asyncio.sleep(3)

    async def cut():
        await asyncio.sleep(1.8)
        if trouble:
            record("CUT edge-1 from the primary", group.primary().name)
            group.primary().silent_for.add("edge-1")
        await asyncio.sleep(5)
        for m in group.members:
            m.silent_for.clear()
        record("the cut has ended")
    cutting = asyncio.create_task(cut())
    # The replicas of both services are replaced, one each second.
    for g, prefix in ((other, "j"), (group, "i")):
        for n in (2, 3):
            old = g.find("%s-%d" % (prefix, n))
            new = Member(g, "%s-%d" % (prefix, n + 2), "127.0.0.1", g.ports[n])
            await old.release(new)
            await asyncio.sleep(0.9)
    await cutting
    await asyncio.gather(*writers)
    count = len(group.acked) + len(group.lost)
    record("acknowledged:", count, "lost:", len(group.lost))
    print("acknowledged %d, lost %d" % (count, len(group.lost)))
    if count < 100:
        raise CannotRun("too few commits were acknowledged")
    return not group.lost


main(case, os.path.dirname(os.path.abspath(__file__)))
