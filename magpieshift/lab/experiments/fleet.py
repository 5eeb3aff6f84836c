"""What a whole fleet did, counted from its routers' logs: one file a router, written with ``EDGE_TRACE=1``.

Each router knows only itself, so what all of them do to one store together shows nowhere else.
"""

from __future__ import annotations

import re
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

KINDS: dict[str, tuple[str, ...]] = {  # the events that count (``engine.trace``), and what each must tell
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
"""Events that end a request, with the names of their counts."""
PAIR = re.compile(r'(\w+)=(?:"((?:[^"\\]|\\.)*)"|(\S*))')
"""One ``key=value`` of a log line, its value quoted if it is more than a word (``magpieshift.log``)."""


@dataclass(slots=True)
class Line:
    """One traced event of one router."""

    at_s: float
    router: str
    event: str
    pairs: dict[str, str]


def read(folder: Path) -> list[Line]:
    """All traced lines of a folder of logs, by their times; ``ValueError`` where there are none."""
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
            except ValueError:  # a line cut off by a router's end
                continue


@dataclass
class _Request:
    asked_s: float
    last: str = "none sent"
    out: tuple[str, str] = ("-", "-")  # the store asked last, and its source


@dataclass
class Counts:
    """What was counted, by second since the first line."""

    routers: int = 0
    seconds: dict[int, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    stores: dict[str, dict[int, Counter[str]]] = field(
        default_factory=lambda: defaultdict(lambda: defaultdict(Counter))
    )
    refusals: Counter[str] = field(default_factory=Counter)  # by what came right before
    gone_after_s: dict[str, float] = field(default_factory=dict)  # how long it was asked in vain

    def rows(self) -> list[dict[str, object]]:
        names = sorted({name for counter in self.seconds.values() for name in counter})
        return [
            {"second": at, **{name: self.seconds[at][name] for name in names}} for at in sorted(self.seconds)
        ]

    def store_rows(self) -> list[dict[str, object]]:
        """A row a store: what it was asked in all, in its busiest second, and how that ended."""
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


def count(lines: Iterable[Line]) -> Counts:
    """Count over all routers; lines come in the order of their times."""
    counts = Counts()
    requests = dict[tuple[str, str], _Request]()
    start = -1.0
    routers = set[str]()
    heard = dict[str, float]()
    for line in lines:
        start = line.at_s if start < 0 else start
        routers.add(line.router)
        at = int(line.at_s - start)
        pairs = line.pairs
        second = counts.seconds[at]
        key = (line.router, pairs.get("request_number", ""))
        if line.event == "connecting":
            second["connections"] += 1
        elif line.event == "request received":
            requests[key] = _Request(line.at_s)
            second["asked"] += 1
        elif key not in requests:
            continue
        elif line.event == "attempt started":
            store = pairs["endpoint"]
            source = pairs["source"]
            filled = source not in ("-", store)
            requests[key].out = store, source if filled else "-"
            second["fills" if filled else "asks"] += 1
            counts.stores[store][at]["asked"] += 1
            if filled:
                counts.stores[source][at]["fills"] += 1
        elif line.event == "attempt ended":
            request = requests[key]
            ok = pairs["outcome"] == "ok"
            request.last = f"{pairs['outcome']}/{pairs['cache_status']}"
            second[request.last] += 1
            for store in request.out:
                if store != "-":
                    counts.stores[store][at]["ok" if ok or pairs["outcome"] == "miss" else "bad"] += 1
                    if ok or (pairs["outcome"] == "miss" and store == request.out[0]):
                        heard[store] = line.at_s
                    else:
                        silent = line.at_s - heard.get(store, start)
                        counts.gone_after_s[store] = max(counts.gone_after_s.get(store, 0.0), silent)
        else:
            request = requests.pop(key)
            second[FINAL[line.event]] += 1
            if line.event == "request rejected":
                held = "at once" if line.at_s - request.asked_s < 0.01 else "after waiting"
                counts.refusals[f"{request.last} {held}"] += 1
    counts.routers = len(routers)
    return counts
