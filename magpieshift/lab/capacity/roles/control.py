"""Control service: what a version costs it by its followers, and what versions kept in its folder cost."""

from __future__ import annotations

import asyncio
import contextlib
import re
import sys
import tempfile
from collections.abc import AsyncIterator, Callable, Iterable, Sequence
from functools import partial
from pathlib import Path

import grpc
import grpc.aio

from magpieshift.control import sexp
from magpieshift.control.grpc_channel import CHANNEL_OPTIONS as CLIENT_OPTIONS
from magpieshift.control.grpc_channel import FOLLOW_METHOD
from magpieshift.control.publisher import PublishedVersion, read_version_folder
from magpieshift.control.session import RouterSession
from magpieshift.control.version_records import OfferOutcome, VersionOffer, VersionRecord, VersionState
from magpieshift.lab.capacity import fleet
from magpieshift.lab.capacity.documents import changed, settings
from magpieshift.lab.capacity.processor import processor_s, resident_mb, spending
from magpieshift.lab.capacity.role import Budget, Resource, Sample

VERSIONS = 2
WITHIN_S = 30.0
PORT = re.compile(r"\bport=(\d+)")
MANY_VERSIONS = (312.0, 625.0, 1250.0, 2500.0, 5000.0, 10_000.0, 20_000.0)
IN_FORCE = Budget(1e3 * fleet.VERSION_IN_FORCE_S / 2, "half of the 4 s within which a version is in force")


class Follower:
    """A router's end of the channel, as its session speaks it: takes every version and says so."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.received = 0  # bytes, of messages
        self.in_force = VersionRecord(0, "", "lab", VersionState.IN_FORCE, 0)
        self.changed = asyncio.Event()

    async def follow(self, port: int) -> None:
        """Follow until cancelled."""
        session = RouterSession()
        async with grpc.aio.insecure_channel(f"127.0.0.1:{port}", options=CLIENT_OPTIONS) as channel:
            call = channel.stream_stream(FOLLOW_METHOD)()
            await call.write(session.encode_hello(self.name, "lab", self.in_force, {}))
            while (data := await call.read()) is not grpc.aio.EOF:
                self.received += len(data)
                offer = session.receive(data)
                if not isinstance(offer, VersionOffer):
                    raise RuntimeError(f"found {offer.detail}, expected a version")
                self.in_force = VersionRecord(offer.number, offer.digest, "lab", VersionState.IN_FORCE, 0)
                await call.write(session.encode_answer(OfferOutcome(offer, True), self.in_force, {}))
                self.changed.set()

    async def has(self, number: int) -> None:
        """Wait until this version is in force here."""
        while self.in_force.number < number:
            self.changed.clear()
            if self.in_force.number < number:
                await self.changed.wait()


def write_version(folder: Path, number: int, zones: int = fleet.ZONES) -> None:
    """A version for the service to find, complete at once under its name."""
    part = folder / f"{number}.part"
    part.write_text(sexp.format_document(changed(settings(zones), number)))
    part.rename(folder / f"{number}.sexp")


@contextlib.asynccontextmanager
async def served(folder: str) -> AsyncIterator[tuple[int, int]]:
    """``magpieshift control serve`` on a folder: its process and port."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "magpieshift",
        "control",
        "serve",
        folder,
        "--listen",
        "127.0.0.1:0",
        stderr=asyncio.subprocess.PIPE,
    )
    assert process.stderr is not None
    try:
        async with asyncio.timeout(WITHIN_S):
            port = await _port(process.stderr)
        reading = asyncio.ensure_future(process.stderr.read())  # or it would wait for its log's reader
        yield process.pid, port
    finally:
        process.kill()
        await process.wait()
    await reading


async def _port(log: asyncio.StreamReader) -> int:
    """The port that the service says it listens at; ``RuntimeError`` where it ends before."""
    lines = []
    while line := (await log.readline()).decode():
        lines.append(line)
        if found := PORT.search(line):
            return int(found[1])
    raise RuntimeError(f"the control service did not come up: {''.join(lines)[-500:]}")


