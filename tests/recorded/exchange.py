"""Plays recorded byte exchanges from text files against the program and compares the bytes it sends.

A recording has one step per line and ``#`` comments. ``client`` stands for any client; listeners have the
names in ``LISTENERS``:

    client+            connect (for a listener: accept a connection from the program)
    client> BYTES      write           client< BYTES    read and compare
    client-            close           client!          the program must close the connection
    client.            the program must close it without a reset, which would lose its last answers
    client~            half-close      client^          reset (SO_LINGER 0)
    freeze, thaw       SIGSTOP, SIGCONT: the program sees all steps between them at once
    full origin        fill the listener's backlog: connections from the program are not established until
    free origin        the backlog is emptied, and then at the system's next SYN, 1 s after the first
    given PATH=JSON    settings that the program starts with; only in the first lines
    term               SIGTERM         exit 0           the program must exit with this code
    replace            start a second process and wait until it is ready; steps for the first one then begin
                       with "old", as in "old term"
    door+              connect to the admin server, which is enabled in recordings that contain this step
    hup LISTENER       SIGHUP after a change of the configuration file: this listener is the change log, or
                       with '-' the file is unreadable; settings may follow, as PATH=JSON without spaces
    says /PATTERN/     wait until the program's log matches
    pause 1.5          wait at least this many seconds

Timeouts for silent connections and incomplete frames are a minute, so that a slow machine makes no
difference; except in the recordings named ``silent_...``, which test these timeouts.

BYTES are hexadecimal digits and "text" with backslash escapes; bytes to compare may also contain /patterns/.
Every wait has a timeout far longer than any machine needs; nothing else depends on time.
"""

from __future__ import annotations

import ast
import asyncio
import json
import os
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from magpieshift.app import EdgeRouter
from magpieshift.config import parse
from magpieshift.lab.fault_injection.ports import free_port

HERE = Path(__file__).parent
ROOT = HERE.parent.parent
LISTENERS = ("cache", "origin", "log", "moved")
WAIT_TIMEOUT_S = 20.0
LONG_TIMEOUTS_PROGRAM = """
import sys
from magpieshift import app, shutdown
from magpieshift.upstream import pool
from magpieshift.discovery import client
from magpieshift.downstream import server
pool.SILENCE_TIMEOUT_US = 60_000_000
client.SILENCE_TIMEOUT_S = 60.0
server.INCOMPLETE_FRAME_TIMEOUT_S = 60.0
shutdown.MAX_CLIENT_WAIT_S = 60.0
sys.exit(app.main())
"""
TOKEN = re.compile(
    r'\s*(?:(?P<text>"(?:[^"\\]|\\.)*")|/(?P<re>(?:[^/\\]|\\.)*)/|(?P<hex>[0-9a-f]+)|(?P<end>#.*))'
)


def parse_bytes(text: str) -> bytes:
    """The bytes that a recording writes as hexadecimal digits and quoted text."""
    parts = []
    for match in TOKEN.finditer(text):
        if match["text"]:
            parts.append(ast.literal_eval("b" + match["text"]))
        elif match["hex"]:
            parts.append(bytes.fromhex(match["hex"]))
    return b"".join(parts)


def expected_pattern(text: str) -> re.Pattern[bytes]:
    """The pattern for the bytes that a recording expects to read."""
    parts = []
    for match in TOKEN.finditer(text):
        if match["re"] is not None:
            parts.append(match["re"].encode())
        elif not match["end"]:
            parts.append(re.escape(parse_bytes(match[0])))
    return re.compile(b"".join(parts), re.S)


def config(addresses: dict[str, str]) -> dict[str, Any]:
    """The test configuration with these addresses inserted."""
    text = (HERE / "config.json").read_text()
    for name, address in addresses.items():
        text = text.replace(f"@{name}", address)
    data: dict[str, Any] = json.loads(text)
    return data


def changed(data: dict[str, Any], changes: dict[str, str]) -> dict[str, Any]:
    """Set these JSON values at dotted paths in the configuration's settings."""
    for path, value in changes.items():
        parent: Any = data["settings"]
        *parents, last = path.split(".")
        for name in parents:
            parent = parent[int(name)] if isinstance(parent, list) else parent[name]
        parent[last] = json.loads(value)
    return data


