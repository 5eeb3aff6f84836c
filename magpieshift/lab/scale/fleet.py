"""The processes of a run and the routers in them: which routers are live, their worker processes and their
network paths."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from magpieshift.control import sexp
from magpieshift.lab.scale import messages as m
from magpieshift.lab.scale.installation import base_settings, version_text
from magpieshift.lab.scale.network import port_name
from magpieshift.lab.scale.processes import Child
from magpieshift.lab.scale.result import Published
from magpieshift.lab.scale.sockets import StreamByteCounter
from magpieshift.lab.scale.tier import LOG, Tier
from magpieshift.lab.scale.topology import Place, Topology

MAX_NETWORKS = 3  # network processes
ROUTERS_PER_NETWORK = 60  # routers on networked paths per network process, up to MAX_NETWORKS
LIST_CHANGES_PER_CACHE = 3  # draining, deleted, serving again


@dataclass(frozen=True)
class FleetOptions:
    """The numbers of worker processes and of listed caches, and a fault for tests."""

    workers: int
    caches: int
    drop_every: int = 0  # injected fault for tests: each router drops every n-th purge; 0: none


class Fleet:
    """Owner of all processes of a run."""

    def __init__(self, topology: Topology, options: FleetOptions, tier: Tier) -> None:
        self.topology = topology
        self._options = options
        self.tier = tier
        self.places: Mapping[str, Place] = {place.name: place for place in topology.places}
        self.paths: dict[str, str] = {place.name: place.zone for place in topology.places}
        self.region_internal_paths: set[str] = (
            set()
        )  # a cut of these does not affect connections within a region
        self.live: set[str] = set()
        self.workers: list[Child] = []
        self.networks: list[Child] = []
        self._network_of: dict[str, Child] = {}  # by path; other paths connect to control directly
        self.published: list[Published] = []
        self.purges = 0
        self.list_changes = 0
        self._log: Child | None = None
        self._publishing = asyncio.Lock()  # versions are published one at a time
        self.settings: dict[str, Any] = {}
        self._counter: StreamByteCounter | None = None
        self._initial_mb = 0.0

    # --- start and stop

    async def open(self, networked_paths: Collection[str] = ()) -> None:
        """Start all processes, without any routers. The paths in ``networked_paths`` lead through a network
        process."""
        self._log = await Child.start("change log", "log", m.StartLog(caches=self._options.caches))
        self.settings = base_settings(len(self.places), self.log.ports[LOG], self.topology.zone_sizes())
        await self.tier.open(self.log)
        await self._start_networks(sorted(networked_paths))
        await asyncio.gather(self.tier.start_remaining(self.port_for), self._start_workers())
        self._counter = StreamByteCounter(self.tier.router_ports) if StreamByteCounter.available() else None

    async def _start_networks(self, paths: Sequence[str]) -> None:
        """Start network processes, as many as the routers on these paths need, and distribute the paths."""
        routers = sum(path in paths for path in self.paths.values())
        count = min(MAX_NETWORKS, len(paths), 1 + routers // ROUTERS_PER_NETWORK)
        for number in range(count):
            part = list(paths[number::count])
            order = m.StartNetwork(targets=dict(self.tier.targets), paths=part)
            self.networks.append(await Child.start(f"network {number}", "network", order))
            self._network_of |= dict.fromkeys(part, self.networks[-1])

    async def _start_workers(self) -> None:
        first = m.StartWorker(
            caches=self._options.caches,
            settings=sexp.format_document(self.settings),
            drop_every=self._options.drop_every,
        )
        starting = (Child.start(f"worker {i}", "worker", first) for i in range(self._options.workers))
        self.workers = list(await asyncio.gather(*starting))
        self._initial_mb = sum(worker.memory_mb() for worker in self.workers)

    async def close(self) -> None:
        """Stop all processes."""
        children = [*self.workers, *self.networks, self._log]
        await asyncio.gather(*(child.stop() for child in children if child is not None), self.tier.close())

    @property
    def log(self) -> Child:
        """The change log's process; only after ``open``."""
        assert self._log is not None
        return self._log

    @property
    def processes(self) -> int:
        """The number of processes, including those of change log, tier and networks."""
        return len(self.workers) + len(self.networks) + 1 + self.tier.processes

    # --- routers

    def _by_worker(self, names: Iterable[str]) -> list[tuple[Child, list[str]]]:
        numbers = {name: number for number, name in enumerate(self.places)}
        chosen = sorted(names, key=numbers.__getitem__)
        count = len(self.workers)
        parts = ([name for name in chosen if numbers[name] % count == i] for i in range(count))
        return [(worker, part) for worker, part in zip(self.workers, parts, strict=True) if part]

    def port_for(self, path: str, target: str) -> int:
        """The port on which the routers on a path connect to a target of the tier."""
        if (network := self._network_of.get(path)) is not None:
            return network.ports[port_name(path, target)]
        return self.tier.targets[target]

    def _address_router(self, name: str) -> m.RouterAddresses:
        path = self.paths[name]
        return self.tier.address_router(
            self.places[name], path, self.port_for, path in self.region_internal_paths
        )

    async def start_routers(self, names: Collection[str]) -> None:
        """Start these routers, with the change log's current state taken as received; returns once they are
        connected."""
        head = await self.log.request(m.HeadRequest(), m.Head)
        version = self.published[-1].number if self.published else 0
        orders = [
            (worker, m.StartRouters(places=[*map(self._address_router, part)], head=head, version=version))
            for worker, part in self._by_worker(names)
        ]
        await asyncio.gather(*(worker.request(order, m.Done) for worker, order in orders))
        self.live |= set(names)

    async def crash_routers(self, names: Collection[str]) -> None:
        """Crash these routers, all at once."""
        self.live -= set(names)
        orders = [(worker, m.CrashRouters(names=part)) for worker, part in self._by_worker(names)]
        await asyncio.gather(*(worker.request(order, m.Done) for worker, order in orders))

    async def all_subscribed(self) -> bool:
        """Whether all live routers are subscribed to versions."""
        return await self.tier.all_subscribed(len(self.live))

    async def has_received(self, excluded_zones: Collection[str]) -> bool:
        """Whether all processes of the tier outside these zones have received all events accepted so far."""
        return await self.tier.has_received(
            (await self.log.request(m.HeadRequest(), m.Head)).sequence, excluded_zones
        )

    async def lagging_count(self, names: Sequence[str] = ()) -> int:
        """The number of live routers that lack a purge or the newest version; only those in ``names``, unless
        it is empty."""
        newest = self.published[-1].number if self.published else 0
        request = m.LaggingCountRequest(purges=self.purges, version=newest, names=list(names))
        counts = await asyncio.gather(*(worker.request(request, m.Count) for worker in self.workers))
        return sum(answer.count for answer in counts)

    # --- the load

    async def purge(self, count: int, made_over_s: float = 0.0) -> None:
        """Have the change log accept ``count`` purges, with creation times spread over ``made_over_s``."""
        if count:
            self.purges += count
            await self.log.send(m.AcceptPurges(count=count, made_over_s=made_over_s))

    async def report_accepted_purges(self) -> None:
        """Tell all workers that the purges accepted so far were made no later than now."""
        order = m.PurgesAcceptedBy(purges=self.purges, at_s=time.monotonic())
        await asyncio.gather(*(worker.request(order, m.Done) for worker in self.workers))

    async def change_list(self) -> None:
        """Move a cache to its next phase: draining, deleted, or serving again. One cache goes through all
        three before the next one starts."""
        place = self.list_changes // LIST_CHANGES_PER_CACHE
        self.list_changes += 1
        await self.log.send(m.ChangeEndpointList(place=place))

    async def publish(self, reachable: frozenset[str] | None) -> None:
        """Publish the next version, as soon as control accepts it. ``reachable`` are the paths on which
        routers can receive it; None: all."""
        async with self._publishing:
            number = len(self.published) + 1
            at_s = await self.tier.publish(number, version_text(self.settings, number))
            self.published.append(Published(number, at_s, reachable))

    # --- the network

    async def inject_fault(self, fault: m.InjectFault) -> None:
        """Inject a fault into paths that lead through a network process."""
        await asyncio.gather(*(network.request(fault, m.Done) for network in self.networks))

    async def heal_fault(self, why: str) -> None:
        """Remove the fault with this name from all network processes."""
        await asyncio.gather(*(network.request(m.HealFault(why=why), m.Done) for network in self.networks))

    # --- costs and reports

    def control_cpu_s(self) -> dict[str, float]:
        """CPU seconds of each control process so far, the change log included."""
        return {"change log": self.log.cpu_s()} | self.tier.cpu_s()

    def network_cpu_s(self) -> float:
        """CPU seconds of all network processes so far."""
        return sum(network.cpu_s() for network in self.networks)

    async def stream_bytes(self) -> int | None:
        """TCP payload of all streams between routers and control so far; None where ``ss`` is missing."""
        return await self._counter.read() if self._counter is not None else None

    def counter_for(self, paths: Collection[str]) -> StreamByteCounter | None:
        """A counter of the streams on these paths only; None where ``ss`` is missing, or where not all of
        them lead through a network process."""
        if self._counter is None or not set(paths) <= set(self._network_of):
            return None
        return StreamByteCounter(
            [self.port_for(path, target) for path in paths for target in self.tier.targets]
        )

    @property
    def mb_per_router(self) -> float | None:
        """The growth of the workers' resident memory since they were ready, in MB per live router."""
        if not self.live:
            return None
        grown_mb = sum(worker.memory_mb() for worker in self.workers) - self._initial_mb
        return round(grown_mb / len(self.live), 3)

    async def log_report(self) -> m.LogReport:
        """Ask the change log for its report."""
        return await self.log.request(m.LogReportRequest(), m.LogReport)

    async def worker_reports(self) -> list[m.WorkerReport]:
        """Ask every worker what its routers have applied."""
        request = m.WorkerReportRequest(purges=self.purges)
        return list(await asyncio.gather(*(w.request(request, m.WorkerReport) for w in self.workers)))
