"""The one helper: recorded byte exchanges from text files, played against the program and compared.

A step a line, ``#`` for comments; ``client`` stands for any client, and listeners are named in ``LISTENERS``:

    client+            connect (a listener: accept a connection of the program's)
    client> BYTES      write           client< BYTES    read, and compare
    client-            close           client!          the program must close the connection
    client.            it must close the connection without a reset, which would destroy its last answers
    client~            half-close      client^          reset (SO_LINGER 0)
    freeze, thaw       SIGSTOP, SIGCONT: what is done between them comes to the program all at once
    full origin        the listener's queue is full: connections of the program's come up only behind
    free origin        this, and that with the system's next try, a second after the first
    given PATH=JSON    as the first lines: settings that the program starts with
    term               SIGTERM         exit 0           the program must end, with this code
    replace            start a second process and wait until it is ready; then "old term" and so on: the first
    door+              call at the console; it is there in the recordings that call
    hup LISTENER       SIGHUP; the file now has this listener as the change log, or with '-' cannot be read;
                       settings may follow, as PATH=JSON without spaces
    says /PATTERN/     a line of the program's log must come
    pause 1.5          let at least so many seconds pass

A connection counts as silent, and a frame as late, only after a minute, so that a slow machine makes no
difference; except in the recordings named ``silent_...``, which wait for it.

BYTES are hexadecimal digits, "text" with backslash escapes, and in what is read /patterns/ as well. Waiting
has a bound far above what any machine needs; nothing else depends on time.
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
PATIENCE_S = 20.0
PATIENT = """
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


def spell(text: str) -> bytes:
    """The bytes that a recording spells."""
    parts = []
    for match in TOKEN.finditer(text):
        if match["text"]:
            parts.append(ast.literal_eval("b" + match["text"]))
        elif match["hex"]:
            parts.append(bytes.fromhex(match["hex"]))
    return b"".join(parts)


def pattern(text: str) -> re.Pattern[bytes]:
    """What a recording says is to be read."""
    parts = []
    for match in TOKEN.finditer(text):
        if match["re"] is not None:
            parts.append(match["re"].encode())
        elif not match["end"]:
            parts.append(re.escape(spell(match[0])))
    return re.compile(b"".join(parts), re.S)


def config(addresses: dict[str, str]) -> dict[str, Any]:
    """The configuration of the tests, with these addresses in it."""
    text = (HERE / "config.json").read_text()
    for name, address in addresses.items():
        text = text.replace(f"@{name}", address)
    data: dict[str, Any] = json.loads(text)
    return data


def changed(data: dict[str, Any], changes: dict[str, str]) -> dict[str, Any]:
    """The configuration with other values, as JSON, at dotted paths of its settings."""
    for path, value in changes.items():
        at: Any = data["settings"]
        *way, last = path.split(".")
        for name in way:
            at = at[int(name)] if isinstance(at, list) else at[name]
        at[last] = json.loads(value)
    return data


class Peer:
    """A socket at the other end of the program's, and what it has sent but was not read yet."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.got = sock, b""
        sock.settimeout(PATIENCE_S)

    def more(self, strict: bool = False) -> bool:
        try:
            data = self.sock.recv(65536)
        except ConnectionError:
            if strict:
                raise
            data = b""
        self.got += data
        return bool(data)

    def expect(self, wanted: re.Pattern[bytes]) -> None:
        while not (match := wanted.match(self.got)):
            if not self.more():
                raise AssertionError(f"wanted {wanted.pattern!r}, got {self.got!r} and the end")
        self.got = self.got[match.end() :]

    def expect_end(self, strict: bool = False) -> None:
        while self.more(strict):
            pass
        if self.got:
            raise AssertionError(f"wanted the end, got {self.got!r}")


def given(text: str) -> dict[str, str]:
    """The settings that a recording begins with."""
    lines = [line.split()[1:] for line in text.splitlines() if line.startswith("given ")]
    return dict(change.split("=", 1) for line in lines for change in line)


class Parties:
    """The other ends of a router's sockets: listeners for those it talks to, and its clients."""

    def __init__(self, chop: int = 0) -> None:
        self.chop = chop
        self.listeners = {name: socket.create_server(("127.0.0.1", 0)) for name in LISTENERS}
        self.port, self.console = free_port(), 0
        self.ports = {name: f"127.0.0.1:{s.getsockname()[1]}" for name, s in self.listeners.items()}
        self.peers: dict[str, Peer] = {}
        self._filling: dict[str, list[socket.socket]] = {}

    def close(self) -> None:
        filling = [sock for socks in self._filling.values() for sock in socks]
        for sock in [*self.listeners.values(), *(peer.sock for peer in self.peers.values()), *filling]:
            sock.close()

    def fill(self, name: str) -> None:
        """Fill a listener's queue: what connects from now on gets no answer."""
        listener, socks = self.listeners[name], self._filling.setdefault(name, [])
        listener.listen(0)
        while True:
            socks.append(socket.socket())
            socks[-1].settimeout(0.2)
            try:
                socks[-1].connect(listener.getsockname())
            except TimeoutError:
                return socks.pop().close()

    def free(self, name: str) -> None:
        """Take what fills a listener's queue out of it."""
        self.listeners[name].listen(16)
        for sock in self._filling.pop(name):
            self.listeners[name].accept()[0].close()
            sock.close()

    def act(self, step: str) -> None:
        """One step at a socket."""
        found = re.match(r"((\w+?)\d*)([-+<>!.~^])(.*)", step)
        assert found, "no step"
        who, kind, act, rest = found.groups()
        if act == "+":
            if kind in self.listeners:
                self.listeners[kind].settimeout(PATIENCE_S)
                self.peers[who] = Peer(self.listeners[kind].accept()[0])
            else:
                port = self.console if kind == "door" else self.port
                self.peers[who] = Peer(socket.create_connection(("127.0.0.1", port)))
        elif act == "-":
            (self.peers.pop(who).sock if who in self.peers else self.listeners[kind]).close()
        elif act == "~":
            self.peers[who].sock.shutdown(socket.SHUT_WR)
        elif act == "^":
            sock = self.peers.pop(who).sock
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock.close()
        elif act == ">":
            data, sock = spell(rest), self.peers[who].sock
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for at in range(0, len(data), self.chop or len(data)):
                sock.sendall(data[at : at + (self.chop or len(data))])
        elif act == "<":
            self.peers[who].expect(pattern(rest))
        else:
            self.peers[who].expect_end(strict=act == ".")


