"""The network between processes: which faults are on which direction of which link, and what they come to
together."""

from __future__ import annotations

from dataclasses import dataclass, fields
from typing import Any

ANY = "*"
ROUTERS = "routers"
# ends besides the routers (r0, r1, ...) and the stores by place (box1, hub1, origin)
LOG = "log"
CLIENTS = "clients"


def _names(end: str) -> tuple[str, ...]:
    """What an end may be called: by its name, as one of the routers (r0, r1, ...), as anybody."""
    return (end, ROUTERS, ANY) if end[:1] == "r" and end[1:].isdigit() else (end, ANY)


@dataclass
class LinkFault:
    """What happens on one direction of one link; several that fit add up.

    Datagrams are lost, doubled and overtake each other. A stream is never torn inside: what is cut waits
    until the link heals, as sent again by the system would, and ``lose`` and ``double`` do nothing to it.
    """

    cut: bool = False
    lose: float = 0.0  # share of datagrams
    delay_ms: float = 0.0
    jitter_ms: float = 0.0  # up to so much more, drawn for each datagram: they overtake each other
    double: float = 0.0  # share of datagrams that come twice
    reset: bool = False  # streams: open connections are reset, and new ones at once
    silent: bool = False  # streams: connections are accepted, and nothing is ever said on them
    kb_per_s: float = 0.0  # streams: no more than this; 0 is no limit


class Network:
    """The faults in force, by direction; ``*`` stands for anybody, ``routers`` for any of them."""

    def __init__(self) -> None:
        self._faults: dict[tuple[str, str], dict[str, LinkFault]] = {}
        self.changes = 0  # so that who watches can tell that something is new

    def put(self, why: str, source: str, target: str, **fault: Any) -> None:
        """Put a fault on the link from one to another, under a name by which it is healed."""
        known = {field.name for field in fields(LinkFault)}
        if wrong := set(fault) - known:
            raise ValueError(f"found {sorted(wrong)}, expected some of {sorted(known)}")
        self._faults.setdefault((source, target), {})[why] = LinkFault(**fault)
        self.changes += 1

    def heal(self, why: str) -> None:
        """Take away all that was put under this name."""
        for held in self._faults.values():
            held.pop(why, None)
        self.changes += 1

    def on(self, source: str, target: str) -> list[LinkFault]:
        """All that happens on this direction now."""
        links = ((a, b) for a in _names(source) for b in _names(target))
        return [fault for link in links for fault in self._faults.get(link, {}).values()]

    def either(self, one: str, other: str) -> list[LinkFault]:
        """All that happens on either direction: a connection has both."""
        return self.on(one, other) + self.on(other, one)
