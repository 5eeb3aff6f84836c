"""Endings in which something is still owed, over real connections; each bad order is forced."""

import asyncio
import os
import resource
import signal
import subprocess
import sys
import unittest
from pathlib import Path
from typing import Any
from unittest import mock

from magpieshift.front import server
from magpieshift.front.frames import Type, head
from tests.real.exchange import PATIENCE_S, ROOT, Program, Within
from tests.real.test_front import request

ASK = {stream: request(stream, i=f"{stream:016x}", d="30000").hex() for stream in range(1, 40)}
REFUSED = r"/(\x05\x00\x00\x00\x06\x00\x00\x00\x00)?.\x00\x00\x00\x02\x01\x00\x00\x00\x42.*/"
READY_ASKED, READY = "06000000 04 09000000 00", "07000000 05 09000000 4f 00"
CACHE_ASKED = r'"ASK 0000000000000001 class=picture," /[^\r]*\r\n\r\n/'
FIELDS = "tag=4b,minted=1764576000000,how=warm,stats=inflight:7;util:0.61;x1:0.2"
CACHE_DATA = rf'"0000000000000001 data {FIELDS} 4\r\ncopy\r\n"'
SERVED = '0b000000 02 01000000 4f 00 "copy"'
NO_MORE = "05000000 06 00000000"


class AtTheEnd(unittest.IsolatedAsyncioTestCase):
    async def end(self, router: Within, meanwhile: Any) -> None:
        """End the router, doing this when nothing is open any more and its sockets are about to be closed."""
        with mock.patch.object(router.router.engine, "end_all", side_effect=meanwhile):
            router.router.stop()
            assert router.ending is not None
            await asyncio.wait_for(asyncio.shield(router.ending), PATIENCE_S)

    async def test_a_request_that_comes_as_sockets_are_closed_is_refused_and_not_reset(self) -> None:
        async with Within() as router:
            await router.play(f"client+\nclient> {READY_ASKED}\nclient< {READY}")
            await self.end(router, lambda: router.act(f"client> {ASK[1]}"))
            await router.play(f"client< {NO_MORE}\nclient< {REFUSED}\nclient.")

    async def test_who_waits_in_the_listeners_queue_is_answered(self) -> None:
        async with Within() as router:

            def come() -> None:
                router.act("client+")
                router.act(f"client> {ASK[1]}")

            await self.end(router, come)
            await router.play(f"client< {REFUSED}\nclient.")

    async def test_what_crosses_the_close_does_not_destroy_the_last_answer(self) -> None:
        async with Within() as router:
            await router.play(f"client+\nclient> {READY_ASKED}\nclient< {READY}")
            (connection,) = router.router._front._connections
            connection.no_more()
            connection.close()
            for stream in (1, 2):  # the first alone would be answered by a reset, and the second see it
                router.act(f"client> {ASK[stream]}")
            await asyncio.sleep(0)
            await router.play(f"client< {NO_MORE}\nclient.")
            self.assertEqual(router.router.engine.taken, 0)

    async def test_an_end_before_the_start_is_over_closes_at_once(self) -> None:
        router = Within()
        router.router.stop()
        await asyncio.wait_for(router.router.run(), PATIENCE_S)
        with self.assertRaises(ConnectionRefusedError):
            router.act("client+")
        router.close()


class Resting(unittest.IsolatedAsyncioTestCase):
    async def test_a_request_that_has_come_keeps_a_resting_connection(self) -> None:
        """At the limit, and in the round that closes what was long idle, in the turn in which it comes."""
        async with Within() as router:
            front = router.router._front
            await router.play(f"client+\nclient> {READY_ASKED}\nclient< {READY}")
            router.act(f"client> {ASK[1]}")
            with mock.patch.object(server, "IDLE_S", -1.0):
                front.tidy()
            front.most_connections = 1
            router.act("client2+")
            await router.play(f"cache+\ncache< {CACHE_ASKED}\nclient2.")
            await router.play(f"cache> {CACHE_DATA}\nclient< {SERVED}")

    async def test_half_a_frame_costs_no_answer_to_what_came_before_it(self) -> None:
        async with Within() as router:
            await router.play(f"client+\nclient> {ASK[1]}\ncache+\ncache< {CACHE_ASKED}")
            router.act(f"client> {ASK[2][:20]}")
            await router.until(lambda: router.router._front.held > 0)
            with mock.patch.object(server, "WHOLE_S", -1.0):
                router.router._front.tidy()
            reason = '1e00000002000000004500 "frame not whole in time"'
            await router.play(f"client< {reason}\ncache> {CACHE_DATA}\nclient< {SERVED}\nclient.")


