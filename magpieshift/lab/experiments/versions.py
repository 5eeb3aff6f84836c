"""Experiment with versioned configuration: a control service sends a real router many versions, some of them
unusable. In between it breaks the connection and kills the router. The version that the router reports as in
force must always match what it has acknowledged.

Each hello and each answer contains the number of the version in force and, for each part of the router, a
digest of the settings that the part runs with. The experiment computes the expected digests from the
documents that it sent. If a part's digest differs, the version was applied only partly.
"""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import tempfile
import time
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import click

from magpieshift.control import sexp
from magpieshift.control.publisher import PublishedVersion, RouterSubscription
from magpieshift.control.schema import load_data
from magpieshift.control.service import ControlService, RouterStream
from magpieshift.control.wire import control_pb2 as wire
from magpieshift.lab.emulators.loopback_installation import LoopbackInstallation
from magpieshift.lab.emulators.request_generator import RequestGenerator
from magpieshift.lab.experiments.version_checks import VersionChecks
from magpieshift.lab.experiments.version_maker import VersionMaker
from magpieshift.lab.experiments.version_report import Report

WAIT_TIMEOUT_S = 20.0  # timeout for the router's hello, its answers and its exit
OVERSIZED_MESSAGE_BYTES = 64 << 20  # size in bytes of a message that exceeds the router's limit
ROUTER_COMMAND = (sys.executable, "-m", "magpieshift")
UNUSABLE_KIND_WEIGHTS = {  # weight in the random choice of each kind of message that must be rejected
    "version": 12,
    "digest": 1,
    "step back": 1,
    "other content": 1,
    "noise": 1,
    "truncated": 1,
    "empty": 1,
    "unknown base": 1,
}


@dataclass(frozen=True)
class Plan:
    """Parameters of a run. ``program`` is the router's command; tests replace it with a faulty router."""

    count: int = 1000  # versions to send
    invalid: float = 0.2  # share of unusable versions
    kills: int = 6
    breaks: int = 10  # of the connection to the control service
    rate: float = 20.0  # requests per second
    seed: int = 1
    program: Sequence[str] = ROUTER_COMMAND
    members: int = 2  # caches in the endpoint list; all but the first are in another zone and get no requests


