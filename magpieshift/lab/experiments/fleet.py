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
KINDS: dict[str, tuple[str, ...]] = {
    "request received": (),
    "request rejected": (),
    "request failed": (),
    "client disconnected": (),
    "attempt started": ("endpoint", "source"),
    "attempt ended": ("outcome", "cache_status"),
    "connecting": (),
    "endpoint listed": (),
}
FINAL = {"request rejected": "refused", "request failed": "failed", "client disconnected": "left"}
"""Names of the counts of the events that end a request, by event."""
PAIR = re.compile(r'(\w+)=(?:"((?:[^"\\]|\\.)*)"|(\S*))')
"""Matches one ``key=value`` of a log line; values of more than one word are quoted (``magpieshift.log``)."""


@dataclass(slots=True)
class Line:
    """One traced event of one router."""

    at_s: float
    router: str
    event: str
    pairs: dict[str, str]


def read(folder: Path) -> list[Line]:
    """Return the traced lines of all logs in a folder, in the order of their times.

    Raises ``ValueError`` if there are none.
    """
    lines = [line for path in sorted(folder.glob("*.log")) if path.is_file() for line in _read(path)]
    if not lines:
        raise ValueError(f"{folder}: found no traced lines in *.log, expected logs of EDGE_TRACE=1")
    return sorted(lines, key=lambda line: line.at_s)


def _read(path: Path) -> Iterator[Line]:
    with path.open(encoding="utf-8", errors="replace") as file:
        for text in file:
            pairs = {name: quoted or bare for name, quoted, bare in PAIR.findall(text)}
            needed = KINDS.get(pairs.get("event", ""))
            if needed is None or not pairs.keys() >= {"time", *needed}:
                continue
            try:
                yield Line(float(pairs["time"]), path.stem, pairs["event"], pairs)
            except ValueError:  # a line cut off because the router ended
                continue


AT_ONCE_S = 0.01
"""Time after a request's receipt within which a rejection counts as immediate, without waiting."""


@dataclass
class _Request:
    asked_s: float
    last: str = "none sent"
    out: tuple[str, str] = ("-", "-")  # endpoint of the latest attempt, and the fill's source


@dataclass
class Counts:
    """Counts by second since the first line, and by endpoint."""

    routers: int = 0
    seconds: dict[int, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    stores: dict[str, dict[int, Counter[str]]] = field(
        default_factory=lambda: defaultdict(lambda: defaultdict(Counter))
    )
    refusals: Counter[str] = field(default_factory=Counter)
    """Number of rejections, by outcome of the request's last attempt and whether the request waited."""
    gone_after_s: dict[str, float] = field(default_factory=dict)
    """Longest time in which an endpoint received requests without a successful answer, by endpoint."""

    def rows(self) -> list[dict[str, object]]:
        """Return a row for each second, with a column for each count."""
        names = sorted({name for counter in self.seconds.values() for name in counter})
        return [
            {"second": at, **{name: self.seconds[at][name] for name in names}} for at in sorted(self.seconds)
        ]

    def store_rows(self) -> list[dict[str, object]]:
        """Return a row for each endpoint: all its requests, those in its busiest second, and outcomes."""
        found = []
        for store, seconds in sorted(self.stores.items()):
            total: Counter[str] = sum(seconds.values(), Counter())
            most = max(counter["asked"] + counter["fills"] for counter in seconds.values())
            found.append(
                {
                    "store": store,
                    "asked": total["asked"],
                    "fills": total["fills"],
                    "most_a_second": most,
                    "ok": total["ok"],
                    "bad": total["bad"],
                    "silent_for_s": round(self.gone_after_s.get(store, 0.0), 1),
                }
            )
        return found


class _LogCounter:
    """Counts the lines of all routers, which must come in the order of their times."""

    def __init__(self) -> None:
        self.counts = Counts()
        self._requests: dict[tuple[str, str], _Request] = {}
        """Open requests, by router and by the router's request number."""
        self._start_s = -1.0
        """Time of the first line; -1 before it."""
        self._routers: set[str] = set()
        self._heard_s: dict[str, float] = {}
        """Time of the last successful answer of each endpoint."""

    def take(self, line: Line) -> None:
        """Count one line."""
        self._start_s = line.at_s if self._start_s < 0 else self._start_s
        self._routers.add(line.router)
        self.counts.routers = len(self._routers)
        at = int(line.at_s - self._start_s)
        key = (line.router, line.pairs.get("request_number", ""))
        if line.event == "connecting":
            self.counts.seconds[at]["connections"] += 1
        elif line.event == "request received":
            self._requests[key] = _Request(line.at_s)
            self.counts.seconds[at]["asked"] += 1
        elif key not in self._requests:
            return
        elif line.event == "attempt started":
            self._attempt_started(at, line, self._requests[key])
        elif line.event == "attempt ended":
            self._attempt_ended(at, line, self._requests[key])
        else:
            self._request_ended(at, line, self._requests.pop(key))

    def _attempt_started(self, at: int, line: Line, request: _Request) -> None:
        store = line.pairs["endpoint"]
        source = line.pairs["source"]
        filled = source not in ("-", store)
        request.out = store, source if filled else "-"
        self.counts.seconds[at]["fills" if filled else "asks"] += 1
        self.counts.stores[store][at]["asked"] += 1
        if filled:
            self.counts.stores[source][at]["fills"] += 1

    def _attempt_ended(self, at: int, line: Line, request: _Request) -> None:
        outcome = line.pairs["outcome"]
        request.last = f"{outcome}/{line.pairs['cache_status']}"
        self.counts.seconds[at][request.last] += 1
        for store in request.out:
            if store != "-":
                self.counts.stores[store][at]["ok" if outcome in ("ok", "miss") else "bad"] += 1
                has_answered = outcome == "ok" or (outcome == "miss" and store == request.out[0])
                self._note_heard(store, line.at_s, has_answered)

    def _note_heard(self, store: str, at_s: float, has_answered: bool) -> None:
        """Record a successful answer of an endpoint, or an attempt without one."""
        if has_answered:
            self._heard_s[store] = at_s
            return
        silent_s = at_s - self._heard_s.get(store, self._start_s)
        self.counts.gone_after_s[store] = max(self.counts.gone_after_s.get(store, 0.0), silent_s)

    def _request_ended(self, at: int, line: Line, request: _Request) -> None:
        self.counts.seconds[at][FINAL[line.event]] += 1
        if line.event == "request rejected":
            held = "at once" if line.at_s - request.asked_s < AT_ONCE_S else "after waiting"
            self.counts.refusals[f"{request.last} {held}"] += 1


def count(lines: Iterable[Line]) -> Counts:
    """Count the lines of all routers, which must be in the order of their times."""
    counter = _LogCounter()
    for line in lines:
        counter.take(line)
    return counter.counts
