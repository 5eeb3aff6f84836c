"""A process with many hollow routers: starts and crashes them on request, and reports what they applied."""

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
from magpieshift.lab.scale import process_loop
from magpieshift.lab.scale.applied_changes import ProcessAppliedChanges, RouterAppliedChanges, index_of
from magpieshift.lab.scale.hollow_router import (
    ChangeLogOverride,
    DirectFeed,
    Feed,
    HollowRouter,
    PurgeObserver,
    observe_versions,
)
from magpieshift.lab.scale.messages import (
    Count,
    CrashRouters,
    Done,
    Head,
    LaggingCountRequest,
    Message,
    PurgesAcceptedBy,
    Ready,
    RouterAddresses,
    StartRouters,
    StartWorker,
    WorkerReport,
    WorkerReportRequest,
)
from magpieshift.lab.scale.relay_feed import RelayFeed
from magpieshift.policy.events import PurgeReceived
from magpieshift.relay.selection import RelayAddress

THREAD_SWITCH_INTERVAL_S = 0.0005  # same as in a router process, since versions are parsed in a thread
CONNECT_TIMEOUT_S = 60.0  # for all routers of one StartRouters message to connect
POLL_INTERVAL_S = 0.02  # between checks whether all these routers have connected
LEASE_POLL_INTERVAL_S = 0.05  # bounds the error of the recorded time of a lease's lapse
LOOPBACK = "127.0.0.1"


@dataclass(frozen=True)
class RunningRouter:
    """A running hollow router with its feed, and the record of what it has applied."""

    router: HollowRouter
    applied: RouterAppliedChanges
    feed: Feed


class Worker:
    """Owner of the hollow routers of this process."""

    def __init__(self, start: StartWorker) -> None:
        self._loaded: LoadedDocument = load_text(start.settings)
        self._drop_every = start.drop_every
        self.shared = ProcessAppliedChanges()
        self._running: dict[str, RunningRouter] = {}
        self._out_of_order = 0  # purges applied out of order by routers that have crashed
        self._applied_without_lease: list[tuple[int, float, float]] = []
        self._lease_watch = asyncio.ensure_future(self._record_leases())

    async def start_routers(self, places: Sequence[RouterAddresses], head: Head, version: int) -> None:
        """Start routers with the change log's state in ``head`` taken as received; returns once all are
        connected."""
        known = {"seq": head.sequence, "results": [json.loads(head.list_event)]}
        started = []
        for addresses in places:
            applied = RouterAppliedChanges(self.shared, addresses.path, head.purges, version)
            live = self._build_router(addresses, applied)
            live.router.start(live.feed, {} if addresses.relays else known)
            self._running[addresses.name] = live
            started.append(live.router)
            await asyncio.sleep(0)  # let other tasks run: a list of many caches takes milliseconds to apply
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            while not all(router.connected for router in started):
                await asyncio.sleep(POLL_INTERVAL_S)
        gc.collect()
        gc.freeze()  # excludes these objects from collection, as a router process does

    def _build_router(self, addresses: RouterAddresses, applied: RouterAppliedChanges) -> RunningRouter:
        def purged(purges: Sequence[PurgeReceived]) -> None:
            ages = {index_of(purge.object_key): purge.age_us / 1e6 for purge in purges}
            applied.record_purges(ages, time.monotonic())

        overrides = ChangeLogOverride(addresses.name, changelog=(LOOPBACK, addresses.log_port))
        seed = random.Random(addresses.name).getrandbits(32)
        router = HollowRouter(
            addresses.name, self._loaded, overrides, seed, PurgeObserver(purged, self._drop_every)
        )
        observe_versions(router.manager, lambda number: applied.record_version(number, time.monotonic()))
        return RunningRouter(router, applied, _build_feed(router, addresses))

    async def crash(self, names: Sequence[str]) -> None:
        """Crash these routers, all at once."""
        crashed = [self._running.pop(name) for name in names if name in self._running]
        self._out_of_order += sum(live.applied.out_of_order for live in crashed)
        self._applied_without_lease += [
            each for live in crashed for each in live.applied.applied_without_lease
        ]
        await asyncio.gather(*(live.router.crash() for live in crashed))

    async def _record_leases(self) -> None:
        """Record periodically which routers hold a lease."""
        while True:
            now_s = time.monotonic()
            for live in self._running.values():
                if isinstance(live.feed, RelayFeed):
                    live.applied.set_lease_held(live.feed.holds_lease, now_s)
            await asyncio.sleep(LEASE_POLL_INTERVAL_S)

    def lagging_count(self, purges: int, version: int, names: Sequence[str]) -> int:
        """Count the live routers that lack one of the first ``purges`` purges or have a version below
        ``version`` in force; only those in ``names``, unless it is empty."""
        chosen = [live for name, live in self._running.items() if not names or name in names]
        return sum(
            live.applied.missing_count(purges) > 0 or live.applied.version < version for live in chosen
        )

    def report(self, purges: int) -> WorkerReport:
        """What all routers of this process have applied."""
        lost = {name: live.applied.missing_count(purges) for name, live in self._running.items()}
        missing = bytearray(purges)  # by purge index: 1 where some live router lacks the purge
        for live in self._running.values():
            live.applied.mark_missing(missing)
        out_of_order = sum(live.applied.out_of_order for live in self._running.values())
        return WorkerReport(
            live=len(self._running),
            purges=self.shared.purges,
            versions=self.shared.versions,
            lost={name: count for name, count in lost.items() if count},
            out_of_order=out_of_order + self._out_of_order,
            late=[
                *self._applied_without_lease,
                *(each for live in self._running.values() for each in live.applied.applied_without_lease),
            ],
            forgotten=sum(live.applied.forgotten for live in self._running.values()),
            missing=[index for index, lacking in enumerate(missing) if lacking],
            version_behind={name: live.applied.version for name, live in self._running.items()},
        )


def _build_feed(router: HollowRouter, addresses: RouterAddresses) -> Feed:
    """The feed of a router: relays where some are given, otherwise change log and control service."""
    if addresses.relays:
        relays = [
            RelayAddress(each.name, each.region, f"{LOOPBACK}:{each.port}") for each in addresses.relays
        ]
        return RelayFeed(router, relays, addresses.region)
    rand = random.Random(f"control/{addresses.name}")
    return DirectFeed(router, (LOOPBACK, addresses.control_port), rand)


async def run() -> None:
    """Run the process: hollow routers, started and crashed on request."""
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
                worker.shared.accepted_by = purges, at_s
                return Done()
            case LaggingCountRequest(purges=purges, version=version, names=names):
                return Count(count=worker.lagging_count(purges, version, names))
            case WorkerReportRequest(purges=purges):
                return worker.report(purges)
            case other:
                raise RuntimeError(f"a worker cannot handle a message of kind {other.kind!r}")

    await process_loop.serve(handle)
