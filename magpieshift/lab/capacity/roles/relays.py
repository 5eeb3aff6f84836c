"""The fan-out tier: what source and relays cost by their followers, and a router behind a relay by purges."""

from __future__ import annotations

import asyncio
import contextlib
import random
import re
import sys
import time
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass

import grpc
import grpc.aio

from magpieshift import clock
from magpieshift.control.grpc_channel import FOLLOW_METHOD
from magpieshift.lab.capacity import fleet
from magpieshift.lab.capacity.processor import processor_s, resident_mb
from magpieshift.lab.capacity.role import Budget, Resource, Sample
from magpieshift.lab.capacity.roles.changelog import HALF_CORE, NETWORK, log_process
from magpieshift.lab.capacity.roles.purges import MEMORY, PROCESSOR, RESIDENT, remember, tell
from magpieshift.lab.capacity.routers import HERE, CountedWorld, come_up
from magpieshift.relay.connection import CHANNEL_OPTIONS
from magpieshift.relay.decoding import decode_downstream
from magpieshift.relay.encoding import encode_upstream
from magpieshift.relay.follower import Follower
from magpieshift.relay.instructions import ApplyEntries, EndStream, RestoreSnapshot

WITHIN_S = 30.0
SETTLE_S = 1.0
REGION = "lab"
PORT = re.compile(r"\bport=(\d+)")
ALL_CONTROL = Budget(fleet.CONTROL_BYTES_PER_S, "all of control on a router")


class LightFollower:
    """The state machine of a follower on a bare stream: it applies everything at once, and counts bytes."""

    def __init__(self, name: str) -> None:
        self._machine = Follower(name, "lab")
        self.received = 0
        self.sent = 0
        self.current = asyncio.Event()

    async def follow(self, port: int) -> None:
        """Follow the relay or source at this port until cancelled; ``RuntimeError`` where it ends the
        stream."""
        async with grpc.aio.insecure_channel(f"127.0.0.1:{port}", options=CHANNEL_OPTIONS) as channel:
            call = channel.stream_stream(FOLLOW_METHOD)()
            await self._write(call, encode_upstream(self._machine.connect(clock.source.steady_us())))
            telling = asyncio.ensure_future(self._tell(call))
            try:
                while (data := await call.read()) is not grpc.aio.EOF:
                    self._take(bytes(data))
                raise RuntimeError(f"the stream has ended: {await call.details()}")
            finally:
                telling.cancel()

    def _take(self, data: bytes) -> None:
        self.received += len(data)
        now_us = clock.source.steady_us()
        for effect in self._machine.receive(decode_downstream(data), now_us):
            match effect:
                case ApplyEntries():
                    self._machine.acknowledge_applied(effect.epoch, effect.last)
                case RestoreSnapshot(snapshot=snapshot):
                    self._machine.acknowledge_applied(snapshot.epoch, snapshot.applied)
                case EndStream():
                    raise RuntimeError(f"a follower ends its stream: {effect.reason.value} {effect.detail}")
        if self._machine.lease_from_stream:
            self.current.set()

    async def _tell(self, call: grpc.aio.StreamStreamCall) -> None:
        while True:
            now_us = clock.source.steady_us()
            if (progress := self._machine.progress(now_us)) is not None:
                await self._write(call, encode_upstream(progress))
            await asyncio.sleep(
                max(0.01, (self._machine.next_progress_us() - clock.source.steady_us()) / 1e6)
            )

    async def _write(self, call: grpc.aio.StreamStreamCall, data: bytes) -> None:
        self.sent += len(data)
        await call.write(data)


@dataclass(frozen=True, slots=True)
class Node:
    """A started source or relay."""

    pid: int
    port: int


