"""Stand-ins for the cases of this review: change log, endpoints, clients, and the router as it is deployed.

All of them follow the protocol page: clients speak in binary frames, endpoints in lines, the change log in
server-sent events. Everything is on loopback and uses the standard library alone.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
SERVED, REFUSED, FAILED = 79, 66, 69
CODE_NAMES = {SERVED: "served", REFUSED: "refused", FAILED: "failed"}
READY_WITHIN_S = 30.0  # the platform's bound for a start
CASE_WITHIN_S = 110.0  # a case that takes longer could not be run; the issue allows 120 s
LATE_BY_S = 0.55  # half a second after its time, and the 50 ms that every limit is longer on sockets
LINE_LIMIT = 1 << 20
CHUNK_BYTES = 16384  # most that a client reads at once
HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit codes of a case."""


class CannotRunError(Exception):
    """The case could not be run, which says nothing about the router."""


class Record:
    """The file that holds what was sent, answered and run, one line an event."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start = time.time()

    def write(self, *words: object) -> None:
        """Add a line, with the seconds since the start."""
        self._file.write(f"{time.time() - self._start:8.3f} " + " ".join(map(str, words)) + "\n")

    def close(self) -> None:
        """Write all lines to the file."""
        self._file.close()


def free_port() -> int:
    """A port of loopback that nobody listens at."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        port: int = sock.getsockname()[1]
        return port


def kill(pid: int) -> None:
    """Kill a process that the case has started."""
    with contextlib.suppress(ProcessLookupError):
        os.kill(pid, signal.SIGKILL)


def request_id() -> str:
    """A new request id."""
    return f"{random.getrandbits(64):016x}"


def member(
    name: str, port: int, kind: str, zone: str = "tienda-1", phase: str = "SERVING", up_since_ms: int = 0
) -> dict[str, Any]:
    """An entry of the endpoint list."""
    return {
        "id": name,
        "host_port": f"{HOST}:{port}",
        "locality": zone,
        "flavor": kind,
        "cell": 1,
        "phase": phase,
        "size": 6,
        "up_since_ms": up_since_ms,
    }


def configuration(
    log_port: int, members: list[dict[str, Any]], memory_mb: int = 96, sockets: int = 512
) -> dict[str, Any]:
    """The configuration of a small deployment, with the figures of media-tiendas."""
    return {
        "name": "n1",
        "listen": f"{HOST}:{free_port()}",
        "seed": f"{random.getrandbits(64):016x}",
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "changelog": f"{HOST}:{log_port}",
        "flow_bytes_per_s": 9900000,
        "link_bytes_per_s": 90000000,
        "known": {
            "seq": 1,
            "results": [{"seq": 1, "fleet": {"revision": 1, "complete": True, "members": members}}],
        },
        "settings": {
            "Balancers": 1,
            "Discovery": "pushed",
            "Locality": 1,
            "QuantumUs": 2000,
            "SelfIndex": 0,
            "Weights": "rough",
            "Zones": ["norte", "tienda-1"],
            "MachineTypes": ["small-box", "parent", "origin"],
            "Caps": {
                "Cancelling": True,
                "ConnIdleUs": 15000000,
                "ConnectTimeoutUs": 400000,
                "MaxAttempts": 8,
                "MaxRetryAfterUs": 1000000,
                "MaxStreams": 32,
                "PeerMessages": False,
                "Probes": True,
                "SecondCopies": False,
            },
            "Classes": [
                {
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
                },
                {
                    "Name": "cart-save",
                    "AimUs": 700000,
                    "DedupWindowUs": 3000000,
                    "Effect": "guarded",
                    "GiveUpUs": 3000000,
                    "Group": "all",
                    "LateWorth": 0.0,
                    "Stream": False,
                    "Worth": 3.0,
                },
            ],
            "Contract": {
                "AnswerSlackUs": 8000,
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
                "LinkInKbPerS": [0.0, 109182.0],
                "MasterKind": 2,
                "MaxAgeUs": [0, 0],
                "MayPassBy": True,
                "ParentBreaksAt": 2.0,
                "ParentRampUs": 19000000,
                "PurgeSlackUs": 500000,
                "PurgeTakesUs": 6000000,
                "Says": "all",
                "SharesFills": False,
                "ShieldKind": 1,
                "Siblings": "location",
                "StaleEarns": [0.7, 0.7],
                "UpperColdFrom": 0.097,
                "ZoneBalancers": [0, 1],
            },
        },
    }


