"""A member is replaced as planned; meanwhile the replicas receive nothing."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand_in_2"))
import world as w  # noqa: E402

DRAIN_S = 7.0  # drainMs
EXIT_AFTER_DRAIN_S = 0.8  # "and a little longer"
DEAF_S = 6.5  # the largest `for_s` of replicas that receive nothing
DEAF_BEFORE_EXIT_S = 1.0

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


async def leave(world, member):
    """Reports `draining`, serves on for drainMs and a little longer, exits."""
    member.draining = True
    member.beat()
    world.record.add(f"{member.id} reports draining")
    await asyncio.sleep(DRAIN_S + EXIT_AFTER_DRAIN_S)
    await member.stop()
    world.store.remove("servers", member.id)
    world.record.add(f"{member.id} has left")


async def deafen(world, members):
    for member in members:
        member.deaf = True
        world.record.add(f"{member.id} receives nothing")
    await asyncio.sleep(DEAF_S)
    for member in members:
        member.deaf = False
        world.record.add(f"{member.id} receives again")


async def main(world, trouble):
    group = world.add_group("ledger", 3)
    world.put_config([ROUTE])
    await world.start()
    await world.start_edges()
    load = w.Load(world, "orders")
    await asyncio.sleep(3)
    # Planned work, with and without the disruption: a replica is replaced.
    new = w.Member(group, "i-ledger-new", False)
    group.members.append(new)
    await new.start()
    world.record.add(f"{new.id} joins")
    await asyncio.sleep(1)
    primary, leaving, staying = group.members[:3]
    left = world.spawn(leave(world, leaving))
    await asyncio.sleep(DRAIN_S + EXIT_AFTER_DRAIN_S - DEAF_BEFORE_EXIT_S)
    if trouble:
        world.spawn(deafen(world, [staying, new]))
    await left
    await asyncio.sleep(0.2)
    if trouble:
        # The final fault.
        world.record.add("all processes of the system are killed")
        for edge in world.edges:
            edge.kill()
        await asyncio.sleep(0.8)
        await world.start_edges()
        world.record.add("the processes are back and ready")
    until = w.now() + 12
    while w.now() < until:
        leader = group.primary()
        if leader is not None:
            held = {r for _, one in leader.log for r in one.split(",")}
            lost = [one for one in load.acknowledged if one not in held]
            if lost:
                print(f"broken: {leader.id} leads with {len(leader.log)} entries; "
                      f"{len(lost)} acknowledged commits are not in its log; "
                      f"{primary.id}, which ran all the time, had them")
                return 1
        await asyncio.sleep(0.05)
    print("held: no acknowledged commit is missing in the primary's log")
    return 0


w.run(HERE, main)
