"""The hosts of a simulated fan-out tier, their regions, and which relays each follower prefers."""

from __future__ import annotations

from dataclasses import dataclass

from magpieshift.relay.selection import RelayAddress, rank_relays


@dataclass(frozen=True, slots=True)
class FanoutSize:
    """The number of processes of a simulated fan-out tier, and how often each is scheduled."""

    regions: int = 2
    relays_per_region: int = 2
    routers_per_region: int = 3
    sources: int = 2  # hosts for sources; only the first is started at the beginning
    log_entries: int = 64  # maximum entries in the log of each source and relay
    turn_interval_us: int = 100_000  # longest time between two turns of a process; the shortest is half of it
    attempt_probability: float = 0.5  # probability that a router makes an attempt in a turn
    seed: int = 1


@dataclass(frozen=True, slots=True)
class FanoutLayout:
    """The hosts by name: sources ``S1``, ``S2``, each in the next region, relays ``R0.1`` and routers
    ``E0.1`` of region 0, and so on."""

    regions: dict[str, str]  # the region of each host, in the order in which the hosts are created
    # the relays or sources that each follower may follow, preferred first
    ranked_relays: dict[str, tuple[RelayAddress, ...]]


def fanout_layout(size: FanoutSize) -> FanoutLayout:
    """Lay out the hosts of a tier. Every relay may follow every source, and every router every relay."""
    regions = [str(region) for region in range(size.regions)]
    sources = tuple(
        RelayAddress(f"S{number + 1}", regions[number % size.regions], "") for number in range(size.sources)
    )
    relays = [
        RelayAddress(f"R{region}.{number + 1}", region, "")
        for region in regions
        for number in range(size.relays_per_region)
    ]
    region_of = {address.name: address.region for address in (*sources, *relays)}
    ranked_relays = {relay.name: sources for relay in relays}
    for region in regions:
        for number in range(size.routers_per_region):
            name = f"E{region}.{number + 1}"
            region_of[name] = region
            ranked_relays[name] = rank_relays(name, region, relays)
    return FanoutLayout(region_of, ranked_relays)
