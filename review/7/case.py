"""A replica restarts under its id and holds nothing; the other was behind."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand_in_2"))
import world as w  # noqa: E402

REPLICA_DOWN_S = 1.0
PRIMARY_DOWN_S = 7.0  # the largest `for_s` of a primary's crash in the site file
DEAF_S = 6.5  # the largest `for_s` of a replica that receives nothing
WRITES = 20

ROUTE = {
    "name": "r1",
    "host": "orders",
    "prefix": "/",
    "kind": "primary",
    "timeoutMs": 1000,
    "targetLatencyMs": 200,
    "priority": 1,
    "service": "ledger",
    "maxAttempts": 2,
}


async def write(world, edge, request, data):
    """One autocommit write in a session of its own; True if acknowledged."""
    session = w.Session(world, edge, "orders")
    try:
        await session.open()
        ok, _ = await session.query(request, f"WRITE k{data} {data}")
        return ok
    except (ConnectionError, OSError, asyncio.TimeoutError):
        return False
    finally:
        session.close()


async def restart(world, member, after_s, keeps_log):
    await member.stop()
    world.record.add(f"{member.id} crashes")
    await asyncio.sleep(after_s)
    if not keeps_log:
        # It holds and knows nothing of before.
        member.log, member.term, member.paused = [], 0, 0
    elif any(m.primary for m in member.group.members if m is not member):
        member.primary = False
    member.born = int(time.time() * 1000)
    await member.start()
    role = "primary" if member.primary else "replica"
    world.record.add(f"{member.id} is back as {role}, {len(member.log)} entries")


async def hear_again(world, member):
    await asyncio.sleep(DEAF_S)
    member.deaf = False
    world.record.add(f"{member.id} receives again")


async def main(world, trouble):
    group = world.add_group("ledger", 3)
    world.put_config([ROUTE])
    await world.start()
    await world.start_edges()
    await asyncio.sleep(1)
    acknowledged = []
    for n in range(WRITES):
        if await write(world, world.edges[n % 3], f"w{n}", n):
            acknowledged.append(f"w{n}")
    if len(acknowledged) < WRITES:
        raise w.CannotRun("writes failed before the trouble")
    if trouble:
        primary, confirming, behind = group.members
        behind.deaf = True
        world.record.add(f"{behind.id} receives nothing")
        world.spawn(hear_again(world, behind))
    for n in range(WRITES, 2 * WRITES):
        if await write(world, world.edges[n % 3], f"w{n}", n):
            acknowledged.append(f"w{n}")
    if trouble:
        world.spawn(restart(world, primary, PRIMARY_DOWN_S, True))
        world.spawn(restart(world, confirming, REPLICA_DOWN_S, False))
    # Long enough for a promotion, and for the primary to be back.
    until = w.now() + PRIMARY_DOWN_S + 8
    while w.now() < until:
        leader = group.primary()
        if leader is not None:
            held = {r for _, one in leader.log for r in one.split(",")}
            lost = [one for one in acknowledged if one not in held]
            if lost:
                print(f"broken: {leader.id} was promoted with {len(leader.log)} "
                      f"entries; {len(lost)} acknowledged commits are lost")
                return 1
        await asyncio.sleep(0.05)
    print("held: no acknowledged commit is missing in the primary's log")
    return 0


w.run(HERE, main)
