"""The experiment of versioned configuration: a control service sends a real router many versions, some
unusable, breaks the connection and kills the router in between; what the router says must always match what
was acknowledged.

Every hello and every answer carries the version that the router has in force and a digest of the figures that
each of its parts runs on. The experiment computes the same digests from the text it sent: a part on other
figures than the version in force says is half an application.
"""

from __future__ import annotations

import asyncio
import copy
import random
import signal
import sys
import tempfile
import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import click
from hdrh.histogram import HdrHistogram

from magpieshift.app import expected
from magpieshift.control import sexp
from magpieshift.control.ledger import PASSING, Reason
from magpieshift.control.publisher import Published, Subscriber
from magpieshift.control.schema import Loaded, load_data
from magpieshift.control.service import ControlService, Stream
from magpieshift.control.session import running_digests
from magpieshift.control.wire import control_pb2 as wire
from magpieshift.lab.standins import peers
from magpieshift.lab.standins.world import World

PATIENCE_S = 20.0
TOO_LARGE = 64 << 20
ROUTER = (sys.executable, "-m", "magpieshift")


@dataclass(frozen=True)
class Plan:
    """What is to be done. ``program`` starts the command line; tests put a broken one there."""

    count: int = 1000
    invalid: float = 0.2
    kills: int = 6
    breaks: int = 10
    rate: float = 20.0  # requests a second
    seed: int = 1
    program: Sequence[str] = ROUTER
    members: int = 2  # caches in the list; the others of a large one are never asked


@dataclass
class Report:
    """What was seen."""

    sent: int = 0
    accepted: int = 0
    rejected: int = 0
    unanswered: int = 0  # the answer went down with its connection; the next hello told what is in force
    kills: int = 0
    breaks: int = 0
    half_applied: int = 0
    mismatches: int = 0
    requests: int = 0
    lost_requests: int = 0
    cut_requests: int = 0  # open when the router was killed
    double_answers: int = 0
    second_attempts: int = 0
    seconds: float = 0.0
    unusable: dict[str, int] = field(default_factory=dict)
    findings: list[str] = field(default_factory=list)
    apply_us: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 60_000_000, 3))
    pause_us: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 60_000_000, 3))

    @property
    def good(self) -> bool:
        broken = self.half_applied or self.mismatches or self.lost_requests or self.double_answers
        return not (broken or self.second_attempts or self.findings) and self.accepted > 0

    def figures(self) -> dict[str, Any]:
        plain = {
            name: value
            for name, value in vars(self).items()
            if name not in ("findings", "apply_us", "pause_us")
        }
        for name, histogram in (("apply", self.apply_us), ("pause", self.pause_us)):
            for percent in (50, 99):
                value = histogram.get_value_at_percentile(percent) / 1000
                plain[f"{name}_ms_p{percent}"] = round(value, 3)
        return plain | {"findings": len(self.findings)}


class Versions:
    """Makes versions, usable and not, from a seed."""

    def __init__(self, data: dict[str, Any], rand: random.Random) -> None:
        self.data, self._random = data, rand
        self.number = 0

    def usable(self) -> Published:
        """The next version: some figures differ; classes, zones and load reports come and go."""
        rand, data = self._random, copy.deepcopy(self.data)
        classes, zones = data["classes"], data["zones"]
        what = rand.randrange(6)
        name = f"extra{rand.randrange(5)}"
        if what == 0:
            data["attempts"]["connect-timeout-ms"] = rand.randint(100, 900)
            data["limits"] = {"memory-mb": rand.randint(64, 128), "sockets": rand.randint(256, 900)}
        elif what == 1 and name in classes:
            del classes[name]
        elif what == 1:
            classes[name] = copy.deepcopy(classes[rand.choice(["picture", "basket"])])
        elif what == 2:
            cls = classes[rand.choice(list(classes))]
            cls["aim-ms"] = rand.randint(200, 900)
            cls["deadline-ms"] = rand.randint(1500, 4000)
        elif what == 3:
            data["connections"] = {"idle-ms": rand.randint(2000, 20000), "streams": rand.randint(4, 64)}
        elif what == 4:
            data["stores"]["report"] = rand.sample(["load_share", "concurrent", "depth", "tps"], 2)
        else:
            spare = f"spare{rand.randrange(3)}"
            if spare in zones:
                del zones[spare]
            else:
                zones[spare] = {"routers": 1}
                data["zones"] = dict(sorted(zones.items(), key=lambda _: rand.random()))  # numbered anew
        data["stores"]["answer-slack-ms"] = rand.randint(1, 10_000) / 1000  # no two versions alike
        self.number += 1 if rand.random() > 0.1 else rand.randint(2, 5)  # some leave numbers out
        self.data = data
        return Published.of(self.number, sexp.write(data))

    def unusable(self) -> tuple[str, Published]:
        """A version that must be turned down, and in what way."""
        ways: dict[str, Callable[[dict[str, Any]], None]] = {
            "unknown entry": lambda d: d.update(colour="red"),
            "wrong type": lambda d: d["limits"].update(sockets="many"),
            "out of range": lambda d: d["limits"].update({"memory-mb": -1}),
            "entry missing": lambda d: d.pop("kinds"),
            "no such zone": lambda d: d.update(zone="moon"),
            "not a number": lambda d: d["attempts"].update({"connect-timeout-ms": float("nan")}),
            "aim above deadline": lambda d: d["classes"]["picture"].update({"aim-ms": 99_000}),
            "binds at start": lambda d: d.update(listen="127.0.0.1:9"),
            "stores are listed there": lambda d: (d["zones"].pop("shop"), d.update(zone="hub")),  # type: ignore
            "another version's number inside": lambda d: d.update(version=self.number + 7),
        }
        texts = {"bracket open": "(magpieshift (name x)", "deep": "(magpieshift " + "(a " * 3000 + ")" * 3001}
        way = self._random.choice([*ways, *texts])
        self.number += 1
        if way in texts:
            return way, Published.of(self.number, texts[way])
        data = copy.deepcopy(self.data)
        ways[way](data)
        return way, Published.of(self.number, sexp.write(data))


