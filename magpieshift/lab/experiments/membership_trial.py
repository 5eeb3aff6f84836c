"""Trial of membership on a simulated network: measures its traffic, and its behaviour under datagram loss,
pauses, killed routers and a partition."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial

from magpieshift.lab.experiments.membership_network import (
    SECOND_US,
    FleetSettings,
    Network,
    ObservedChange,
    started_network,
)
from magpieshift.membership.member import MemberState
from magpieshift.membership.messages import Datagram
from magpieshift.membership.suspicion import DetectorTuning

RECOVERY_S = 10
"""Duration of the traffic measurement without faults, and of the recovery time between two parts of a trial;
a fleet recovers faster."""
FIRST_PAUSE_SPAN_US = 30 * SECOND_US
"""Time within which the first pause of each process begins."""
PAUSE_RANGE_US = (50_000, 5 * SECOND_US)
"""Range of a pause's duration: from pauses that occur on a busy machine to the longest one after which a
router must not have been removed."""
BETWEEN_PAUSES_RANGE_US = (10 * SECOND_US, 60 * SECOND_US)
"""Range of the time between two pauses of a process."""
PAUSE_FREE_END_US = 6 * SECOND_US
"""Time before the end of this part in which no pause begins: longer than the longest pause, so that all
pauses end in time."""
DETECTION_TIMEOUT_S = 20
"""Time after which detection of a killed router is given up. Also the detection time that is recorded for a
router that did not notice."""
PARTITION_S = 20
"""Duration of the partition: long enough for the halves to remove each other."""
HEALING_TIMEOUT_S = 60
"""Timeout for agreement after the partition has healed."""


@dataclass
class Outcome:
    """Results of a trial, with times in seconds. The field names are the keys of ``--json``."""

    routers: int
    """Number of routers."""
    seed: int
    router_hours: float = 0.0
    """Simulated time under loss and pauses in hours, multiplied by the number of routers."""
    false_removals: int = 0
    """Number of removals of living routers as dead, under loss and pauses."""
    false_suspicions: int = 0
    """Number of suspicions under loss and pauses, in which all routers live."""
    detect_p50_s: float = 0.0
    """Median time until a router suspected or removed a killed one."""
    detect_p99_s: float = 0.0
    """99th percentile of the time until a router suspected or removed a killed one."""
    gone_p99_s: float = 0.0
    """99th percentile of the time until a router removed a killed one."""
    agree_after_heal_s: float = 0.0
    """Time from the healing of the partition until all views agreed."""
    messages_per_member_s: float = 0.0
    """Datagrams sent per router and second without faults."""
    bytes_per_member_s: float = 0.0
    """Bytes sent per router and second without faults."""
    flaps: int = 0
    """Number of removals under loss and pauses."""
    share_over_whole: int = 0
    """Number of checks in which the sum of all quotas in use exceeded 1."""
    most_share: float = 0.0
    """Largest sum of all quotas in use."""
    real_s: float = 0.0
    """Duration of the trial in real time."""


def run_trial(
    routers: int,
    seed: int,
    minutes: float = 2.0,
    loss: float = 0.3,
    pauses: bool = True,
    tuning: DetectorTuning | None = None,
    size: Callable[[Datagram], int] | None = None,
    deaths: int = 5,
) -> Outcome:
    """Run a trial of one fleet.

    Its parts are: a time without faults, in which the traffic is measured; datagram loss and pauses of up to
    5 s; ``deaths`` killed routers, but at most a third of all; a partition into halves, and its healing.
    """
    started_s = time.perf_counter()
    network = started_network(FleetSettings(routers, tuning=tuning or DetectorTuning()), seed)
    if size is not None:
        network.size = size
    outcome = Outcome(routers, seed)
    names = sorted(network.processes)
    _measure_cost(network, outcome)
    _measure_loss_and_pauses(network, names, outcome, minutes, loss, pauses)
    _measure_detection(network, network.rand.sample(names, min(deaths, routers // 3)), outcome)
    _measure_partition(network, set(names[: routers // 2]), outcome)
    outcome.share_over_whole = network.quota_excesses
    outcome.most_share = round(network.max_total_quota, 4)
    outcome.real_s = round(time.perf_counter() - started_s, 1)
    return outcome


def _run_for(network: Network, seconds: int) -> None:
    network.run(network.now_us + seconds * SECOND_US)


def _measure_cost(network: Network, outcome: Outcome) -> None:
    """Measure the traffic of a fleet without faults."""
    network.sent = 0
    network.bytes = 0
    _run_for(network, RECOVERY_S)
    outcome.messages_per_member_s = round(network.sent / RECOVERY_S / outcome.routers, 1)
    outcome.bytes_per_member_s = round(network.bytes / RECOVERY_S / outcome.routers)
    network.size = lambda datagram: 0


def _measure_loss_and_pauses(
    network: Network, names: list[str], outcome: Outcome, minutes: float, loss: float, pauses: bool
) -> None:
    """Lose datagrams and pause routers; count the suspicions and removals of living routers."""
    network.loss = loss
    first_change = len(network.changes)
    start_us = network.now_us
    end_us = start_us + int(minutes * 60 * SECOND_US)
    if pauses:
        for name in names:
            _schedule_pauses(network, name, start_us, end_us)
    network.run(end_us)
    outcome.router_hours = round(outcome.routers * minutes / 60, 2)
    outcome.false_removals = false_removals(network, first_change)
    states = [observed.change.new_state for observed in network.changes[first_change:]]
    outcome.false_suspicions = states.count(MemberState.SUSPECT)
    outcome.flaps = states.count(MemberState.DEAD)
    network.loss = 0.0
    _run_for(network, RECOVERY_S)


def _schedule_pauses(network: Network, name: str, start_us: int, end_us: int) -> None:
    pause_at_us = start_us + network.rand.randrange(FIRST_PAUSE_SPAN_US)
    while pause_at_us < end_us - PAUSE_FREE_END_US:
        duration_us = network.rand.randrange(*PAUSE_RANGE_US)
        network.schedule(pause_at_us, partial(network.pause, name, duration_us))
        pause_at_us += duration_us + network.rand.randrange(*BETWEEN_PAUSES_RANGE_US)


def _measure_detection(network: Network, names: list[str], outcome: Outcome) -> None:
    """Kill and restart routers one by one; measure the time until the others suspect and remove each."""
    detected_s: list[float] = []
    removed_s: list[float] = []
    for name in names:
        network.kill(name)
        died_us = network.now_us
        first_change = len(network.changes)
        _run_for(network, DETECTION_TIMEOUT_S)
        first_seen = _first_seen(network.changes[first_change:], name)
        for observer in network.living():
            removed_us = first_seen.get((observer.name, MemberState.DEAD))
            suspected_us = first_seen.get((observer.name, MemberState.SUSPECT))
            seen_us = [at_us for at_us in (removed_us, suspected_us) if at_us is not None]
            detected_s.append((min(seen_us) - died_us) / SECOND_US if seen_us else float(DETECTION_TIMEOUT_S))
            removed_s.append(
                (removed_us - died_us) / SECOND_US if removed_us is not None else float(DETECTION_TIMEOUT_S)
            )
        network.start(name)
        _run_for(network, RECOVERY_S)
    outcome.detect_p50_s = _percentile(detected_s, 0.5)
    outcome.detect_p99_s = _percentile(detected_s, 0.99)
    outcome.gone_p99_s = _percentile(removed_s, 0.99)


def _first_seen(changes: Sequence[ObservedChange], name: str) -> dict[tuple[str, MemberState], int]:
    """Return the time in microseconds at which a member first entered a state, by observer and state."""
    first_seen: dict[tuple[str, MemberState], int] = {}
    for observed in changes:
        if observed.change.name == name:
            first_seen.setdefault((observed.observer, observed.change.new_state), observed.at_us)
    return first_seen


def _measure_partition(network: Network, half: set[str], outcome: Outcome) -> None:
    """Partition a fleet into halves; measure how long they take to agree once the partition is healed."""
    network.cut = lambda source, target: (source in half) != (target in half)
    _run_for(network, PARTITION_S)
    network.cut = lambda source, target: False
    healed_us = network.now_us
    network.run(healed_us + HEALING_TIMEOUT_S * SECOND_US, network.views_agree)
    outcome.agree_after_heal_s = (network.now_us - healed_us) / SECOND_US
    _run_for(network, RECOVERY_S)


def _percentile(values: Sequence[float], fraction: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else 0.0


def false_removals(network: Network, first_change: int = 0) -> int:
    """Return how often a living router was removed as dead, from the change with this index on."""
    return sum(
        observed.change.new_state == MemberState.DEAD and network.processes[observed.change.name].alive
        for observed in network.changes[first_change:]
    )
