"""A document is applied to all parts or to none, whatever the parts do in ``prepare``."""

import asyncio
import itertools
import unittest
from collections.abc import Awaitable
from unittest import mock

from magpieshift import Document, parse
from magpieshift.config_transaction import Commit, PreparationError, SettingsRejectedError, prepare
from tests.recorded.exchange import config

PORTS = {"cache": "127.0.0.1:1", "origin": "127.0.0.1:2", "log": "127.0.0.1:3"}
DOCUMENT = parse(config(PORTS)).document


class FakePart:
    def __init__(self, part: str, behaviour: str) -> None:
        self.part, self.behaviour, self.settings_in_force = part, behaviour, "old"

    def prepare(self, old: Document, new: Document) -> Commit | Awaitable[Commit]:
        if self.behaviour == "rejects":
            raise SettingsRejectedError("rejected by the test")
        if self.behaviour == "raises":
            raise ZeroDivisionError
        if self.behaviour == "never":
            return asyncio.get_running_loop().create_future()
        return self._later() if self.behaviour == "later" else self._commit

    async def _later(self) -> Commit:
        await asyncio.sleep(0)
        return self._commit

    def _commit(self) -> None:
        if self.behaviour == "fails to commit":
            raise ZeroDivisionError
        self.settings_in_force = "new"

    def running(self) -> dict[str, object]:
        return {}


class Transactions(unittest.IsolatedAsyncioTestCase):
    async def test_every_combination_of_three_parts_answers(self) -> None:
        kinds = {"rejects": "part", "raises": "raised", "never": "late"}
        for behaviours in itertools.product(["at once", "later", *kinds], repeat=3):
            parts = [FakePart(f"p{i}", behaviour) for i, behaviour in enumerate(behaviours)]
            first = next((each for each in behaviours if each in kinds), None)
            with self.subTest(behaviours), mock.patch("magpieshift.config_transaction.log"):
                if first is None:
                    prepared = await prepare(parts, DOCUMENT, DOCUMENT)
                    self.assertEqual({part.settings_in_force for part in parts}, {"old"})
                    prepared.commit()
                    self.assertEqual({part.settings_in_force for part in parts}, {"new"})
                    continue
                timeout_s = 0.001 if first == "never" else 60.0  # on a busy machine, others must not time out
                with self.assertRaises(PreparationError) as caught:
                    await prepare(parts, DOCUMENT, DOCUMENT, timeout_s=timeout_s)
                self.assertEqual(caught.exception.kind, kinds[first])
                self.assertEqual({part.settings_in_force for part in parts}, {"old"})

    async def test_a_part_that_fails_to_commit_does_not_stop_the_others(self) -> None:
        parts = [FakePart("a", "at once"), FakePart("b", "fails to commit"), FakePart("c", "at once")]
        with self.assertLogs("magpieshift.config_transaction", "ERROR"):
            (await prepare(parts, DOCUMENT, DOCUMENT)).commit()
        self.assertEqual([part.settings_in_force for part in parts], ["new", "old", "new"])


if __name__ == "__main__":
    unittest.main()
