"""The faults on links between processes, by direction of the link."""

from __future__ import annotations

from dataclasses import dataclass

ANY_END = "*"
"""End of a link that matches any process."""
ANY_ROUTER = "routers"
"""End of a link that matches any router (r0, r1, ...)."""
# other ends are the routers and the endpoints by place (box1, hub1, origin)
CHANGE_LOG = "log"
CLIENTS = "clients"


def _matching_ends(end: str) -> tuple[str, ...]:
    """Return the ends of faults that match this end."""
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
    """Maximum additional delay, drawn for each datagram, so that datagrams are reordered."""
    duplicate_fraction: float = 0.0
    """Share of datagrams that arrive twice, 0 to 1."""
    reset: bool = False
    """Streams: open connections are reset, and new ones as soon as they are accepted."""
    silent: bool = False
    """Streams: connections are accepted but no data is forwarded, on new ones in neither direction."""
    kb_per_s: float = 0.0
    """Streams: bandwidth in kilobytes per second; 0 for no limit."""


class Network:
    """The active faults by direction of the link; ``*`` and ``routers`` match several ends."""

    def __init__(self) -> None:
        self._faults: dict[tuple[str, str], dict[str, LinkFault]] = {}
        """Faults by source and target, then by the fault's name."""

    def add_fault(self, name: str, source: str, target: str, fault: LinkFault) -> None:
        """Add a fault to the direction from ``source`` to ``target``; ``remove_fault`` uses its name."""
        self._faults.setdefault((source, target), {})[name] = fault

    def remove_fault(self, name: str) -> None:
        """Remove all faults that were added under this name."""
        for faults in self._faults.values():
            faults.pop(name, None)

    def faults_on(self, source: str, target: str) -> list[LinkFault]:
        """Return the active faults on this direction."""
        links = ((a, b) for a in _matching_ends(source) for b in _matching_ends(target))
        return [fault for link in links for fault in self._faults.get(link, {}).values()]

    def faults_either_way(self, one: str, other: str) -> list[LinkFault]:
        """Return the active faults on either direction, as a connection uses both."""
        return self.faults_on(one, other) + self.faults_on(other, one)
