"""Source, relays and followers over real streams, in one event loop: what goes wrong between them."""

from __future__ import annotations

import unittest

from magpieshift import clock
from tests.relay.rig import RelayCase


class Together(RelayCase):
    async def test_purges_come_through_a_source_and_two_relays_in_order(self) -> None:
        self.purge(3)
        source, source_port = await self.source()
        (first, first_port), (second, second_port) = [
            await self.relay(name, source_port) for name in ("a", "b")
        ]
        routers = [
            self.router("r1", first_port),
            self.router("r2", second_port),
            self.router("r3", first_port),
        ]
        for router in routers:
            await self.until(lambda router=router: router.current, "a lease")  # type: ignore[misc]
        self.purge(100)
        for router in routers:
            await self.until(lambda router=router: len(router.purged) >= 103, "all purges")  # type: ignore[misc]
            self.assertEqual(router.purged, self.keys)
        head = source.log.head
        await self.until(lambda: source.fanout.done(clock.source.steady_us()) == head, "done everywhere")


if __name__ == "__main__":
    unittest.main()
