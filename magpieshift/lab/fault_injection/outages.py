"""Records when routers could not answer, could not read the change log, or were halted."""

from __future__ import annotations

import time
from dataclasses import dataclass

from magpieshift.lab.fault_injection.link_faults import LinkFault

CATCH_UP_S = 3.0
"""Time in seconds that a router may take to catch up after a cut from the change log or a pause. A shorter
one reports violations on slow machines, a longer one hides real violations."""
ENDLESS = float("inf")
"""End of a span that has not ended."""
Span = tuple[float, float]
"""Start and end in steady time, in seconds."""


@dataclass(frozen=True)
class Halt:
    """A period in which one process of a router was paused or dead."""

    router: str
    start: int
    """Number of the process among the router's, from 1."""
    since_s: float
    """Steady time of the halt in seconds."""
    until_s: float
    """Steady time of the resumption in seconds; infinite if the process was not resumed."""


class Outages:
    """The periods for which the checks of a run make allowances, by router, because of injected faults."""

    def __init__(self) -> None:
        self.halts: list[Halt] = []
        """Periods in which processes were paused or dead, ordered by start."""
        self._unavailable: dict[str, list[Span]] = {}
        """Periods in which a router could not answer, by router."""
        self._cut_off: dict[str, list[Span]] = {}
        """Periods in which faults affected a router's connection to the change log, by router."""

    def router_unavailable(self, name: str, delay_s: float = 0.0) -> None:
        """Record that the router cannot answer from ``delay_s`` seconds after now on."""
        self._unavailable.setdefault(name, []).append((time.monotonic() + delay_s, ENDLESS))

    def router_available(self, name: str) -> None:
        """Record that the router answers again."""
        spans = self._unavailable.setdefault(name, [])
        if spans and spans[-1][1] == ENDLESS:
            spans[-1] = spans[-1][0], time.monotonic()

    def process_halted(self, name: str, start: int) -> None:
        """Record that this process of the router is halted, until ``process_resumed`` if it is called."""
        self.halts.append(Halt(name, start, time.monotonic(), ENDLESS))

    def process_resumed(self, name: str) -> None:
        """Record that the router's most recently halted process runs again."""
        last = max(i for i, halt in enumerate(self.halts) if halt.router == name)
        halt = self.halts[last]
        self.halts[last] = Halt(halt.router, halt.start, halt.since_s, time.monotonic())

    def record_log_faults(self, name: str, faults: list[LinkFault]) -> None:
        """Record the present faults between a router and the change log."""
        now = time.monotonic()
        spans = self._cut_off.setdefault(name, [])
        if any(f.cut or f.silent or f.reset or f.delay_ms or f.kb_per_s for f in faults):
            if not spans or spans[-1][1] != ENDLESS:
                spans.append((now, ENDLESS))
        elif spans and spans[-1][1] == ENDLESS:
            spans[-1] = (spans[-1][0], now)

    def known_at(self, name: str, published_s: float) -> float:
        """Return the Unix time at which this router could know of an event published at ``published_s``.

        An event that is published while the router is cut off from the change log or cannot answer, or up to
        ``CATCH_UP_S`` before or after that period, counts as known ``CATCH_UP_S`` after its end.
        """
        unix_offset_s = time.time() - time.monotonic()
        spans = self._cut_off.get(name, []) + self._unavailable.get(name, [])
        known_s = published_s
        for since, until in sorted(spans):
            if since + unix_offset_s - CATCH_UP_S <= known_s <= until + unix_offset_s + CATCH_UP_S:
                known_s = until + unix_offset_s + CATCH_UP_S
        return known_s

    def unavailable_since(self, name: str, since_s: float) -> bool:
        """Return whether the router could not answer at some time since this steady time."""
        now = time.monotonic()
        return any(since <= now and since_s <= until for since, until in self._unavailable.get(name, []))
