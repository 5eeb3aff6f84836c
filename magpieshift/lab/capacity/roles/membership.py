"""Membership by the members of one group, on a simulated network and clock."""

from __future__ import annotations

from magpieshift.lab.capacity import fleet
from magpieshift.lab.capacity.processor import count_processor_time
from magpieshift.lab.capacity.role import Budget, Resource, Sample
from magpieshift.lab.experiments.membership_network import SECOND_US, FleetSettings, started_network
from magpieshift.membership.codec import decode, encode
from magpieshift.membership.messages import Datagram

SIMULATED_S = 3  # in one measurement
ALL_CONTROL = "all of control on a router"


def datagram_bytes(datagram: Datagram) -> int:
    """The size of a datagram, which is written and read as its two ends do."""
    data = encode(datagram)
    decode(data)
    return len(data)


class Membership:
    """A group at rest, once all agree; a group is the routers of a zone."""

    name = "membership"
    quantity = "members of a group"
    target = float(fleet.ROUTERS_PER_ZONE)
    sizes = (13.0, 25.0, 50.0, 100.0, 200.0)
    quick_sizes = (7.0, 13.0, 25.0, 50.0)
    repeats = 1
    simulated = True
    resources = (
        Resource("processor", "% of a core", Budget(fleet.CONTROL_CPU_PERCENT, ALL_CONTROL)),
        Resource("bytes", "bytes a second", Budget(fleet.CONTROL_BYTES_PER_S, ALL_CONTROL)),
        Resource("datagrams", "a second"),
    )

    def measure(self, size: float, seed: int, for_s: float) -> Sample:
        """Run a group of so many members on a simulated clock."""
        members = int(size)
        network = started_network(FleetSettings(members), seed)
        network.size = datagram_bytes
        network.sent = 0
        network.bytes = 0
        with count_processor_time() as spent:
            network.run(network.now_us + SIMULATED_S * SECOND_US)
        member_seconds = members * SIMULATED_S
        return Sample(
            size,
            {
                "processor": 100 * spent.seconds / member_seconds,
                "bytes": network.bytes / member_seconds,
                "datagrams": network.sent / member_seconds,
            },
        )
