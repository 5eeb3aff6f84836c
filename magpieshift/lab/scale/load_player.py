"""Applies a schedule of arrivals to a fleet in real time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from magpieshift.lab.scale.fleet import Fleet
from magpieshift.lab.scale.load import Arrival, Kind


class LoadPlayer:
    """Applies the arrivals of one load, and owns the publications in progress. ``reachable`` returns the
    paths on which control can be reached (None: all), ``restart`` restarts a router."""

    def __init__(
        self, fleet: Fleet, reachable: Callable[[], frozenset[str] | None], restart: Callable[[], None]
    ) -> None:
        self._fleet = fleet
        self._reachable = reachable
        self._restart = restart
        self._publishing: list[asyncio.Task[None]] = []

    async def play(self, schedule: Sequence[Arrival], seconds: float) -> None:
        """Apply each arrival at its time; returns after ``seconds``, once all versions are published."""
        loop = asyncio.get_running_loop()
        begin = loop.time()
        at = 0
        while at < len(schedule):
            await asyncio.sleep(schedule[at].at_s - (loop.time() - begin))
            purges = 0
            while at < len(schedule) and schedule[at].at_s <= loop.time() - begin:
                if schedule[at].kind is Kind.PURGE:
                    purges += 1
                else:
                    await self._play_arrival(schedule[at].kind)
                at += 1
            await self._fleet.purge(purges)
        await asyncio.sleep(seconds - (loop.time() - begin))
        await asyncio.gather(*self._publishing)

    async def _play_arrival(self, kind: Kind) -> None:
        match kind:
            case Kind.VERSION:
                # a task, so that purges continue while it waits for an unreachable control service
                publishing = self._fleet.publish(self._reachable())
                self._publishing.append(asyncio.ensure_future(publishing))
            case Kind.LIST_CHANGE:
                await self._fleet.change_list()
            case Kind.RESTART:
                self._restart()

    def close(self) -> None:
        """Cancel the publications in progress."""
        for task in self._publishing:
            task.cancel()
