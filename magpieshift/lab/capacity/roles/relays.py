"""Fan-out tier: the cost of a source and of a relay by the number of followers, and the cost of a relay and
of a router behind it by the rate of purges."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import AsyncIterator, Sequence

import grpc
import grpc.aio

from magpieshift import clock
from magpieshift.control.grpc_channel import FOLLOW_METHOD
from magpieshift.lab.capacity import fleet
from magpieshift.lab.capacity.listening_process import ListeningProcess, listening_process
from magpieshift.lab.capacity.processor import processor_s, resident_mb
from magpieshift.lab.capacity.role import Budget, Resource, Sample
from magpieshift.lab.capacity.roles.changelog import HALF_CORE_BUDGET, NETWORK_BUDGET, log_process
from magpieshift.lab.capacity.roles.purges import (
    MEMORY,
    PROCESSOR,
    RESIDENT,
    send_purges,
    send_retained_purges,
)
from magpieshift.lab.capacity.routers import CountingInstallation, StartedRouterRole, start_router
from magpieshift.relay.connection import CHANNEL_OPTIONS
from magpieshift.relay.decoding import decode_downstream
from magpieshift.relay.encoding import encode_upstream
from magpieshift.relay.follower import Follower
from magpieshift.relay.instructions import ApplyEntries, EndStream, RestoreSnapshot

FOLLOWERS_TIMEOUT_S = 30.0  # timeout for all followers to get a lease
SETTLE_S = 1.0  # wait before a measurement, so that the cost of connecting is not included
REGION = "lab"
CONTROL_BUDGET = Budget(fleet.CONTROL_BYTES_PER_S, "all of control on a router")


class LightFollower:
    """A follower on a gRPC stream. It acknowledges all entries and snapshots at once, and counts bytes."""

    def __init__(self, name: str) -> None:
        self._machine = Follower(name, "lab")
        self.bytes_received = 0
        self.bytes_sent = 0
        self.current = asyncio.Event()

    async def follow(self, port: int) -> None:
        """Follow the relay or source at this port until cancelled; ``RuntimeError`` if the stream ends."""
        async with grpc.aio.insecure_channel(f"127.0.0.1:{port}", options=CHANNEL_OPTIONS) as channel:
            call = channel.stream_stream(FOLLOW_METHOD)()
            await self._write(call, encode_upstream(self._machine.connect(clock.source.steady_us())))
            progress_task = asyncio.ensure_future(self._send_progress(call))
            try:
                while (data := await call.read()) is not grpc.aio.EOF:
                    self._receive(bytes(data))
                raise RuntimeError(f"the stream of a follower has ended: {await call.details()}")
            finally:
                progress_task.cancel()

    def _receive(self, data: bytes) -> None:
        self.bytes_received += len(data)
        now_us = clock.source.steady_us()
        for effect in self._machine.receive(decode_downstream(data), now_us):
            match effect:
                case ApplyEntries():
                    self._machine.acknowledge_applied(effect.epoch, effect.last)
                case RestoreSnapshot(snapshot=snapshot):
                    self._machine.acknowledge_applied(snapshot.epoch, snapshot.applied)
                case EndStream():
                    raise RuntimeError(
                        f"a follower has ended its stream: {effect.reason.value} {effect.detail}"
                    )
        if self._machine.lease_from_stream:
            self.current.set()

    async def _send_progress(self, call: grpc.aio.StreamStreamCall) -> None:
        while True:
            now_us = clock.source.steady_us()
            if (progress := self._machine.progress(now_us)) is not None:
                await self._write(call, encode_upstream(progress))
            await asyncio.sleep(
                max(0.01, (self._machine.next_progress_us() - clock.source.steady_us()) / 1e6)
            )

    async def _write(self, call: grpc.aio.StreamStreamCall, data: bytes) -> None:
        self.bytes_sent += len(data)
        await call.write(data)


def relay_process(*arguments: str) -> contextlib.AbstractAsyncContextManager[ListeningProcess]:
    """Run ``magpieshift relay`` with these arguments; ``RuntimeError`` if it does not start."""
    return listening_process("a relay", "relay", *arguments, event="event=ready")


def source_arguments(change_log_port: int) -> tuple[str, ...]:
    """The arguments of a source that reads this change log."""
    return "source", "--changelog", f"127.0.0.1:{change_log_port}"


def relay_arguments(source: ListeningProcess) -> tuple[str, ...]:
    """The arguments of a relay that follows this source."""
    return "serve", "--source", f"127.0.0.1:{source.port}", "--name", "n1", "--region", REGION


@contextlib.asynccontextmanager
async def source_process(rate: float) -> AsyncIterator[ListeningProcess]:
    """Start a change log that sends this many purges a second, and a source that reads it."""
    async with log_process(rate) as log, relay_process(*source_arguments(log.port)) as source:
        yield source


@contextlib.asynccontextmanager
async def relay_behind_source(rate: float) -> AsyncIterator[ListeningProcess]:
    """Start a change log that sends this many purges a second, a source that reads it, and a relay behind the
    source."""
    async with source_process(rate) as source, relay_process(*relay_arguments(source)) as relay:
        yield relay


@contextlib.asynccontextmanager
async def connected_followers(port: int, count: int) -> AsyncIterator[Sequence[LightFollower]]:
    """Connect ``count`` followers and wait until each has a lease from its stream."""
    followers = [LightFollower(f"follower-{number}") for number in range(count)]
    tasks = [asyncio.ensure_future(follower.follow(port)) for follower in followers]
    try:
        async with asyncio.timeout(FOLLOWERS_TIMEOUT_S):
            await asyncio.gather(*(follower.current.wait() for follower in followers))
        await asyncio.sleep(SETTLE_S)
        yield followers
        for task in tasks:
            if task.done():
                task.result()  # raises if the stream has ended: the measurement is invalid then
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def cost_of_followers(measured: ListeningProcess, count: int, duration_s: float) -> Sample:
    """The cost of a source or relay with ``count`` followers, at the purge rate of its change log."""
    async with connected_followers(measured.port, count) as followers:
        spent = processor_s(measured.pid)
        started = time.monotonic()
        bytes_received = sum(follower.bytes_received for follower in followers)
        bytes_sent = sum(follower.bytes_sent for follower in followers)
        await asyncio.sleep(duration_s)
        took_s = time.monotonic() - started
        spent = processor_s(measured.pid) - spent
        bytes_received = sum(follower.bytes_received for follower in followers) - bytes_received
        bytes_sent = sum(follower.bytes_sent for follower in followers) - bytes_sent
        memory = resident_mb(measured.pid)
    return Sample(
        count,
        {
            "processor": 100 * spent / took_s,
            "bytes": bytes_received / took_s,
            "bytes a follower": (bytes_received + bytes_sent) / took_s / count,
            "resident memory": memory,
        },
    )


FOLLOWER_RESOURCES = (
    Resource("processor", "% of a core", HALF_CORE_BUDGET),
    Resource("bytes", "bytes a second", NETWORK_BUDGET),
    Resource("bytes a follower", "bytes a second, both ways", CONTROL_BUDGET),
    RESIDENT,
)


class _FollowersRole:
    """A source or relay at the target rate of purges, by the number of followers."""

    quick_sizes = ()  # takes too long for a trial
    repeats = 2
    simulated = False
    resources = FOLLOWER_RESOURCES

    def _measured_process(self) -> contextlib.AbstractAsyncContextManager[ListeningProcess]:
        raise NotImplementedError

    def measure(self, size: float, seed: int, duration_s: float) -> Sample:
        """Connect ``size`` followers to the measured process."""
        return asyncio.run(self._measure(int(size), duration_s))

    async def _measure(self, count: int, duration_s: float) -> Sample:
        async with self._measured_process() as measured:
            return await cost_of_followers(measured, count, duration_s)


class SourceFollowers(_FollowersRole):
    """The source, by the number of relays that follow it."""

    name = "fan-out: source"
    quantity = "relays"
    target = float(fleet.CONTROL_MACHINES)
    sizes = (2.0, 5.0, 10.0, 20.0, 40.0)

    def _measured_process(self) -> contextlib.AbstractAsyncContextManager[ListeningProcess]:
        return source_process(fleet.PURGES_PER_S)


class RelayFollowers(_FollowersRole):
    """A relay, by the number of routers that follow it. The target is all routers of a region: the load of a
    relay if the region's other relay fails."""

    name = "fan-out: relay"
    quantity = "routers"
    target = float(fleet.ROUTERS // fleet.REGIONS)
    sizes = (15.0, 30.0, 60.0, 120.0, 240.0)

    def _measured_process(self) -> contextlib.AbstractAsyncContextManager[ListeningProcess]:
        return relay_behind_source(fleet.PURGES_PER_S)


class RelayPurges:
    """A relay with a fixed, small number of routers, by the rate of purges. The bytes sent to each router do
    not depend on the number of routers."""

    name = "fan-out: relay, by purges"
    quantity = "purges a second"
    target = float(fleet.PURGES_PER_S)
    sizes = (1.0, 27.0, 55.0, 110.0, 220.0, 440.0)
    quick_sizes = ()  # takes too long for a trial
    repeats = 1
    simulated = False
    resources = FOLLOWER_RESOURCES
    followers = 48

    def measure(self, size: float, seed: int, duration_s: float) -> Sample:
        """Send purges at this rate through a relay with ``followers`` routers."""
        return asyncio.run(self._measure(size, duration_s))

    async def _measure(self, rate: float, duration_s: float) -> Sample:
        async with relay_behind_source(rate) as relay:
            found = await cost_of_followers(relay, self.followers, duration_s)
        return Sample(rate, found.costs)


class RouterBehindRelay(StartedRouterRole):
    """A started router that follows a relay and gets no requests, by the rate of purges."""

    name = "fan-out: router"
    quantity = "purges a second"
    target = float(fleet.PURGES_PER_S)
    sizes = (1.0, 27.0, 55.0, 110.0, 220.0, 440.0)
    quick_sizes = ()  # takes too long for a trial
    repeats = 2
    simulated = False
    resources = (PROCESSOR, MEMORY, RESIDENT)

    def measure(self, size: float, seed: int, duration_s: float) -> Sample:
        """Send purges at this rate to a started router through a relay."""
        return asyncio.run(self._measure(size, random.Random(seed), duration_s))

    async def _measure(self, rate: float, rng: random.Random, duration_s: float) -> Sample:
        async with contextlib.AsyncExitStack() as stack:
            ready = await start_router(
                stack,
                self._folder,
                arguments=lambda installation: _start_source_and_relay(stack, installation),
            )
            idle = ready.read()
            send_retained_purges(ready.installation, rate, rng)
            await asyncio.sleep(SETTLE_S)
            started = ready.read()
            await send_purges(ready.installation, rate, rng, duration_s)
            ended = ready.read()
        percent = 100 * (ended.processor_s - started.processor_s) / (ended.at_s - started.at_s)
        grown_mb = max(0.0, ended.memory_mb - idle.memory_mb)
        return Sample(
            rate,
            {"processor": percent, "memory": grown_mb, "resident memory": ended.memory_mb},
        )


async def _start_source_and_relay(
    stack: contextlib.AsyncExitStack, installation: CountingInstallation
) -> Sequence[str]:
    """Start a source of this installation's change log and a relay behind it; returns the arguments that make
    a router follow the relay."""
    source = await stack.enter_async_context(relay_process(*source_arguments(installation.change_log.port)))
    relay = await stack.enter_async_context(relay_process(*relay_arguments(source)))
    return "run", "--relays", f"127.0.0.1:{relay.port}", "--region", REGION
