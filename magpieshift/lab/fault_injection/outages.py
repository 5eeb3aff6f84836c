"""When routers could not answer, could not read the change log, or could do nothing at all."""

from __future__ import annotations

import time

from magpieshift.lab.fault_injection.network import LinkFault

KNOWS_S = 3.0  # after a cut from the change log, or a pause, by when a router has read on
Span = tuple[float, float]
"""From when until when, on the steady clock in seconds; the end of one that lasts is infinite."""
Idle = tuple[str, int, float, float]
"""A router, which start of it, and from when until when it could do nothing."""
ENDLESS = float("inf")


class Outages:
    """What a run's rules grant each router for the faults that it was given."""

    def __init__(self) -> None:
        self.idle: list[Idle] = []
        self._away: dict[str, list[Span]] = {}  # when a router could not answer
        self._deaf: dict[str, list[Span]] = {}  # when the change log did not reach it

    def leave(self, name: str, in_s: float = 0.0) -> None:
        """From now, or so long from now, on it cannot answer."""
        self._away.setdefault(name, []).append((time.monotonic() + in_s, ENDLESS))

    def back(self, name: str) -> None:
        """It answers again."""
        spans = self._away.setdefault(name, [])
        if spans and spans[-1][1] == ENDLESS:
            spans[-1] = spans[-1][0], time.monotonic()

    def stopped(self, name: str, start: int) -> None:
        """From now on a process does nothing any more."""
        self.idle.append((name, start, time.monotonic(), ENDLESS))

    def resumed(self, name: str) -> None:
        """The process of a router that stopped last goes on."""
        last = max(i for i, idle in enumerate(self.idle) if idle[0] == name)
        self.idle[last] = (*self.idle[last][:3], time.monotonic())

    def note_log(self, name: str, faults: list[LinkFault]) -> None:
        """What lies between a router and the change log at this moment."""
        now = time.monotonic()
        spans = self._deaf.setdefault(name, [])
        if any(f.cut or f.silent or f.reset or f.delay_ms or f.kb_per_s for f in faults):
            if not spans or spans[-1][1] != ENDLESS:
                spans.append((now, ENDLESS))
        elif spans and spans[-1][1] == ENDLESS:
            spans[-1] = (spans[-1][0], now)

    def knew(self, name: str, told: float) -> float:
        """When this router could know what was told at that (Unix) time: one that is cut off from the change
        log, or stands still, only afterwards."""
        shift = time.time() - time.monotonic()
        spans = self._deaf.get(name, []) + self._away.get(name, [])
        knew = told
        for since, until in sorted(spans):
            if since + shift - KNOWS_S <= knew <= until + shift + KNOWS_S:
                knew = until + shift + KNOWS_S
        return knew

    def away_since(self, name: str, began: float) -> bool:
        """Whether it could not answer at some time from then until now."""
        now = time.monotonic()
        return any(since <= now and began <= until for since, until in self._away.get(name, []))
