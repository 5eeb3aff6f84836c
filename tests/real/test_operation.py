"""Lifecycle, the operators' door, the claim on the clients' address, and clients of a lame duck."""

import asyncio
import json
import os
import socket
import subprocess
import sys
import tempfile
import unittest
from dataclasses import replace
from typing import Any
from unittest import mock

from magpieshift import ConfigError, parse
from magpieshift.admin import server as door
from magpieshift.admin.command import MAX_LINE_BYTES, AdminCommand
from magpieshift.app import EdgeRouter
from magpieshift.config import Limits
from magpieshift.discovery.client import ChangeLogClient
from magpieshift.downstream.frames import FrameType, ResponseCode, frame_head, response_head
from magpieshift.engine.model import Response, Verdict
from magpieshift.lifecycle import (
    ARRIVALS_SETTLED_US,
    CUT_INCOMPLETE_US,
    SERVE_WHILE_DRAINING_US,
    InvalidStateError,
    Lifecycle,
    State,
)
from magpieshift.limits import ResourceBudget
from magpieshift.policy.events import EndpointListKind
from magpieshift.policy.slow_start import permitted_rate
from magpieshift.process_lock import ProcessLock
from magpieshift.sockets import listen_socket, steer_to_second
from tests.downstream import server_case
from tests.real.exchange import ROOT, changed, config
from tests.real.test_engine import SECOND, EngineCase
from tests.test_config import PORTS