class ChangeLog:
    """The change log: events that are numbered from 1, of which the first is in the configuration."""

    def __init__(self, last_known: int = 1) -> None:
        self.port = 0
        self._events: list[tuple[int, str]] = []
        self._last = last_known
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._watches: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening and end all watches."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._watches):
            writer.transport.abort()

    def tell(self, content: dict[str, Any]) -> int:
        """Add an event; returns its number."""
        self._last += 1
        self._events.append((self._last, json.dumps({"seq": self._last} | content)))
        self._changed.set()
        self._changed = asyncio.Event()
        return self._last

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._watches.add(writer)
        try:
            sent = 0
            while (line := (await reader.readline()).strip()) != b"":
                name, _, value = line.decode().partition(":")
                if name.lower() == "last-event-id":
                    sent = int(value)
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n: hello\n\n"
            )
            while True:
                changed = self._changed
                for number, data in self._events:
                    if number > sent:
                        writer.write(f"id: {number}\ndata: {data}\n\n".encode())
                        sent = number
                await writer.drain()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(changed.wait(), 1.0)
                    continue
                writer.write(b": still here\n\n")
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._watches.discard(writer)
            writer.close()


class Ask:
    """A request as an endpoint received it."""

    def __init__(self, ident: str, fields: dict[str, str], body: bytes, link: Link) -> None:
        self.ident = ident
        self.fields = fields
        self.body = body
        self.link = link
        self.received_s = time.time()
        self.is_over = False
        """Whether its answer was written, or it was given up."""
        self.was_given_up = False

    def answer(self, word: str, fields: str = "-", body: bytes = b"") -> None:
        """Write the answer, which ends the attempt."""
        self.is_over = True
        if self.link.open.get(self.ident) is self:
            del self.link.open[self.ident]
        self.link.write(f"{self.ident} {word} {fields} {len(body)}\r\n".encode() + body + b"\r\n")


class Link:
    """A connection from the router to an endpoint."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.writer = writer
        self.open: dict[str, Ask] = {}

    def write(self, data: bytes) -> None:
        """Write bytes, unless the connection has ended."""
        if not self.writer.is_closing():
            self.writer.write(data)


Handler = Callable[[Ask], Awaitable[None]]


class Endpoint:
    """A cache, a parent or the origin; ``handler`` answers each request in a task of its own."""

    def __init__(self, name: str, handler: Handler, record: Record) -> None:
        self.name = name
        self.port = 0
        self._handler = handler
        self._record = record
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.links: set[Link] = set()
        self.asks: list[Ask] = []
        """All requests received."""

    async def start(self, sock: socket.socket | None = None) -> None:
        """Listen, at ``sock`` if it is given."""
        if sock is None:
            self._server = await asyncio.start_server(self._serve, HOST, 0, limit=LINE_LIMIT)
        else:
            self._server = await asyncio.start_server(self._serve, sock=sock, limit=LINE_LIMIT)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for link in list(self.links):
            link.writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        link = Link(writer)
        self.links.add(link)
        try:
            while line := await reader.readline():
                words = line.decode().split()
                if words[0] == "ASK":
                    size = int(words[3])
                    body = (await reader.readexactly(size + 2))[:-2]
                    self._take(words[1], words[2], body, link)
                elif words[0] == "QUIT":
                    self._record.write(self.name, "got QUIT", words[1])
                    ask = link.open.pop(words[1], None)
                    if ask is not None and not ask.is_over:
                        ask.is_over = ask.was_given_up = True
                elif words[0] in ("NOOP", "INFO"):
                    link.write(f"{words[1]} well - 0\r\n\r\n".encode())
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            for ask in link.open.values():
                if not ask.is_over:
                    ask.is_over = ask.was_given_up = True
            self.links.discard(link)
            writer.close()

    def _take(self, ident: str, text: str, body: bytes, link: Link) -> None:
        fields = dict(item.split("=", 1) for item in text.split(",")) if text != "-" else {}
        ask = Ask(ident, fields, body, link)
        self.asks.append(ask)
        link.open[ident] = ask
        task = asyncio.ensure_future(self._handler(ask))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


class Answer:
    """A final answer as a client read it."""

    def __init__(self, code: int, fields: dict[str, str], body: bytes) -> None:
        self.code = code
        self.fields = fields
        self.body = body

    def __str__(self) -> str:
        return f"{CODE_NAMES.get(self.code, self.code)} of {len(self.body)} bytes {self.fields or ''}"


def encode_fields(fields: dict[str, str]) -> bytes:
    """Fields as they stand in a frame."""
    parts = [bytes([len(fields)])]
    for name, value in fields.items():
        raw = value.encode()
        parts.append(bytes([len(name)]) + name.encode() + struct.pack("<H", len(raw)) + raw)
    return b"".join(parts)


def decode_fields(payload: bytes) -> tuple[dict[str, str], bytes]:
    """The fields at the start of a payload, and what follows them."""
    fields = {}
    position = 1
    for _ in range(payload[0]):
        stop = position + 1 + payload[position]
        name = payload[position + 1 : stop].decode()
        (size,) = struct.unpack_from("<H", payload, stop)
        fields[name] = payload[stop + 2 : stop + 2 + size].decode()
        position = stop + 2 + size
    return fields, payload[position:]


def frame(kind: int, stream: int, payload: bytes = b"") -> bytes:
    """A frame of the clients' protocol."""
    return struct.pack("<IBI", 5 + len(payload), kind, stream) + payload


