"""Overload gossip and offloading among several real router processes, with injected faults."""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from pathlib import Path

from magpieshift.lab.fault_injection.cluster import Cluster
from magpieshift.lab.fault_injection.network import ANY_ROUTER as ALL
from magpieshift.lab.fault_injection.network import LinkFault

ROUTERS = 6
TRIERS = 2


class Talk(unittest.IsolatedAsyncioTestCase):
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

    async def offloaded(self) -> dict[str, list[str]]:
        """By router that answers: the endpoints that it has ejected because of reports."""
        views = await asyncio.gather(*(self.cluster.overload_view(name) for name in self.names))
        return {name: view["left"] for name, view in zip(self.names, views, strict=True) if view}

    async def until_offloaded(self, endpoint: str, min_routers: int, description: str) -> None:
        async def true() -> bool:
            offloaded = await self.offloaded()
            return sum(endpoint in endpoints for endpoints in offloaded.values()) >= min_routers

        await self.cluster.wait_until(true, description, 60.0)

    async def until_none(self, what: str) -> None:
        async def true() -> bool:
            left = await self.offloaded()
            return len(left) == ROUTERS and not any(left.values())

        await self.cluster.wait_until(true, what, 60.0)

    async def test_a_dead_parent_is_left_to_a_few_and_lost_digests_are_borne(self) -> None:
        cluster, names = self.cluster, self.names
        await cluster.start(*names)
        await cluster.wait_until_serving(*names)
        await cluster.wait_until(lambda: cluster.views_agree(), "all agree", 60.0)
        cluster.start_load()
        hub = cluster.endpoints.places["hub1"]

        with self.subTest("the parent dies, and the endpoint list is updated late"):
            late = asyncio.ensure_future(cluster.endpoints.inject_fault("late-list", for_s=20.0))
            death = asyncio.ensure_future(cluster.endpoints.inject_fault("die", "hub1", 15.0))
            await self.until_offloaded(hub.name, 2, "two routers have ejected the dead parent")
            most = 0
            for _ in range(10):
                left = await self.offloaded()
                most = max(most, sum(hub.name in stores for stores in left.values()))
                await asyncio.sleep(0.2)
            self.assertLessEqual(most, ROUTERS - TRIERS)

        with self.subTest("all digests are lost: each router decides alone, and the reports expire"):
            cluster.network.add_fault("mute", ALL, ALL, LinkFault(cut=True))
            await self.until_none("no router has endpoints ejected because of old reports")
            cluster.network.remove_fault("mute")
            await asyncio.gather(late, death)

        with self.subTest("the parent returns, and no endpoint is ejected because of reports"):
            await cluster.wait_until(lambda: cluster.views_agree(), "all views agree again", 60.0)
            await self.until_none("no router has ejected endpoints")

            async def asked() -> bool:
                return cluster.endpoints.places["hub1"].name != hub.name and cluster.served_share() > 0.5

            await cluster.wait_until(asked, "the parent has returned and clients are served", 60.0)

        with self.subTest("a resumed router does not act on reports from before its pause"):
            cluster.pause("r1")
            await asyncio.sleep(5.0)
            cluster.resume("r1")
            await cluster.wait_until(
                lambda: cluster.views_agree(), "all views agree with the resumed router's", 60.0
            )
            await self.until_none("no router has ejected endpoints after the pause")

        counted = await cluster.finish()
        self.assertEqual((cluster.violations, cluster.unexpected_exits), ([], []))
        self.assertEqual((counted["lost"], counted["doubles"]), (0, 0))
        await cluster.close()
        self.assertEqual(cluster.left_running(), 0)


class Relief(unittest.IsolatedAsyncioTestCase):
    async def test_a_starved_router_sends_clients_to_its_neighbours_and_ends(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        with tempfile.TemporaryDirectory() as folder:
            async with Cluster(
                Path(folder), 4, requests_per_s=25.0, slack_s=1.0, digests=True, hand_over=True
            ) as cluster:
                names = list(cluster.routers)
                await cluster.start(*names)
                await cluster.wait_until_serving(*names)
                await cluster.wait_until(lambda: cluster.views_agree(), "all agree", 60.0)
                cluster.start_load(roam=True)
                starving = asyncio.ensure_future(self.starve(cluster, "r1"))

                async def handing() -> bool:
                    view = await cluster.overload_view("r1")
                    return view is not None and view["handed"] > 0

                await cluster.wait_until(handing, "r1 offloads requests", 60.0)
                views = [await cluster.overload_view(name) for name in names if name != "r1"]
                self.assertEqual([view["over"] for view in views if view], [False] * 3)
                starving.cancel()
                await asyncio.wait([starving])

                async def over() -> bool:
                    view = await cluster.overload_view("r1")
                    return view is not None and not view["over"]

                await cluster.wait_until(over, "r1 has stopped offloading", 60.0)
                view_at_end = await cluster.overload_view("r1")
                assert view_at_end is not None
                self.assertLessEqual(view_at_end["changes"], 2)
                counted = await cluster.finish()
                self.assertEqual((cluster.violations, cluster.unexpected_exits), ([], []))
                self.assertEqual((counted["lost"], counted["doubles"]), (0, 0))
            self.assertEqual(cluster.left_running(), 0)

    async def starve(self, cluster: Cluster, name: str) -> None:
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
