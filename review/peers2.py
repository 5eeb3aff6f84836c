"""Stand-ins for the cases 6 to 10: caches, an origin, a change log and clients, from the protocol page.

Everything listens on loopback, on ports that the system chooses, and runs in the case's own event loop. The
router is a process of its own, started with the command that ``deploy/balancer.toml`` gives.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
READY_WITHIN_S = 30.0
"""The deployment page: a router is ready within 30 s."""
SOCKET_SLACK_S = 0.05
"""The protocol page: every time limit is 50 ms longer on sockets."""
LOST_AFTER_S = 0.5
"""The standing test: up to half a second after its time a request only earns nothing; later it is lost."""


class CannotRunError(Exception):
    """The case could not be run; it shows nothing."""


class Record:
    """What was sent, answered and run, as lines with the time since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._start_s = time.time()

    def write(self, who: str, text: str) -> None:
        """Add one line."""
        self._file.write(f"{time.time() - self._start_s:9.4f} {who}: {text}\n")

    def say(self, text: str) -> None:
        """Add one line, and print it."""
        self.write("case", text)
        print(text, flush=True)

    def close(self) -> None:
        """Write out everything."""
        self._file.close()


# --- the router


def settings(classes: list[dict[str, Any]] | None = None, **caps: Any) -> dict[str, Any]:
    """The settings of a small deployment, as on the wire page; ``caps`` replace entries of ``Caps``."""
    return {
        "Balancers": 1,
        "Discovery": "pushed",
        "Locality": 1,
        "QuantumUs": 2000,
        "SelfIndex": 0,
        "Weights": "rough",
        "Zones": ["centro", "edge-1"],
        "MachineTypes": ["small-box", "parent", "origin"],
        "Callers": {"MarksRetry": True},
        "Caps": {
            "Cancelling": True,
            "ConnIdleUs": 15000000,
            "ConnectTimeoutUs": 400000,
            "MaxAttempts": 8,
            "MaxRetryAfterUs": 1000000,
            "MaxStreams": 32,
            "PeerMessages": False,
            "Probes": True,
            "RetryAfter": True,
            "SecondCopies": False,
        }
        | caps,
        "Classes": classes or [media(), cart_save()],
        "Contract": {
            "AnswerSlackUs": 8000,
            "AskWithinUs": 10000000,
            "ColdFrom": 0.18,
            "ColdUs": 18000000,
            "DrainGraceUs": 250000,
            "FallMultiple": 2.5,
            "FallUs": 1000000,
        },
        "LoadInfo": {"Columns": ["load_share", "concurrent", "x1"], "How": "piggyback"},
        "Specifics": {
            "AttachedTo": [0, 0],
            "ClassWrite": [False, True],
            "ClientKbPerS": 5600.0,
            "GraceForUs": [0, 0],
            "InPieces": [True, False],
            "LinkInKbPerS": [0.0, 0.0],
            "MasterKind": 2,
            "MaxAgeUs": [0, 0],
            "MayPassBy": True,
            "OriginFallMultiple": 0.0,
            "OriginOverForUs": 3000000,
            "ParentBreaksAt": 2.0,
            "ParentRampUs": 19000000,
            "PurgeSlackUs": 500000,
            "PurgeTakesUs": 6000000,
            "Says": "all",
            "SharesFills": False,
            "ShieldKind": 1,
            "Siblings": "location",
            "StaleEarns": [0.7, 0.7],
            "TransitPrice": 0.02,
            "UpperColdFrom": 0.097,
            "ZoneBalancers": [0, 1],
        },
    }


def media(**changes: Any) -> dict[str, Any]:
    """The class of the brief that may simply be repeated."""
    return {
        "Name": "media",
        "AimStretch": 2.0,
        "AimUs": 500000,
        "DedupWindowUs": 5000000,
        "Effect": "free",
        "GiveUpUs": 5000000,
        "Group": "all",
        "LateWorth": 0.15,
        "Stream": False,
        "Worth": 2.0,
    } | changes


