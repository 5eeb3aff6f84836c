"""The result of a run: the figures, and the rules that they are checked against. No I/O.

A figure that the run could not measure is None, and a line in ``notes`` says why.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import asdict, dataclass, field
from typing import Any

from magpieshift.lab.scale.applied_changes import NOT_APPLIED

MAX_PURGE_DONE_S = 9.7  # the product's rule: from acceptance to the last router
MAX_VERSION_IN_FORCE_S = 4.0  # the product's rule: from publication to the last router
MAX_ROUTERS_NAMED = 5  # routers listed by name in the message of a broken rule


@dataclass
class Result:
    """The figures of a run, and the conditions it ran under. The field names are the keys of the ``--json``
    line."""

    routers: int = 0
    hollow: int = 0  # hollow routers running at the end
    processes: int = 0
    purges_per_s: float | None = None  # accepted by the change log while the load ran
    versions_per_day: float | None = None
    cpu_percent_per_router: float | None = None  # of a core, in the processes of hollow routers
    mb_per_router: float | None = None  # increment of resident memory
    bytes_per_router_s: float | None = None  # TCP payload of all streams to control, both directions
    control_cpu_percent: float | None = None  # of a core, sum over all control processes
    purge_done_p50_s: float | None = None
    purge_done_p99_s: float | None = None
    purge_done_max_s: float | None = None
    version_in_force_max_s: float | None = None
    lost: int = 0
    out_of_order: int = 0
    rules_broken: list[str] = field(default_factory=list)
    scenario: str = ""
    feed: str = ""
    seed: int = 0
    seconds: float = 0.0
    caches: int = 0
    purges: int = 0
    versions: int = 0
    workers: int = 0
    worker_busy_max_percent: float | None = None  # of a core, over 2 s; above 90, times include waiting
    control_cpu_percent_by: dict[str, float] = field(default_factory=dict)
    network_cpu_percent: float | None = None
    purges_by_lease: int = 0  # applied by a router without a lease, which limits the age of copies instead
    purges_forgotten: int = 0  # never received, expired when a later one arrived; summed over routers
    return_s: float | None = None  # from the end of a region's cut until all its routers had caught up
    return_bytes_per_router: float | None = None
    load_average: float = 0.0  # of the machine, when the load began
    notes: list[str] = field(default_factory=list)

    def as_data(self) -> dict[str, Any]:
        """The figures as values that JSON can represent."""
        return asdict(self)


@dataclass(frozen=True)
class Published:
    """A version: when control accepted it, and on which network paths routers could receive it then."""

    number: int
    at_s: float
    reachable: frozenset[str] | None = None  # None: all paths


UnleasedApplication = tuple[int, float, float]
"""A purge applied by a router without a lease: index, time of application, and time of the lease's lapse."""


def purge_times(
    accepted: Sequence[float],
    applied: Sequence[Sequence[float]],
    missing: Iterable[int],
    without_lease: Iterable[UnleasedApplication] = (),
    lease_s: float = math.inf,
) -> list[float]:
    """For each purge, the seconds from its acceptance until it was done at the last router of all processes;
    infinite where some live router, or every router, had not applied it at the end.

    A router without a lease accepts no copy older than ``lease_s``. A purge is therefore done there
    ``lease_s`` after its acceptance, even if the router has not received it."""
    latest = [
        max((part[i] for part in applied if i < len(part)), default=NOT_APPLIED) for i in range(len(accepted))
    ]
    for index, at_s, lapsed_s in without_lease:
        bounded_s = max(accepted[index] + lease_s, lapsed_s)
        latest[index] = max(latest[index], min(at_s, bounded_s))
    times = [
        at - begin if at != NOT_APPLIED else math.inf for at, begin in zip(latest, accepted, strict=True)
    ]
    for index in missing:
        times[index] = math.inf
    return times


def quantile(sorted_times: Sequence[float], fraction: float) -> float | None:
    """The smallest of the times that at least this fraction of them does not exceed; None where it is
    infinite, or there are no times."""
    if not sorted_times:
        return None
    found = sorted_times[max(0, math.ceil(fraction * len(sorted_times)) - 1)]
    return round(found, 4) if math.isfinite(found) else None


def evaluate_purges(result: Result, times: Sequence[float]) -> None:
    """Record the quantiles of the purge times, and check the rule for them. The time of a purge that was not
    done at all routers by the end is infinite."""
    ordered = sorted(times)
    not_done = sum(math.isinf(time) for time in ordered)
    result.purge_done_p50_s = quantile(ordered, 0.5)
    result.purge_done_p99_s = quantile(ordered, 0.99)
    result.purge_done_max_s = quantile(ordered, 1.0)
    if not_done:
        result.notes.append(f"{not_done} purges were not done everywhere at the end: their times are unknown")
    late = [time for time in ordered if time > MAX_PURGE_DONE_S]
    if late:
        worst = f"{max(late):.1f} s" if math.isfinite(max(late)) else "never"
        result.rules_broken.append(
            f"purge done everywhere within {MAX_PURGE_DONE_S} s: "
            f"{len(late)} of {len(ordered)} were not (worst: {worst})"
        )


def evaluate_versions(
    result: Result, published: Sequence[Published], in_force: Sequence[Mapping[str, Mapping[int, float]]]
) -> None:
    """Record the longest time from a version's publication until it was in force at the last router on the
    paths where it could be received, and check the rule for it."""
    worst = None
    late = []
    for version in published:
        times = [
            numbers[version.number] - version.at_s
            for part in in_force
            for path, numbers in part.items()
            if version.number in numbers and (version.reachable is None or path in version.reachable)
        ]
        if times:
            worst = max(times) if worst is None else max(worst, *times)
            if max(times) > MAX_VERSION_IN_FORCE_S:
                late.append(version.number)
    result.version_in_force_max_s = round(worst, 4) if worst is not None else None
    if worst is None:
        result.notes.append("no version came into force: its time is unknown")
    if late:
        result.rules_broken.append(
            f"version in force within {MAX_VERSION_IN_FORCE_S} s: {len(late)} of {len(published)} were not "
            f"(worst {worst:.1f} s)"
        )


def evaluate_losses(result: Result, lost: Mapping[str, int], behind: Mapping[str, int], newest: int) -> None:
    """Check three rules: live routers lost no purge, none was applied out of order, and the newest version is
    in force at all of them."""
    result.lost = sum(lost.values())
    if lost:
        result.rules_broken.append(f"no purge lost: {result.lost} by {_format_names(lost)}")
    if result.out_of_order:
        result.rules_broken.append(f"purges applied in order: {result.out_of_order} were not")
    late = {name: number for name, number in behind.items() if number < newest}
    if late:
        result.rules_broken.append(f"newest version in force at the end: not at {_format_names(late)}")


def _format_names(routers: Mapping[str, int]) -> str:
    names = sorted(routers)
    more = f" and {len(names) - MAX_ROUTERS_NAMED} more" if len(names) > MAX_ROUTERS_NAMED else ""
    return ", ".join(names[:MAX_ROUTERS_NAMED]) + more