def request_frame(stream: int, fields: dict[str, str], body: bytes = b"") -> bytes:
    """A request."""
    return frame(1, stream, encode_fields(fields) + body)


def media(ident: str, key: str, part: int = 0, wait_ms: int = 5000, size_kb: float = 400.0) -> dict[str, str]:
    """The fields of a read."""
    return {
        "c": "media",
        "i": ident,
        "d": str(wait_ms),
        "o": key,
        "slice": str(part),
        "set": "17",
        "m": str(size_kb),
    }


def write(ident: str, key: str, wait_ms: int = 3000) -> dict[str, str]:
    """The fields of a write, which carries its idempotency key."""
    return {
        "c": "cart-save",
        "i": ident,
        "d": str(wait_ms),
        "k": f"{random.getrandbits(128):032x}",
        "o": key,
        "slice": "0",
        "set": "3",
        "m": "20",
    }


class ClientLink:
    """A client's connection, which keeps all answers to each of its streams."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, bytes_per_s: float = 0.0
    ) -> None:
        """``bytes_per_s`` is the pace at which the client reads; 0: as fast as it can."""
        self._reader = reader
        self._bytes_per_s = bytes_per_s
        self.writer = writer
        self.answers: dict[int, list[Answer]] = {}
        self.ready_codes: list[int] = []
        self.is_over = False
        self.ended_s = 0.0
        """When the connection ended, Unix time; 0 while it is open."""
        self.told_to_go = False
        self.changed = asyncio.Event()
        self.task = asyncio.ensure_future(self._read())

    def send(self, data: bytes) -> None:
        """Write bytes."""
        self.writer.write(data)

    def close(self) -> None:
        """End the connection."""
        self.task.cancel()
        self.writer.close()

    async def wait_for(self, condition: Callable[[], bool], timeout_s: float) -> bool:
        """Wait until the condition holds; returns whether it did in time."""
        stop = time.monotonic() + timeout_s
        while not condition():
            left = stop - time.monotonic()
            if left <= 0:
                return False
            self.changed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)
        return True

    async def _read(self) -> None:
        buffer = b""
        try:
            while data := await self._reader.read(CHUNK_BYTES):
                if self._bytes_per_s:
                    await asyncio.sleep(len(data) / self._bytes_per_s)
                buffer += data
                while len(buffer) >= 4:
                    (length,) = struct.unpack_from("<I", buffer)
                    if len(buffer) < 4 + length:
                        break
                    self._take(buffer[4], struct.unpack_from("<I", buffer, 5)[0], buffer[9 : 4 + length])
                    buffer = buffer[4 + length :]
                self.changed.set()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.is_over = True
            self.ended_s = time.time()
            self.changed.set()

    def _take(self, kind: int, stream: int, payload: bytes) -> None:
        if kind == 2:
            fields, body = decode_fields(payload[1:])
            self.answers.setdefault(stream, []).append(Answer(payload[0], fields, body))
        elif kind == 5:
            self.ready_codes.append(payload[0])
        elif kind == 6:
            self.told_to_go = True


async def connect(address: str, bytes_per_s: float = 0.0, receive_buffer: int = 0) -> ClientLink:
    """A client's connection to the router, read at this pace and with this receive buffer (0: no bound)."""
    host, port = address.split(":")
    sock = socket.socket()
    try:
        if receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    except OSError:
        sock.close()
        raise
    reader, writer = await asyncio.open_connection(sock=sock, limit=CHUNK_BYTES)
    return ClientLink(reader, writer, bytes_per_s)


