"""A trial of membership on a simulated network: what it costs, and how it bears loss, pauses, deaths and a
partition."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial

from magpieshift.lab.experiments.membership_network import (
    SECOND,
    FleetSettings,
    Network,
    ObservedChange,
    started_network,
)
from magpieshift.membership.member import MemberState
from magpieshift.membership.messages import Datagram
from magpieshift.membership.suspicion import DetectorTuning

QUIET_S = 10
"""Seconds over which the cost of a quiet fleet is measured, and between two parts of a trial: a fleet
recovers in less."""
FIRST_PAUSE_SPAN_US = 30 * SECOND
"""Time within which each process has its first pause."""
PAUSE_RANGE_US = (50_000, 5 * SECOND)
"""Length of a pause: from what a busy machine does to a process, to the longest that must not remove it."""
BETWEEN_PAUSES_RANGE_US = (10 * SECOND, 60 * SECOND)
"""Time between the pauses of one process."""
LAST_PAUSE_US = 6 * SECOND
"""Time before the end of this part within which no pause begins: the longest one is over by then."""
DETECTION_TIMEOUT_S = 20
"""Seconds until a death must be known to all; the result of a router that never noticed it."""
PARTITION_S = 20
"""Seconds that the halves are apart: long enough to remove each other."""
HEALING_TIMEOUT_S = 60
"""Seconds until the halves must agree again."""


@dataclass
class Outcome:
    """What came of one fleet's trial; times in seconds. The fields are the keys of ``--json``."""

    routers: int
    """Number of routers."""
    seed: int
    router_hours: float = 0.0
    """Simulated time under loss and pauses, times routers."""
    false_removals: int = 0
    """How often a living router was held to be dead."""
    false_suspicions: int = 0
    """How often a living router was suspected."""
    detect_p50_s: float = 0.0
    """Median time until a router suspected or removed a dead one."""
    detect_p99_s: float = 0.0
    gone_p99_s: float = 0.0
    """99th percentile of the time until a router removed a dead one."""
    agree_after_heal_s: float = 0.0
    """Time until the views of two healed halves agreed."""
    messages_per_member_s: float = 0.0
    """Datagrams of a quiet router a second."""
    bytes_per_member_s: float = 0.0
    """Bytes of a quiet router a second."""
    flaps: int = 0
    """Removals under loss and pauses."""
    share_over_whole: int = 0
    """Instants at which quotas came to more than the whole."""
    most_share: float = 0.0
    """The most that quotas came to."""
    real_s: float = 0.0
    """Time that the trial took."""


def play(
    routers: int,
    seed: int,
    minutes: float = 2.0,
    loss: float = 0.3,
    pauses: bool = True,
    tuning: DetectorTuning | None = None,
    size: Callable[[Datagram], int] | None = None,
    deaths: int = 5,
) -> Outcome:
    """Play one fleet's trial.

    It is quiet for its cost; then come loss and pauses of up to 5 s, then ``deaths`` deaths, at most a third
    of the routers, then a partition into halves and its healing.
    """
    began = time.perf_counter()
    network = started_network(FleetSettings(routers, tuning=tuning or DetectorTuning()), seed)
    if size is not None:
        network.size = size
    outcome = Outcome(routers, seed)
    names = sorted(network.processes)
    _measure_cost(network, outcome)
    _play_loss_and_pauses(network, names, outcome, minutes, loss, pauses)
    _play_deaths(network, network.rand.sample(names, min(deaths, routers // 3)), outcome)
    _play_partition(network, set(names[: routers // 2]), outcome)
    outcome.share_over_whole = network.quota_excesses
    outcome.most_share = round(network.max_total_quota, 4)
    outcome.real_s = round(time.perf_counter() - began, 1)
    return outcome


def _run_for(network: Network, seconds: int) -> None:
    network.run(network.now_us + seconds * SECOND)


def _measure_cost(network: Network, outcome: Outcome) -> None:
    """Measure what a quiet fleet sends."""
    network.sent = 0
    network.bytes = 0
    _run_for(network, QUIET_S)
    outcome.messages_per_member_s = round(network.sent / QUIET_S / outcome.routers, 1)
    outcome.bytes_per_member_s = round(network.bytes / QUIET_S / outcome.routers)
    network.size = lambda datagram: 0


def _play_loss_and_pauses(
    network: Network, names: list[str], outcome: Outcome, minutes: float, loss: float, pauses: bool
) -> None:
    """Lose datagrams and pause routers; count what is held against living ones."""
    network.loss = loss
    first_change = len(network.changes)
    start_us = network.now_us
    end_us = start_us + int(minutes * 60 * SECOND)
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
    _run_for(network, QUIET_S)


def _schedule_pauses(network: Network, name: str, start_us: int, end_us: int) -> None:
    pause_at_us = start_us + network.rand.randrange(FIRST_PAUSE_SPAN_US)
    while pause_at_us < end_us - LAST_PAUSE_US:
        duration_us = network.rand.randrange(*PAUSE_RANGE_US)
        network.schedule(pause_at_us, partial(network.pause, name, duration_us))
        pause_at_us += duration_us + network.rand.randrange(*BETWEEN_PAUSES_RANGE_US)


def _play_deaths(network: Network, names: list[str], outcome: Outcome) -> None:
    """Kill routers one after another; measure when the others suspect and remove each."""
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
            seen = [at_us for at_us in (removed_us, suspected_us) if at_us is not None]
            detected_s.append((min(seen) - died_us) / SECOND if seen else float(DETECTION_TIMEOUT_S))
            removed_s.append(
                (removed_us - died_us) / SECOND if removed_us is not None else float(DETECTION_TIMEOUT_S)
            )
        network.start(name)
        _run_for(network, QUIET_S)
    outcome.detect_p50_s = _percentile(detected_s, 0.5)
    outcome.detect_p99_s = _percentile(detected_s, 0.99)
    outcome.gone_p99_s = _percentile(removed_s, 0.99)


def _first_seen(changes: Sequence[ObservedChange], name: str) -> dict[tuple[str, MemberState], int]:
    """When each router first saw each state of one member, in microseconds."""
    first_seen: dict[tuple[str, MemberState], int] = {}
    for observed in changes:
        if observed.change.name == name:
            first_seen.setdefault((observed.observer, observed.change.new_state), observed.at_us)
    return first_seen


def _play_partition(network: Network, half: set[str], outcome: Outcome) -> None:
    """Part a fleet into halves; measure how long they take to agree once they are healed."""
    network.cut = lambda source, target: (source in half) != (target in half)
    _run_for(network, PARTITION_S)
    network.cut = lambda source, target: False
    healed_us = network.now_us
    network.run(healed_us + HEALING_TIMEOUT_S * SECOND, network.views_agree)
    outcome.agree_after_heal_s = (network.now_us - healed_us) / SECOND
    _run_for(network, QUIET_S)


def _percentile(values: Sequence[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def false_removals(network: Network, first_change: int = 0) -> int:
    """Return how often, from this change on, a living router was held to be dead."""
    return sum(
        observed.change.new_state == MemberState.DEAD and network.processes[observed.change.name].alive
        for observed in network.changes[first_change:]
    )
