"""The faults between processes, by direction of each link, and what they come to together."""

from __future__ import annotations

from dataclasses import dataclass

ANY_END = "*"
"""A link's end that stands for any process."""
ANY_ROUTER = "routers"
"""A link's end that stands for any router (r0, r1, ...)."""
# ends besides the routers and the endpoints by place (box1, hub1, origin)
CHANGE_LOG = "log"
CLIENTS = "clients"


def _matching_ends(end: str) -> tuple[str, ...]:
    """The ends of faults that cover this end."""
    is_router = end[:1] == "r" and end[1:].isdigit()
    return (end, ANY_ROUTER, ANY_END) if is_router else (end, ANY_END)


@dataclass
class LinkFault:
    """A fault on one direction of one link; several faults on the same direction add up.

    Datagrams are lost, duplicated and reordered. A stream never loses bytes: on a cut link its data waits
    until the link heals, as with TCP's retransmissions, and ``loss_fraction`` and ``duplicate_fraction`` have
    no effect on it.
    """

    cut: bool = False
    """Nothing passes."""
    loss_fraction: float = 0.0
    """Share of datagrams lost, 0 to 1."""
    delay_ms: float = 0.0
    """Delay of each datagram and of each piece of a stream."""
    jitter_ms: float = 0.0
    """Most further delay of a datagram, drawn for each: they overtake each other."""
    duplicate_fraction: float = 0.0
    """Share of datagrams that arrive twice, 0 to 1."""
    reset: bool = False
    """Streams: open connections are reset, and new ones at once."""
    silent: bool = False
    """Streams: connections are accepted, and nothing is ever sent on them."""
    kb_per_s: float = 0.0
    """Streams: the bandwidth in kilobytes a second; 0 is no limit."""


class Network:
    """The faults in force, by direction of the link; ``*`` and ``routers`` stand for many ends."""

    def __init__(self) -> None:
        self._faults: dict[tuple[str, str], dict[str, LinkFault]] = {}
        """By source and target, then by the fault's name."""

    def add_fault(self, name: str, source: str, target: str, fault: LinkFault) -> None:
        """Put a fault on the link from one end to another, under a name by which it is removed."""
        self._faults.setdefault((source, target), {})[name] = fault

    def remove_fault(self, name: str) -> None:
        """Remove all faults that were added under this name."""
        for faults in self._faults.values():
            faults.pop(name, None)

    def faults_on(self, source: str, target: str) -> list[LinkFault]:
        """Return all faults on this direction now."""
        links = ((a, b) for a in _matching_ends(source) for b in _matching_ends(target))
        return [fault for link in links for fault in self._faults.get(link, {}).values()]

    def faults_either_way(self, one: str, other: str) -> list[LinkFault]:
        """Return all faults on either direction: a connection has both."""
        return self.faults_on(one, other) + self.faults_on(other, one)
