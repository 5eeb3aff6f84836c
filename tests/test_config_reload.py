"""Reloads of the platform's configuration file in a running router."""

from __future__ import annotations

import asyncio
import copy
import unittest
from collections.abc import Callable
from dataclasses import replace
from typing import Any
from unittest import mock

from magpieshift.config import parse
from magpieshift.config_reload import FileReload
from magpieshift.config_transaction import PreparationError, Prepared
from magpieshift.edge_router import EdgeRouter
from magpieshift.policy.settings import Idempotency
from tests.recorded.exchange import config

WAIT_TIMEOUT_S = 20.0
PORTS = {"cache": "127.0.0.1:1", "origin": "127.0.0.1:2", "log": "127.0.0.1:3"}
DATA = config(PORTS)


def changed(change: Callable[[dict[str, Any]], object]) -> dict[str, Any]:
    """The configuration with a change to its settings."""
    data: dict[str, Any] = copy.deepcopy(DATA)
    change(data["settings"])
    return data


def make_not_idempotent(settings: dict[str, Any]) -> None:
    """Forbid the second class to execute a request twice."""
    settings["Classes"][1]["Effect"] = "single_shot"


INCOMPLETE = {
    "Zones without the router's own": lambda settings: settings["Zones"].pop(),
    "no Zones": lambda settings: settings["Zones"].clear(),
    "MachineTypes without the origin's": lambda settings: settings["MachineTypes"].pop(),
    "no MachineTypes": lambda settings: settings["MachineTypes"].clear(),
}


class ReloadAfterAnIncompleteFile(unittest.IsolatedAsyncioTestCase):
    """Guards against reloads that end in silence with an incomplete file, so that later files are dropped."""

    async def test_the_next_file_is_applied(self) -> None:
        for name, change in INCOMPLETE.items():
            with self.subTest(name):
                await self.reload_incomplete_then_complete(changed(change))

    async def reload_incomplete_then_complete(self, incomplete: dict[str, Any]) -> None:
        router = EdgeRouter(parse(DATA))
        before = router.document
        files = [incomplete, changed(make_not_idempotent)]
        reload = FileReload(router, lambda: parse(files.pop(0)))
        applying = asyncio.ensure_future(reload.run())
        try:
            with self.assertLogs("magpieshift", "ERROR") as logged:
                reload.request()
                await self.until(lambda: bool(logged.output) or applying.done())
            self.assertIn("configuration not reloaded", [record.getMessage() for record in logged.records])
            self.assertIs(router.document, before)
            reload.request()
            await self.until(lambda: router.document is not before or applying.done())
            self.assertEqual(router.document.settings.classes[1].idempotency, Idempotency.NOT_IDEMPOTENT)
        finally:
            applying.cancel()
            await asyncio.wait([applying])
            router.close()

    async def test_a_document_that_cannot_be_numbered_is_rejected(self) -> None:
        """Guards against an error of the numbering that ends whoever applies the document."""
        router = EdgeRouter(parse(DATA))
        self.addCleanup(router.close)
        document = router.document
        for names in (replace(document.names, zones=()), replace(document.names, kinds=("box",))):
            with self.subTest(names), self.assertLogs("magpieshift.config_transaction", "ERROR"):
                with self.assertRaisesRegex(PreparationError, "names: IndexError"):
                    await router.prepare(replace(document, names=names))
                self.assertIs(router.document, document)

    async def until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0)


class ReloadThatRaises(unittest.IsolatedAsyncioTestCase):
    async def test_an_unexpected_error_drops_one_document_and_the_next_is_applied(self) -> None:
        """Guards against the end of all reloads by one error that nobody expected."""
        committed = asyncio.Event()
        router = mock.Mock(version=0)
        router.prepare = mock.AsyncMock(side_effect=[ZeroDivisionError, Prepared(parse(DATA).document, ())])
        router.commit = lambda prepared, version: committed.set()
        reload = FileReload(router, lambda: parse(DATA))
        with self.assertLogs("magpieshift", "ERROR"):
            reload.start()
            reload.request()
            reload.request()
            await asyncio.wait_for(committed.wait(), WAIT_TIMEOUT_S)
        reload.stop()


if __name__ == "__main__":
    unittest.main()
