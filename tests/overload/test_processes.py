"""Overload gossip and offloading among several real router processes, with injected faults."""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from pathlib import Path

from magpieshift.lab.fault_injection.cluster import Cluster
from magpieshift.lab.fault_injection.link_faults import ANY_ROUTER, LinkFault

ROUTERS = 6
PROBERS = 2


class OverloadGossipTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.cluster = await self.enterAsyncContext(
            Cluster(
                Path(folder.name), ROUTERS, requests_per_s=20.0, slack_s=1.0, boxes=3, hubs=2, digests=True
            )
        )
        self.names = list(self.cluster.routers)

    async def ejected_endpoints(self) -> dict[str, list[str]]:
        """By router that answers: the endpoints that it has ejected because of reports."""
        views = await asyncio.gather(*(self.cluster.overload_view(name) for name in self.names))
        return {name: view["left"] for name, view in zip(self.names, views, strict=True) if view}

    async def wait_until_ejected(self, endpoint: str, min_routers: int, description: str) -> None:
        async def is_reached() -> bool:
            ejected_endpoints = await self.ejected_endpoints()
            return sum(endpoint in endpoints for endpoints in ejected_endpoints.values()) >= min_routers

        await self.cluster.wait_until(is_reached, description, 60.0)

    async def wait_until_none_ejected(self, description: str) -> None:
        async def is_reached() -> bool:
            ejected = await self.ejected_endpoints()
            return len(ejected) == ROUTERS and not any(ejected.values())

        await self.cluster.wait_until(is_reached, description, 60.0)

    async def test_a_dead_parent_is_probed_by_few_and_loss_of_all_digests_is_tolerated(self) -> None:
        cluster, names = self.cluster, self.names
        await cluster.start(*names)
        await cluster.wait_until_serving(*names)
        await cluster.wait_until(lambda: cluster.views_agree(), "all agree", 60.0)
        cluster.start_load()
        dead_parent = cluster.endpoints.places["hub1"]

        with self.subTest("the parent dies, and the endpoint list is updated late"):
            late_list = asyncio.ensure_future(cluster.endpoints.inject_fault("late-list", duration_s=20.0))
            crash = asyncio.ensure_future(cluster.endpoints.inject_fault("die", "hub1", 15.0))
            await self.wait_until_ejected(dead_parent.name, 2, "two routers have ejected the dead parent")
            max_ejecting = 0
            for _ in range(10):
                ejected = await self.ejected_endpoints()
                max_ejecting = max(
                    max_ejecting, sum(dead_parent.name in stores for stores in ejected.values())
                )
                await asyncio.sleep(0.2)
            self.assertLessEqual(max_ejecting, ROUTERS - PROBERS)

        with self.subTest("all digests are lost: each router decides alone, and the reports expire"):
            cluster.network.add_fault("all datagrams lost", ANY_ROUTER, ANY_ROUTER, LinkFault(cut=True))
            await self.wait_until_none_ejected("no router has endpoints ejected because of old reports")
            cluster.network.remove_fault("all datagrams lost")
            await asyncio.gather(late_list, crash)

        with self.subTest("the parent returns, and no endpoint is ejected because of reports"):
            await cluster.wait_until(lambda: cluster.views_agree(), "all views agree again", 60.0)
            await self.wait_until_none_ejected("no router has ejected endpoints")

            async def has_returned() -> bool:
                return (
                    cluster.endpoints.places["hub1"].name != dead_parent.name
                    and cluster.served_fraction() > 0.5
                )

            await cluster.wait_until(has_returned, "the parent has returned and clients are served", 60.0)

        with self.subTest("a resumed router does not act on reports from before its pause"):
            cluster.pause("r1")
            await asyncio.sleep(5.0)
            cluster.resume("r1")
            await cluster.wait_until(
                lambda: cluster.views_agree(), "all views agree with the resumed router's", 60.0
            )
            await self.wait_until_none_ejected("no router has ejected endpoints after the pause")

        request_counts = await cluster.finish()
        self.assertEqual((cluster.violations, cluster.unexpected_exits), ([], []))
        self.assertEqual((request_counts["lost"], request_counts["doubles"]), (0, 0))
        await cluster.close()
        self.assertEqual(cluster.left_running(), 0)


class OffloadingProcessesTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_router_short_of_cpu_time_offloads_to_its_neighbours_and_stops(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        with tempfile.TemporaryDirectory() as folder:
            async with Cluster(
                Path(folder), 4, requests_per_s=25.0, slack_s=1.0, digests=True, hand_over=True
            ) as cluster:
                names = list(cluster.routers)
                await cluster.start(*names)
                await cluster.wait_until_serving(*names)
                await cluster.wait_until(lambda: cluster.views_agree(), "all agree", 60.0)
                cluster.start_load(retry_elsewhere=True)
                cpu_limit = asyncio.ensure_future(self.limit_cpu_time(cluster, "r1"))

                async def is_offloading() -> bool:
                    view = await cluster.overload_view("r1")
                    return view is not None and view["handed"] > 0

                await cluster.wait_until(is_offloading, "r1 offloads requests", 60.0)
                views = [await cluster.overload_view(name) for name in names if name != "r1"]
                self.assertEqual([view["over"] for view in views if view], [False] * 3)
                cpu_limit.cancel()
                await asyncio.wait([cpu_limit])

                async def has_stopped() -> bool:
                    view = await cluster.overload_view("r1")
                    return view is not None and not view["over"]

                await cluster.wait_until(has_stopped, "r1 has stopped offloading", 60.0)
                view_at_end = await cluster.overload_view("r1")
                assert view_at_end is not None
                self.assertLessEqual(view_at_end["changes"], 2)
                request_counts = await cluster.finish()
                self.assertEqual((cluster.violations, cluster.unexpected_exits), ([], []))
                self.assertEqual((request_counts["lost"], request_counts["doubles"]), (0, 0))
            self.assertEqual(cluster.left_running(), 0)

    async def limit_cpu_time(self, cluster: Cluster, name: str) -> None:
        """Pause and resume a router repeatedly, so that it runs for a quarter of the time."""
        try:
            while True:
                cluster.pause(name)
                await asyncio.sleep(0.3)
                cluster.resume(name)
                await asyncio.sleep(0.1)
        finally:
            if cluster.routers[name].paused:
                cluster.resume(name)


if __name__ == "__main__":
    unittest.main()
