"""Control service: the cost of a version by the number of followers, and the cost of scanning the version
folder by the number of versions in it."""

from __future__ import annotations

import asyncio
import contextlib
import tempfile
from collections.abc import Callable, Iterable, Sequence
from functools import partial
from pathlib import Path

import grpc
import grpc.aio

from magpieshift.control import sexp
from magpieshift.control.grpc_channel import CHANNEL_OPTIONS as CLIENT_OPTIONS
from magpieshift.control.grpc_channel import FOLLOW_METHOD
from magpieshift.control.publisher import PublishedVersion, read_version_folder
from magpieshift.control.router_session import RouterSession
from magpieshift.control.version_records import OfferOutcome, VersionOffer, VersionRecord, VersionState
from magpieshift.lab.capacity import fleet
from magpieshift.lab.capacity.documents import settings, with_change
from magpieshift.lab.capacity.listening_process import ListeningProcess, listening_process
from magpieshift.lab.capacity.processor import count_processor_time, processor_s, resident_mb
from magpieshift.lab.capacity.role import Budget, Resource, Sample

MEASURED_VERSIONS = 2  # versions published in one measurement
IN_FORCE_TIMEOUT_S = 30.0  # timeout for a version to be in force at all followers
# numbers of versions in the folder; the largest is that of one day
FOLDER_SIZES = (312.0, 625.0, 1250.0, 2500.0, 5000.0, 10_000.0, 20_000.0)
IN_FORCE_BUDGET = Budget(
    1e3 * fleet.VERSION_IN_FORCE_S / 2, "half of the 4 s within which a version is in force"
)