class Within(Parties):
    """A router in the test's own event loop, with real sockets at its ends: for orders of events that can be
    forced only from inside. Steps run in a thread, or at once where a test calls ``act``."""

    def __init__(self, **changes: str) -> None:
        super().__init__()
        data = changed(config(self.ports), changes) | {"listen": f"127.0.0.1:{self.port}"}
        self.router = EdgeRouter(parse(data))
        self.ending: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Within:
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
                await asyncio.to_thread(self.act, step)
            except (AssertionError, OSError) as err:
                raise AssertionError(f"{step}: {err}") from err

    async def until(self, true: Callable[[], bool]) -> None:
        """Wait until the router has come to something."""
        async with asyncio.timeout(PATIENCE_S):
            while not true():
                await asyncio.sleep(0.001)


class Program(Parties):
    """The program under test, with a listener for each party it talks to."""

    def __init__(
        self, chop: int = 0, patient: bool = True, door: bool = False, changes: dict[str, str] | None = None
    ) -> None:
        super().__init__(chop)
        self._patient, self._door, self.changes = patient, door, changes or {}
        self.folder = tempfile.TemporaryDirectory()
        self.config = Path(self.folder.name) / "config.json"
        self.config.write_text(json.dumps(changed(config(self.ports), self.changes)))
        self.log = (Path(self.folder.name) / "log").open("w+b")
        self.old: subprocess.Popen[bytes] | None = None
        self.process = self._start()

    def env(self) -> dict[str, str]:
        env = {"EDGE_CONFIG": str(self.config), "EDGE_LISTEN": f"127.0.0.1:{self.port}", "EDGE_NAME": "n1"}
        console = {"EDGE_CONSOLE": f"127.0.0.1:{self.console}"} if self._door else {}
        return {**os.environ, **env, **console, "TMPDIR": self.folder.name}

    def _start(self) -> subprocess.Popen[bytes]:
        self.console = free_port()
        started = self.written().count("event=ready")
        self.process = subprocess.Popen(
            [sys.executable, *(["-c", PATIENT] if self._patient else ["-m", "magpieshift"])],
            env=self.env(),
            stderr=self.log,
            cwd=ROOT,
        )
        self.says("(?s)" + ".*event=ready" * (started + 1))
        return self.process

    def __enter__(self) -> Program:
        return self

    def __exit__(self, *error: object) -> None:
        for process in filter(None, (self.process, self.old)):
            process.kill()
            process.wait()
        self.close()
        self.log.close()
        self.folder.cleanup()

    def says(self, wanted: str) -> None:
        end = time.monotonic() + PATIENCE_S
        while not re.search(wanted, self.written()):
            if time.monotonic() > end or self.process.poll() not in (None, 0):
                raise AssertionError(f"wanted {wanted!r} in the log, got {self.written()}")
            time.sleep(0.01)

    def written(self) -> str:
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
                    raise AssertionError(f"{name}.txt:{number}: {err}\n{self.written()}") from err

    def _step(self, step: str) -> None:
        if step == "replace":
            self.old = self.process
            self._start()
            return None
        if step.startswith("old "):
            assert self.old is not None
            self.process, self.old = self.old, self.process
            try:
                return self._step(step[4:])
            finally:
                self.process, self.old = self.old, self.process
        if step == "kill":
            return self.process.kill()
        if step.startswith("given "):
            return None
        if step in ("freeze", "thaw"):
            return self.process.send_signal(signal.SIGSTOP if step == "freeze" else signal.SIGCONT)
        if step.startswith(("full ", "free ")):
            return (self.fill if step.startswith("full") else self.free)(step[5:])
        if step == "term":
            return self.process.send_signal(signal.SIGTERM)
        if step.startswith("hup "):
            _, listener, *changes = step.split()
            ports = self.ports | {"log": self.ports.get(listener, "")}
            settings = changed(config(ports), self.changes | dict(change.split("=", 1) for change in changes))
            self.config.write_text(json.dumps(settings) if ports["log"] else "{")
            return self.process.send_signal(signal.SIGHUP)
        if step.startswith("exit "):
            code = self.process.wait(PATIENCE_S)
            assert code == int(step[5:]), f"exit code {code}"
            return None
        if step.startswith("pause "):
            return time.sleep(float(step[6:]))
        if step.startswith("says "):
            return self.says(step[5:].strip()[1:-1])
        return self.act(step)