class Experiment:
    """Owner of the stand-ins, the router's process, and what is known of its versions."""

    def __init__(self, plan: Plan) -> None:
        self._plan, self._random = plan, random.Random(plan.seed)
        self.report = Report()
        self._service = ControlService()
        self._service.heard = self._heard
        self._documents: dict[int, Loaded] = {}  # every usable version sent, and the start as 0
        self._acknowledged = 0
        self._process: asyncio.subprocess.Process | None = None
        self._killing = False
        self._stream: Stream | None = None  # the router's, once it has said hello
        self._hello = asyncio.Event()
        self._answered = asyncio.Event()
        self._open: dict[str, tuple[int, bool]] = {}  # nonce: number, and whether it is usable
        self._malformed_open = 0

    # --- what the router says

    def _heard(self, stream: Stream, data: bytes) -> None:
        message = wire.FromRouter.FromString(data)
        if message.WhichOneof("said") == "hello":
            self._settle_lost()
            self._check(message.hello.in_force, message.hello.digest, dict(message.hello.running), "hello")
            if (nonce := stream.subscriber.nonce) and message.hello.in_force != self._service_newest():
                self._open[nonce] = (stream.subscriber.sent, True)
            self._stream = stream
            self._hello.set()
        else:
            self._answer(message.answer)

    def _service_newest(self) -> int:
        newest = self._service.publisher.newest
        return newest.number if newest is not None else 0

    def _settle_lost(self) -> None:
        """A new stream: what was open on the old one will not be answered any more."""
        self.report.unanswered += len(self._open) + self._malformed_open
        self._open.clear()
        self._malformed_open = 0
        self._answered.set()

    def _answer(self, answer: wire.Answer) -> None:
        where = f"answer to {answer.number}"
        self._check(answer.in_force, answer.in_force_digest, dict(answer.running), where)
        if answer.number == 0:
            self.report.rejected += 1
            self._malformed_open = max(0, self._malformed_open - 1)
        else:
            number, usable = self._open.pop(answer.nonce, (0, None))
            reason = Reason(answer.reason)
            if answer.accepted:
                self.report.accepted += 1
                self._acknowledged = max(self._acknowledged, answer.in_force)
                if usable is not True or answer.in_force != number:
                    self._mismatch(f"{where}: accepted, in force {answer.in_force}, usable {usable}")
                if answer.apply_us:
                    self.report.apply_us.record_value(max(1, answer.apply_us))
                    self.report.pause_us.record_value(max(1, answer.pause_us))
            else:
                self.report.rejected += 1
                if usable and reason not in PASSING:
                    self._mismatch(
                        f"{where}: a usable version was turned down: {reason.name} {answer.detail}"
                    )
                if usable is False and reason in PASSING - {
                    Reason.PART,
                    Reason.WRONG_BASE,
                    Reason.SUPERSEDED,
                }:
                    self._mismatch(f"{where}: turned down for another reason: {reason.name} {answer.detail}")
        if answer.want_full and self._stream is not None and self._stream.subscriber.nonce:
            self._open[self._stream.subscriber.nonce] = (self._stream.subscriber.sent, True)
        self._answered.set()

    def _check(self, number: int, digest: str, running: dict[str, str], where: str) -> None:
        """The version in force is one that was sent, is not behind what was acknowledged, and is whole."""
        loaded = self._documents.get(number)
        if loaded is None or loaded.digest != digest:
            return self._mismatch(f"{where}: in force is {number} {digest[:8]}, which was never sent so")
        if number < self._acknowledged:
            self._mismatch(f"{where}: in force is {number}, acknowledged was {self._acknowledged}")
        self._acknowledged = max(self._acknowledged, number)
        wanted = running_digests(expected(loaded.document))
        wrong = sorted(part for part in wanted if running.get(part) != wanted[part])
        if wrong:
            self.report.half_applied += 1
            self.report.findings.append(f"{where}: version {number} is not what runs in {', '.join(wrong)}")
        return None

    def _mismatch(self, text: str) -> None:
        self.report.mismatches += 1
        self.report.findings.append(text)

    # --- what is done to it

    async def _start(self, command: Sequence[str]) -> None:
        self._hello.clear()
        self._process = await asyncio.create_subprocess_exec(*command, stderr=self._log)
        await self._wait(self._hello, "the router's hello")
        self._killing = False

    async def _wait(self, event: asyncio.Event, what: str) -> None:
        try:
            async with asyncio.timeout(PATIENCE_S):
                await event.wait()
        except TimeoutError:
            raise RuntimeError(f"waited {PATIENCE_S} s for {what}; open: {self._open}") from None

    async def _kill(self, command: Sequence[str]) -> None:
        assert self._process is not None
        self._killing = True
        self._process.send_signal(signal.SIGKILL)
        await self._process.wait()
        self.report.kills += 1
        self._stream = None
        await self._start(command)

    async def _break(self) -> None:
        assert self._stream is not None
        self._hello.clear()
        stream, self._stream = self._stream, None
        stream.end()
        self.report.breaks += 1
        await self._wait(self._hello, "the router's return")

    async def _all_answered(self) -> None:
        while self._open or self._malformed_open:
            self._answered.clear()
            await self._wait(self._answered, "an answer")

    def _send_usable(self, version: Published) -> None:
        self._documents[version.number] = replace(load_data(version.data or {}), version=version.number)
        for number in sorted(self._documents)[:-400]:  # nothing so old can be in force any more
            if number < self._acknowledged:
                del self._documents[number]
        self._service.publish(version)
        if self._stream is not None and (nonce := self._stream.subscriber.nonce):
            self._open[nonce] = (version.number, True)

    def _send_unusable(self, versions: Versions) -> str:
        """Send one that must be turned down; in what way."""
        assert self._stream is not None
        stream, rand = self._stream, self._random
        who, publisher = stream.subscriber, self._service.publisher
        way = rand.choices(
            [
                "version",
                "digest",
                "step back",
                "other content",
                "noise",
                "truncated",
                "empty",
                "unknown base",
            ],
            [12, 1, 1, 1, 1, 1, 1, 1],
        )[0]
        newest = publisher.newest
        if newest is None:
            way = "version"
        if way in ("noise", "truncated", "empty"):
            whole = publisher.send(replace(who), newest or Published.of(1, "x"), whole=True)
            cut = whole[: rand.randrange(1, len(whole) - 1)]
            stream.send({"noise": b"\xff" + rand.randbytes(40), "truncated": cut, "empty": b"\x12\x00"}[way])
            self._malformed_open += 1
            return way
        if way == "version":
            way, version = versions.unusable()
        elif way == "digest":
            versions.number += 1
            version = replace(Published.of(versions.number, sexp.write(versions.data)), digest="0" * 32)
        elif way == "step back":
            version = Published.of(max(1, versions.number - 3), sexp.write(versions.data | {"tick-ms": 9}))
        elif way == "other content":
            assert newest is not None
            version = Published.of(newest.number, sexp.write(versions.data | {"tick-ms": 8}))
        else:  # a delta against what the router never had: turned down, and then sent whole
            version = versions.usable()
            self._documents[version.number] = replace(load_data(version.data or {}), version=version.number)
            publisher.publish(version)
            message = wire.FromControl.FromString(publisher.send(who, version))
            message.version.ClearField("full")
            message.version.delta.base_digest = "f" * 32
            self._open[who.nonce] = (version.number, True)
            stream.send(message.SerializeToString())
            return way
        # a delta would repair the digest or fail otherwise; the way is meant to be the reason
        sender = Subscriber(digest="")
        stream.send(publisher.send(sender, version, whole=True))
        self._open[sender.nonce] = (version.number, False)
        return way

    async def _send_too_large(self) -> None:
        """A message over the router's bound ends the stream; the next hello tells why."""
        assert self._stream is not None
        stream = self._stream
        message = wire.FromControl(version=wire.Version(number=1, full="x" * TOO_LARGE))
        self._hello.clear()
        self._stream = None
        stream.send(message.SerializeToString())
        await self._wait(self._hello, "the router's return")
        if (found := self._stream) is not None and "RESOURCE_EXHAUSTED" not in found.subscriber.trouble:
            self.report.findings.append(f"a message of 64 MB: {found.subscriber.trouble!r}")

    async def run(self, folder: Path, progress: bool) -> Report:
        plan, rand, began = self._plan, self._random, time.monotonic()
        world = World()
        await world.start(plan.members)
        versions = Versions(world.settings(), rand)
        start = world.write_settings(folder)
        self._documents[0] = load_data(versions.data)
        await self._service.start("127.0.0.1:0")
        command = [
            *plan.program, "run", "--config", str(start), "--state", str(folder / "state"),
            "--control", f"127.0.0.1:{self._service.port}",
        ]  # fmt: skip
        client = peers.Client(world.port, random.Random(plan.seed), lambda: not self._killing)
        loading: asyncio.Task[None] | None = None
        events = self._schedule()
        with (folder / "router.log").open("wb") as self._log, _bar(plan.count, progress) as bar:
            try:
                await self._start(command)
                loading = asyncio.ensure_future(client.run(plan.rate, lambda: list(versions.data["classes"])))
                for number in range(plan.count):
                    await self._one(versions, events.get(number, ""), command)
                    bar.update(1)
                await self._all_answered()
                client.settle()
                await loading
                await self._end()
            except RuntimeError as err:
                self.report.findings.append(str(err))
            finally:
                if loading is not None:
                    loading.cancel()
                if self._process is not None and self._process.returncode is None:
                    self._process.kill()
                    await self._process.wait()
                await self._service.stop()
                world.stop()
        report = self.report
        written = (folder / "router.log").read_text(errors="replace")
        if "Traceback" in written:
            report.findings.append(
                "the router's log has a traceback: " + written[written.index("Traceback") :][:800]
            )
        report.requests, report.lost_requests, report.cut_requests = client.sent, client.lost, client.cut
        report.double_answers, report.second_attempts = client.doubles, len(world.watch.twice)
        report.seconds = round(time.monotonic() - began, 1)
        return report

    def _schedule(self) -> dict[int, str]:
        """At which versions something breaks: kills and breaks in turn, and once a message that is too
        large."""
        plan = self._plan
        kinds = ["kill"] * plan.kills + ["break"] * plan.breaks + ["large"] * (plan.count >= 20)
        self._random.shuffle(kinds)
        places = self._random.sample(range(1, max(2, plan.count)), min(len(kinds), max(0, plan.count - 1)))
        return dict(zip(sorted(places), kinds, strict=False))

    async def _one(self, versions: Versions, event: str, command: Sequence[str]) -> None:
        """One version, with what happens about it; some are sent while others are still open."""
        rand = self._random
        if rand.random() > 0.15:
            await self._all_answered()
        self.report.sent += 1
        if rand.random() < self._plan.invalid:
            way = self._send_unusable(versions)
            self.report.unusable[way] = self.report.unusable.get(way, 0) + 1
        else:
            self._send_usable(versions.usable())
        if not event:
            return
        await asyncio.sleep(rand.choice([0.0, rand.uniform(0, 0.02)]))  # somewhere between receipt and answer
        if event == "kill":
            await self._kill(command)
        elif event == "break":
            await self._break()
        else:
            await self._all_answered()
            await self._send_too_large()

    async def _end(self) -> None:
        """The last version is in force, and a planned end is one."""
        assert self._process is not None
        newest = self._service.publisher.newest
        if newest is not None and self._acknowledged != newest.number:
            self._mismatch(f"at the end {self._acknowledged} is in force, the newest is {newest.number}")
        self._process.terminate()
        code = await asyncio.wait_for(self._process.wait(), PATIENCE_S)
        if code != 0:
            self.report.findings.append(f"the router ended with {code}")


class _Bar:
    def update(self, count: int) -> None: ...


@contextmanager
def _bar(length: int, shown: bool) -> Iterator[Any]:
    if shown:
        with click.progressbar(length=length, label="versions", file=sys.stderr) as bar:
            yield bar
    else:
        yield _Bar()


async def play(plan: Plan, progress: bool = False) -> Report:
    """Carry out the experiment in a folder of its own."""
    with tempfile.TemporaryDirectory(prefix="magpieshift-lab-") as folder:
        return await Experiment(plan).run(Path(folder), progress)
