"""Counts the traced events of a whole fleet from its routers' logs: one file per router, written with
``EDGE_TRACE=1``.

Each router counts only its own requests, so the total load on an endpoint appears only here.
"""

from __future__ import annotations

import re
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

# Counted events (``engine.trace``), with the fields that each must have.
COUNTED_EVENTS: dict[str, tuple[str, ...]] = {
    "request received": (),
    "request rejected": (),
    "request failed": (),
    "client disconnected": (),
    "attempt started": ("endpoint", "source"),
    "attempt ended": ("outcome", "cache_status"),
    "connecting": (),
    "endpoint listed": (),
}
ENDING_EVENTS = {"request rejected": "refused", "request failed": "failed", "client disconnected": "left"}
"""Names of the counts of the events that end a request, by event."""
FIELD_PATTERN = re.compile(r'(\w+)=(?:"((?:[^"\\]|\\.)*)"|(\S*))')
"""Matches one ``key=value`` of a log line; values of more than one word are quoted (``magpieshift.log``)."""


@dataclass(slots=True)
class TracedEvent:
    """One traced event of one router."""

    at_s: float
    router: str
    event: str
    fields: dict[str, str]


def read(folder: Path) -> list[TracedEvent]:
    """Return the traced lines of all logs in a folder, in the order of their times.

    Raises ``ValueError`` if there are none.
    """
    lines = [line for path in sorted(folder.glob("*.log")) if path.is_file() for line in _read(path)]
    if not lines:
        raise ValueError(f"{folder}: found no traced lines in *.log, expected logs of EDGE_TRACE=1")
    return sorted(lines, key=lambda line: line.at_s)


def _read(path: Path) -> Iterator[TracedEvent]:
    with path.open(encoding="utf-8", errors="replace") as file:
        for text in file:
            fields = {name: quoted or bare for name, quoted, bare in FIELD_PATTERN.findall(text)}
            required = COUNTED_EVENTS.get(fields.get("event", ""))
            if required is None or not fields.keys() >= {"time", *required}:
                continue
            try:
                yield TracedEvent(float(fields["time"]), path.stem, fields["event"], fields)
            except ValueError:  # a line cut off because the router ended
                continue


IMMEDIATE_REJECTION_S = 0.01
"""Time since a request's receipt below which a rejection counts as immediate, that is, without waiting."""


@dataclass
class _Request:
    received_s: float
    last_outcome: str = "none sent"
    endpoints: tuple[str, str] = ("-", "-")  # of the latest attempt: endpoint, and the source if it is a fill


@dataclass
class Counts:
    """Counts by second since the first line, and by endpoint."""

    routers: int = 0
    seconds: dict[int, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    by_endpoint: dict[str, dict[int, Counter[str]]] = field(
        default_factory=lambda: defaultdict(lambda: defaultdict(Counter))
    )
    rejections: Counter[str] = field(default_factory=Counter)
    """Number of rejections, by outcome of the request's last attempt and whether the request waited."""
    unanswered_s: dict[str, float] = field(default_factory=dict)
    """Longest time in which an endpoint received requests without a successful answer, by endpoint."""

    def rows(self) -> list[dict[str, object]]:
        """Return a row for each second, with a column for each count."""
        names = sorted({name for counter in self.seconds.values() for name in counter})
        return [
            {"second": second, **{name: self.seconds[second][name] for name in names}}
            for second in sorted(self.seconds)
        ]

    def endpoint_rows(self) -> list[dict[str, object]]:
        """Return a row for each endpoint: all its requests, those in its busiest second, and outcomes."""
        rows = []
        for endpoint, seconds in sorted(self.by_endpoint.items()):
            total: Counter[str] = sum(seconds.values(), Counter())
            max_per_second = max(counter["asked"] + counter["fills"] for counter in seconds.values())
            rows.append(
                {
                    "store": endpoint,
                    "asked": total["asked"],
                    "fills": total["fills"],
                    "most_a_second": max_per_second,
                    "ok": total["ok"],
                    "bad": total["bad"],
                    "silent_for_s": round(self.unanswered_s.get(endpoint, 0.0), 1),
                }
            )
        return rows


class _LogCounter:
    """Counts the lines of all routers, which must come in the order of their times."""

    def __init__(self) -> None:
        self.counts = Counts()
        self._requests: dict[tuple[str, str], _Request] = {}
        """Open requests, by router and by the router's request number."""
        self._start_s = -1.0
        """Time of the first line; -1 before it."""
        self._routers: set[str] = set()
        self._last_success_s: dict[str, float] = {}
        """Time of the last successful answer of each endpoint."""

    def count_line(self, line: TracedEvent) -> None:
        """Count one line."""
        self._start_s = line.at_s if self._start_s < 0 else self._start_s
        self._routers.add(line.router)
        self.counts.routers = len(self._routers)
        second = int(line.at_s - self._start_s)
        key = (line.router, line.fields.get("request_number", ""))
        if line.event == "connecting":
            self.counts.seconds[second]["connections"] += 1
        elif line.event == "request received":
            self._requests[key] = _Request(line.at_s)
            self.counts.seconds[second]["asked"] += 1
        elif key not in self._requests:
            return
        elif line.event == "attempt started":
            self._attempt_started(second, line, self._requests[key])
        elif line.event == "attempt ended":
            self._attempt_ended(second, line, self._requests[key])
        else:
            self._request_ended(second, line, self._requests.pop(key))

    def _attempt_started(self, second: int, line: TracedEvent, request: _Request) -> None:
        endpoint = line.fields["endpoint"]
        source = line.fields["source"]
        is_fill = source not in ("-", endpoint)
        request.endpoints = endpoint, source if is_fill else "-"
        self.counts.seconds[second]["fills" if is_fill else "asks"] += 1
        self.counts.by_endpoint[endpoint][second]["asked"] += 1
        if is_fill:
            self.counts.by_endpoint[source][second]["fills"] += 1

    def _attempt_ended(self, second: int, line: TracedEvent, request: _Request) -> None:
        outcome = line.fields["outcome"]
        request.last_outcome = f"{outcome}/{line.fields['cache_status']}"
        self.counts.seconds[second][request.last_outcome] += 1
        for endpoint in request.endpoints:
            if endpoint != "-":
                self.counts.by_endpoint[endpoint][second]["ok" if outcome in ("ok", "miss") else "bad"] += 1
                has_answered = outcome == "ok" or (outcome == "miss" and endpoint == request.endpoints[0])
                self._record_answer(endpoint, line.at_s, has_answered)

    def _record_answer(self, endpoint: str, at_s: float, has_answered: bool) -> None:
        """Record a successful answer of an endpoint, or an attempt without one."""
        if has_answered:
            self._last_success_s[endpoint] = at_s
            return
        silent_s = at_s - self._last_success_s.get(endpoint, self._start_s)
        self.counts.unanswered_s[endpoint] = max(self.counts.unanswered_s.get(endpoint, 0.0), silent_s)

    def _request_ended(self, second: int, line: TracedEvent, request: _Request) -> None:
        self.counts.seconds[second][ENDING_EVENTS[line.event]] += 1
        if line.event == "request rejected":
            wait = "at once" if line.at_s - request.received_s < IMMEDIATE_REJECTION_S else "after waiting"
            self.counts.rejections[f"{request.last_outcome} {wait}"] += 1


def count(lines: Iterable[TracedEvent]) -> Counts:
    """Count the lines of all routers, which must be in the order of their times."""
    counter = _LogCounter()
    for line in lines:
        counter.count_line(line)
    return counter.counts
