"""The scenarios: the faults injected into a fleet while the load runs. Fractions give a point in time as a
fraction of the load's duration."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

CONTROL_OUTAGE_S = 3.0  # duration of each outage of control machines
HOUR_S = 3600.0


class Scope(Enum):
    """Which routers crash together."""

    RACK = "rack"
    ZONE = "zone"
    TENTH = "tenth"  # every tenth router


@dataclass(frozen=True)
class RouterCrash:
    """Routers crash at ``at_fraction`` and start again after ``restart_after_s``; None: they stay down."""

    scope: Scope
    at_fraction: float
    restart_after_s: float | None = None


@dataclass(frozen=True)
class RegionPartition:
    """A region has been partitioned for ``duration_s`` when the load begins; it reconnects at
    ``until_fraction``.

    The time before the load is simulated: the change log accepts all purges of that time at once, before any
    router outside the region starts."""

    until_fraction: float
    duration_s: float = HOUR_S


@dataclass(frozen=True)
class SlowReaders:
    """A tenth of the routers read slowly: one half at ``kb_per_s``, the other half not at all."""

    from_fraction: float
    until_fraction: float
    kb_per_s: float = 2.0


@dataclass(frozen=True)
class ControlOutage:
    """``machines`` control machines fail at ``at_fraction`` for ``CONTROL_OUTAGE_S``."""

    at_fraction: float
    machines: int


Event = RouterCrash | RegionPartition | SlowReaders | ControlOutage


@dataclass(frozen=True)
class Scenario:
    """A named sequence of faults, in time order, with an optional burst of purges."""

    name: str
    summary: str
    events: tuple[Event, ...] = ()
    burst_at_fraction: float | None = None


SCENARIOS: Mapping[str, Scenario] = {
    scenario.name: scenario
    for scenario in (
        Scenario("steady", "purges, versions and list changes at the target rates"),
        Scenario("burst", "purges at ten times the mean for 5 s", burst_at_fraction=0.25),
        Scenario(
            "restarts",
            "router restarts at 420 a day, and one restart of a tenth of the routers at once",
            (RouterCrash(Scope.TENTH, 0.3, restart_after_s=0.5),),
        ),
        Scenario("rack-lost", "all routers of the largest rack crash", (RouterCrash(Scope.RACK, 0.4),)),
        Scenario("zone-lost", "all routers of the largest zone crash", (RouterCrash(Scope.ZONE, 0.4),)),
        Scenario(
            "region-cut",
            "a region is partitioned for an hour, then all of it reconnects",
            (RegionPartition(0.4),),
        ),
        Scenario(
            "slow-routers",
            "one in ten routers reads slowly or does not read at all",
            (SlowReaders(0.1, 0.6),),
        ),
        Scenario(
            "control-lost",
            "one control machine fails for 3 s, later two at once",
            (ControlOutage(0.2, 1), ControlOutage(0.6, 2)),
        ),
    )
}
