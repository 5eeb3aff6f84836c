"""Floods of requests that are over at once, against a router process on loopback."""

from __future__ import annotations

import unittest

from magpieshift.lab.experiments.floods import FloodKind, run_flood

SECONDS = 1.0
LIMIT_MB = 64.0
"""The memory limit in the router's configuration."""


class Floods(unittest.IsolatedAsyncioTestCase):
    async def test_a_router_bears_each_kind_of_flood(self) -> None:
        for kind in FloodKind:
            with self.subTest(kind.value):
                result = await run_flood(kind, SECONDS)
                self.assertGreater(result.requests, 0)
                self.assertGreater(result.processor_us, 0.0)
                self.assertFalse(result.has_ended)
                self.assertLess(result.memory_before_mb, result.memory_peak_mb)
                self.assertLess(result.memory_peak_mb, LIMIT_MB)

    async def test_a_router_that_does_not_start_is_reported(self) -> None:
        with self.assertRaisesRegex(LookupError, "found not ready"):
            await run_flood(FloodKind.SERVED, SECONDS, ["-c", "raise SystemExit(3)"])


if __name__ == "__main__":
    unittest.main()
