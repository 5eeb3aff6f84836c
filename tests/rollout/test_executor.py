"""How the executor speaks to routers in one term's name."""

from __future__ import annotations

import asyncio
import unittest

from magpieshift.rollout.errors import StepFailedError
from magpieshift.rollout.executor import Executor
from tests.rollout.pieces import a_plan

ROUTERS = 3
SERVERS_PER_ROUTER = 2


class AnnounceTerm(unittest.IsolatedAsyncioTestCase):
    async def announced(self, answer: str) -> None:
        """Announce a term to routers that all give this answer."""
        servers = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readline()
            writer.write(f"{answer}\n".encode())
            writer.close()

        for _ in range(ROUTERS * SERVERS_PER_ROUTER):
            servers.append(await asyncio.start_server(serve, "127.0.0.1", 0))
        addresses = [f"127.0.0.1:{server.sockets[0].getsockname()[1]}" for server in servers]
        routers = {f"r{i}": {"doors": addresses[2 * i : 2 * i + 2], "zone": "a"} for i in range(ROUTERS)}
        stages = {"all": {"share": 1.0}}
        try:
            await Executor(a_plan(routers=routers, stages=stages), term=5).announce_term()
        finally:
            for server in servers:
                server.close()

    async def test_routers_that_take_the_term_are_enough(self) -> None:
        await self.announced("OK serving")

    async def test_routers_that_cannot_keep_the_term_are_not_counted(self) -> None:
        """A router whose folder is full forgets the term at once: an older coordinator would be obeyed there,
        so that two could change the fleet. It must not count among those that go by the term."""
        with self.assertRaises(StepFailedError):
            await self.announced("ERR AS not now: the term cannot be kept: No space left on device")


if __name__ == "__main__":
    unittest.main()
