"""When routers could not answer, could not read the change log, or were halted altogether."""

from __future__ import annotations

import time
from dataclasses import dataclass

from magpieshift.lab.fault_injection.network import LinkFault

CATCH_UP_S = 3.0
"""Seconds after a cut from the change log, or a pause, by when a router has read on; less
turns slow machines into breaches of the rules, more excuses real ones."""
ENDLESS = float("inf")
"""End of a span that lasts."""
Span = tuple[float, float]
"""From when until when, in seconds on the steady clock."""


@dataclass(frozen=True)
class Halt:
    """When one process of a router was paused or dead."""

    router: str
    start: int
    """Which process of the router, counted from 1."""
    since_s: float
    """When it halted, in seconds on the steady clock."""
    until_s: float
    """When it was resumed; infinite for one that is not."""


class Outages:
    """What a run's rules excuse each router from, for the faults that were injected."""

    def __init__(self) -> None:
        self.halts: list[Halt] = []
        """When processes were paused or dead, in order of their beginning."""
        self._unavailable: dict[str, list[Span]] = {}
        """By router, when it could not answer."""
        self._cut_off: dict[str, list[Span]] = {}
        """By router, when the change log did not reach it."""

    def router_unavailable(self, name: str, delay_s: float = 0.0) -> None:
        """From now on, or from so many seconds from now, the router cannot answer."""
        self._unavailable.setdefault(name, []).append((time.monotonic() + delay_s, ENDLESS))

    def router_available(self, name: str) -> None:
        """The router answers again."""
        spans = self._unavailable.setdefault(name, [])
        if spans and spans[-1][1] == ENDLESS:
            spans[-1] = spans[-1][0], time.monotonic()

    def process_halted(self, name: str, start: int) -> None:
        """From now on this process of the router does nothing, until ``process_resumed`` if ever."""
        self.halts.append(Halt(name, start, time.monotonic(), ENDLESS))

    def process_resumed(self, name: str) -> None:
        """The process of the router that halted last goes on."""
        last = max(i for i, halt in enumerate(self.halts) if halt.router == name)
        halt = self.halts[last]
        self.halts[last] = Halt(halt.router, halt.start, halt.since_s, time.monotonic())

    def record_log_faults(self, name: str, faults: list[LinkFault]) -> None:
        """Record the faults that lie between a router and the change log at this moment."""
        now = time.monotonic()
        spans = self._cut_off.setdefault(name, [])
        if any(f.cut or f.silent or f.reset or f.delay_ms or f.kb_per_s for f in faults):
            if not spans or spans[-1][1] != ENDLESS:
                spans.append((now, ENDLESS))
        elif spans and spans[-1][1] == ENDLESS:
            spans[-1] = (spans[-1][0], now)

    def known_at(self, name: str, published_s: float) -> float:
        """Return when this router could know what was announced at that Unix time in seconds.

        One that was cut off from the change log, or could not answer, knew only ``CATCH_UP_S`` afterwards; so
        did one to which it was announced up to ``CATCH_UP_S`` before or after that.
        """
        unix_offset_s = time.time() - time.monotonic()
        spans = self._cut_off.get(name, []) + self._unavailable.get(name, [])
        known_s = published_s
        for since, until in sorted(spans):
            if since + unix_offset_s - CATCH_UP_S <= known_s <= until + unix_offset_s + CATCH_UP_S:
                known_s = until + unix_offset_s + CATCH_UP_S
        return known_s

    def unavailable_since(self, name: str, since_s: float) -> bool:
        """Whether the router could not answer at some time from then (steady clock) until now."""
        now = time.monotonic()
        return any(since <= now and since_s <= until for since, until in self._unavailable.get(name, []))