class Lifecycles(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 0
        self.life = Lifecycle(lambda: self.now)

    def test_each_call_in_each_state(self) -> None:
        """What the door answers, and the state behind it; None for ERR."""
        calls = ("ping", "lame_duck", "rejoin", "begin_shutdown")
        wanted = {
            State.STARTING: (None, None, None, State.ENDING),
            State.SERVING: (State.SERVING, State.LAME_DUCK, State.SERVING, State.ENDING),
            State.LAME_DUCK: (State.LAME_DUCK, State.LAME_DUCK, State.SERVING, State.ENDING),
            State.ENDING: (None, State.ENDING, None, State.ENDING),
        }
        for state, after in wanted.items():
            for call, then in zip(calls, after, strict=True):
                with self.subTest(state=state, call=call):
                    life = Lifecycle(lambda: 0)
                    life.state = state
                    try:
                        said = getattr(life, call)()
                    except InvalidStateError:
                        said, life.state = None, life.state
                        self.assertEqual((then, life.state), (None, state))
                    else:
                        self.assertEqual(life.state, then)
                        self.assertIn(said, (None, life.state_name))

    def test_its_time_begins_with_the_first_call(self) -> None:
        self.life.start_completed()
        self.life.lame_duck()
        self.now = ARRIVALS_SETTLED_US
        self.life.lame_duck()
        self.assertEqual((self.life.arrivals_settled, self.life.rejects_requests), (True, False))
        self.now = SERVE_WHILE_DRAINING_US
        self.assertEqual((self.life.rejects_requests, self.life.cuts_incomplete_requests), (True, False))
        self.life.rejoin()
        self.assertEqual((self.life.is_ready, self.life.rejects_requests), (True, False))
        self.life.lame_duck()
        self.assertEqual((self.life.is_ready, self.life.rejects_requests), (False, False))
        self.now += CUT_INCOMPLETE_US
        self.assertTrue(self.life.cuts_incomplete_requests)

    def test_an_end_before_the_start_is_over_stays_an_end(self) -> None:
        self.life.begin_shutdown()
        self.life.start_completed()
        self.assertEqual((self.life.state, self.life.is_ready), (State.ENDING, False))
        self.life.replacement_serves = True  # the other process takes who asks here
        self.assertTrue(self.life.is_ready)


class Calls(unittest.TestCase):
    def test_lines_cut_anywhere_and_what_is_no_call(self) -> None:
        told = mock.Mock(return_value="serving")
        for data, wanted in (
            (b"PING\n", b"OK serving\n"),
            (b"PING \r\nLAMEDUCK\n", b"OK serving\n"),
            (b"ping\n", b"ERR call: found 'ping', expected one of PING\n"),
            (b"\xff\x00\n", b"ERR call: found '\\\\xff\\x00', expected one of PING\n"),
            (b"x" * (MAX_LINE_BYTES + 1), b"ERR line: found more than 256 bytes, expected one of PING\n"),
        ):
            for size in (1, 2, 1000):
                with self.subTest(data[:9], size=size):
                    call, answers = AdminCommand({"PING": told}), []
                    for at in range(0, len(data), size):
                        answers.append(call.feed(data[at : at + size]))
                    self.assertEqual(next(filter(None, answers)), wanted)
        self.assertIn(b"ERR line: found nothing", AdminCommand({"PING": told}).timed_out(2.0))


class Doors(unittest.IsolatedAsyncioTestCase):
    async def test_mute_callers_do_not_lock_out_who_calls(self) -> None:
        life = Lifecycle(lambda: 0)
        life.start_completed()
        opened = door.AdminServer(life)
        with mock.patch.object(door, "listen_socket") as listen:
            listen.return_value = listener = listen_socket("127.0.0.1", 0)
            opened.open(("127.0.0.1", 0))
        mute = [await asyncio.open_connection(*listener.getsockname()) for _ in range(door.MAX_CONNECTIONS)]
        reader, writer = await asyncio.open_connection(*listener.getsockname())
        writer.write(b"PING\n")
        writer.write_eof()  # as some do that call from a shell
        self.assertEqual(await reader.read(), b"OK serving\n")
        self.assertEqual(await mute[0][0].read(), b"")  # the first made room
        opened.close()
        for _, each in [*mute, (reader, writer)]:
            each.close()


class LameDuck(server_case.ServerCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.now = 0
        self.server.clock = mock.Mock(now_us=lambda: self.now)
        self.server.lifecycle = self.life = Lifecycle(lambda: self.now)
        self.server.max_connections = 8
        self.life.start_completed()

    async def test_who_is_told_and_has_nothing_open_is_let_go_and_who_asks_on_is_refused(self) -> None:
        idle, busy, asker, half = [await self.join() for _ in range(4)]
        await self.ask(idle, 1)
        self.engine.submit.call_args.args[1](self.refusal())
        idle.written[-1][1].set_result(None)
        reply = await self.ask(busy, 1)
        half.input.put_nowait(server_case.request(1)[:20])
        self.life.lame_duck()
        self.server.send_go_away()
        for client in (idle, busy, asker, half):
            for _, done in client.written:
                if not done.done():
                    done.set_result(None)
        await self.settle()
        self.now = SERVE_WHILE_DRAINING_US
        asker.input.put_nowait(frame_head(FrameType.READINESS_REQUEST, 1, b"\0"))
        await self.settle()
        asker.written[-1][1].set_result(None)
        await self.settle()
        self.server.close_expired()
        self.assertEqual([c.closed() for c in (idle, busy, asker, half)], [True, False, False, False])
        self.engine.draining_response.return_value = self.refusal()
        before = self.engine.submit.call_count
        busy.input.put_nowait(server_case.request(2))
        await self.settle()
        self.assertEqual(self.engine.submit.call_count, before)
        self.assertEqual(busy.written[-1][0], response_head(2, ResponseCode.REJECTED, {"w": "70"}))
        busy.written[-1][1].set_result(None)
        reply(self.refusal())
        busy.written[-1][1].set_result(None)
        self.now = CUT_INCOMPLETE_US
        await self.settle()
        self.server.close_expired()
        self.assertEqual([c.closed() for c in (busy, half)], [True, True])

    def refusal(self) -> Response:
        return Response(Verdict.REJECTED, retry_after_us=70_000)


class Replacing(unittest.TestCase):
    def test_a_claim_ends_with_its_process_and_nothing_left_over_counts(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            with open(os.path.join(folder, "magpieshift-h-1.lock"), "w") as left:
                left.write("not ours " * 100)
            mine = ProcessLock(("h", 1), folder)
            self.assertFalse(mine.other_is_alive or mine.other_is_serving)
            code = (
                "import sys; from magpieshift.process_lock import ProcessLock;"
                "c = ProcessLock(('h', 1), sys.argv[1]);"
                "print(c.other_is_alive, c.other_is_serving, flush=True); sys.stdin.readline();"
                "c.set_serving(True); print(flush=True); sys.stdin.readline();"
                "c.set_serving(False); print(flush=True); sys.stdin.readline()"
            )
            mine.set_serving(True)
            pipes: dict[str, Any] = {"stdin": subprocess.PIPE, "stdout": subprocess.PIPE, "text": True}
            with subprocess.Popen([sys.executable, "-c", code, folder], cwd=ROOT, **pipes) as other:
                assert other.stdout is not None and other.stdin is not None
                self.assertEqual(other.stdout.readline(), "True True\n")
                self.assertEqual((mine.other_is_alive, mine.other_is_serving), (True, False))
                for serves in (True, False):  # who empties is nobody's successor, though it lives
                    other.stdin.write("\n")
                    other.stdin.flush()
                    other.stdout.readline()
                    self.assertEqual((mine.other_is_alive, mine.other_is_serving), (True, serves))
                other.kill()
                other.wait()
            self.assertFalse(mine.other_is_alive or mine.other_is_serving)
            mine.close()

    def test_a_folder_that_cannot_be_written_is_told_and_stops_nothing(self) -> None:
        with self.assertLogs("magpieshift.process_lock", "WARNING"):
            claim = ProcessLock(("h", 1), "/nowhere/at/all")
        claim.set_serving(True)
        self.assertFalse(claim.other_is_alive)

    def test_connections_go_to_the_second_listener_and_back_when_it_closes(self) -> None:
        first = listen_socket("127.0.0.1", 0, shared=True)
        host, port = first.getsockname()
        second = listen_socket(host, port, shared=True)
        steer_to_second(second)
        address = first.getsockname()

        def comes_to(listener: socket.socket) -> None:
            with socket.create_connection(address):
                listener.setblocking(True)
                listener.settimeout(20)
                listener.accept()[0].close()

        for _ in range(20):
            comes_to(second)
        second.close()
        comes_to(first)
        first.close()

    def test_two_processes_stay_within_the_limits_of_one(self) -> None:
        for sockets, memory in ((192, 32.0), (256, 64.0), (1024, 192.0)):
            limits = Limits(memory, sockets)
            alone, shared = ResourceBudget.of(limits), ResourceBudget.of(limits, True)
            self.assertLessEqual(2 * shared.upstream_connections + alone.client_connections, sockets)
            self.assertLessEqual(2 * 3 * shared.bytes_per_purpose, memory * (1 << 20) / 2)
            self.assertEqual(alone.bytes_per_purpose, int(memory * (1 << 20) / 4))


class Successor(server_case.ServerCase):
    async def test_what_waits_in_the_queue_is_taken_before_the_listener_closes(self) -> None:
        """It was reset: 338 of 33,422 connections over 40 handovers (``magpieshift lab handover``)."""
        listener = listen_socket("127.0.0.1", 0)
        self.server.listen_on(listener)
        address = listener.getsockname()
        with socket.create_connection(address) as client:  # the loop has had no turn to accept it
            self.server.stop_listening()
            with self.assertRaises(ConnectionRefusedError):
                socket.create_connection(address)
            client.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_sendall(client, frame_head(FrameType.READINESS_REQUEST, 1, b"\0"))
            answer = await asyncio.wait_for(loop.sock_recv(client, 99), 20)
            self.assertEqual(answer, frame_head(FrameType.READINESS, 1, bytes((ResponseCode.REJECTED, 0))))
            self.server.close_all()

    async def test_a_successor_waits_until_the_change_log_has_told_all(self) -> None:
        """A purge or drain between the two starts stands in the log alone."""
        feed, loop = ChangeLogClient(("127.0.0.1", 1), mock.Mock()), mock.Mock()
        times = iter(range(0, 1000))
        loop.time.side_effect = lambda: next(times) / 100  # each look at the clock takes 0.01 s
        with (
            mock.patch.object(asyncio, "get_running_loop", return_value=loop),
            mock.patch.object(asyncio, "sleep", mock.AsyncMock()) as waits,
        ):
            self.assertFalse(await feed.caught_up(0.5))  # no answer: the start goes on all the same
            feed.has_answered = True
            feed.note_received()
            waits.reset_mock()
            self.assertTrue(await feed.caught_up(5.0))
            self.assertGreater(waits.await_count, 3)  # it told something just now, so there may be more


class Shared(EngineCase):
    def test_two_processes_have_the_budgets_of_one_router(self) -> None:
        """A cold store would have been sent twice this router's part of what it bears."""
        document = parse(config(PORTS)).document
        self.engine.prepare(document, document)()
        router, told = self.engine.policy_calls.policy, self.engine.running()
        cold = replace(self.members[0].endpoint, started_us=self.clock.now - SECOND)
        self.engine.list_changed(EndpointListKind.DELTA, 2, [replace(self.members[0], endpoint=cold)])
        self.clock.run()
        (cache,) = router.caches.values()
        alone = permitted_rate(router, cache)
        self.engine.set_sibling_processes(1)
        self.assertLess(2 * permitted_rate(router, cache), 1.001 * alone)
        self.assertEqual((router.settings.router_count, router.settings.zone_router_counts), (4, (0, 4)))
        self.assertEqual(self.engine.running(), told)  # the document in force is the same
        self.engine.prepare(document, document)()
        self.assertEqual(router.settings.router_count, 4)  # a reload does not forget the other process
        self.engine.set_sibling_processes(0)
        self.assertEqual((router.settings.router_count, permitted_rate(router, cache)), (2, alone))


class Ended(unittest.IsolatedAsyncioTestCase):
    async def test_who_has_ended_beside_its_successor_does_not_take_its_whole_part_back(self) -> None:
        """Membership looks once more after it: both processes then used the whole part, 1.125 of all."""
        router = EdgeRouter(parse(config(PORTS)))
        with tempfile.TemporaryDirectory() as folder:
            router._process_lock = ProcessLock(("127.0.0.1", 1), folder)
            with mock.patch.object(ProcessLock, "other_is_alive", property(lambda lock: lock._file >= 0)):
                router.check_other_process()
                self.assertEqual(router.engine.sibling_processes, 1)
                router.close()
                router.check_other_process()
        self.assertEqual(router.engine.sibling_processes, 1)


class NewSettings(unittest.TestCase):
    def test_nothing_is_taken_from_a_broken_file(self) -> None:
        """A deadline below zero was taken, with all its file's classes, and every request failed."""
        figures: tuple[Any, ...] = (0, -5, "500", True, float("nan"), float("inf"), None, [])
        for path in ("Classes.0.GiveUpUs", "Classes.1.AimUs", "Caps.MaxAttempts", "Caps.ConnectTimeoutUs"):
            for value in figures:
                with self.subTest(path, value=value), self.assertRaisesRegex(ConfigError, path) as caught:
                    parse(changed(config(PORTS), {path: json.dumps(value)}))
                self.assertNotIn("\n", str(caught.exception))
        for path, value in (
            ("Classes.1.Name", "picture"),
            ("Classes.1.Name", "a,b"),
            ("Classes", []),
            ("Caps.MaxAttempts", 1.5),
            ("Contract.FallMultiple", float("nan")),
            ("Contract.ColdUs", float("inf")),
        ):
            with self.subTest(path, value=value), self.assertRaises(ConfigError):
                parse(changed(config(PORTS), {path: json.dumps(value)}))

    def test_the_console_is_read_from_the_file_and_the_variable_wins(self) -> None:
        self.assertIsNone(parse(config(PORTS)).document.admin_address)
        data = config(PORTS) | {"console": "127.0.0.1:7"}
        self.assertEqual(parse(data).document.admin_address, ("127.0.0.1", 7))
        self.assertEqual(parse(data, console="127.0.0.1:8").document.admin_address, ("127.0.0.1", 8))
        with self.assertRaisesRegex(ConfigError, "console is not host:port: 'here'"):
            parse(data, console="here")


if __name__ == "__main__":
    unittest.main()