class Follower:
    """The router's side of the control channel; it accepts every version at once."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.bytes_received = 0  # total size of the received messages
        self.in_force = VersionRecord(0, "", "lab", VersionState.IN_FORCE, 0)
        self.version_changed = asyncio.Event()

    async def follow(self, port: int) -> None:
        """Follow the control service at this port until cancelled."""
        session = RouterSession()
        async with grpc.aio.insecure_channel(f"127.0.0.1:{port}", options=CLIENT_OPTIONS) as channel:
            call = channel.stream_stream(FOLLOW_METHOD)()
            await call.write(session.encode_hello(self.name, "lab", self.in_force, {}))
            while (data := await call.read()) is not grpc.aio.EOF:
                self.bytes_received += len(data)
                offer = session.receive(data)
                if not isinstance(offer, VersionOffer):
                    raise RuntimeError(f"unusable message from the control service: {offer.detail}")
                self.in_force = VersionRecord(offer.number, offer.digest, "lab", VersionState.IN_FORCE, 0)
                await call.write(session.encode_answer(OfferOutcome(offer, True), self.in_force, {}))
                self.version_changed.set()

    async def wait_for_version(self, number: int) -> None:
        """Wait until this version or a newer one is in force."""
        while self.in_force.number < number:
            self.version_changed.clear()
            if self.in_force.number < number:
                await self.version_changed.wait()


def write_version(folder: Path, number: int, zones: int = fleet.ZONES) -> None:
    """Write a version to the folder. The file is renamed once complete, so that the service never reads a
    part."""
    partial_file = folder / f"{number}.part"
    partial_file.write_text(sexp.format_document(with_change(settings(zones), number)))
    partial_file.rename(folder / f"{number}.sexp")


def control_service_process(folder: str) -> contextlib.AbstractAsyncContextManager[ListeningProcess]:
    """Run ``magpieshift control serve`` on a folder of versions."""
    return listening_process("the control service", "control", "serve", folder)


class ControlService:
    """The cost of one version by the number of followers, with few versions in the folder."""

    name = "control service: followers"
    quantity = "followers"
    target = float(fleet.ROUTERS_PER_MACHINE)
    sizes = (15.0, 30.0, 60.0, 120.0, 240.0)
    quick_sizes = (8.0, 15.0, 30.0, 60.0)
    repeats = 2
    simulated = False
    resources = (
        Resource("processor", "ms a version", IN_FORCE_BUDGET),
        Resource("processor in all", "% of a core", Budget(50.0, "half of the core of one Python process")),
        Resource("bytes", "bytes a version"),
        Resource("resident memory", "MB of the whole process"),
    )

    def measure(self, size: float, seed: int, duration_s: float) -> Sample:
        """Publish versions to ``size`` followers of a started service."""
        return asyncio.run(self._measure(int(size), duration_s))

    async def _measure(self, count: int, duration_s: float) -> Sample:
        with tempfile.TemporaryDirectory(prefix="magpieshift-lab-") as name:
            folder = Path(name)
            write_version(folder, 1)
            async with control_service_process(name) as service:
                followers = [Follower(f"router-{number}") for number in range(count)]
                tasks = [asyncio.ensure_future(follower.follow(service.port)) for follower in followers]
                try:
                    await self._wait_for_version(followers, 1)
                    idle_cores = await self._idle_cores(service.pid, duration_s)
                    spent = processor_s(service.pid)
                    bytes_received = sum(f.bytes_received for f in followers)
                    for number in range(2, 2 + MEASURED_VERSIONS):
                        write_version(folder, number)
                        await self._wait_for_version(followers, number)
                    version_s = (processor_s(service.pid) - spent) / MEASURED_VERSIONS
                    bytes_each = (
                        sum(f.bytes_received for f in followers) - bytes_received
                    ) / MEASURED_VERSIONS
                    memory = resident_mb(service.pid)
                finally:
                    for task in tasks:
                        task.cancel()
                    await asyncio.gather(*tasks, return_exceptions=True)
        return Sample(
            count,
            {
                "processor": 1e3 * version_s,
                "processor in all": 100 * (idle_cores + version_s * fleet.VERSIONS_PER_S),
                "bytes": bytes_each,
                "resident memory": memory,
            },
        )

    @staticmethod
    async def _wait_for_version(followers: Sequence[Follower], number: int) -> None:
        async with asyncio.timeout(IN_FORCE_TIMEOUT_S):
            await asyncio.gather(*(follower.wait_for_version(number) for follower in followers))

    @staticmethod
    async def _idle_cores(pid: int, duration_s: float) -> float:
        """Processor seconds a second while no version is published."""
        before = processor_s(pid)
        await asyncio.sleep(duration_s)
        return (processor_s(pid) - before) / duration_s


class VersionFolderScan:
    """The first scan of the version folder after the service starts, which reads all versions."""

    name = "control service: versions kept"
    quantity = "versions in the folder"
    target = float(fleet.VERSIONS_PER_DAY)
    sizes = (20.0, 40.0, 80.0, 160.0, 320.0)
    quick_sizes = (10.0, 20.0, 40.0, 80.0)
    repeats = 2
    simulated = False
    resources = (Resource("processor", "ms a look", IN_FORCE_BUDGET),)

    def measure(self, size: float, seed: int, duration_s: float) -> Sample:
        """Read a folder of ``size`` versions once."""
        with tempfile.TemporaryDirectory(prefix="magpieshift-lab-") as name:
            text = sexp.format_document(settings(fleet.ZONES))
            for number in range(int(size)):
                (Path(name) / f"{number}.sexp").write_text(text)
            with count_processor_time() as spent:
                read_version_folder(name)
        return Sample(size, {"processor": 1e3 * spent.seconds})


class _FolderScan:
    """One scan of the version folder by a reader that needs none of the versions."""

    quantity = "versions in the folder"
    target = float(fleet.VERSIONS_PER_DAY)
    sizes = FOLDER_SIZES
    quick_sizes = (78.0, 156.0, 312.0, 625.0)
    repeats = 1
    simulated = False
    resources = (Resource("processor", "ms a look", IN_FORCE_BUDGET),)

    @staticmethod
    def _scan(numbers: set[int], folder: str) -> Sequence[PublishedVersion]:
        raise NotImplementedError

    def measure(self, size: float, seed: int, duration_s: float) -> Sample:
        """Scan a folder of ``size`` versions once."""
        numbers = set(range(int(size)))
        return Sample(size, {"processor": 1e3 * _scan_s(numbers, partial(self._scan, numbers))})


class KnownVersionsScan(_FolderScan):
    """One scan by the control service after it has read all versions."""

    name = "control service: look at known versions"

    @staticmethod
    def _scan(numbers: set[int], folder: str) -> Sequence[PublishedVersion]:
        return read_version_folder(folder, known=numbers)


class SourceScan(_FolderScan):
    """One scan by the fan-out tier's source after it has forwarded the newest version."""

    name = "control service: look of a source"

    @staticmethod
    def _scan(numbers: set[int], folder: str) -> Sequence[PublishedVersion]:
        return read_version_folder(folder, above=max(numbers))


def _scan_s(numbers: Iterable[int], scan: Callable[[str], Sequence[PublishedVersion]]) -> float:
    """Processor seconds of a folder scan that reads no version; ``RuntimeError`` if it reads one."""
    with tempfile.TemporaryDirectory(prefix="magpieshift-lab-") as name:
        for number in numbers:
            (Path(name) / f"{number}.sexp").touch()
        with count_processor_time() as spent:
            found = scan(name)
    if found:
        raise RuntimeError(f"{len(found)} versions were read, expected none")
    return spent.seconds
