"""A replica is replaced as planned; shortly after, the primary is lost."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand_in_2"))
import world as w  # noqa: E402

DRAIN_S = 7.0  # drainMs
EXIT_AFTER_DRAIN_S = 0.8  # "and a little longer"

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


async def main(world, trouble):
    group = world.add_group("ledger", 3)
    world.put_config([ROUTE])
    await world.start()
    await world.start_edges()
    load = w.Load(world, "orders")
    await asyncio.sleep(4)
    # Planned work, with and without the disruption.
    new = w.Member(group, "i-ledger-new", False)
    group.members.append(new)
    await new.start()
    world.record.add(f"{new.id} joins")
    await asyncio.sleep(1)
    world.spawn(leave(world, group.members[1]))
    await asyncio.sleep(DRAIN_S - 0.7)
    if trouble:
        group.members[0].go_dark()
        world.record.add(f"{group.members[0].id}, the primary, is lost for good")
    await asyncio.sleep(0.2)
    held = await w.check_recovery(world, load)
    leader = group.primary()
    print(f"primary: {leader.id if leader else 'none'}; running: "
          f"{[(m.id, len(m.log)) for m in group.members if m.alive]}")
    return 0 if held else 1


w.run(HERE, main)
