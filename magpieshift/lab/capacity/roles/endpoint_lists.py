"""Router, control: the cost of the endpoint list to a started router, for a complete list and for changes of
one cache."""

from __future__ import annotations

import asyncio

from magpieshift.lab.capacity import fleet
from magpieshift.lab.capacity.role import Budget, Resource, Sample
from magpieshift.lab.capacity.routers import CountingInstallation, StartedRouterRole, started_router
from magpieshift.lab.emulators import peers

LIST_CHANGES = 40  # changes sent in one measurement
CHANGE_INTERVAL_S = 0.01  # long enough for each change to be applied separately
CHANGE_BUDGET_DERIVATION = "the loop is held for it, and stores are promised an answer within 8 ms"

COMPLETE_LIST = Resource("whole list", "ms of processor")
CHANGE = Resource("change of one cache", "ms of processor", Budget(8.0, CHANGE_BUDGET_DERIVATION))
MEMORY = Resource("memory", "MB above one cache", Budget(fleet.CONTROL_MB, "all of control on a router"))


class RouterLists(StartedRouterRole):
    """A complete list of caches, followed by changes of one cache each."""

    name = "router: list of caches"
    quantity = "caches listed"
    target = float(fleet.CACHES)
    sizes = (10.0, 50.0, 125.0, 250.0, 500.0, 1000.0, 2000.0)
    quick_sizes = (10.0, 125.0, 250.0, 500.0)
    repeats = 2
    simulated = False
    resources = (COMPLETE_LIST, CHANGE, MEMORY)

    def measure(self, size: float, seed: int, duration_s: float) -> Sample:
        """Send a complete list of ``size`` caches to a started router, then changes of single caches."""
        return asyncio.run(self._measure(int(size)))

    async def _measure(self, caches: int) -> Sample:
        async with started_router(self._folder) as router:
            idle = router.read()
            self._send_complete_list(router.installation, caches)
            await router.wait_until_caught_up()
            listed = router.read()
            for number in range(LIST_CHANGES):
                self._send_change(router.installation, number % caches)
                await asyncio.sleep(CHANGE_INTERVAL_S)
            await router.wait_until_caught_up()
            changed = router.read()
        return Sample(
            caches,
            {
                "whole list": 1e3 * (listed.processor_s - idle.processor_s),
                "change of one cache": 1e3 * (changed.processor_s - listed.processor_s) / LIST_CHANGES,
                "memory": max(0.0, changed.memory_mb - idle.memory_mb),
            },
        )

    @staticmethod
    def _send_complete_list(installation: CountingInstallation, caches: int) -> None:
        cache = peers.list_entry(installation.cache, "shop", "box", 1)
        members = [
            {**cache, "id": f"s-{number}", "locality": "shop" if number < caches / fleet.ZONES else "hub"}
            for number in range(caches)
        ]
        members.append(peers.list_entry(installation.origin, "hub", "source", 0))
        installation.change_log.publish(fleet={"revision": 2, "complete": True, "members": members})

    @staticmethod
    def _send_change(installation: CountingInstallation, number: int) -> None:
        phase = "DRAINING" if number % 2 else "SERVING"
        cache = peers.list_entry(installation.cache, "shop", "box", 1, phase)
        changed = {**cache, "id": f"s-{number}"}
        installation.change_log.publish(
            fleet={"revision": 3 + number, "complete": False, "members": [changed]}
        )