def cart_save(**changes: Any) -> dict[str, Any]:
    """The class of the brief that writes, with a key."""
    return {
        "Name": "cart-save",
        "AimUs": 700000,
        "DedupWindowUs": 3000000,
        "Effect": "guarded",
        "GiveUpUs": 3000000,
        "Group": "all",
        "LateWorth": 0.0,
        "Stream": False,
        "Worth": 3.0,
    } | changes


class Router:
    """One router process, started with the deploy file's ``run`` from the project's root."""

    def __init__(self, record: Record, name: str = "n1", port: int = 0) -> None:
        self.record = record
        self.name = name
        self.port = port or free_port()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.config = self.folder / "config.json"
        self.log = self.folder / "log"
        self.process: asyncio.subprocess.Process | None = None

    def write_config(
        self,
        change_log: int,
        known: list[dict[str, Any]],
        site: dict[str, Any],
        memory_mb: int = 192,
        sockets: int = 1024,
        **more: Any,
    ) -> None:
        """Write the configuration file whole, as the deployment page shows it."""
        document = {
            "name": self.name,
            "listen": f"127.0.0.1:{self.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "changelog": f"127.0.0.1:{change_log}",
            "flow_bytes_per_s": 310000,
            "link_bytes_per_s": 124000000,
            "known": {"seq": max((each["seq"] for each in known), default=0), "results": known},
            "settings": site,
        } | more
        part = self.config.with_suffix(".part")
        part.write_text(json.dumps(document), encoding="utf-8")
        part.replace(self.config)

    async def start(self, console: int = 0, folder: Path | None = None, ready: bool = True) -> None:
        """Start the process, and wait until it answers that it is ready."""
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))["run"]
        environ = dict(os.environ) | {
            "EDGE_CONFIG": str(self.config),
            "EDGE_LISTEN": f"127.0.0.1:{self.port}",
            "EDGE_NAME": self.name,
            "TMPDIR": str(folder or self.folder),
        }
        if console:
            environ["EDGE_CONSOLE"] = f"127.0.0.1:{console}"
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=environ, stdout=log, stderr=log
            )
        self.record.write(self.name, f"started: {command}")
        if ready:
            await self.until_ready()

    async def until_ready(self) -> None:
        """Ask with type 4 until the answer is yes."""
        until_s = time.time() + READY_WITHIN_S
        while time.time() < until_s:
            if not self.is_running:
                break
            client = Client(self.record, "front", self.port)
            with contextlib.suppress(OSError):
                await client.connect()
                if await client.ask_ready():
                    client.close()
                    self.record.write(self.name, "ready")
                    return
            client.close()
            await asyncio.sleep(0.05)
        raise CannotRunError(f"router not ready: {self.log.read_text(encoding='utf-8')[-2000:]}")

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.returncode is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.record.write(self.name, f"gets {number.name}")
        self.process.send_signal(number)

    def memory_mb(self) -> float:
        """Resident memory of the process; 0 where the system does not tell."""
        assert self.process is not None
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text(encoding="utf-8").splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        return 0.0

    async def end(self) -> None:
        """End the process, and add its log to the record."""
        if self.process is not None:
            if self.process.returncode is None:
                self.process.kill()
            await self.process.wait()
            for line in self.log.read_text(encoding="utf-8", errors="replace").splitlines():
                self.record.write(f"{self.name} log", line)
        shutil.rmtree(self.folder, ignore_errors=True)


