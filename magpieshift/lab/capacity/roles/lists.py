"""Router, control: what the list of caches costs a started router, whole and changed one cache at a time."""

from __future__ import annotations

import asyncio

from magpieshift.lab.capacity import fleet
from magpieshift.lab.capacity.role import Budget, Resource, Sample
from magpieshift.lab.capacity.routers import HERE, CountedWorld, ready_router
from magpieshift.lab.emulators import peers

CHANGES = 40
BETWEEN_S = 0.01
SLACK = "the loop is held for it, and stores are promised an answer within 8 ms"

WHOLE = Resource("whole list", "ms of processor")
CHANGE = Resource("change of one cache", "ms of processor", Budget(8.0, SLACK))
MEMORY = Resource("memory", "MB above one cache", Budget(fleet.CONTROL_MB, "all of control on a router"))


class RouterLists:
    """A whole list of so many caches, then changes of one of them."""

    name = "router: list of caches"
    by = "caches listed"
    target = float(fleet.CACHES)
    sizes = (10.0, 50.0, 125.0, 250.0, 500.0, 1000.0, 2000.0)
    quick_sizes = (10.0, 125.0, 250.0, 500.0)
    repeats = 2
    simulated = False
    resources = (WHOLE, CHANGE, MEMORY)

    def __init__(self, folder: str = HERE) -> None:
        self._folder = folder

    def measure(self, size: float, seed: int, for_s: float) -> Sample:
        return asyncio.run(self._measure(int(size)))

    async def _measure(self, caches: int) -> Sample:
        async with ready_router(self._folder) as router:
            at_rest = router.read()
            self._tell_whole(router.world, caches)
            await router.caught_up()
            listed = router.read()
            for number in range(CHANGES):
                self._tell_change(router.world, number % caches)
                await asyncio.sleep(BETWEEN_S)
            await router.caught_up()
            changed = router.read()
        return Sample(
            caches,
            {
                "whole list": 1e3 * (listed.processor_s - at_rest.processor_s),
                "change of one cache": 1e3 * (changed.processor_s - listed.processor_s) / CHANGES,
                "memory": max(0.0, changed.memory_mb - at_rest.memory_mb),
            },
        )

    @staticmethod
    def _tell_whole(world: CountedWorld, caches: int) -> None:
        cache = peers.list_entry(world.cache, "shop", "box", 1)
        members = [
            {**cache, "id": f"s-{number}", "locality": "shop" if number < caches / fleet.ZONES else "hub"}
            for number in range(caches)
        ]
        members.append(peers.list_entry(world.origin, "hub", "source", 0))
        world.change_log.publish(fleet={"revision": 2, "complete": True, "members": members})

    @staticmethod
    def _tell_change(world: CountedWorld, number: int) -> None:
        phase = "DRAINING" if number % 2 else "SERVING"
        cache = peers.list_entry(world.cache, "shop", "box", 1, phase)
        changed = {**cache, "id": f"s-{number}"}
        world.change_log.publish(fleet={"revision": 3 + number, "complete": False, "members": [changed]})
