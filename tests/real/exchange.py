"""The one helper: recorded byte exchanges from text files, played against the program and compared.

A step a line, ``#`` for comments; ``client`` stands for any client, and listeners are named in ``LISTENERS``:

    client+            connect (a listener: accept a connection of the program's)
    client> BYTES      write           client< BYTES    read, and compare
    client-            close           client!          the program must close the connection
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
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

HERE = Path(__file__).parent
ROOT = HERE.parent.parent
LISTENERS = ("cache", "origin", "log", "moved")
PATIENCE_S = 20.0
PATIENT = """
import sys
from magpieshift import app
from magpieshift.back import pool
from magpieshift.feed import client
from magpieshift.front import server
pool.SILENT_US, client.SILENCE_S, server.WHOLE_S, app.LONGEST_WAIT_S = 60_000_000, 60.0, 60.0, 60.0
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


def free_port() -> int:
    """A port that nobody listens on right now."""
    with socket.create_server(("127.0.0.1", 0)) as free:
        return int(free.getsockname()[1])


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

    def more(self) -> bool:
        try:
            data = self.sock.recv(65536)
        except ConnectionError:
            data = b""
        self.got += data
        return bool(data)

    def expect(self, wanted: re.Pattern[bytes]) -> None:
        while not (match := wanted.match(self.got)):
            if not self.more():
                raise AssertionError(f"wanted {wanted.pattern!r}, got {self.got!r} and the end")
        self.got = self.got[match.end() :]

    def expect_end(self) -> None:
        while self.more():
            pass
        if self.got:
            raise AssertionError(f"wanted the end, got {self.got!r}")


class Program:
    """The program under test, with a listener for each party it talks to."""

    def __init__(self, chop: int = 0, patient: bool = True, door: bool = False) -> None:
        self.chop, self._patient, self._door = chop, patient, door
        self.listeners = {name: socket.create_server(("127.0.0.1", 0)) for name in LISTENERS}
        self.port = free_port()
        self.folder = tempfile.TemporaryDirectory()
        self.ports = {name: f"127.0.0.1:{s.getsockname()[1]}" for name, s in self.listeners.items()}
        self.config = Path(self.folder.name) / "config.json"
        self.config.write_text(json.dumps(config(self.ports)))
        self.log = (Path(self.folder.name) / "log").open("w+b")
        self.peers: dict[str, Peer] = {}
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
        for sock in [*self.listeners.values(), *(peer.sock for peer in self.peers.values())]:
            sock.close()
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
        if step == "term":
            return self.process.send_signal(signal.SIGTERM)
        if step.startswith("hup "):
            _, listener, *changes = step.split()
            ports = self.ports | {"log": self.ports.get(listener, "")}
            settings = changed(config(ports), dict(change.split("=", 1) for change in changes))
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
        found = re.match(r"((\w+?)\d*)([-+<>!])(.*)", step)
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
        elif act == ">":
            data, sock = spell(rest), self.peers[who].sock
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for at in range(0, len(data), self.chop or len(data)):
                sock.sendall(data[at : at + (self.chop or len(data))])
        elif act == "<":
            self.peers[who].expect(pattern(rest))
        else:
            self.peers[who].expect_end()
        return None
