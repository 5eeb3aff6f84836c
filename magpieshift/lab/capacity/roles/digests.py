"""Overload digests: their cost by the number of routers that gossip while endpoints fail. State machines run
on a simulated clock."""

from __future__ import annotations

import random

from magpieshift.lab.capacity import fleet
from magpieshift.lab.capacity.processor import count_processor_time
from magpieshift.lab.capacity.role import Budget, Resource, Sample
from magpieshift.overload.codec import decode, encode
from magpieshift.overload.gossip import GOSSIP_INTERVAL_US, Gossip
from magpieshift.overload.probe_election import EndpointHealth

FAILING_ENDPOINTS = 8  # endpoints of the zone that fail at once: a rack
MEASURED_ROUTERS = 8  # routers that run; a digest addressed to any other router is delivered to one of these
GOSSIP_ROUNDS = 25  # rounds in one measurement
SIMULATED_S = GOSSIP_ROUNDS * GOSSIP_INTERVAL_US / 1e6
CONTROL_DERIVATION = "all of control on a router"


class Digests:
    """The routers of one zone, all of which see the same endpoints fail."""

    name = "overload digests"
    quantity = "routers that talk"
    target = float(fleet.ROUTERS_PER_ZONE)
    sizes = (13.0, 25.0, 50.0, 100.0, 200.0, 400.0)
    quick_sizes = (13.0, 25.0, 50.0, 100.0)
    repeats = 2
    simulated = True
    resources = (
        Resource("processor", "% of a core", Budget(fleet.CONTROL_CPU_PERCENT, CONTROL_DERIVATION)),
        Resource("bytes", "bytes a second", Budget(fleet.CONTROL_BYTES_PER_S, CONTROL_DERIVATION)),
        Resource("digest", "bytes"),
    )

    def measure(self, size: float, seed: int, duration_s: float) -> Sample:
        """Exchange digests in a zone of ``size`` routers."""
        rng = random.Random(seed)
        routers = sorted(f"router-{number}" for number in range(int(size)))
        gossips = {
            name: Gossip(name, random.Random(rng.getrandbits(64)))
            for name in rng.sample(routers, MEASURED_ROUTERS)
        }
        sent = 0
        sent_bytes = 0
        with count_processor_time() as spent:
            for round_ in range(1, GOSSIP_ROUNDS + 1):
                for gossip in gossips.values():
                    health = self._observed_health(rng)
                    for name, digest in gossip.tick(round_ * GOSSIP_INTERVAL_US, health, routers).sends:
                        data = encode(digest)
                        sent = sent + 1
                        sent_bytes = sent_bytes + len(data)
                        receiver = gossips.get(name) or rng.choice(list(gossips.values()))
                        receiver.receive(
                            round_ * GOSSIP_INTERVAL_US, gossip.own, decode(data), is_neighbour=True
                        )
        return Sample(
            size,
            {
                "processor": 100 * spent.seconds / SIMULATED_S / MEASURED_ROUTERS,
                "bytes": sent_bytes / SIMULATED_S / MEASURED_ROUTERS,
                "digest": sent_bytes / sent,
            },
        )

    @staticmethod
    def _observed_health(rng: random.Random) -> dict[str, EndpointHealth]:
        """A router's observations of its zone's endpoints. The failing ones failed within the last second."""
        health = {}
        for number in range(fleet.CACHES_PER_ZONE):
            failing = number < FAILING_ENDPOINTS
            failed_us = rng.randrange(1_000_000) if failing else None
            health[f"store-{number}"] = EndpointHealth(
                number, (0, 1), failing, failed_us, None if failing else 0
            )
        return health