def free_port() -> int:
    """A port of loopback that nobody listens on."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


# --- caches


class Attempt:
    """One attempt that has come whole to a cache."""

    def __init__(
        self, cache: Cache, connection: CacheConnection, request_id: str, fields: dict[str, str]
    ) -> None:
        self.cache = cache
        self.connection = connection
        self.request_id = request_id
        self.fields = fields
        self.came_s = time.time()
        self.ended_s = 0.0
        self.end = ""
        """How it ended: the word of the answer, or why it was given up."""

    def ends(self, how: str) -> None:
        """The attempt is out no longer."""
        if not self.ended_s:
            self.ended_s = time.time()
            self.end = how

    def text(self) -> str:
        """For the record."""
        source = self.fields.get("via", "-")
        return f"{self.request_id} at {self.cache.name} via={source} end={self.end or 'out'}"


class Ledger:
    """All attempts that came to the caches of a case."""

    def __init__(self) -> None:
        self.attempts: list[Attempt] = []
        self.by_request: dict[str, list[Attempt]] = {}
        self.overlaps: list[tuple[Attempt, Attempt]] = []
        """Pairs of attempts of one request of which the second came while the first was out."""

    def came(self, attempt: Attempt) -> None:
        """Take in an attempt that came just now."""
        earlier = self.by_request.setdefault(attempt.request_id, [])
        self.overlaps += [(each, attempt) for each in earlier if not each.ended_s]
        earlier.append(attempt)
        self.attempts.append(attempt)


class CacheConnection:
    """A cache's side of one connection."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.writer = writer
        self.open: dict[str, tuple[Attempt, asyncio.Task[None]]] = {}

    def write(self, data: bytes) -> None:
        """Write, unless the connection is closed."""
        if not self.writer.is_closing():
            self.writer.write(data)