class Experiment:
    """Runs the emulators, the control service and the router's process, and checks the router's versions."""

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self._random = random.Random(plan.seed)
        self.report = Report()
        self._service = ControlService()
        self._service.on_message = self._message_received
        self._checks = VersionChecks(self.report)
        self._process: asyncio.subprocess.Process | None = None
        self._router_killed = False
        self._stream: RouterStream | None = None  # the router's current stream, from its hello on
        self._hello = asyncio.Event()

    # --- messages from the router

    def _message_received(self, stream: RouterStream, data: bytes) -> None:
        message = wire.FromRouter.FromString(data)
        if message.WhichOneof("said") == "hello":
            newest = self._service.publisher.newest
            self._checks.hello_received(
                message.hello, stream.subscriber, newest.number if newest is not None else 0
            )
            self._stream = stream
            self._hello.set()
        else:
            self._checks.answer_received(message.answer, self._stream.subscriber if self._stream else None)

    # --- versions and faults

    async def _start_router(self, command: Sequence[str]) -> None:
        self._hello.clear()
        self._process = await asyncio.create_subprocess_exec(*command, stderr=self._log)
        await self._wait(self._hello, "hello from the router")
        self._router_killed = False

    async def _wait(self, event: asyncio.Event, what: str) -> None:
        try:
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                await event.wait()
        except TimeoutError:
            raise RuntimeError(
                f"found no {what} within {WAIT_TIMEOUT_S} s; versions without an answer, by nonce: "
                f"{self._checks.unanswered}"
            ) from None

    async def _kill_and_restart(self, command: Sequence[str]) -> None:
        assert self._process is not None
        self._router_killed = True
        self._process.send_signal(signal.SIGKILL)
        await self._process.wait()
        self.report.kills += 1
        self._stream = None
        await self._start_router(command)

    async def _break_stream(self) -> None:
        assert self._stream is not None
        self._hello.clear()
        stream = self._stream
        self._stream = None
        stream.end()
        self.report.breaks += 1
        await self._wait(self._hello, "new hello from the router")

    async def _wait_for_all_answers(self) -> None:
        while not self._checks.all_answered:
            self._checks.answered.clear()
            await self._wait(self._checks.answered, "answer from the router")

    def _send_usable(self, version: PublishedVersion) -> None:
        self._add_document(version)
        self._service.publish(version)
        if self._stream is not None:
            self._checks.await_answer(self._stream.subscriber, version.number, True)

    def _add_document(self, version: PublishedVersion) -> None:
        loaded = load_data(version.data or {})
        self._checks.add_document(version.number, replace(loaded, version=version.number))

    def _send_unusable(self, versions: VersionMaker) -> str:
        """Send a version or message that the router must reject. Returns what is wrong with it."""
        assert self._stream is not None
        publisher = self._service.publisher
        newest = self._service.publisher.newest
        kind = self._random.choices(list(UNUSABLE_KIND_WEIGHTS), list(UNUSABLE_KIND_WEIGHTS.values()))[0]
        if newest is None:
            kind = "version"
        if kind in ("noise", "truncated", "empty"):
            self._send_malformed(kind, newest or PublishedVersion.parse(1, "x"))
            return kind
        if kind == "unknown base":
            self._send_unknown_base(versions.usable())
            return kind
        if kind == "version":
            kind, version = versions.unusable()
        elif kind == "digest":
            versions.number += 1
            version = replace(
                PublishedVersion.parse(versions.number, sexp.format_document(versions.data)), digest="0" * 32
            )
        elif kind == "step back":
            version = PublishedVersion.parse(
                max(1, versions.number - 3), sexp.format_document(versions.data | {"tick-ms": 9})
            )
        else:
            assert newest is not None
            version = PublishedVersion.parse(
                newest.number, sexp.format_document(versions.data | {"tick-ms": 8})
            )
        # Sent in full: a delta would correct the digest, or be rejected for another reason than the intended.
        sender = RouterSubscription(digest="")
        self._stream.send(publisher.encode_version(sender, version, full=True))
        self._checks.await_answer(sender, version.number, False)
        return kind

    def _send_malformed(self, kind: str, version: PublishedVersion) -> None:
        """Send bytes that are not a valid message, or only part of one."""
        assert self._stream is not None
        stream = self._stream
        rand = self._random
        encoded = self._service.publisher.encode_version(replace(stream.subscriber), version, full=True)
        truncated = encoded[: rand.randrange(1, len(encoded) - 1)]
        stream.send(
            {"noise": b"\xff" + rand.randbytes(40), "truncated": truncated, "empty": b"\x12\x00"}[kind]
        )
        self._checks.malformed_unanswered += 1

    def _send_unknown_base(self, version: PublishedVersion) -> None:
        """Send a delta against a base that the router never had. It rejects the delta and requests the full
        version."""
        assert self._stream is not None
        subscriber = self._stream.subscriber
        publisher = self._service.publisher
        self._add_document(version)
        publisher.publish(version)
        message = wire.FromControl.FromString(publisher.encode_version(subscriber, version))
        message.version.ClearField("full")
        message.version.delta.base_digest = "f" * 32
        self._checks.await_answer(subscriber, version.number, True)
        self._stream.send(message.SerializeToString())

    async def _send_too_large(self) -> None:
        """Send a message above the router's size limit. This ends the stream; the next hello reports why."""
        assert self._stream is not None
        stream = self._stream
        message = wire.FromControl(version=wire.Version(number=1, full="x" * OVERSIZED_MESSAGE_BYTES))
        self._hello.clear()
        self._stream = None
        stream.send(message.SerializeToString())
        await self._wait(self._hello, "new hello from the router")
        if (new := self._stream) is not None and "RESOURCE_EXHAUSTED" not in new.subscriber.last_failure:
            self.report.findings.append(
                f"after a message of 64 MB the hello reports {new.subscriber.last_failure!r}, "
                "expected RESOURCE_EXHAUSTED"
            )

    async def run(self, folder: Path, progress: bool) -> Report:
        """Run the plan, with its files in ``folder``. ``progress`` shows a progress bar on standard error."""
        plan = self._plan
        rand = self._random
        started_s = time.monotonic()
        loopback = LoopbackInstallation()
        await loopback.start(plan.members)
        versions = VersionMaker(loopback.settings(), rand)
        settings_path = loopback.write_settings(folder)
        self._checks.add_document(0, load_data(versions.data))
        await self._service.start("127.0.0.1:0")
        command = [
            *plan.program,
            "run",
            "--config",
            str(settings_path),
            "--state",
            str(folder / "state"),
            "--control",
            f"127.0.0.1:{self._service.port}",
        ]
        generator = RequestGenerator(
            loopback.router_port, random.Random(plan.seed), lambda: not self._router_killed
        )
        load_task: asyncio.Task[None] | None = None
        faults = self._draw_faults()
        with (folder / "router.log").open("wb") as self._log, _progress_bar(plan.count, progress) as bar:
            try:
                await self._start_router(command)
                load_task = asyncio.ensure_future(
                    generator.run(plan.rate, lambda: list(versions.data["classes"]))
                )
                for number in range(plan.count):
                    await self._send_version(versions, faults.get(number, ""), command)
                    bar.update(1)
                await self._wait_for_all_answers()
                generator.stop_sending()
                await load_task
                await self._check_end()
            except RuntimeError as err:
                self.report.findings.append(str(err))
            finally:
                if load_task is not None:
                    load_task.cancel()
                if self._process is not None and self._process.returncode is None:
                    self._process.kill()
                    await self._process.wait()
                await self._service.stop()
                loopback.stop()
        report = self.report
        log_text = (folder / "router.log").read_text(errors="replace")
        if "Traceback" in log_text:
            report.findings.append(
                "the router's log contains a traceback: " + log_text[log_text.index("Traceback") :][:800]
            )
        report.requests = generator.sent
        report.lost_requests = generator.lost
        report.cut_requests = generator.interrupted
        report.double_answers = generator.duplicate_answers
        report.second_attempts = len(loopback.overlaps.overlapping)
        report.seconds = round(time.monotonic() - started_s, 1)
        return report

    def _draw_faults(self) -> dict[int, str]:
        """Draw which fault follows which version: kills and broken connections in random order.

        A run of 20 or more versions also gets one oversized message.
        """
        plan = self._plan
        kinds = ["kill"] * plan.kills + ["break"] * plan.breaks + ["large"] * (plan.count >= 20)
        self._random.shuffle(kinds)
        places = self._random.sample(range(1, max(2, plan.count)), min(len(kinds), max(0, plan.count - 1)))
        return dict(zip(sorted(places), kinds, strict=False))

    async def _send_version(self, versions: VersionMaker, fault: str, command: Sequence[str]) -> None:
        """Send one version, followed by its fault, if any.

        Some versions are sent while earlier ones are still unanswered.
        """
        rand = self._random
        if rand.random() > 0.15:
            await self._wait_for_all_answers()
        self.report.sent += 1
        if rand.random() < self._plan.invalid:
            kind = self._send_unusable(versions)
            self.report.unusable[kind] = self.report.unusable.get(kind, 0) + 1
        else:
            self._send_usable(versions.usable())
        if not fault:
            return
        # Short, so that the fault falls between the version's receipt and its answer.
        await asyncio.sleep(rand.choice([0.0, rand.uniform(0, 0.02)]))
        if fault == "kill":
            await self._kill_and_restart(command)
        elif fault == "break":
            await self._break_stream()
        else:
            await self._wait_for_all_answers()
            await self._send_too_large()

    async def _check_end(self) -> None:
        """Check that the newest version is in force, and that the router exits with code 0 on SIGTERM."""
        assert self._process is not None
        newest = self._service.publisher.newest
        if newest is not None and self._checks.acknowledged != newest.number:
            self._checks.record_mismatch(
                f"at the end of the run version {self._checks.acknowledged} is in force, "
                f"expected the newest, {newest.number}"
            )
        self._process.terminate()
        code = await asyncio.wait_for(self._process.wait(), WAIT_TIMEOUT_S)
        if code != 0:
            self.report.findings.append(f"the router exited with code {code}, expected 0")


class _HiddenProgressBar:
    def update(self, count: int) -> None: ...


@contextmanager
def _progress_bar(length: int, shown: bool) -> Iterator[Any]:
    if shown:
        with click.progressbar(length=length, label="versions", file=sys.stderr) as bar:
            yield bar
    else:
        yield _HiddenProgressBar()


async def play(plan: Plan, progress: bool = False) -> Report:
    """Run the experiment in a temporary folder."""
    with tempfile.TemporaryDirectory(prefix="magpieshift-lab-") as folder:
        return await Experiment(plan).run(Path(folder), progress)
