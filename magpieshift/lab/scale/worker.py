"""A process with many hollow routers: starts and crashes them as told, and reports what they applied."""

from __future__ import annotations

import asyncio
import gc
import json
import random
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass

from magpieshift.control.schema import LoadedDocument, load_text
from magpieshift.lab.scale import child
from magpieshift.lab.scale.hollow import At, DirectFeed, Feed, HollowRouter, PurgeWatch, on_version
from magpieshift.lab.scale.messages import (
    Count,
    CrashRouters,
    Done,
    Head,
    LaggingCountRequest,
    Message,
    Place,
    PurgesAcceptedBy,
    Ready,
    StartRouters,
    StartWorker,
    WorkerReport,
    WorkerReportRequest,
)
from magpieshift.lab.scale.relayed import RelayFeed
from magpieshift.lab.scale.tally import Applied, Shared, index_of
from magpieshift.policy.events import PurgeReceived
from magpieshift.relay.selection import RelayAddress

THREAD_SWITCH_INTERVAL_S = 0.0005  # as a router process has it: versions are read in a thread
CONNECT_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.02
LEASE_POLL_INTERVAL_S = 0.05
LOOPBACK = "127.0.0.1"


@dataclass(frozen=True)
class Live:
    """A hollow router that runs, and what it has applied."""

    router: HollowRouter
    applied: Applied
    feed: Feed


class Worker:
    """Owner of the hollow routers of this process."""

    def __init__(self, start: StartWorker) -> None:
        self._loaded: LoadedDocument = load_text(start.settings)
        self._drop_every = start.drop_every
        self.shared = Shared()
        self._live: dict[str, Live] = {}
        self._out_of_order = 0  # of those that are gone
        self._late: list[tuple[int, float, float]] = []
        self._watching = asyncio.ensure_future(self._watch_leases())

    async def start_routers(self, places: Sequence[Place], head: Head, version: int) -> None:
        """Start routers that know what was told by now; returns once all read the change log."""
        known = {"seq": head.sequence, "results": [json.loads(head.list_event)]}
        started = []
        for place in places:
            applied = Applied(self.shared, place.path, head.purges, version)
            live = self._built(place, applied)
            live.router.start(live.feed, {} if place.relays else known)
            self._live[place.name] = live
            started.append(live.router)
            await asyncio.sleep(0)  # one after the other: a list of many caches takes milliseconds
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            while not all(router.connected for router in started):
                await asyncio.sleep(POLL_INTERVAL_S)
        gc.collect()
        gc.freeze()  # as a router process does once it serves

    def _built(self, place: Place, applied: Applied) -> Live:
        def purged(purges: Sequence[PurgeReceived]) -> None:
            ages = {index_of(purge.object_key): purge.age_us / 1e6 for purge in purges}
            applied.purges(ages, time.monotonic())

        overrides = At(place.name, changelog=(LOOPBACK, place.log_port))
        seed = random.Random(place.name).getrandbits(32)
        router = HollowRouter(place.name, self._loaded, overrides, seed, PurgeWatch(purged, self._drop_every))
        on_version(router.manager, lambda number: applied.in_force(number, time.monotonic()))
        return Live(router, applied, _feed(router, place))

    async def crash(self, names: Sequence[str]) -> None:
        """End these routers, all at once."""
        gone = [self._live.pop(name) for name in names if name in self._live]
        self._out_of_order += sum(live.applied.out_of_order for live in gone)
        self._late += [each for live in gone for each in live.applied.late]
        await asyncio.gather(*(live.router.crash() for live in gone))

    async def _watch_leases(self) -> None:
        """Note who holds no lease."""
        while True:
            now_s = time.monotonic()
            for live in self._live.values():
                if isinstance(live.feed, RelayFeed):
                    live.applied.leased(live.feed.leased, now_s)
            await asyncio.sleep(LEASE_POLL_INTERVAL_S)

    def behind(self, purges: int, version: int, names: Sequence[str]) -> int:
        """How many live routers lack a purge, or have a lower version in force."""
        chosen = [live for name, live in self._live.items() if not names or name in names]
        return sum(live.applied.lost(purges) > 0 or live.applied.version < version for live in chosen)

    def report(self, purges: int) -> WorkerReport:
        """What all routers of this process have applied."""
        lost = {name: live.applied.lost(purges) for name, live in self._live.items()}
        missing = bytearray(purges)  # 1 for each purge that some live router lacks
        for live in self._live.values():
            live.applied.mark_missing(missing)
        out_of_order = sum(live.applied.out_of_order for live in self._live.values())
        return WorkerReport(
            live=len(self._live),
            purges=self.shared.purges,
            versions=self.shared.versions,
            lost={name: count for name, count in lost.items() if count},
            out_of_order=out_of_order + self._out_of_order,
            late=[*self._late, *(each for live in self._live.values() for each in live.applied.late)],
            forgotten=sum(live.applied.forgotten for live in self._live.values()),
            missing=[index for index, lacking in enumerate(missing) if lacking],
            version_behind={name: live.applied.version for name, live in self._live.items()},
        )


def _feed(router: HollowRouter, place: Place) -> Feed:
    """What the router is fed by, as its place says."""
    if place.relays:
        relays = [RelayAddress(each.name, each.region, f"{LOOPBACK}:{each.port}") for each in place.relays]
        return RelayFeed(router, relays, place.region)
    rand = random.Random(f"control/{place.name}")
    return DirectFeed(router, (LOOPBACK, place.control_port), rand)


async def run() -> None:
    """The process: hollow routers that do what they are told."""
    worker: Worker | None = None
    sys.setswitchinterval(THREAD_SWITCH_INTERVAL_S)

    async def handle(message: Message) -> Message | None:
        nonlocal worker
        if isinstance(message, StartWorker):
            worker = Worker(message)
            return Ready()
        if worker is None:
            raise RuntimeError("the worker has not been started")
        match message:
            case StartRouters(places=places, head=head, version=version):
                await worker.start_routers(places, head, version)
                return Done()
            case CrashRouters(names=names):
                await worker.crash(names)
                return Done()
            case PurgesAcceptedBy(purges=purges, at_s=at_s):
                worker.shared.made = purges, at_s
                return Done()
            case LaggingCountRequest(purges=purges, version=version, names=names):
                return Count(count=worker.behind(purges, version, names))
            case WorkerReportRequest(purges=purges):
                return worker.report(purges)
            case other:
                raise RuntimeError(f"a worker knows no {other.kind!r}")

    await child.serve(handle)
