"""A takeover's holder dies; one proxy doesn't learn of the takeover."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand_in_2"))
import world as w  # noqa: E402

PRIMARY_DARK_S = 1.8  # srv_crash, `dark primary`: up to 7.0
JOIN_S = 0.1  # a new member, after the primary responds again
ORDER_LATE_S = 2.5  # applied_late: 2 to 12
STORE_SILENT_S = 4.0  # platform_down, `nodes`: up to 4.5
HOLDER_DOWN_S = 1.0  # node_kill

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


def give_store_of_its_own(world, edge, silent):
    """The proxy reaches the store by a path that can be cut."""
    port = w.free_port()
    settings = edge.settings

    async def handle(*request):
        if silent.is_set():
            await asyncio.sleep(3600)
        answer = await world.store.handle(*request)
        if silent.is_set():
            await asyncio.sleep(3600)
        return answer

    def changed():
        out = settings()
        out["platform"]["addr"] = f"127.0.0.1:{port}"
        return out

    edge.settings = changed
    return w.serve_http(handle, port)


async def main(world, trouble):
    group = world.add_group("ledger", 3)
    world.put_config([ROUTE])
    silent = asyncio.Event()
    await give_store_of_its_own(world, world.edges[2], silent)
    promote = world.promote
    held_back = []

    async def promote_late(method, target, headers, body):
        if trouble and not held_back:
            held_back.append(headers["tanagerspan-lease-holder"])
            world.record.add(f"order of {held_back[0]}: no answer, carried out later")

            async def later():
                await asyncio.sleep(ORDER_LATE_S)
                await promote(method, target, headers, body)

            world.spawn(later())
            await asyncio.sleep(0.02)
            holder = next(e for e in world.edges if e.name == held_back[0])
            holder.kill()
            world.record.add(f"{holder.name} is killed")
            await asyncio.sleep(HOLDER_DOWN_S)
            holder.start()
            await asyncio.sleep(60)
        return await promote(method, target, headers, body)

    world.promote = promote_late
    await world.start()
    await world.start_edges()
    load = w.Load(world, "orders", 60)
    await asyncio.sleep(4)
    primary = group.members[0]
    if trouble:
        silent.set()
        silent_at = w.now()
        world.record.add("the store is silent to " + world.edges[2].name)
        await asyncio.sleep(0.1)
        primary.go_dark()
        world.record.add(f"{primary.id} is silent")
        await asyncio.sleep(PRIMARY_DARK_S)
        primary.alive = True
        primary.beat()
        world.record.add(f"{primary.id} responds again")
    await asyncio.sleep(JOIN_S)
    new = w.Member(group, "i-ledger-new", False)
    group.members.append(new)
    await new.start()
    world.record.add(f"{new.id} joins")
    until = w.now() + 14
    while w.now() < until:
        if trouble and w.now() - silent_at > STORE_SILENT_S:
            silent.clear()
        leader = group.primary()
        if leader is not None:
            held = {r for _, one in leader.log for r in one.split(",")}
            lost = [one for one in load.acknowledged if one not in held]
            if lost:
                print(f"broken: {leader.id} leads; {len(lost)} acknowledged commits "
                      "are not in its log")
                return 1
        await asyncio.sleep(0.02)
    print("held: no acknowledged commit is missing in the primary's log")
    return 0


w.run(HERE, main)
