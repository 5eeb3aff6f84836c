"""A router that cannot keep up sends some of its clients to its neighbours, as many as those can bear and
no more. A state machine told figures and the time; no I/O.

What is handed over is refused at once with a short time to return; the client's next try goes to another
router. There is one hand-over at most: a marked repeat is never handed over, nor is a write. Which requests
go is a hash of their object, so the same ones go as long as the share stays. Where no neighbour has said
lately that it has room, nobody is sent anywhere, and the router goes on as it would by itself."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

# pressure at which it begins, and under which it ends
HIGH = 0.9
LOW = 0.6
SURE_US = 500_000  # over HIGH for so long before it begins
DWELL_US = 30_000_000  # between two beginnings: under a steady load two changes a minute at most
FRESH_US = 2_000_000  # a neighbour's word of itself counts for so long
MOST_SHARE = 0.5  # of its requests, whatever the neighbours say
MOST_EACH = 0.25  # of its own rate: what any one neighbour is credited with, who may claim anything
STEP = 0.1  # by which the share follows what is wanted, a turn
MOST_NEIGHBOURS = 64


@dataclass(frozen=True, slots=True)
class Neighbour:
    """What a neighbour said of itself: pressure in parts of what it can bear, requests a second, whether it
    hands over as well, and when this was heard."""

    pressure: float
    rate: float
    over: bool
    heard_us: int


class Offloading:
    """Whether a router is over, and what share of its requests it hands over."""

    def __init__(self, now_us: int = 0) -> None:
        self.over = False
        self.share = 0.0
        self.changes = 0
        self.why = ""
        self.handed = 0
        self._since_us: int | None = None  # when its pressure passed HIGH
        self._began_us = now_us - DWELL_US
        self._neighbours: dict[str, Neighbour] = {}

    def heard(self, name: str, neighbour: Neighbour) -> None:
        """A neighbour has spoken of itself."""
        if name in self._neighbours or len(self._neighbours) < MOST_NEIGHBOURS:
            self._neighbours[name] = neighbour

    def turn(self, now_us: int, pressure: float, rate: float, here: Mapping[str, object]) -> bool:
        """To be called now and then with this router's own figures and who is there in its place; whether it
        has begun or ended to hand over."""
        self._neighbours = {
            name: n for name, n in self._neighbours.items() if name in here and now_us - n.heard_us < FRESH_US
        }
        before = self.over
        if pressure < HIGH:
            self._since_us = None
        elif self._since_us is None:
            self._since_us = now_us
        if not self.over:
            sure = self._since_us is not None and now_us - self._since_us >= SURE_US
            if sure and now_us - self._began_us >= DWELL_US:
                self.over = True
                self._began_us = now_us
                self.why = f"pressure {pressure:.2f} for {(now_us - (self._since_us or 0)) / 1e6:.1f} s"
        elif pressure < LOW and self.share < STEP:
            self.over = False
            self.why = f"pressure {pressure:.2f}"
        wanted = 0.0
        if self.over:
            # as much more or less as brings it between the two marks, and no more than there is room for
            aim = self.share + (pressure - (HIGH + LOW) / 2) / max(pressure, 1e-9)
            wanted = max(0.0, min(aim, MOST_SHARE, self.room(rate) / rate if rate > 0 else 0.0))
        self.share += max(-STEP, min(STEP, wanted - self.share))
        self.share = self.share if self.share > 1e-6 else 0.0
        self.changes += self.over != before
        return self.over != before

    def room(self, rate: float) -> float:
        """Requests a second that this router may hand over: what neighbours have left under LOW, shared with
        all others who hand over."""
        over = 1 + sum(n.over for n in self._neighbours.values())
        rooms = 0.0
        for n in self._neighbours.values():
            if not n.over and n.pressure < LOW:
                spare = n.rate * (LOW / max(n.pressure, 0.05) - 1)
                rooms += min(max(spare, 0.0), MOST_EACH * rate)
        return rooms / over

    def hands_over(self, key: int, repeat: bool, write: bool) -> bool:
        """Whether this request goes to a neighbour; ``key`` is the object's number."""
        if self.share <= 0 or repeat or write:
            return False
        goes = (key * 0x9E3779B97F4A7C15 & 0xFFFFFFFFFFFFFFFF) / 2**64 < self.share
        self.handed += goes
        return goes