class Cache:
    """A cache, parent or origin that keeps what it has filled, and answers as the protocol page says."""

    def __init__(
        self,
        record: Record,
        ledger: Ledger,
        name: str,
        kind: str = "small-box",
        cell: int = 1,
        size: int = 12_000,
        delay_s: float = 0.01,
        fill_s: float = 0.1,
    ) -> None:
        self.record = record
        self.ledger = ledger
        self.name = name
        self.kind = kind
        self.cell = cell
        self.size = size
        self.delay_s = delay_s
        self.fill_s = fill_s
        self.port = 0
        self.kept: set[tuple[str, str]] = set()
        self.connections: set[CacheConnection] = set()
        self.after_answer: Callable[[CacheConnection, Attempt, str, bytes], None] | None = None
        """Called after each answer with its bytes."""
        self.before_answer: Callable[[Attempt], Coroutine[Any, Any, bool]] | None = None
        """Called before each answer; where it returns false there is none."""
        self._server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """The process dies: its connections are reset, and new ones refused."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self.connections):
            connection.writer.transport.abort()

    def entry(self, phase: str = "SERVING", up_since_ms: int = 0, size: float = 5) -> dict[str, Any]:
        """Its entry in the list."""
        return {
            "id": self.name,
            "host_port": f"127.0.0.1:{self.port}",
            "locality": "edge-1" if self.kind == "small-box" else "centro",
            "flavor": self.kind,
            "cell": self.cell,
            "phase": phase,
            "size": size,
            "up_since_ms": up_since_ms,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = CacheConnection(writer)
        self.connections.add(connection)
        why = "connection closed"
        try:
            while line := await reader.readline():
                words = line.decode().split()
                if words[0] == "ASK":
                    fields = dict(item.partition("=")[::2] for item in words[2].split(","))
                    body = await reader.readexactly(int(words[3]) + 2)
                    self._take(connection, words[1], fields, body[:-2])
                elif words[0] == "QUIT" and words[1] in connection.open:
                    attempt, task = connection.open.pop(words[1])
                    task.cancel()
                    attempt.ends("QUIT")
                    self.record.write(self.name, f"QUIT {words[1]}")
                elif words[0] in ("NOOP", "INFO"):
                    connection.write(f"{words[1]} well stats={self._stats(connection)} 0\r\n\r\n".encode())
        except (ConnectionError, asyncio.IncompleteReadError):
            why = "connection reset"
        except asyncio.CancelledError:
            why = "case over"
        finally:
            self.connections.discard(connection)
            for attempt, task in connection.open.values():
                task.cancel()
                attempt.ends(why)
            writer.close()

    @staticmethod
    def _stats(connection: CacheConnection) -> str:
        return f"load_share:0.2;concurrent:{len(connection.open)};x1:0.1"

    def _take(
        self, connection: CacheConnection, request_id: str, fields: dict[str, str], body: bytes
    ) -> None:
        attempt = Attempt(self, connection, request_id, fields)
        self.ledger.came(attempt)
        shown = ",".join(f"{name}={value}" for name, value in fields.items())
        self.record.write(self.name, f"ASK {request_id} {shown} {len(body)}")
        task = asyncio.ensure_future(self._answer(connection, attempt))
        connection.open[request_id] = (attempt, task)

    async def _answer(self, connection: CacheConnection, attempt: Attempt) -> None:
        fields = attempt.fields
        part = fields["key"], fields["part"]
        is_held = self.kind == "origin" or part in self.kept
        how = "warm"
        await asyncio.sleep(self.delay_s)
        if not is_held and "via" in fields and "peek" not in fields.get("opts", ""):
            await asyncio.sleep(self.fill_s)
            is_held = True
            how = "fill"
            if fields.get("tier", "0") != "0" or self.kind == "parent":
                self.kept.add(part)
        if self.before_answer is not None and not await self.before_answer(attempt):
            return
        self.give(connection, attempt, is_held, how)

    def give(self, connection: CacheConnection, attempt: Attempt, is_held: bool, how: str) -> None:
        """Write the answer to an attempt: the bytes of the part, or that there is no copy."""
        stats = self._stats(connection)
        word = "data" if is_held else "absent"
        if is_held:
            body = body_of(attempt.fields["key"], attempt.fields["part"], self.size)
            minted = int(time.time() * 1000)
            text = f"tag=t1,minted={minted},how={how},lag=10,stats={stats} {len(body)}"
        else:
            body = b""
            text = f"stats={stats} 0"
        answer = f"{attempt.request_id} {word} {text}\r\n".encode() + body + b"\r\n"
        connection.open.pop(attempt.request_id, None)
        attempt.ends(word)
        self.record.write(self.name, f"answers {attempt.request_id} {word} {len(body)}")
        connection.write(answer)
        if self.after_answer is not None:
            self.after_answer(connection, attempt, word, answer)


def body_of(key: str, part: str, size: int) -> bytes:
    """The bytes of a part, which tell which part they are."""
    unit = f"{key}/{part};".encode()
    return (unit * (size // len(unit) + 1))[:size]


# --- the change log


class ChangeLog:
    """The change log: events from 1 on, and a comment every second."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.port = 0
        self.events: list[dict[str, Any]] = []
        self.told_s: dict[int, float] = {}
        """When each event was in the log."""
        self.answer_after_s = 0.0
        """How long a call waits in turn before it is answered."""
        self.calls = 0
        self._server: asyncio.Server | None = None
        self._news = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Refuse new connections and close the open ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    def add(self, **event: Any) -> int:
        """Add an event; returns its number."""
        number = len(self.events) + 1
        self.events.append({"seq": number} | event)
        self.told_s[number] = time.time()
        self.record.write("change log", f"event {json.dumps(self.events[-1])}")
        news, self._news = self._news, asyncio.Event()
        news.set()
        return number

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            position = 0
            for line in head.split("\r\n"):
                name, _, value = line.partition(":")
                if name.lower() == "last-event-id":
                    position = int(value)
            self.calls += 1
            call = self.calls
            self.record.write("change log", f"call {call} asks for what comes after {position}")
            if self.answer_after_s:
                closed = asyncio.ensure_future(reader.read())
                done, _ = await asyncio.wait([closed], timeout=self.answer_after_s)
                if done:
                    self.record.write("change log", f"call {call} was closed by the router before its turn")
                    return
            self.record.write("change log", f"call {call} is answered")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
            while True:
                news = self._news
                for event in self.events[position:]:
                    writer.write(f"id: {event['seq']}\ndata: {json.dumps(event)}\n\n".encode())
                position = len(self.events)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(1.0):
                        await news.wait()
                        continue
                writer.write(b": still here\n\n")
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


# --- clients

FRAME = struct.Struct("<IBI")
WORDS = {79: "served", 66: "refused", 69: "failed"}