class Router:
    """The router as the platform runs it: by the command of the deploy file, with its environment."""

    def __init__(self, config: dict[str, Any], record: Record) -> None:
        self.config = config
        self.address: str = config["listen"]
        self._record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.process: asyncio.subprocess.Process | None = None

    def write_config(self) -> None:
        """Write the configuration, in one step."""
        path = self.folder / "config.json"
        (self.folder / "config.new").write_text(json.dumps(self.config))
        (self.folder / "config.new").replace(path)

    async def start(self, within_s: float = READY_WITHIN_S) -> None:
        """Start it, and wait until it says that it is ready."""
        self.write_config()
        (self.folder / "tmp").mkdir(exist_ok=True)
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environment = dict(os.environ) | {
            "EDGE_NAME": self.config["name"],
            "EDGE_LISTEN": self.address,
            "EDGE_CONFIG": str(self.folder / "config.json"),
            "TMPDIR": str(self.folder / "tmp"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        environment.pop("EDGE_TRACE", None)
        with (self.folder / "log.txt").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        stop = time.monotonic() + within_s
        while not await self._is_ready():
            if self.process.returncode is not None or time.monotonic() > stop:
                raise CannotRunError(f"the router is not ready: {self.log()[-2000:]}")
            await asyncio.sleep(0.05)
        self._record.write("router is ready, process", self.pid)

    @property
    def pid(self) -> int:
        """Its process id."""
        assert self.process is not None
        return self.process.pid

    @property
    def has_ended(self) -> bool:
        """Whether the process has ended."""
        return self.process is None or self.process.returncode is not None

    def log(self) -> str:
        """What it wrote to its standard output and error."""
        path = self.folder / "log.txt"
        return path.read_text(errors="replace") if path.exists() else ""

    def signal(self, number: signal.Signals) -> None:
        """Send it a signal."""
        self._record.write("signal to the router:", number.name)
        os.kill(self.pid, number)

    async def stop(self) -> None:
        """Kill it, if it still runs, and remove its folder."""
        if self.process is not None and self.process.returncode is None:
            kill(self.pid)
            await self.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def _is_ready(self) -> bool:
        try:
            link = await connect(self.address)
        except OSError:
            return False
        try:
            link.send(frame(4, 1, encode_fields({})))
            return await link.wait_for(lambda: SERVED in link.ready_codes, 1.0)
        finally:
            link.close()


class Site:
    """The parts of a case: record, change log, endpoints and a router, all of which end with it."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.log = ChangeLog()
        self.endpoints: list[Endpoint] = []
        self.links: list[ClientLink] = []
        self.router: Router | None = None

    async def endpoint(self, name: str, handler: Handler) -> Endpoint:
        """A new endpoint that listens."""
        endpoint = Endpoint(name, handler, self.record)
        await endpoint.start()
        self.endpoints.append(endpoint)
        return endpoint

    async def start_router(self, config: dict[str, Any]) -> Router:
        """The router, ready."""
        self.router = Router(config, self.record)
        await self.router.start()
        return self.router

    async def client(self, bytes_per_s: float = 0.0, receive_buffer: int = 0) -> ClientLink:
        """A client's connection to the router."""
        assert self.router is not None
        link = await connect(self.router.address, bytes_per_s, receive_buffer)
        self.links.append(link)
        return link

    def forget(self, link: ClientLink) -> None:
        """End a client's connection."""
        self.links.remove(link)
        link.close()

    async def end(self) -> None:
        """End all parts."""
        for link in self.links:
            link.close()
        if self.router is not None:
            for line in self.router.log().splitlines()[-20:]:
                self.record.write("router's log:", line)
            await self.router.stop()
        for endpoint in self.endpoints:
            endpoint.close()
        self.log.close()
        self.record.close()


Case = Callable[[Site, bool], Awaitable[list[str]]]
"""Plays a case with or without its disruption; returns how the rule was broken, nothing where it held."""


async def _play(case: Case, folder: Path, has_trouble: bool) -> int:
    site = Site(Record(folder / "record.txt"))
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT):  # so that the router ends too
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    site.record.write("with the disruption" if has_trouble else "without the disruption")
    try:
        async with asyncio.timeout(CASE_WITHIN_S):
            await site.log.start()
            broken = await case(site, has_trouble)
        for line in broken:
            site.record.write("BROKEN:", line)
            print("broken:", line)
        site.record.write("the rule was broken" if broken else "the rule held")
        print("the rule was broken" if broken else "the rule held")
        return BROKEN if broken else HELD
    except (CannotRunError, OSError, TimeoutError, asyncio.CancelledError) as err:
        site.record.write("not run:", repr(err))
        print("not run:", repr(err))
        return NOT_RUN
    finally:
        await site.end()


def main(case: Case, folder: Path) -> None:
    """Play a case and exit with its result. ``TROUBLE=0`` leaves the disruption out."""
    try:
        code = asyncio.run(_play(case, folder, os.environ.get("TROUBLE", "1") != "0"))
    except Exception:
        traceback.print_exc()
        code = NOT_RUN
    sys.exit(code)
