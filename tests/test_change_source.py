"""A router whose change source is not the change log client."""

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
from tests.recorded.exchange import RouterHarness
from tests.test_edge_router import CACHE_ANSWERS, READ, READINESS, READINESS_REQUEST, SERVED

KEY = "7f3a9c21e0b4d655"
CACHE_RECEIVES_BOUND = (
    r'cache< "ASK 0000000000000001 class=picture," /[^\r]*/ ",fresh=" /[1-9]\d*/ " 0\r\n\r\n"'
)
ORIGIN_RECEIVES = r'origin< "ASK 0000000000000002 class=picture," /[^\r]*\r\n\r\n/'


class FakeChangeSource(ChangeSource):
    """Records its calls; the test itself passes events to the router."""

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.caught_up_event = asyncio.Event()

    def start(self) -> None:
        self.calls.append("start")

    def stop(self) -> None:
        self.calls.append("stop")

    async def caught_up(self, within_s: float) -> bool:
        self.calls.append(f"caught up within {within_s}")
        await self.caught_up_event.wait()
        return True


def drain(router: EdgeRouter, name: str) -> None:
    """Tell the router that an endpoint has begun to drain."""
    listed = router.engine.endpoints.by_number[endpoint_number(name)]
    draining = replace(listed, endpoint=replace(listed.endpoint, state=EndpointState.DRAINING))
    router.list_changed(EndpointListKind.DELTA, 2, [draining])


class Sources(unittest.IsolatedAsyncioTestCase):
    async def test_its_events_are_applied_and_the_change_log_is_not_read(self) -> None:
        harness, source = RouterHarness(), FakeChangeSource()
        harness.router.change_source = source
        harness.listeners["log"].setblocking(False)
        async with harness:
            self.assertEqual(source.calls, ["start"])
            harness.router.purged(KEY, 0, clock.unix_us() - 1_000_000)
            await harness.play(
                f"client+\nclient> {READ[1]}\ncache+\n{CACHE_RECEIVES_BOUND}\n"
                f"cache> {CACHE_ANSWERS}\nclient< {SERVED}"
            )
            drain(harness.router, "s-cache")
            await harness.play(f"client> {READ[2]}\norigin+\n{ORIGIN_RECEIVES}")
            event = '{"seq":3,"invalidate":{"bucket":17,"time":1764576000480}}'
            harness.router.changes.receive(event)
            self.assertEqual(harness.router.changes.last_sequence, 3)
            with self.assertRaises(BlockingIOError):
                harness.listeners["log"].accept()
        self.assertIn("stop", source.calls)

    async def test_a_router_that_replaces_another_waits_for_its_change_source(self) -> None:
        harness, source = RouterHarness(), FakeChangeSource()
        harness.router.change_source = source
        harness.router.document = replace(harness.router.document, admin_address=("127.0.0.1", free_port()))
        with (
            tempfile.TemporaryDirectory() as folder,
            mock.patch.object(tempfile, "tempdir", folder),
            mock.patch.object(ProcessLock, "other_is_alive", True),
            mock.patch("magpieshift.edge_router.steer_to_second"),
        ):
            starting = asyncio.ensure_future(harness.__aenter__())
            await harness.until(lambda: f"caught up within {CATCH_UP_TIMEOUT_S}" in source.calls)
            with self.assertRaises(ConnectionRefusedError):
                harness.run_step("client+")
            source.caught_up_event.set()
            await starting
            await harness.play(f"client+\nclient> {READINESS_REQUEST}\nclient< {READINESS}")
            await harness.__aexit__()


if __name__ == "__main__":
    unittest.main()