class Request:
    """One request of a client, and what came of it."""

    def __init__(self, stream: int, fields: dict[str, str], body: bytes) -> None:
        self.stream = stream
        self.fields = fields
        self.body = body
        self.request_id = fields["i"]
        self.written_s = 0.0
        self.answer = ""
        """``served``, ``refused`` or ``failed``; empty while there is none."""
        self.answered_s = 0.0
        self.answers = 0
        self.bytes_begun = 0
        """How many bytes of its answer came, where the connection ended inside it."""
        self.is_wrong = False
        self.given_up = False
        self.connection_ended_s = 0.0
        self.done = asyncio.Event()


class Client:
    """One client connection. It keeps to the protocol page, and reads at ``read_bytes_per_s`` at most."""

    _next_id = 0

    def __init__(
        self, record: Record, name: str, port: int, read_bytes_per_s: float = 0.0, part_bytes: int = 0
    ) -> None:
        self.record = record
        self.name = name
        self._port = port
        self._read_bytes_per_s = read_bytes_per_s
        self._part_bytes = part_bytes
        """Size of each part, to compare a served body with; 0: not compared."""
        self.requests: dict[int, Request] = {}
        self.go_away = False
        self.ended_s = 0.0
        """When the router ended the connection; 0 while it has not."""
        self.how_ended = ""
        self._ready: asyncio.Future[bool] | None = None
        self._sock: socket.socket | None = None
        self._reading: asyncio.Task[None] | None = None
        self._stream = 0
        self._buffer = bytearray()

    async def connect(self) -> None:
        """Connect; raises ``OSError`` where that fails."""
        loop = asyncio.get_running_loop()
        self._sock = socket.socket()
        self._sock.setblocking(False)
        if self._read_bytes_per_s:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await loop.sock_connect(self._sock, ("127.0.0.1", self._port))
        self._reading = asyncio.ensure_future(self._read())

    def close(self) -> None:
        """End the connection from this side."""
        sock, self._sock = self._sock, None
        if sock is None:
            return
        if self._reading is None:
            sock.close()
            return
        self._reading.add_done_callback(lambda _: sock.close())  # not while the loop still watches it
        self._reading.cancel()

    @property
    def open_requests(self) -> list[Request]:
        """Requests without an answer that the client still waits for."""
        return [each for each in self.requests.values() if not each.answer and not each.given_up]

    @property
    def is_usable(self) -> bool:
        """Whether a new request may be sent on it."""
        return self._sock is not None and not self.go_away and not self.ended_s

    async def send(
        self, class_name: str, wait_ms: int, key: str, part: int = 0, body: bytes = b"", **more: str
    ) -> Request:
        """Write one request whole."""
        Client._next_id += 1
        request_id = f"{os.getpid() & 0xFFFF:04x}{Client._next_id:012x}"
        fields = {"c": class_name, "i": request_id, "d": str(wait_ms), "o": key, "slice": str(part)}
        fields |= {"set": "17", "m": "412.5"} | more
        self._stream += 1
        request = Request(self._stream, fields, body)
        self.requests[request.stream] = request
        payload = write_fields(fields) + body
        self.record.write(self.name, f"sends {request_id} {class_name} {key}/{part} wait={wait_ms}")
        request.written_s = time.time()
        await self._write(FRAME.pack(5 + len(payload), 1, request.stream) + payload)
        request.written_s = time.time()
        return request

    async def give_up(self, request: Request) -> None:
        """Send type 3: nobody waits any more."""
        request.given_up = True
        request.done.set()
        await self._write(FRAME.pack(5, 3, request.stream))

    async def ask_ready(self, timeout_s: float = 2.0) -> bool:
        """Send type 4; whether the answer is yes."""
        self._stream += 1
        self._ready = asyncio.get_running_loop().create_future()
        payload = b"\0"
        await self._write(FRAME.pack(5 + len(payload), 4, self._stream) + payload)
        try:
            async with asyncio.timeout(timeout_s):
                return await self._ready
        except TimeoutError:
            return False

    async def _write(self, data: bytes) -> None:
        if self._sock is None:
            return
        with contextlib.suppress(ConnectionError):
            await asyncio.get_running_loop().sock_sendall(self._sock, data)

    async def _read(self) -> None:
        loop = asyncio.get_running_loop()
        assert self._sock is not None
        began_s = loop.time()
        received = 0
        how = "closed"
        while True:
            try:
                data = await loop.sock_recv(self._sock, 16_384 if self._read_bytes_per_s else 262_144)
            except OSError as err:
                how = type(err).__name__
                break
            if not data:
                break
            received += len(data)
            self._buffer += data
            self._frames()
            if self._read_bytes_per_s:
                await asyncio.sleep(max(0.0, began_s + received / self._read_bytes_per_s - loop.time()))
        self.ended_s = time.time()
        self.how_ended = how
        begun = len(self._buffer)
        stream = FRAME.unpack_from(self._buffer)[2] if begun >= FRAME.size else 0
        self.record.write(self.name, f"connection {how} by the router, {len(self.open_requests)} open")
        for request in self.open_requests:
            request.connection_ended_s = self.ended_s
            request.bytes_begun = begun if request.stream == stream else 0
            request.done.set()
        if self._ready is not None and not self._ready.done():
            self._ready.set_result(False)

    def _frames(self) -> None:
        while len(self._buffer) >= FRAME.size:
            length, kind, stream = FRAME.unpack_from(self._buffer)
            if len(self._buffer) < 4 + length:
                return
            payload = bytes(self._buffer[FRAME.size : 4 + length])
            del self._buffer[: 4 + length]
            if kind == 2:
                self._answered(stream, payload)
            elif kind == 5 and self._ready is not None and not self._ready.done():
                self._ready.set_result(payload[0] == 79)
            elif kind == 6:
                self.go_away = True
                self.record.write(self.name, "told to send no new request on this connection")

    def _answered(self, stream: int, payload: bytes) -> None:
        request = self.requests.get(stream)
        if request is None:
            self.record.write(self.name, f"answer on stream {stream}: {payload[:80]!r}")
            return
        request.answers += 1
        request.answer = WORDS.get(payload[0], f"code {payload[0]}")
        request.answered_s = time.time()
        body = payload[1 + fields_size(payload[1:]) :]
        if self._part_bytes and request.answer == "served":
            expected = body_of(request.fields["o"], request.fields["slice"], self._part_bytes)
            request.is_wrong = body != expected
        self.record.write(self.name, f"gets {request.request_id} {request.answer} {len(body)}")
        request.done.set()