class Gone(unittest.IsolatedAsyncioTestCase):
    async def test_a_client_that_takes_nothing_is_heard_when_it_cancels_and_when_it_goes(self) -> None:
        """It was not read from while its answers stood above the mark: attempts began after it left."""
        copies = 30
        async with Within() as router:
            engine = router.router.engine
            await router.play(f"client+\nclient> {ASK[1]}\ncache+")
            cache = router.peers["cache"].sock

            def answer() -> None:
                for stream in range(1, copies + 1):
                    if stream > 1:
                        router.act(f"client> {ASK[stream]}")
                    router.act(f'cache< "ASK {stream:016x} " /[^\\r]*\\r\\n\\r\\n/')
                    body = bytes(240_000) + b"\r\n"
                    cache.sendall(f"{stream:016x} data {FIELDS} 240000\r\n".encode() + body)

            with mock.patch.object(server, "HIGH_WATER", 1 << 24):
                await asyncio.to_thread(answer)
            with mock.patch.object(server, "HIGH_WATER", 1 << 16):
                await router.until(lambda: engine.open_requests == 0 and router.router._front.held > 1 << 16)
                for stream in (31, 32):
                    router.act(f"client> {ASK[stream]}")
                await router.until(lambda: engine.open_requests == 2)
                router.act(f"client> {head(Type.ABANDON, 31).hex()}")
                await router.until(lambda: engine.open_requests == 1)
                router.act("client^")
                await router.until(lambda: engine.open_requests == 0)
            router.act("client2+")
            router.act(f"client2> {ASK[1]}")
            await router.play(f"cache< {CACHE_ASKED}")  # and nothing for those two before it

    async def test_who_half_closes_or_resets_has_gone(self) -> None:
        async with Within() as router:
            for ending in "~^-":
                router.act("client+")
                router.act(f"client> {ASK[1]}")
                router.act(f"client{ending}")  # behind the request, before it was read
                await router.until(lambda: not router.router._front.connected)
            await router.play(f"client2+\nclient2> {ASK[2]}\ncache+")
            await router.play('cache< "ASK 0000000000000002 class=picture," /[^\\r]*\\r\\n\\r\\n/')


class Descriptors(unittest.TestCase):
    def test_without_descriptors_who_rests_makes_room(self) -> None:
        """The listener stayed readable, and the program did nothing else but fail to accept."""
        with Program() as program:
            fds = Path(f"/proc/{program.process.pid}/fd")
            program.act("client+")
            program.act(f"client> {READY_ASKED}")
            program.act(f"client< {READY}")
            held = len(list(fds.iterdir()))
            lowest = next(n for n in range(held + 1) if not (fds / str(n)).exists())
            soft, hard = resource.prlimit(program.process.pid, resource.RLIMIT_NOFILE)
            resource.prlimit(program.process.pid, resource.RLIMIT_NOFILE, (lowest, hard))
            program.act("client2+")
            program.act(f"client2> {READY_ASKED}")
            program.act(f"client2< {READY}")
            program.act("client.")
            resource.prlimit(program.process.pid, resource.RLIMIT_NOFILE, (soft, hard))
            self.assertLess(program.written().count("connection not accepted"), 20)


class Signals(unittest.TestCase):
    def test_sigterm_before_there_is_a_configuration_ends_with_0(self) -> None:
        with Program() as program:
            path = Path(program.folder.name) / "pipe"
            os.mkfifo(path)
            env = program.env() | {"EDGE_CONFIG": str(path)}
            starting = subprocess.Popen([sys.executable, "-m", "magpieshift"], env=env, cwd=ROOT)
            with path.open("w"):  # it has come to read it, and waits
                starting.send_signal(signal.SIGTERM)
                self.assertEqual(starting.wait(PATIENCE_S), 0)


if __name__ == "__main__":
    unittest.main()
