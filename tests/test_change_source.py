"""A router that gets changes from another source than its change log."""

import asyncio
import tempfile
import unittest
from dataclasses import replace
from unittest import mock

from magpieshift.clock import source as clock
from magpieshift.discovery.changes import ChangeSource
from magpieshift.edge_router import CATCH_UP_TIMEOUT_S, EdgeRouter
from magpieshift.engine.model import endpoint_number
from magpieshift.lab.fault_injection.ports import free_port
from magpieshift.policy.events import EndpointListKind, EndpointState
from magpieshift.process_lock import ProcessLock
from tests.real.exchange import Within
from tests.test_edge_router import ASK, CACHE_DATA, READY, READY_ASKED, SERVED

KEY = "7f3a9c21e0b4d655"
BOUNDED = r'cache< "ASK 0000000000000001 class=picture," /[^\r]*/ ",fresh=" /[1-9]\d*/ " 0\r\n\r\n"'
ORIGIN_ASKED = r'origin< "ASK 0000000000000002 class=picture," /[^\r]*\r\n\r\n/'


class Source(ChangeSource):
    """Passes on the test's events, and records its calls."""

    def __init__(self) -> None:
        self.asked: list[str] = []
        self.all_told = asyncio.Event()

    def start(self) -> None:
        self.asked.append("start")

    def stop(self) -> None:
        self.asked.append("stop")

    async def caught_up(self, within_s: float) -> bool:
        self.asked.append(f"caught up within {within_s}")
        await self.all_told.wait()
        return True


def drain(router: EdgeRouter, ident: str) -> None:
    """Have the router see that an endpoint drains."""
    member = router.engine.endpoints.by_number[endpoint_number(ident)]
    draining = replace(member, endpoint=replace(member.endpoint, state=EndpointState.DRAINING))
    router.list_changed(EndpointListKind.DELTA, 2, [draining])


class Sources(unittest.IsolatedAsyncioTestCase):
    async def test_its_events_are_applied_and_the_change_log_is_not_read(self) -> None:
        within, source = Within(), Source()
        within.router.change_source = source
        within.listeners["log"].setblocking(False)
        async with within:
            self.assertEqual(source.asked, ["start"])
            within.router.purged(KEY, 0, clock.unix_us() - 1_000_000)
            await within.play(
                f"client+\nclient> {ASK[1]}\ncache+\n{BOUNDED}\ncache> {CACHE_DATA}\nclient< {SERVED}"
            )
            drain(within.router, "s-cache")
            await within.play(f"client> {ASK[2]}\norigin+\n{ORIGIN_ASKED}")
            event = '{"seq":3,"invalidate":{"bucket":17,"time":1764576000480}}'
            within.router.changes.receive(event)
            self.assertEqual(within.router.changes.last_sequence, 3)
            with self.assertRaises(BlockingIOError):
                within.listeners["log"].accept()
        self.assertIn("stop", source.asked)

    async def test_a_router_that_replaces_another_waits_for_it(self) -> None:
        within, source = Within(), Source()
        within.router.change_source = source
        within.router.document = replace(within.router.document, admin_address=("127.0.0.1", free_port()))
        with (
            tempfile.TemporaryDirectory() as folder,
            mock.patch.object(tempfile, "tempdir", folder),
            mock.patch.object(ProcessLock, "other_is_alive", True),
            mock.patch("magpieshift.edge_router.steer_to_second"),
        ):
            starting = asyncio.ensure_future(within.__aenter__())
            await within.until(lambda: f"caught up within {CATCH_UP_TIMEOUT_S}" in source.asked)
            with self.assertRaises(ConnectionRefusedError):
                within.act("client+")
            source.all_told.set()
            await starting
            await within.play(f"client+\nclient> {READY_ASKED}\nclient< {READY}")
            await within.__aexit__()


if __name__ == "__main__":
    unittest.main()