def write_fields(fields: dict[str, str]) -> bytes:
    """Fields as the protocol page gives them."""
    parts = [bytes((len(fields),))]
    for name, value in fields.items():
        parts.append(bytes((len(name),)) + name.encode() + struct.pack("<H", len(value)) + value.encode())
    return b"".join(parts)


def fields_size(payload: bytes) -> int:
    """How many bytes the fields at the start of a payload take."""
    position = 1
    for _ in range(payload[0]):
        position += 1 + payload[position]
        position += 2 + struct.unpack_from("<H", payload, position)[0]
    return position


# --- running a case


def trouble() -> bool:
    """Whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run(case: Callable[[Record], Coroutine[Any, Any, bool]], folder: Path, limit_s: float = 110.0) -> int:
    """Run a case, which returns whether the rule held; returns the exit code of the script."""
    record = Record(folder)

    async def bounded() -> bool:
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):  # the case ends what it started
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        async with asyncio.timeout(limit_s):
            return await case(record)

    try:
        held = asyncio.run(bounded())
    except (CannotRunError, OSError, TimeoutError, asyncio.CancelledError) as err:
        record.say(f"could not run: {type(err).__name__} {err}")
        return COULD_NOT_RUN
    except Exception as err:
        record.say(f"could not run: {type(err).__name__} {err}")
        raise
    else:
        record.say("the rule held" if held else "the rule was broken")
        return HELD if held else BROKEN
    finally:
        record.close()


def main(case: Callable[[Record], Coroutine[Any, Any, bool]], file: str) -> None:
    """Run the case of this file and exit with its code."""
    try:
        code = run(case, Path(file).resolve().parent)
    except Exception as err:
        print(f"{type(err).__name__}: {err}", file=sys.stderr)
        code = COULD_NOT_RUN
    sys.exit(code)
