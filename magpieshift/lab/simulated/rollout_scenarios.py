"""What simulated rollouts bring out, and what strikes the fleet meanwhile."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True)
class Version:
    """How the new version differs from the old."""

    served_loss: dict[str, float] = field(default_factory=dict)  # by class: so much less is served in time
    only_zone: str = ""  # worse there alone
    onset_s: float = 0.0  # worse only so long after a process's start
    cpu_factor: float = 1.0  # times the time a request
    leak_mb_per_min: float = 0.0
    starts: bool = True
    responds: bool = True
    mean_crash_s: float = 0.0  # mean time until it goes away; 0: it does not


@dataclass(frozen=True)
class Scenario:
    """A version, and what strikes both sides meanwhile."""

    version: Version = field(default_factory=Version)
    is_bad: bool = False  # whether it should be stopped
    outages: int = 0  # in which all serve less, for some time
    kills_per_hour: float = 0.0  # routers that die an hour, in all, and come back
    unreachable_per_hour: float = 0.0  # doors that fall silent an hour, in all
    has_coordinator_faults: bool = False  # it is killed and resumed, and once a second one takes over


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
