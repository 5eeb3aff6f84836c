"""What goes wrong in a run: carries a scenario's events out on the fleet, and notes what they took."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from magpieshift.lab.scale.fleet import Fleet
from magpieshift.lab.scale.messages import InjectFault
from magpieshift.lab.scale.scenario import (
    CONTROL_LOSS_S,
    ControlLost,
    Crash,
    Event,
    RegionAway,
    Scenario,
    Scope,
    Slow,
)
from magpieshift.lab.scale.sockets import Counter
from magpieshift.lab.scale.topology import Cut

SLOW_PATH, STILL_PATH = OWN_PATHS = "slow-readers", "standing-still"
DELAY = "distance"
AWAY = "region away"
POLL_INTERVAL_S = 0.1
RESTART_DOWNTIME_S = 0.5  # a router's restart
ROUTERS_PER_SLOW_ONE = 10
FOLLOW_TIMEOUT_S = 60.0
DIGEST_TIMEOUT_S = 120.0  # for an hour's purges, which come to the control machines all at once


class Faults:
    """The events of one scenario, on one fleet. Times are seconds of the load."""

    def __init__(self, fleet: Fleet, scenario: Scenario, seconds: float) -> None:
        self._fleet = fleet
        self._scenario = scenario
        self._seconds = seconds
        self.first_purge = 0  # the first of the load
        self.return_s: float | None = None
        self.return_bytes_per_router: float | None = None
        self._cut_paths: set[str] = set()
        self._held: dict[str, set[str]] = {}  # by the fault that cuts them
        self._tasks: list[asyncio.Task[None]] = []
        self._away = next((event for event in scenario.events if isinstance(event, RegionAway)), None)
        self._choose_paths()

    def networked(self, all_paths: bool) -> set[str]:
        """The paths that must lead through a network: all of them, or those that the scenario cuts."""
        paths = self._fleet.paths
        if all_paths or self._fleet.topology.cuts:
            return set(paths.values())
        found = {path for path in paths.values() if path in OWN_PATHS}
        if self._away is not None:
            found |= {paths[name] for name in self._away_region()}
        return found

    def _choose_paths(self) -> None:
        """Give what can be cut by itself a path of its own: racks that are, and every tenth router where
        these are slow, by turns of either kind."""
        cuts = self._fleet.topology.cuts.values()
        if all(cut.region is not None for cut in cuts):
            self._fleet.inside = set(self._fleet.topology.form.zones)
        racks = {cut.rack for cut in cuts if cut.rack is not None}
        slow = any(isinstance(event, Slow) for event in self._scenario.events)
        for number, place in enumerate(self._fleet.places.values()):
            if place.rack in racks:
                self._fleet.paths[place.name] = place.rack
            elif slow and number % ROUTERS_PER_SLOW_ONE == 0:
                self._fleet.paths[place.name] = (
                    STILL_PATH if number // ROUTERS_PER_SLOW_ONE % 2 else SLOW_PATH
                )

    def reachable_paths(self) -> frozenset[str] | None:
        """The paths on which control can be heard now; None for all."""
        if not self._cut_paths:
            return None
        return frozenset(self._fleet.paths.values()) - self._cut_paths

    def restart_one(self) -> None:
        """A router restarts, the one whose name comes first in an order that is as good as random."""
        if self._fleet.live:
            name = min(self._fleet.live, key=lambda name: name[::-1])
            self._spawn(self._restart([name], RESTART_DOWNTIME_S))

    def _spawn(self, doing: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.ensure_future(doing))

    async def close(self) -> None:
        """Call off what is under way; raises what went wrong in any of it."""
        for task in self._tasks:
            task.cancel()
        for found in await asyncio.gather(*self._tasks, return_exceptions=True):
            if isinstance(found, Exception):
                raise found

    # --- before the load

    async def before(self, purges_per_s: float) -> None:
        """Start all routers, and bring about what holds when the load begins."""
        fleet = self._fleet
        if fleet.networks:
            delays = {fleet.paths[p.name]: fleet.topology.delay_ms(p.zone) for p in fleet.places.values()}
            far = {path: ms for path, ms in delays.items() if ms and path not in OWN_PATHS}
            if far:
                await fleet.put_fault(InjectFault(why=DELAY, paths=sorted(far), delay_ms=far))
        gone = self._away_region() if self._away is not None else []
        if (away := self._away) is not None:
            await fleet.start_routers(gone)
            await self._cut(AWAY, {fleet.paths[name] for name in gone})
            await fleet.purge(int(away.seconds * purges_per_s), away.seconds)
            await fleet.tell_made()
            async with asyncio.timeout(DIGEST_TIMEOUT_S):
                while not await fleet.digested({fleet.places[name].zone for name in gone}):
                    await asyncio.sleep(POLL_INTERVAL_S)
            await asyncio.sleep(fleet.tier.forgets_after_s)
        await fleet.start_routers([name for name in fleet.places if name not in gone])
        async with asyncio.timeout(FOLLOW_TIMEOUT_S):
            while not await fleet.all_follow():
                await asyncio.sleep(POLL_INTERVAL_S)
        self.first_purge = fleet.purges

    def _away_region(self) -> list[str]:
        """The routers of the last region by name that control does not stand in."""
        places = self._fleet.places.values()
        control = self._fleet.topology.form.control
        regions = sorted({place.region for place in places} - {control}) or [control]
        return [place.name for place in places if place.region == regions[-1]]

    # --- during the load

    async def play(self) -> None:
        """Carry out all events at their times, each by itself; returns when all are over."""
        for event in self._scenario.events:
            self._spawn(self._at(event))
        for name, cut in self._fleet.topology.cuts.items():
            self._spawn(self._cut_for(name, cut))
        await asyncio.gather(*self._tasks)

    async def _at(self, event: Event) -> None:
        match event:
            case Crash():
                await self._crash(event)
            case RegionAway():
                await self._come_back(event)
            case Slow():
                await self._slow_down(event)
            case ControlLost():
                await self._lose_control(event)

    async def _wait(self, share: float) -> None:
        await asyncio.sleep(share * self._seconds)

    async def _crash(self, event: Crash) -> None:
        await self._wait(event.at)
        names = self._taken(event.scope)
        if event.back_after_s is None:
            fleet = self._fleet
            whole = event.scope is Scope.ZONE
            zones = {fleet.places[name].zone for name in names} if whole else set[str]()
            await asyncio.gather(fleet.crash_routers(names), *map(fleet.tier.lose_zone, zones))
        else:
            await self._restart(names, event.back_after_s)

    async def _restart(self, names: list[str], after_s: float) -> None:
        await self._fleet.crash_routers(names)
        await asyncio.sleep(after_s)
        await self._fleet.start_routers(names)

    def _taken(self, scope: Scope) -> list[str]:
        """The live routers of the fullest rack or zone, or every tenth one."""
        live = [place for place in self._fleet.places.values() if place.name in self._fleet.live]
        if scope is Scope.TENTH:
            return [place.name for place in live[::ROUTERS_PER_SLOW_ONE]]
        by = {place.name: place.rack if scope is Scope.RACK else place.zone for place in live}
        largest = max(sorted(set(by.values())), key=list(by.values()).count)
        return [name for name, at in by.items() if at == largest]

    async def _come_back(self, event: RegionAway) -> None:
        """The region's cut ends; wait until all in it have everything."""
        await self._wait(event.until)
        fleet = self._fleet
        names = self._away_region()
        counter = fleet.counter_of({fleet.paths[name] for name in names})
        first = await counter.look() if counter is not None else 0
        await self._heal(AWAY)
        self._spawn(self._until_back(names, counter, first))

    async def _until_back(self, names: list[str], counter: Counter | None, first: int) -> None:
        """Wait until none of these lacks anything, and note how long that took, and how many bytes."""
        loop = asyncio.get_running_loop()
        begin = loop.time()
        while await self._fleet.behind(names):
            await asyncio.sleep(POLL_INTERVAL_S)
        self.return_s = round(loop.time() - begin, 2)
        if counter is not None:
            self.return_bytes_per_router = round((await counter.look() - first) / len(names))

    async def _slow_down(self, event: Slow) -> None:
        await self._wait(event.begin)
        await self._cut(STILL_PATH, {STILL_PATH} & set(self._fleet.paths.values()))
        slow = InjectFault(why=SLOW_PATH, paths=[SLOW_PATH], kb_per_s=event.kb_per_s, direction="to-routers")
        await self._fleet.put_fault(slow)
        self._cut_paths.add(SLOW_PATH)
        await self._wait(event.until - event.begin)
        await self._heal(STILL_PATH)
        await self._fleet.heal_fault(SLOW_PATH)
        self._cut_paths.discard(SLOW_PATH)

    async def _lose_control(self, event: ControlLost) -> None:
        await self._wait(event.at)
        await self._fleet.tier.lose(event.machines, CONTROL_LOSS_S)

    # --- cuts

    async def _cut_for(self, name: str, cut: Cut) -> None:
        """A cut of the topology's file."""
        await asyncio.sleep(cut.from_s)
        paths = {self._fleet.paths[place.name] for place in self._fleet.topology.within(cut)}
        await self._cut(f"cut {name}", paths, cut.direction)
        await asyncio.sleep(cut.to_s - cut.from_s)
        await self._heal(f"cut {name}")

    async def _cut(self, why: str, paths: set[str], direction: Any = "both") -> None:
        self._held[why] = paths
        self._cut_paths |= paths
        await self._fleet.put_fault(InjectFault(why=why, paths=sorted(paths), cut=True, direction=direction))

    async def _heal(self, why: str) -> None:
        self._cut_paths -= self._held.pop(why)
        await self._fleet.heal_fault(why)
