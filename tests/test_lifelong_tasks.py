"""Every task that runs for the life of a process goes on with its work after an unexpected error.

Each test guards against a task that ends unseen: its work raises once, and is done again all the same.
"""

from __future__ import annotations

import asyncio
import random
import tempfile
import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

from magpieshift.config import NO_NAMES, MembershipSettings
from magpieshift.control.client import ControlClient
from magpieshift.control.version_manager import VersionManager
from magpieshift.discovery.changes import ChangeLog
from magpieshift.discovery.client import ChangeLogClient
from magpieshift.extensions.membership import Membership
from magpieshift.relay import node
from magpieshift.relay.change_log_reader import ChangeLogReader
from magpieshift.relay.client import RelayClient
from magpieshift.relay.service import RelayService
from magpieshift.relay.version_reader import VersionReader
from tests.recorded.exchange import RouterHarness

WAIT_TIMEOUT_S = 20.0
NO_LISTENER = ("127.0.0.1", 1)


class RaisesOnce:
    """Takes the place of a function: the first call raises, the others are passed on."""

    def __init__(self, function: Callable[..., Any]) -> None:
        self._function = function
        self.calls = 0

    def __call__(self, *args: Any, **kwargs: Any) -> Any:
        self.calls += 1
        if self.calls == 1:
            raise ZeroDivisionError("raised by the test")
        return self._function(*args, **kwargs)


class LifelongTasks(unittest.IsolatedAsyncioTestCase):
    async def assert_goes_on(self, owner: Any, method: str, start: Callable[[], object]) -> None:
        """Have a method of the owner raise once after the start; it must be called again, and the error be
        logged."""
        raising = RaisesOnce(getattr(owner, method))
        with mock.patch.object(owner, method, raising), self.assertLogs("magpieshift", "ERROR") as logged:
            start()
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                while raising.calls < 2:
                    await asyncio.sleep(0.001)
        self.assertIn("background task failed", [record.getMessage() for record in logged.records])

    async def test_maintenance_of_a_router(self) -> None:
        async with RouterHarness() as router:
            await self.assert_goes_on(router.router._pool, "close_expired", lambda: None)

    async def test_change_log_client(self) -> None:
        client = ChangeLogClient(NO_LISTENER, ChangeLog(NO_NAMES, mock.Mock()))
        self.addCleanup(client.stop)
        await self.assert_goes_on(client._random, "uniform", client.start)

    async def test_bind_of_the_membership_address(self) -> None:
        settings = MembershipSettings("fleet", ("127.0.0.1", 0), ("127.0.0.1", 1))
        async with RouterHarness() as router:
            membership = Membership(router.router, settings, seed=1)
            await self.assert_goes_on(membership._driver, "open", membership.start)
            await membership.stop()

    async def test_control_client(self) -> None:
        client = ControlClient("127.0.0.1:1", mock.MagicMock(), "r1", "b1", random.Random(1))
        self.addAsyncCleanup(client.stop)
        with mock.patch("magpieshift.control.client.log"):
            await self.assert_goes_on(client._backoff, "next_delay_s", client.start)

    async def test_version_manager(self) -> None:
        versions = mock.Mock(waiting=None, take_next=mock.Mock(return_value=None))
        manager = VersionManager(mock.Mock(), versions, {})
        self.addAsyncCleanup(manager.stop)
        await self.assert_goes_on(versions, "take_next", manager.start)

    async def test_reader_of_a_version_folder(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            reader = VersionReader(folder, mock.Mock())
            self.addCleanup(reader.stop)
            await self.assert_goes_on(reader, "_read_new", reader.start)

    async def test_check_of_a_change_log_reader(self) -> None:
        reader = ChangeLogReader(NO_LISTENER, mock.Mock())
        self.addCleanup(reader.stop)
        await self.assert_goes_on(reader, "check", reader.start)

    async def test_relay_client(self) -> None:
        selection = mock.Mock(current=mock.Mock(address="127.0.0.1:1"))
        selection.record_failure.return_value = 0.0
        selection.current.name = "relay"
        client = RelayClient(mock.Mock(), selection, mock.Mock())
        self.addAsyncCleanup(client.stop)
        with mock.patch("magpieshift.relay.client.log"):
            await self.assert_goes_on(selection, "record_failure", client.start)

    async def test_tick_of_a_relay_service(self) -> None:
        fanout = mock.Mock(due_streams=mock.Mock(return_value=[]), silent_streams=mock.Mock(return_value=[]))
        service = RelayService(fanout, mock.Mock(), mock.Mock())
        await service.start("127.0.0.1:0")
        self.addAsyncCleanup(service.stop)
        await self.assert_goes_on(fanout, "due_streams", lambda: None)

    async def test_counters_of_a_relay_source(self) -> None:
        source = node.SourceNode(node.SourceOptions(NO_LISTENER, "127.0.0.1:0"))
        with mock.patch.object(node, "COUNTERS_INTERVAL_S", 0.001):
            running = asyncio.ensure_future(source.run())
            await self.assert_goes_on(source.fanout, "status", lambda: None)
            source.stop()
            await asyncio.wait_for(running, WAIT_TIMEOUT_S)


if __name__ == "__main__":
    unittest.main()
