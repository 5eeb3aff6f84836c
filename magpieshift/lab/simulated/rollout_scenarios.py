"""Scenarios of simulated rollouts: the defects of the new version, and faults of the fleet meanwhile."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True)
class Version:
    """Defects of the new version."""

    # drop in the fraction served in time, by request class
    served_loss: dict[str, float] = field(default_factory=dict)
    only_zone: str = ""  # the only zone with that drop; empty: every zone
    onset_s: float = 0.0  # time from a process's start until that drop begins
    cpu_factor: float = 1.0  # processor time per request, as a multiple of the old version's
    leak_mb_per_min: float = 0.0
    starts: bool = True  # whether a new process begins to serve; else each replacement fails
    responds: bool = True  # whether it serves requests; its admin server always responds
    mean_crash_s: float = 0.0  # mean time from start to crash, which varies by a fifth; 0: no crash


@dataclass(frozen=True)
class Scenario:
    """A new version, and the faults that affect both sides meanwhile."""

    version: Version = field(default_factory=Version)
    is_bad: bool = False  # whether the rollout should be stopped
    outages: int = 0  # number of outages, in which all processes serve less for 5 to 60 s
    kills_per_hour: float = 0.0  # router processes of the whole fleet killed per hour, and restarted
    # per hour, how often a router's admin servers stop responding for a time
    unreachable_per_hour: float = 0.0
    # up to three times it is killed and resumed, or paused and superseded
    has_coordinator_faults: bool = False


SCENARIOS: dict[str, Scenario] = {
    "same": Scenario(),
    "same-with-outage": Scenario(
        outages=3, kills_per_hour=20.0, unreachable_per_hour=20.0, has_coordinator_faults=True
    ),
    "worse-class": Scenario(Version({"basket": 0.03}), is_bad=True),
    "worse-with-outage": Scenario(
        Version({"basket": 0.03}),
        True,
        outages=3,
        kills_per_hour=20.0,
        unreachable_per_hour=20.0,
        has_coordinator_faults=True,
    ),
    "worse-zone": Scenario(Version({"picture": 0.06}, only_zone="z0"), is_bad=True),
    "worse-later": Scenario(Version({"picture": 0.03}, onset_s=60.0), is_bad=True),
    "leak": Scenario(Version(leak_mb_per_min=1.0), is_bad=True),
    "slower": Scenario(Version(cpu_factor=1.3), is_bad=True),
    "no-start": Scenario(Version(starts=False), is_bad=True),
    "mute": Scenario(Version(responds=False), is_bad=True),
    "late-crash": Scenario(Version(mean_crash_s=40.0), is_bad=True),
}