class Peer:
    """A socket connected to the program, with the data received but not compared yet."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.received = sock, b""
        sock.settimeout(WAIT_TIMEOUT_S)

    def read_more(self, strict: bool = False) -> bool:
        try:
            data = self.sock.recv(65536)
        except ConnectionError:
            if strict:
                raise
            data = b""
        self.received += data
        return bool(data)

    def expect(self, wanted: re.Pattern[bytes]) -> None:
        while not (match := wanted.match(self.received)):
            if not self.read_more():
                raise AssertionError(f"expected {wanted.pattern!r}, received {self.received!r} and the end")
        self.received = self.received[match.end() :]

    def expect_end(self, strict: bool = False) -> None:
        while self.read_more(strict):
            pass
        if self.received:
            raise AssertionError(f"expected the end of the stream, received {self.received!r}")


def initial_settings(text: str) -> dict[str, str]:
    """The settings in the ``given`` lines of a recording."""
    lines = [line.split()[1:] for line in text.splitlines() if line.startswith("given ")]
    return dict(change.split("=", 1) for line in lines for change in line)


class Peers:
    """The peers of a router: listeners for the servers it connects to, and its clients."""

    def __init__(self, chunk_size: int = 0) -> None:
        self.chunk_size = chunk_size
        self.listeners = {name: socket.create_server(("127.0.0.1", 0)) for name in LISTENERS}
        self.port, self.admin_port = free_port(), 0
        self.ports = {name: f"127.0.0.1:{s.getsockname()[1]}" for name, s in self.listeners.items()}
        self.peers: dict[str, Peer] = {}
        self._backlog_sockets: dict[str, list[socket.socket]] = {}

    def close(self) -> None:
        backlog = [sock for socks in self._backlog_sockets.values() for sock in socks]
        for sock in [*self.listeners.values(), *(peer.sock for peer in self.peers.values()), *backlog]:
            sock.close()

    def fill_backlog(self, name: str) -> None:
        """Fill a listener's backlog, so that further connection attempts get no answer."""
        listener, socks = self.listeners[name], self._backlog_sockets.setdefault(name, [])
        listener.listen(0)
        while True:
            socks.append(socket.socket())
            socks[-1].settimeout(0.2)
            try:
                socks[-1].connect(listener.getsockname())
            except TimeoutError:
                return socks.pop().close()

    def empty_backlog(self, name: str) -> None:
        """Remove the connections that ``fill_backlog`` put into a listener's backlog."""
        self.listeners[name].listen(16)
        for sock in self._backlog_sockets.pop(name):
            self.listeners[name].accept()[0].close()
            sock.close()

    def run_step(self, step: str) -> None:
        """Run one step at a socket."""
        match = re.match(r"((\w+?)\d*)([-+<>!.~^])(.*)", step)
        assert match, "not a recording step"
        peer_name, kind, operation, argument = match.groups()
        if operation == "+":
            if kind in self.listeners:
                self.listeners[kind].settimeout(WAIT_TIMEOUT_S)
                self.peers[peer_name] = Peer(self.listeners[kind].accept()[0])
            else:
                port = self.admin_port if kind == "door" else self.port
                self.peers[peer_name] = Peer(socket.create_connection(("127.0.0.1", port)))
        elif operation == "-":
            (self.peers.pop(peer_name).sock if peer_name in self.peers else self.listeners[kind]).close()
        elif operation == "~":
            self.peers[peer_name].sock.shutdown(socket.SHUT_WR)
        elif operation == "^":
            sock = self.peers.pop(peer_name).sock
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock.close()
        elif operation == ">":
            data, sock = parse_bytes(argument), self.peers[peer_name].sock
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for at in range(0, len(data), self.chunk_size or len(data)):
                sock.sendall(data[at : at + (self.chunk_size or len(data))])
        elif operation == "<":
            self.peers[peer_name].expect(expected_pattern(argument))
        else:
            self.peers[peer_name].expect_end(strict=operation == ".")


