"""Overload scenarios on a simulated fleet of any size: failures that arise from the routers'
interaction, not in a single router.

``run_map`` runs all combinations of loads, triggers and client retry limits, and records for each whether
the fleet recovers by itself once the trigger is gone, or whether the failure is metastable.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field, replace

from magpieshift.lab.simulated.endpoints import EndpointCondition
from magpieshift.lab.simulated.fleet import Fleet
from magpieshift.lab.simulated.fleet_state import SECOND_US, FleetSize
from magpieshift.lab.simulated.second_counters import SecondCounters

WARM_UP_S = 15
"""Time until caches are filled and rates are stable; with less, the baseline is too low."""
BASELINE_S = 10
"""Duration of the baseline, the measurement without faults to which the rest of a run is compared."""
MAX_RECOVERY_S = 60
"""Time after a fault within which a fleet must recover; else the failure counts as metastable."""
WINDOW_S = 3
"""Window over which goodput and amplification are computed, as the values of single seconds vary too much."""
ANSWER_TIME_S = 2
"""Time after which the answers to a second's requests have arrived or are late."""
SETTLE_S = 3
"""Time at the end of a run whose requests are not evaluated, as their answers may still be in transit."""
RECOVERED_GOODPUT = 0.95
"""Goodput from which a fleet counts as recovered, as a share of the baseline's goodput."""

Fault = Callable[[Fleet], None]
"""Injects a fault into a fleet."""


