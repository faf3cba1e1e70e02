"""Case 2 on loopback: a member joins between the acceptance of a promotion
order and the promotion; the old primary is cut off from one edge node only."""
import os, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand_in"))
from stand_in import *


async def join(group, record):
    joiner = Member(group, "i-4", "127.0.0.1", group.ports[0])
    joiner.term = group.term
    group.members.append(joiner)
    record("JOIN i-4")
    await joiner.start()


async def case(record, trouble):
    edges = ["edge-1", "edge-2", "edge-3"]
    store, group, fleet = await make(record, hosts=edges, promote_ms=1000)
    await fleet.wait_ready()
    accepted = asyncio.Event()
    ordered = []

    def on_order(service, name):
        ordered.append(name)
        accepted.set()
    store.on_order = on_order
    end = time.monotonic() + 16
    writers = [asyncio.create_task(writer(fleet, e, record, "%s-%d" % (e, n), end))
               for e in edges for n in range(3)]
    await asyncio.sleep(3)
    if trouble:
        record("CUT edge-1 from the primary", group.primary().name)
        group.primary().silent_for.add("edge-1")
        try:
            await asyncio.wait_for(accepted.wait(), 8)
        except asyncio.TimeoutError:
            record("no promotion was ordered")
        await asyncio.sleep(0.3)
    if os.environ.get("EVENT") == "restart":
        # Instead of a member that joins, a paused replica restarts with its log.
        other = next(m for m in group.members if m.role == "replica" and m.name not in ordered[-1:])
        record("RESTART", other.name)
        await other.crash()
        await asyncio.sleep(0.3)
        await other.start()
    else:
        await join(group, record)
    await asyncio.sleep(2)
    for m in group.members:
        m.silent_for.clear()
    record("the cut has ended")
    await asyncio.gather(*writers)
    record("acknowledged:", len(group.acked) + len(group.lost), "lost:", len(group.lost))
    print("acknowledged %d, lost %d" % (len(group.acked) + len(group.lost), len(group.lost)))
    if len(group.acked) < 100:
        raise CannotRun("too few commits were acknowledged")
    return not group.lost


main(case, os.path.dirname(os.path.abspath(__file__)))
