"""Membership: its cost by the number of members of a group, on a simulated network and clock."""

from __future__ import annotations

from magpieshift.lab.capacity import fleet
from magpieshift.lab.capacity.processor import count_processor_time
from magpieshift.lab.capacity.role import Budget, Resource, Sample
from magpieshift.lab.experiments.membership_network import SECOND_US, FleetSettings, started_network
from magpieshift.membership.codec import decode, encode
from magpieshift.membership.messages import Datagram

SIMULATED_S = 3  # simulated time of one measurement
CONTROL_DERIVATION = "all of control on a router"


def datagram_bytes(datagram: Datagram) -> int:
    """The encoded size of a datagram. Encodes and decodes it, so that the cost of both is measured."""
    data = encode(datagram)
    decode(data)
    return len(data)


class Membership:
    """A stable group whose members all agree. A group consists of the routers of one zone."""

    name = "membership"
    quantity = "members of a group"
    target = float(fleet.ROUTERS_PER_ZONE)
    sizes = (13.0, 25.0, 50.0, 100.0, 200.0)
    quick_sizes = (7.0, 13.0, 25.0, 50.0)
    repeats = 1
    simulated = True
    resources = (
        Resource("processor", "% of a core", Budget(fleet.CONTROL_CPU_PERCENT, CONTROL_DERIVATION)),
        Resource("bytes", "bytes a second", Budget(fleet.CONTROL_BYTES_PER_S, CONTROL_DERIVATION)),
        Resource("datagrams", "a second"),
    )

    def measure(self, size: float, seed: int, duration_s: float) -> Sample:
        """Run a group of ``size`` members on a simulated clock."""
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
