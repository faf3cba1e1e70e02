"""The primary is lost while the store is away; the proxies start anew."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand_in_2"))
import world as w  # noqa: E402

STORE_DOWN_S = 4.5  # the largest `for_s` of `platform_down` in the site file

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


async def store_outage(world):
    world.store.is_down = True
    world.record.add("the store is down")
    await asyncio.sleep(STORE_DOWN_S)
    world.store.is_down = False
    world.record.add("the store is back")


async def main(world, trouble):
    group = world.add_group("ledger", 3)
    world.put_config([ROUTE])
    await world.start()
    await world.start_edges()
    load = w.Load(world, "orders")
    await asyncio.sleep(4)
    if trouble:
        world.spawn(store_outage(world))
        await asyncio.sleep(0.2)
        await group.members[0].stop()
        world.record.add(f"{group.members[0].id}, the primary, is lost for good")
        await asyncio.sleep(1.5)
    held = await w.check_recovery(world, load)
    leader = group.primary()
    print(f"primary: {leader.id if leader else 'none'}; running: "
          f"{[(m.id, len(m.log)) for m in group.members if m.alive]}")
    return 0 if held else 1


w.run(HERE, main)