class ControlService:
    """One version for so many followers; the folder holds few versions."""

    name = "control service: followers"
    by = "followers"
    target = float(fleet.ROUTERS_PER_MACHINE)
    sizes = (15.0, 30.0, 60.0, 120.0, 240.0)
    quick_sizes = (8.0, 15.0, 30.0, 60.0)
    repeats = 2
    simulated = False
    resources = (
        Resource("processor", "ms a version", IN_FORCE),
        Resource("processor in all", "% of a core", Budget(50.0, "half of the core of one Python process")),
        Resource("bytes", "bytes a version"),
        Resource("resident memory", "MB of the whole process"),
    )

    def measure(self, size: float, seed: int, for_s: float) -> Sample:
        return asyncio.run(self._measure(int(size), for_s))

    async def _measure(self, count: int, for_s: float) -> Sample:
        with tempfile.TemporaryDirectory(prefix="magpieshift-lab-") as name:
            folder = Path(name)
            write_version(folder, 1)
            async with served(name) as (pid, port):
                followers = [Follower(f"router-{number}") for number in range(count)]
                tasks = [asyncio.ensure_future(follower.follow(port)) for follower in followers]
                try:
                    await self._all_have(followers, 1)
                    idle_s = await self._idle(pid, for_s)
                    spent = processor_s(pid)
                    received = sum(f.received for f in followers)
                    for number in range(2, 2 + VERSIONS):
                        write_version(folder, number)
                        await self._all_have(followers, number)
                    each_s = (processor_s(pid) - spent) / VERSIONS
                    bytes_each = (sum(f.received for f in followers) - received) / VERSIONS
                    memory = resident_mb(pid)
                finally:
                    for task in tasks:
                        task.cancel()
                    await asyncio.gather(*tasks, return_exceptions=True)
        return Sample(
            count,
            {
                "processor": 1e3 * each_s,
                "processor in all": 100 * (idle_s + each_s * fleet.VERSIONS_PER_S),
                "bytes": bytes_each,
                "resident memory": memory,
            },
        )

    @staticmethod
    async def _all_have(followers: Sequence[Follower], number: int) -> None:
        async with asyncio.timeout(WITHIN_S):
            await asyncio.gather(*(follower.has(number) for follower in followers))

    @staticmethod
    async def _idle(pid: int, for_s: float) -> float:
        """Processor seconds a second with nothing to tell."""
        before = processor_s(pid)
        await asyncio.sleep(for_s)
        return (processor_s(pid) - before) / for_s


class VersionsKept:
    """One look of the service at a folder with so many versions that it does not know: the first after a
    start."""

    name = "control service: versions kept"
    by = "versions in the folder"
    target = float(fleet.VERSIONS_PER_DAY)
    sizes = (20.0, 40.0, 80.0, 160.0, 320.0)
    quick_sizes = (10.0, 20.0, 40.0, 80.0)
    repeats = 2
    simulated = False
    resources = (Resource("processor", "ms a look", IN_FORCE),)

    def measure(self, size: float, seed: int, for_s: float) -> Sample:
        with tempfile.TemporaryDirectory(prefix="magpieshift-lab-") as name:
            text = sexp.format_document(settings(fleet.ZONES))
            for number in range(int(size)):
                (Path(name) / f"{number}.sexp").write_text(text)
            with spending() as spent:
                read_version_folder(name)
        return Sample(size, {"processor": 1e3 * spent.seconds})


class KnownLook:
    """One look of the service at such a folder, all of which it has read."""

    name = "control service: look at known versions"
    by = "versions in the folder"
    target = float(fleet.VERSIONS_PER_DAY)
    sizes = MANY_VERSIONS
    quick_sizes = (78.0, 156.0, 312.0, 625.0)
    repeats = 1
    simulated = False
    resources = (Resource("processor", "ms a look", IN_FORCE),)

    def measure(self, size: float, seed: int, for_s: float) -> Sample:
        numbers = set(range(int(size)))
        return Sample(
            size, {"processor": 1e3 * _look_s(numbers, partial(read_version_folder, known=numbers))}
        )


class SourceLook:
    """One look of the fan-out tier's source at such a folder, of which it has passed on the newest."""

    name = "control service: look of a source"
    by = "versions in the folder"
    target = float(fleet.VERSIONS_PER_DAY)
    sizes = MANY_VERSIONS
    quick_sizes = (78.0, 156.0, 312.0, 625.0)
    repeats = 1
    simulated = False
    resources = (Resource("processor", "ms a look", IN_FORCE),)

    def measure(self, size: float, seed: int, for_s: float) -> Sample:
        numbers = set(range(int(size)))
        return Sample(
            size, {"processor": 1e3 * _look_s(numbers, partial(read_version_folder, above=max(numbers)))}
        )


def _look_s(numbers: Iterable[int], look: Callable[[str], Sequence[PublishedVersion]]) -> float:
    """Processor seconds of a look that reads none of a folder's versions."""
    with tempfile.TemporaryDirectory(prefix="magpieshift-lab-") as name:
        for number in numbers:
            (Path(name) / f"{number}.sexp").touch()
        with spending() as spent:
            found = look(name)
    if found:
        raise RuntimeError(f"{len(found)} versions were read, expected none")
    return spent.seconds