def _kill_routers(fleet: Fleet) -> None:
    """Kill seven of ten routers at once, and restart all of them 2 s later."""
    names = sorted(fleet.routers)
    dead = fleet.rand.sample(names, len(names) * 7 // 10)
    for name in dead:
        fleet.kill(name)
    for name in dead:
        fleet.time.after(2 * SECOND_US, lambda name=name: fleet.start(name))  # type: ignore[misc]


def _slow_origin(fleet: Fleet) -> None:
    """Double the origin's service time for all request classes."""
    fleet.upstreams.origin.slowdowns[""] = 2.0


def _kill_parent(fleet: Fleet) -> None:
    """Crash one parent cache."""
    fleet.set_condition("hub-0", EndpointCondition.CRASHED)


def _fail_half_of_requests(fleet: Fleet) -> None:
    """Let one cache in each zone answer half of its requests, chosen at random, with an error."""
    for zone in range(fleet.size.zones):
        fleet.upstreams.by_name[f"box-{zone}-0"].error_probability = 0.5


def _slow_one_class(fleet: Fleet) -> None:
    """Slow the origin down for one request class only."""
    fleet.upstreams.origin.slowdowns["picture"] = 4.0


def _load_to_capacity(fleet: Fleet) -> None:
    """Set the load to the capacity of endpoints and links."""
    fleet.rate = fleet.size.design_rate * fleet.size.capacity_factor


def _pause_routers(fleet: Fleet) -> None:
    """Pause a fifth of all routers for 5 s."""
    for name in sorted(fleet.routers)[::5]:
        fleet.pause(name, 5 * SECOND_US)


def _triple_load(fleet: Fleet) -> None:
    """Triple the load."""
    fleet.rate = fleet.size.design_rate * fleet.size.load_factor * 3


def _remove_faults(fleet: Fleet) -> None:
    """Restore the load and the endpoints. Killed and paused routers come back by themselves."""
    fleet.rate = fleet.size.design_rate * fleet.size.load_factor
    for name, endpoint in fleet.upstreams.by_name.items():
        endpoint.error_probability = 0.0
        endpoint.slowdowns.clear()
        if endpoint.is_failing:
            fleet.set_condition(name, EndpointCondition.RUNNING)


@dataclass(frozen=True)
class Scenario:
    """A fault, its duration, and the conditions that it occurs under."""

    fault: Fault
    duration_s: int
    changes: dict[str, float] = field(default_factory=dict)
    """Values that replace fields of ``FleetSize`` in this scenario, by field name."""
    digests_lost: float = 0.0
    """Share of the routers' gossip datagrams that is lost."""


SCENARIOS: dict[str, Scenario] = {
    "routers-killed": Scenario(_kill_routers, 3),
    "origin-half": Scenario(_slow_origin, 15),
    "parent-dead": Scenario(_kill_parent, 15),
    "digests-lost": Scenario(_kill_parent, 15, digests_lost=1.0),
    "half-errors": Scenario(_fail_half_of_requests, 15),
    "one-class": Scenario(_slow_one_class, 15),
    "threshold": Scenario(_load_to_capacity, 120),
    "paused": Scenario(_pause_routers, 6),
    "burst": Scenario(_triple_load, 10),
}


@dataclass
class Outcome:
    """Results of a run. The names of all fields but ``by_second`` are the keys of ``--json``."""

    scenario: str
    routers: int
    """Number of routers."""
    seed: int
    amplification: float = 0.0
    """Attempts and fills per request that reached endpoints, as a multiple of the baseline's, in the worst
    window from the fault on."""
    tries_per_s: float = 0.0
    """Attempts and fills per second that reached failing endpoints, from one second after the start of the
    fault to its end."""
    back_to_95_s: float = 0.0
    """Time from the end of the fault until the fleet had recovered."""
    refused_then_served: float = 0.0
    """Share of the requests rejected or failed at least once that another router then served."""
    goodput: float = 0.0
    """Share of requests served in time, from the fault on."""
    worst_class: float = 0.0
    """Lowest goodput of any request class, from the fault on."""
    refused: float = 0.0
    """Number of answers "rejected" or "failed" per request, from the fault on."""
    talk_per_s: float = 0.0
    """Gossip datagrams per router and second."""
    talk_bytes_per_s: float = 0.0
    """Gossip bytes per router and second."""
    rules_broken: int = 0
    """Number of violations of the simulation's rules."""
    real_s: float = 0.0
    """Duration of the run in real time."""
    by_second: list[SecondCounters] = field(default_factory=list, repr=False)
    """Counters of each second of the run."""

    def row(self) -> dict[str, object]:
        """Return the results by the keys of ``--json``."""
        return {name: value for name, value in vars(self).items() if name != "by_second"}


def _work_per_request(seconds: Sequence[SecondCounters]) -> float:
    """Return the number of attempts and fills per request that reached endpoints."""
    requests = sum(second.requests for second in seconds)
    return sum(second.attempts + second.fills for second in seconds) / requests if requests else 0.0


def _goodput(seconds: Sequence[SecondCounters]) -> float:
    """Return the share of requests served in time."""
    requests = sum(second.requests for second in seconds)
    return sum(second.served_in_time for second in seconds) / requests if requests else 0.0


@dataclass(frozen=True)
class GossipSettings:
    """Settings of the gossip between routers."""

    loss: float = 0.0
    """Share of gossip datagrams that is lost."""
    misreporting_routers: int = 0
    """Number of routers that falsely report themselves as idle and all endpoints as failing."""


def run_scenario(name: str, size: FleetSize, gossip: GossipSettings | None = None) -> Outcome:
    """Run a scenario: baseline, fault and recovery. Without ``gossip`` the routers exchange no reports."""
    started_s = time.perf_counter()
    scenario = SCENARIOS[name]
    size = replace(size, **scenario.changes)  # type: ignore[arg-type]
    fleet = Fleet(size)
    simulated_gossip = None
    if gossip is not None:
        from magpieshift.lab.simulated.gossip import SimulatedGossip  # needs the codec's library

        simulated_gossip = SimulatedGossip(
            fleet, max(gossip.loss, scenario.digests_lost), gossip.misreporting_routers
        )
    fleet.run(WARM_UP_S + BASELINE_S)
    baseline = fleet.record.by_second[WARM_UP_S : WARM_UP_S + BASELINE_S]
    baseline_work = _work_per_request(baseline)
    baseline_goodput = _goodput(baseline)
    start_s = fleet.time.second
    scenario.fault(fleet)
    fleet.run(scenario.duration_s)
    end_s = fleet.time.second
    _remove_faults(fleet)
    outcome = Outcome(name, size.routers, size.seed)
    outcome.back_to_95_s = _run_until_recovered(fleet, end_s, baseline_goodput)
    fleet.run(SETTLE_S)
    _set_results(outcome, fleet, start_s, end_s, baseline_work)
    if simulated_gossip is not None:
        datagrams_per_s, bytes_per_s = simulated_gossip.sent_per_router_s()
        outcome.talk_per_s = round(datagrams_per_s, 2)
        outcome.talk_bytes_per_s = round(bytes_per_s, 2)
    outcome.real_s = round(time.perf_counter() - started_s, 1)
    outcome.by_second = fleet.record.by_second
    return outcome


def _run_until_recovered(fleet: Fleet, end_s: int, baseline_goodput: float) -> int:
    """Run until the fleet has recovered; return the seconds that it took, at most ``MAX_RECOVERY_S``."""
    for elapsed_s in range(MAX_RECOVERY_S):
        fleet.run(1)
        if elapsed_s >= WINDOW_S + ANSWER_TIME_S:
            window = fleet.record.by_second[end_s + elapsed_s - WINDOW_S - 1 : end_s + elapsed_s - 1]
            if _goodput(window) >= RECOVERED_GOODPUT * baseline_goodput:
                return elapsed_s - WINDOW_S - 1
    return MAX_RECOVERY_S


def _set_results(outcome: Outcome, fleet: Fleet, start_s: int, end_s: int, baseline_work: float) -> None:
    """Compute the results of a run whose fault lasted from ``start_s`` to ``end_s``."""
    seconds = fleet.record.by_second
    evaluated_end_s = len(seconds) - SETTLE_S
    evaluated = seconds[start_s:evaluated_end_s]
    windows = [seconds[at_s : at_s + WINDOW_S] for at_s in range(start_s, evaluated_end_s - WINDOW_S)]
    fault_seconds = seconds[start_s + 1 : end_s]
    outcome.amplification = round(max(map(_work_per_request, windows)) / baseline_work, 3)
    outcome.tries_per_s = round(
        sum(second.at_failing_endpoints for second in fault_seconds) / max(1, len(fault_seconds)), 1
    )
    outcome.refused_then_served = round(
        fleet.record.rejected_then_served / max(1, fleet.record.rejected_requests), 3
    )
    outcome.goodput = round(_goodput(evaluated), 4)
    outcome.worst_class = round(_worst_class_goodput(evaluated), 4)
    rejected = sum(second.rejections for second in evaluated)
    outcome.refused = round(rejected / sum(second.requests for second in evaluated), 3)
    outcome.rules_broken = len(fleet.record.violations)


def _worst_class_goodput(seconds: Sequence[SecondCounters]) -> float:
    """Return the share of requests served in time of the request class with the lowest share."""
    totals: dict[str, tuple[int, int]] = {}
    for second in seconds:
        for class_name, counted in second.by_class.items():
            requests, served = totals.get(class_name, (0, 0))
            totals[class_name] = (requests + counted.requests, served + counted.served_in_time)
    return min(served / requests for requests, served in totals.values())


@dataclass(frozen=True)
class MapPoint:
    """Results of one combination of the map. The field names are the keys of ``--json``."""

    load: float
    """Load as a multiple of the design load."""
    trigger: str
    """Name of the scenario."""
    tries: int
    """Maximum number of attempts of a client, including the first."""
    back_to_95_s: float
    """This and the next two fields are those of ``Outcome``."""
    goodput: float
    amplification: float
    stays_bad: bool
    """Whether the failure is metastable: the fleet did not recover within ``MAX_RECOVERY_S``."""


def run_map_point(load: float, trigger: str, tries: int, size: FleetSize) -> MapPoint:
    """Run one combination of the map. No client waits for Retry-After: this makes retries most harmful."""
    outcome = run_scenario(
        trigger, replace(size, load_factor=load, max_attempts=tries, retry_after_share=0.0)
    )
    stays_bad = outcome.back_to_95_s >= MAX_RECOVERY_S
    return MapPoint(
        load, trigger, tries, outcome.back_to_95_s, outcome.goodput, outcome.amplification, stays_bad
    )


MAP_LOADS = (0.5, 0.7, 0.85, 1.0, 1.2)
"""Loads of the map as multiples of the design load: from half of it to more than the capacity."""
MAP_TRIGGERS = ("burst", "origin-half", "routers-killed")
"""Scenarios of the map: too many requests, too little capacity, and loss of the routers' state."""
MAP_MAX_ATTEMPTS = (1, 4, 8)
"""Maximum attempts of the map's clients: without retries, the usual number, and persistent retries."""


def run_map(size: FleetSize, workers: int) -> list[MapPoint]:
    """Run all combinations of the map in ``workers`` processes."""
    combinations = [
        (load, trigger, tries) for trigger in MAP_TRIGGERS for tries in MAP_MAX_ATTEMPTS for load in MAP_LOADS
    ]
    with ProcessPoolExecutor(workers) as pool:
        return list(pool.map(run_map_point, *zip(*combinations, strict=True), [size] * len(combinations)))