@contextlib.asynccontextmanager
async def node(*words: str) -> AsyncIterator[Node]:
    """``magpieshift relay`` with these words, at a free port; ``RuntimeError`` where it does not come up."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "magpieshift",
        "relay",
        *words,
        "--listen",
        "127.0.0.1:0",
        stderr=asyncio.subprocess.PIPE,
    )
    assert process.stderr is not None
    reading: asyncio.Future[bytes] | None = None
    try:
        async with asyncio.timeout(WITHIN_S):
            port = await _ready_port(process.stderr)
        reading = asyncio.ensure_future(process.stderr.read())  # or it would wait for its log's reader
        yield Node(process.pid, port)
    finally:
        process.kill()
        await process.wait()
        if reading is not None:
            await reading


async def _ready_port(log: asyncio.StreamReader) -> int:
    lines = []
    while line := (await log.readline()).decode():
        lines.append(line)
        if "event=ready" in line and (found := PORT.search(line)):
            return int(found[1])
    raise RuntimeError(f"a relay did not come up: {''.join(lines)[-500:]}")


def source_words(change_log_port: int) -> tuple[str, ...]:
    """The command of a source of this change log."""
    return "source", "--changelog", f"127.0.0.1:{change_log_port}"


def relay_words(source: Node) -> tuple[str, ...]:
    """The command of a relay of this source."""
    return "serve", "--source", f"127.0.0.1:{source.port}", "--name", "n1", "--region", REGION


@contextlib.asynccontextmanager
async def following(port: int, count: int) -> AsyncIterator[Sequence[LightFollower]]:
    """So many followers, all current."""
    followers = [LightFollower(f"follower-{number}") for number in range(count)]
    tasks = [asyncio.ensure_future(follower.follow(port)) for follower in followers]
    try:
        async with asyncio.timeout(WITHIN_S):
            await asyncio.gather(*(follower.current.wait() for follower in followers))
        await asyncio.sleep(SETTLE_S)
        yield followers
        for task in tasks:
            if task.done():
                task.result()  # a stream that ended makes the measurement void
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def cost_of_followers(measured: Node, count: int, for_s: float) -> Sample:
    """What a node spends on followers, at the rate at which its log tells."""
    async with following(measured.port, count) as followers:
        spent = processor_s(measured.pid)
        begun = time.monotonic()
        received = sum(follower.received for follower in followers)
        sent = sum(follower.sent for follower in followers)
        await asyncio.sleep(for_s)
        took_s = time.monotonic() - begun
        spent = processor_s(measured.pid) - spent
        received = sum(follower.received for follower in followers) - received
        sent = sum(follower.sent for follower in followers) - sent
        memory = resident_mb(measured.pid)
    return Sample(
        count,
        {
            "processor": 100 * spent / took_s,
            "bytes": received / took_s,
            "bytes a follower": (received + sent) / took_s / count,
            "resident memory": memory,
        },
    )


FOLLOWED = (
    Resource("processor", "% of a core", HALF_CORE),
    Resource("bytes", "bytes a second", NETWORK),
    Resource("bytes a follower", "bytes a second, both ways", ALL_CONTROL),
    RESIDENT,
)


class SourceFollowers:
    """The source, at the purges of the target, by the relays that follow it."""

    name = "fan-out: source"
    by = "relays"
    target = float(fleet.CONTROL_MACHINES)
    sizes = (2.0, 5.0, 10.0, 20.0, 40.0)
    quick_sizes = ()  # too long for a trial
    repeats = 2
    simulated = False
    resources = FOLLOWED

    def measure(self, size: float, seed: int, for_s: float) -> Sample:
        return asyncio.run(self._measure(int(size), for_s))

    async def _measure(self, count: int, for_s: float) -> Sample:
        async with log_process(fleet.PURGES_PER_S) as log, node(*source_words(log.port)) as source:
            return await cost_of_followers(source, count, for_s)


class RelayFollowers:
    """A relay, at the purges of the target, by the routers that follow it: all of a region's, where the
    other relay of the region is gone."""

    name = "fan-out: relay"
    by = "routers"
    target = float(fleet.ROUTERS // fleet.REGIONS)
    sizes = (15.0, 30.0, 60.0, 120.0, 240.0)
    quick_sizes = ()  # too long for a trial
    repeats = 2
    simulated = False
    resources = FOLLOWED

    def measure(self, size: float, seed: int, for_s: float) -> Sample:
        return asyncio.run(self._measure(int(size), for_s))

    async def _measure(self, count: int, for_s: float) -> Sample:
        async with (
            log_process(fleet.PURGES_PER_S) as log,
            node(*source_words(log.port)) as source,
            node(*relay_words(source)) as relay,
        ):
            return await cost_of_followers(relay, count, for_s)


class RelayPurges:
    """A relay of a few routers, by purges: what it sends to each is what any number of them would be sent."""

    name = "fan-out: relay, by purges"
    by = "purges a second"
    target = float(fleet.PURGES_PER_S)
    sizes = (1.0, 27.0, 55.0, 110.0, 220.0, 440.0)
    quick_sizes = ()  # too long for a trial
    repeats = 1
    simulated = False
    resources = FOLLOWED
    followers = 48

    def measure(self, size: float, seed: int, for_s: float) -> Sample:
        return asyncio.run(self._measure(size, for_s))

    async def _measure(self, rate: float, for_s: float) -> Sample:
        async with (
            log_process(rate) as log,
            node(*source_words(log.port)) as source,
            node(*relay_words(source)) as relay,
        ):
            found = await cost_of_followers(relay, self.followers, for_s)
        return Sample(rate, found.costs)


class RouterBehindRelay:
    """A started router that follows a relay, and gets no requests, by purges."""

    name = "fan-out: router"
    by = "purges a second"
    target = float(fleet.PURGES_PER_S)
    sizes = (1.0, 27.0, 55.0, 110.0, 220.0, 440.0)
    quick_sizes = ()  # too long for a trial
    repeats = 2
    simulated = False
    resources = (PROCESSOR, MEMORY, RESIDENT)

    def __init__(self, folder: str = HERE) -> None:
        self._folder = folder

    def measure(self, size: float, seed: int, for_s: float) -> Sample:
        return asyncio.run(self._measure(size, random.Random(seed), for_s))

    async def _measure(self, rate: float, draw: random.Random, for_s: float) -> Sample:
        async with contextlib.AsyncExitStack() as stack:
            ready = await come_up(stack, self._folder, words=lambda world: _behind_relay(stack, world))
            at_rest = ready.read()
            remember(ready.world, rate, draw)
            await asyncio.sleep(SETTLE_S)
            begun = ready.read()
            await tell(ready.world, rate, draw, for_s)
            ended = ready.read()
        percent = 100 * (ended.processor_s - begun.processor_s) / (ended.at_s - begun.at_s)
        grown_mb = max(0.0, ended.memory_mb - at_rest.memory_mb)
        return Sample(
            rate,
            {"processor": percent, "memory": grown_mb, "resident memory": ended.memory_mb},
        )


async def _behind_relay(stack: contextlib.AsyncExitStack, world: CountedWorld) -> Sequence[str]:
    """A source and a relay of this world's change log, and the words that make a router follow them."""
    source = await stack.enter_async_context(node(*source_words(world.change_log.port)))
    relay = await stack.enter_async_context(node(*relay_words(source)))
    return "run", "--relays", f"127.0.0.1:{relay.port}", "--region", REGION
