"""The scenarios: what happens to a fleet while the load runs. A fraction is of the load's length."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

CONTROL_OUTAGE_S = 3.0  # for which a lost control machine is gone
HOUR_S = 3600.0


class Scope(Enum):
    """What is lost at once."""

    RACK = "rack"
    ZONE = "zone"
    TENTH = "tenth"  # every tenth router


@dataclass(frozen=True)
class RouterCrash:
    """Routers are gone at ``at_fraction``; they start again after ``restart_after_s``, or not at all."""

    scope: Scope
    at_fraction: float
    restart_after_s: float | None = None


@dataclass(frozen=True)
class RegionPartition:
    """A region was cut off for ``duration_s`` before the load begins; it returns at ``until_fraction``.

    The time before the load is simulated: the change log accepts the purges of all that time at once, before
    any router outside the region starts."""

    until_fraction: float
    duration_s: float = HOUR_S


@dataclass(frozen=True)
class SlowReaders:
    """A tenth of the routers: one half reads at ``kb_per_s``, the other half does not read."""

    from_fraction: float
    until_fraction: float
    kb_per_s: float = 2.0


@dataclass(frozen=True)
class ControlOutage:
    """So many control machines are gone at ``at_fraction`` for ``CONTROL_OUTAGE_S``."""

    at_fraction: float
    machines: int


Event = RouterCrash | RegionPartition | SlowReaders | ControlOutage


@dataclass(frozen=True)
class Scenario:
    """What happens, in the order of time."""

    name: str
    summary: str
    events: tuple[Event, ...] = ()
    burst_at_fraction: float | None = None


SCENARIOS: Mapping[str, Scenario] = {
    scenario.name: scenario
    for scenario in (
        Scenario("steady", "purges, versions and list changes at the target's rates"),
        Scenario("burst", "purges at ten times the mean for 5 s", burst_at_fraction=0.25),
        Scenario(
            "restarts",
            "restarts at 420 a day, and a tenth of the routers at once",
            (RouterCrash(Scope.TENTH, 0.3, restart_after_s=0.5),),
        ),
        Scenario("rack-lost", "all routers of the fullest rack are gone", (RouterCrash(Scope.RACK, 0.4),)),
        Scenario("zone-lost", "all routers of the largest zone are gone", (RouterCrash(Scope.ZONE, 0.4),)),
        Scenario(
            "region-cut", "a region is cut off for an hour, then all of it returns", (RegionPartition(0.4),)
        ),
        Scenario("slow-routers", "of ten routers one reads slowly or stands still", (SlowReaders(0.1, 0.6),)),
        Scenario(
            "control-lost",
            "one control machine is gone for 3 s, then two",
            (ControlOutage(0.2, 1), ControlOutage(0.6, 2)),
        ),
    )
}
