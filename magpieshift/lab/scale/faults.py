"""Fault injection: applies the events of a scenario to the fleet, and measures the recovery."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Literal

from magpieshift.lab.scale.fleet import Fleet
from magpieshift.lab.scale.messages import InjectFault
from magpieshift.lab.scale.scenario import (
    CONTROL_OUTAGE_S,
    ControlOutage,
    Event,
    RegionPartition,
    RouterCrash,
    Scenario,
    Scope,
    SlowReaders,
)
from magpieshift.lab.scale.sockets import StreamByteCounter
from magpieshift.lab.scale.topology import Cut

SLOW_PATH = "slow-readers"
STALLED_PATH = "standing-still"
SLOW_READER_PATHS = (SLOW_PATH, STALLED_PATH)
DISTANCE_DELAY = "distance"
REGION_PARTITION = "region away"
POLL_INTERVAL_S = 0.1  # between checks of a condition that is waited for; bounds the error of ``catch_up_s``
RESTART_DOWNTIME_S = 0.5  # between crash and restart of a router, for the restarts that are part of the load
SELECTION_STRIDE = 10  # scenarios that affect a tenth of the routers choose every tenth
SUBSCRIBE_TIMEOUT_S = 60.0  # for all routers to subscribe to versions after their start
TIER_CATCH_UP_TIMEOUT_S = 120.0  # for the tier to receive an hour's purges, which are accepted at once


class Faults:
    """Applies the events of one scenario to one fleet. ``seconds`` is the duration of the load."""

    def __init__(self, fleet: Fleet, scenario: Scenario, seconds: float) -> None:
        self._fleet = fleet
        self._scenario = scenario
        self._seconds = seconds
        self.first_purge = 0  # index of the first purge of the load
        self.catch_up_s: float | None = None
        self.catch_up_bytes_per_router: float | None = None
        self._unreachable_paths: set[str] = set()
        self._unreachable_paths_by_fault: dict[str, set[str]] = {}  # by name of the fault
        self._tasks: list[asyncio.Task[None]] = []
        self._region_partition = next(
            (event for event in scenario.events if isinstance(event, RegionPartition)), None
        )
        self._choose_paths()

    def networked_paths(self, all_paths: bool) -> set[str]:
        """The paths that must lead through a network process: all of them, or only those on which the
        scenario injects faults."""
        paths = self._fleet.paths
        if all_paths or self._fleet.topology.cuts:
            return set(paths.values())
        found = {path for path in paths.values() if path in SLOW_READER_PATHS}
        if self._region_partition is not None:
            found |= {paths[name] for name in self._partitioned_routers()}
        return found

    def _choose_paths(self) -> None:
        """Assign a separate path to routers that are cut or slowed without the rest of their zone: each rack
        that the topology cuts, and, in a scenario with slow readers, every tenth router, alternating between
        the path of slow and that of stalled readers."""
        cuts = self._fleet.topology.cuts.values()
        if all(cut.region is not None for cut in cuts):
            self._fleet.region_internal_paths = set(self._fleet.topology.form.zones)
        racks = {cut.rack for cut in cuts if cut.rack is not None}
        slow = any(isinstance(event, SlowReaders) for event in self._scenario.events)
        for number, place in enumerate(self._fleet.places.values()):
            if place.rack in racks:
                self._fleet.paths[place.name] = place.rack
            elif slow and number % SELECTION_STRIDE == 0:
                self._fleet.paths[place.name] = STALLED_PATH if number // SELECTION_STRIDE % 2 else SLOW_PATH

    def reachable_paths(self) -> frozenset[str] | None:
        """The paths on which control can be reached now, without those that are cut or have slow readers;
        None: all paths."""
        if not self._unreachable_paths:
            return None
        return frozenset(self._fleet.paths.values()) - self._unreachable_paths

    def restart_one(self) -> None:
        """Restart the live router whose reversed name sorts first, which is as good as a random choice."""
        if self._fleet.live:
            name = min(self._fleet.live, key=lambda name: name[::-1])
            self._spawn(self._restart([name], RESTART_DOWNTIME_S))

    def _spawn(self, coroutine: Coroutine[object, None, None]) -> None:
        self._tasks.append(asyncio.ensure_future(coroutine))

    async def close(self) -> None:
        """Cancel the running events; raises the error of one that failed, if any."""
        for task in self._tasks:
            task.cancel()
        for found in await asyncio.gather(*self._tasks, return_exceptions=True):
            if isinstance(found, Exception):
                raise found

    # --- before the load

    async def start_routers(self, purges_per_s: float) -> None:
        """Start all routers, and establish the faults that are in force when the load begins: the delays by
        distance, and a region partition with the purges accepted during it."""
        fleet = self._fleet
        if fleet.networks:
            delays = {fleet.paths[p.name]: fleet.topology.delay_ms(p.zone) for p in fleet.places.values()}
            far = {path: ms for path, ms in delays.items() if ms and path not in SLOW_READER_PATHS}
            if far:
                await fleet.inject_fault(InjectFault(why=DISTANCE_DELAY, paths=sorted(far), delay_ms=far))
        partitioned = self._partitioned_routers() if self._region_partition is not None else []
        if (partition := self._region_partition) is not None:
            await fleet.start_routers(partitioned)
            await self._cut(REGION_PARTITION, {fleet.paths[name] for name in partitioned})
            await fleet.purge(int(partition.duration_s * purges_per_s), partition.duration_s)
            await fleet.report_accepted_purges()
            async with asyncio.timeout(TIER_CATCH_UP_TIMEOUT_S):
                while not await fleet.has_received({fleet.places[name].zone for name in partitioned}):
                    await asyncio.sleep(POLL_INTERVAL_S)
            await asyncio.sleep(fleet.tier.purge_retention_s)
        await fleet.start_routers([name for name in fleet.places if name not in partitioned])
        async with asyncio.timeout(SUBSCRIBE_TIMEOUT_S):
            while not await fleet.all_subscribed():
                await asyncio.sleep(POLL_INTERVAL_S)
        self.first_purge = fleet.purges

    def _partitioned_routers(self) -> list[str]:
        """The routers of the last region by name, leaving out the region of control unless it is the only
        one."""
        places = self._fleet.places.values()
        control = self._fleet.topology.form.control
        regions = sorted({place.region for place in places} - {control}) or [control]
        return [place.name for place in places if place.region == regions[-1]]

    # --- during the load

    async def play(self) -> None:
        """Apply all events and cuts at their times, in parallel; returns when all have ended."""
        for event in self._scenario.events:
            self._spawn(self._run_event(event))
        for name, cut in self._fleet.topology.cuts.items():
            self._spawn(self._apply_cut(name, cut))
        await asyncio.gather(*self._tasks)

    async def _run_event(self, event: Event) -> None:
        match event:
            case RouterCrash():
                await self._crash(event)
            case RegionPartition():
                await self._end_region_partition(event)
            case SlowReaders():
                await self._slow_readers(event)
            case ControlOutage():
                await self._interrupt_control(event)

    async def _wait_fraction(self, fraction: float) -> None:
        await asyncio.sleep(fraction * self._seconds)

    async def _crash(self, event: RouterCrash) -> None:
        await self._wait_fraction(event.at_fraction)
        names = self._routers_in_scope(event.scope)
        if event.restart_after_s is None:
            fleet = self._fleet
            zone_lost = event.scope is Scope.ZONE
            zones = {fleet.places[name].zone for name in names} if zone_lost else set[str]()
            await asyncio.gather(fleet.crash_routers(names), *map(fleet.tier.kill_zone, zones))
        else:
            await self._restart(names, event.restart_after_s)

    async def _restart(self, names: list[str], after_s: float) -> None:
        await self._fleet.crash_routers(names)
        await asyncio.sleep(after_s)
        await self._fleet.start_routers(names)

    def _routers_in_scope(self, scope: Scope) -> list[str]:
        """The live routers of the rack or zone with the most of them, or every tenth live router."""
        live = [place for place in self._fleet.places.values() if place.name in self._fleet.live]
        if scope is Scope.TENTH:
            return [place.name for place in live[::SELECTION_STRIDE]]
        group_of = {place.name: place.rack if scope is Scope.RACK else place.zone for place in live}
        largest = max(sorted(set(group_of.values())), key=list(group_of.values()).count)
        return [name for name, at in group_of.items() if at == largest]

    async def _end_region_partition(self, event: RegionPartition) -> None:
        """Reconnect the partitioned region, and start measuring its recovery."""
        await self._wait_fraction(event.until_fraction)
        fleet = self._fleet
        names = self._partitioned_routers()
        counter = fleet.counter_for({fleet.paths[name] for name in names})
        first = await counter.read() if counter is not None else 0
        await self._heal(REGION_PARTITION)
        self._spawn(self._measure_catch_up(names, counter, first))

    async def _measure_catch_up(
        self, names: list[str], counter: StreamByteCounter | None, first: int
    ) -> None:
        """Wait until none of these routers lacks a purge or the newest version; record the time that took and
        the bytes transferred per router."""
        loop = asyncio.get_running_loop()
        begin = loop.time()
        while await self._fleet.lagging_count(names):
            await asyncio.sleep(POLL_INTERVAL_S)
        self.catch_up_s = round(loop.time() - begin, 2)
        if counter is not None:
            self.catch_up_bytes_per_router = round((await counter.read() - first) / len(names))

    async def _slow_readers(self, event: SlowReaders) -> None:
        await self._wait_fraction(event.from_fraction)
        await self._cut(STALLED_PATH, {STALLED_PATH} & set(self._fleet.paths.values()))
        slow = InjectFault(why=SLOW_PATH, paths=[SLOW_PATH], kb_per_s=event.kb_per_s, direction="to-routers")
        await self._fleet.inject_fault(slow)
        self._unreachable_paths.add(SLOW_PATH)
        await self._wait_fraction(event.until_fraction - event.from_fraction)
        await self._heal(STALLED_PATH)
        await self._fleet.heal_fault(SLOW_PATH)
        self._unreachable_paths.discard(SLOW_PATH)

    async def _interrupt_control(self, event: ControlOutage) -> None:
        await self._wait_fraction(event.at_fraction)
        await self._fleet.tier.interrupt(event.machines, CONTROL_OUTAGE_S)

    # --- cuts

    async def _apply_cut(self, name: str, cut: Cut) -> None:
        """Apply a cut of the topology file from its begin to its end."""
        await asyncio.sleep(cut.from_s)
        paths = {self._fleet.paths[place.name] for place in self._fleet.topology.within(cut)}
        await self._cut(f"cut {name}", paths, cut.direction)
        await asyncio.sleep(cut.to_s - cut.from_s)
        await self._heal(f"cut {name}")

    async def _cut(
        self,
        why: str,
        paths: set[str],
        direction: Literal["both", "to-routers", "from-routers"] = "both",
    ) -> None:
        self._unreachable_paths_by_fault[why] = paths
        self._unreachable_paths |= paths
        await self._fleet.inject_fault(
            InjectFault(why=why, paths=sorted(paths), cut=True, direction=direction)
        )

    async def _heal(self, why: str) -> None:
        self._unreachable_paths -= self._unreachable_paths_by_fault.pop(why)
        await self._fleet.heal_fault(why)
