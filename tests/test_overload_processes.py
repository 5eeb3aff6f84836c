"""Overload of a cluster of real router processes: the protocol's rules hold, and the share of served requests
recovers after each fault."""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from pathlib import Path

from magpieshift.lab.fault_injection.cluster import Cluster

ROUTERS = 6
RECOVERED_SHARE = 0.95  # served share from which service counts as recovered, as a fraction of the baseline's


class OverloadTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.cluster = await self.enterAsyncContext(
            Cluster(Path(folder.name), ROUTERS, requests_per_s=25.0, slack_s=1.0, boxes=3, hubs=2)
        )

    async def wait_for_recovery(self, baseline_share: float, fault: str) -> None:
        async def is_recovered() -> bool:
            return self.cluster.served_fraction() >= RECOVERED_SHARE * baseline_share

        await asyncio.sleep(6.0)  # until the window of served_fraction lies after the fault
        await self.cluster.wait_until(is_recovered, f"service has recovered after {fault}", 60.0)

    async def test_service_recovers_from_each_fault(self) -> None:
        cluster, names = self.cluster, list(self.cluster.routers)
        await cluster.start(*names)
        await cluster.wait_until_serving(*names)
        cluster.start_load()
        await asyncio.sleep(8.0)  # caches fill
        baseline_share = cluster.served_fraction()
        self.assertGreater(baseline_share, 0.5)

        with self.subTest("the origin is slow for all requests"):
            await cluster.endpoints.inject_fault("slow", "origin", 5.0, magnitude=400)
            await self.wait_for_recovery(baseline_share, "a slow origin")

        with self.subTest("a parent cache dies and returns empty"):
            await cluster.endpoints.inject_fault("die", "hub1", 3.0)
            await self.wait_for_recovery(baseline_share, "the death of a parent cache")

        with self.subTest("a cache answers every second request with an error"):
            await cluster.endpoints.inject_fault("err", "box1", 4.0, magnitude=0.5)
            await self.wait_for_recovery(baseline_share, "errors of a cache")

        with self.subTest(
            "four of six routers are killed under load, and another is paused with full queues"
        ):
            for name in names[2:]:
                cluster.kill(name)
            await cluster.wait_for_exit(*names[2:])
            cluster.pause(names[1])
            await asyncio.sleep(2.0)
            await cluster.start(*names[2:])
            await asyncio.sleep(3.0)
            cluster.resume(names[1])
            await cluster.wait_until_serving(*names[2:])
            await self.wait_for_recovery(baseline_share, "the death of four routers")

        request_counts = await cluster.finish()
        self.assertEqual((cluster.violations, cluster.unexpected_exits), ([], []))
        self.assertEqual((request_counts["lost"], request_counts["doubles"]), (0, 0))
        await cluster.close()
        self.assertEqual(cluster.left_running(), 0)


if __name__ == "__main__":
    unittest.main()