class RouterHarness(Peers):
    """A router in the test's own event loop, with real sockets, for event orders that can be forced only from
    within the process. ``play`` runs steps in a thread, ``run_step`` at once."""

    def __init__(self, **changes: str) -> None:
        super().__init__()
        data = changed(config(self.ports), changes) | {"listen": f"127.0.0.1:{self.port}"}
        self.router = EdgeRouter(parse(data))
        self.ending: asyncio.Task[None] | None = None

    async def __aenter__(self) -> RouterHarness:
        started = asyncio.Event()
        self.ending = asyncio.ensure_future(self.router.run(started.set))
        await started.wait()
        return self

    async def __aexit__(self, *error: object) -> None:
        assert self.ending is not None
        if not self.ending.done():
            self.ending.cancel()
            await asyncio.wait([self.ending])
            self.router.close()
        self.close()

    async def play(self, steps: str) -> None:
        for step in filter(None, map(str.strip, steps.splitlines())):
            try:
                await asyncio.to_thread(self.run_step, step)
            except (AssertionError, OSError) as err:
                raise AssertionError(f"{step}: {err}") from err

    async def until(self, condition: Callable[[], bool]) -> None:
        """Wait until the condition is true."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.001)


class Program(Peers):
    """The program under test as a separate process, with a listener for each server it connects to."""

    def __init__(
        self,
        chunk_size: int = 0,
        long_timeouts: bool = True,
        has_admin: bool = False,
        changes: dict[str, str] | None = None,
    ) -> None:
        super().__init__(chunk_size)
        self._long_timeouts, self._has_admin, self.changes = long_timeouts, has_admin, changes or {}
        self.folder = tempfile.TemporaryDirectory()
        self.config = Path(self.folder.name) / "config.json"
        self.config.write_text(json.dumps(changed(config(self.ports), self.changes)))
        self.log = (Path(self.folder.name) / "log").open("w+b")
        self.replaced_process: subprocess.Popen[bytes] | None = None
        self.process = self._start()

    def env(self) -> dict[str, str]:
        env = {"EDGE_CONFIG": str(self.config), "EDGE_LISTEN": f"127.0.0.1:{self.port}", "EDGE_NAME": "n1"}
        admin = {"EDGE_CONSOLE": f"127.0.0.1:{self.admin_port}"} if self._has_admin else {}
        return {**os.environ, **env, **admin, "TMPDIR": self.folder.name}

    def _start(self) -> subprocess.Popen[bytes]:
        self.admin_port = free_port()
        started = self.log_text().count("event=ready")
        self.process = subprocess.Popen(
            [
                sys.executable,
                *(["-c", LONG_TIMEOUTS_PROGRAM] if self._long_timeouts else ["-m", "magpieshift"]),
            ],
            env=self.env(),
            stderr=self.log,
            cwd=ROOT,
        )
        self.wait_for_log("(?s)" + ".*event=ready" * (started + 1))
        return self.process

    def __enter__(self) -> Program:
        return self

    def __exit__(self, *error: object) -> None:
        for process in filter(None, (self.process, self.replaced_process)):
            process.kill()
            process.wait()
        self.close()
        self.log.close()
        self.folder.cleanup()

    def wait_for_log(self, wanted: str) -> None:
        end = time.monotonic() + WAIT_TIMEOUT_S
        while not re.search(wanted, self.log_text()):
            if time.monotonic() > end or self.process.poll() not in (None, 0):
                raise AssertionError(f"expected {wanted!r} in the log, found {self.log_text()}")
            time.sleep(0.01)

    def log_text(self) -> str:
        self.log.seek(0)
        return self.log.read().decode()

    def play(self, name: str) -> None:
        """Play a recording from the first step to the last."""
        for number, line in enumerate((HERE / "exchanges" / f"{name}.txt").read_text().splitlines(), 1):
            step = line.strip()
            if step and not step.startswith("#"):
                try:
                    self._step(step)
                except (AssertionError, OSError) as err:
                    raise AssertionError(f"{name}.txt:{number}: {err}\n{self.log_text()}") from err

    def _step(self, step: str) -> None:
        if step == "replace":
            self.replaced_process = self.process
            self._start()
            return None
        if step.startswith("old "):
            assert self.replaced_process is not None
            self.process, self.replaced_process = self.replaced_process, self.process
            try:
                return self._step(step[4:])
            finally:
                self.process, self.replaced_process = self.replaced_process, self.process
        if step == "kill":
            return self.process.kill()
        if step.startswith("given "):
            return None
        if step in ("freeze", "thaw"):
            return self.process.send_signal(signal.SIGSTOP if step == "freeze" else signal.SIGCONT)
        if step.startswith(("full ", "free ")):
            return (self.fill_backlog if step.startswith("full") else self.empty_backlog)(step[5:])
        if step == "term":
            return self.process.send_signal(signal.SIGTERM)
        if step.startswith("hup "):
            _, listener, *changes = step.split()
            ports = self.ports | {"log": self.ports.get(listener, "")}
            settings = changed(config(ports), self.changes | dict(change.split("=", 1) for change in changes))
            self.config.write_text(json.dumps(settings) if ports["log"] else "{")
            return self.process.send_signal(signal.SIGHUP)
        if step.startswith("exit "):
            code = self.process.wait(WAIT_TIMEOUT_S)
            assert code == int(step[5:]), f"exit code {code}"
            return None
        if step.startswith("pause "):
            return time.sleep(float(step[6:]))
        if step.startswith("says "):
            return self.wait_for_log(step[5:].strip()[1:-1])
        return self.run_step(step)
