"""Overload by scenario, at any number of routers: what harm routers do together that each by itself does not.

``map_of`` goes through loads, triggers and clients: after the trigger is gone, does the fleet return by
itself?
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

WARM_S = 15
CALM_S = 10
MOST_AFTER_S = 60
WINDOW_S = 3

Trouble = Callable[[Fleet], None]


def _killed(fleet: Fleet) -> None:
    """Seven of ten routers die at once, and come back at 2 s, all at once."""
    names = sorted(fleet.routers)
    dead = fleet.rand.sample(names, len(names) * 7 // 10)
    for name in dead:
        fleet.kill(name)
    for name in dead:
        fleet.time.after(2 * SECOND_US, lambda name=name: fleet.start(name))  # type: ignore[misc]


def _origin_half(fleet: Fleet) -> None:
    """The origin takes twice as long for everything."""
    fleet.upstreams.origin.slowdowns[""] = 2.0


def _parent_dead(fleet: Fleet) -> None:
    fleet.set_condition("hub-0", EndpointCondition.CRASHED)


def _half_errors(fleet: Fleet) -> None:
    """A store in each zone answers every second request with an error."""
    for zone in range(fleet.size.zones):
        fleet.upstreams.by_name[f"box-{zone}-0"].error_probability = 0.5


def _one_class(fleet: Fleet) -> None:
    """The origin is slow for one class only."""
    fleet.upstreams.origin.slowdowns["picture"] = 4.0


def _threshold(fleet: Fleet) -> None:
    """Just about what can be borne."""
    fleet.rate = fleet.size.design_rate * fleet.size.capacity_factor


def _paused(fleet: Fleet) -> None:
    """A fifth of all routers stands still for 5 s."""
    for name in sorted(fleet.routers)[::5]:
        fleet.pause(name, 5 * SECOND_US)


def _burst(fleet: Fleet) -> None:
    """Three times the load."""
    fleet.rate = fleet.size.design_rate * fleet.size.load_factor * 3


def _well(fleet: Fleet) -> None:
    """All is as before."""
    fleet.rate = fleet.size.design_rate * fleet.size.load_factor
    for ident, store in fleet.upstreams.by_name.items():
        store.error_probability = 0.0
        store.slowdowns.clear()
        if store.is_failing:
            fleet.set_condition(ident, EndpointCondition.RUNNING)


@dataclass(frozen=True)
class Scenario:
    """A trouble and how long it lasts; ``changes`` to the form."""

    trouble: Trouble
    seconds: int
    changes: dict[str, float] = field(default_factory=dict)
    digests_lost: float = 0.0  # share of what routers that talk say to each other


SCENARIOS: dict[str, Scenario] = {
    "routers-killed": Scenario(_killed, 3),
    "origin-half": Scenario(_origin_half, 15),
    "parent-dead": Scenario(_parent_dead, 15),
    "digests-lost": Scenario(_parent_dead, 15, digests_lost=1.0),
    "half-errors": Scenario(_half_errors, 15),
    "one-class": Scenario(_one_class, 15),
    "threshold": Scenario(_threshold, 120),
    "paused": Scenario(_paused, 6),
    "burst": Scenario(_burst, 10),
}


@dataclass
class Outcome:
    """What came of one run. Amplification is work that reached stores over requests first asked for, against
    the same in the calm before, in the worst three seconds from the trouble on."""

    scenario: str
    routers: int
    seed: int
    amplification: float = 0.0
    tries_per_s: float = 0.0  # that reached failing stores, from a second after they began to fail
    back_to_95_s: float = 0.0  # after the trouble
    refused_then_served: float = 0.0  # share of refused requests that another router served
    goodput: float = 0.0  # share of requests served in time, from the trouble on
    worst_class: float = 0.0
    refused: float = 0.0  # tries refused, of all first asked for
    talk_per_s: float = 0.0  # datagrams of digests, of each router
    talk_bytes_per_s: float = 0.0
    rules_broken: int = 0
    real_s: float = 0.0
    by_second: list[SecondCounters] = field(default_factory=list, repr=False)

    def row(self) -> dict[str, object]:
        return {name: value for name, value in vars(self).items() if name != "by_second"}


def _work(seconds: Sequence[SecondCounters]) -> float:
    asked = sum(a.requests for a in seconds)
    return sum(a.attempts + a.fills for a in seconds) / asked if asked else 0.0


def _good(seconds: Sequence[SecondCounters]) -> float:
    asked = sum(a.requests for a in seconds)
    return sum(a.served_in_time for a in seconds) / asked if asked else 0.0


@dataclass(frozen=True)
class Talking:
    """How routers talk, where they do."""

    loss: float = 0.0
    liars: int = 0


def play(name: str, form: FleetSize, talking: Talking | None = None) -> Outcome:
    """One run: calm, trouble, and what follows; without ``talking`` each router goes by itself."""
    began = time.perf_counter()
    scenario = SCENARIOS[name]
    form = replace(form, **scenario.changes)  # type: ignore[arg-type]
    fleet = Fleet(form)
    talk = None
    if talking is not None:
        from magpieshift.lab.simulated.gossip import Talk  # needs the codec's library

        talk = Talk(fleet, max(talking.loss, scenario.digests_lost), talking.liars)
    fleet.run(WARM_S + CALM_S)
    calm = fleet.record.by_second[WARM_S : WARM_S + CALM_S]
    usual_work = _work(calm)
    usual_good = _good(calm)
    start = fleet.time.second
    scenario.trouble(fleet)
    fleet.run(scenario.seconds)
    end = fleet.time.second
    _well(fleet)
    back = MOST_AFTER_S
    for after in range(MOST_AFTER_S):
        fleet.run(1)
        # a second's requests are judged once their time is over
        if after >= WINDOW_S + 2:
            window = fleet.record.by_second[end + after - WINDOW_S - 1 : end + after - 1]
            if _good(window) >= 0.95 * usual_good:
                back = after - WINDOW_S - 1
                break
    fleet.run(3)
    seconds = fleet.record.by_second
    troubled = seconds[start : len(seconds) - 3]
    windows = [seconds[at : at + WINDOW_S] for at in range(start, len(seconds) - 3 - WINDOW_S)]
    failing = seconds[start + 1 : end]
    out = Outcome(name, form.routers, form.seed)
    out.amplification = round(max(map(_work, windows)) / usual_work, 3)
    out.tries_per_s = round(sum(a.at_failing_endpoints for a in failing) / max(1, len(failing)), 1)
    out.back_to_95_s = back
    record = fleet.record
    out.refused_then_served = round(record.rejected_then_served / max(1, record.rejected_requests), 3)
    out.goodput = round(_good(troubled), 4)
    classes: dict[str, list[int]] = {}
    for account in troubled:
        for cls, counted in account.by_class.items():
            counts = classes.setdefault(cls, [0, 0])
            counts[0] += counted.requests
            counts[1] += counted.served_in_time
    out.worst_class = round(min(served / asked for asked, served in classes.values()), 4)
    out.refused = round(sum(a.rejections for a in troubled) / sum(a.requests for a in troubled), 3)
    out.rules_broken = len(fleet.record.violations)
    if talk is not None:
        out.talk_per_s, out.talk_bytes_per_s = (round(each, 2) for each in talk.cost())
    out.real_s = round(time.perf_counter() - began, 1)
    out.by_second = seconds
    return out


@dataclass(frozen=True)
class Point:
    """One point of the map, and what was found there."""

    load: float
    trigger: str
    tries: int
    back_to_95_s: float
    goodput: float
    amplification: float
    stays_bad: bool


def point(load: float, trigger: str, tries: int, form: FleetSize) -> Point:
    """One point: none of its clients is patient, so that returns are as bad as they can be."""
    found = play(trigger, replace(form, load_factor=load, max_attempts=tries, patient_share=0.0))
    bad = found.back_to_95_s >= MOST_AFTER_S
    return Point(load, trigger, tries, found.back_to_95_s, found.goodput, found.amplification, bad)


LOADS = (0.5, 0.7, 0.85, 1.0, 1.2)
TRIGGERS = ("burst", "origin-half", "routers-killed")
TRIES = (1, 4, 8)


def map_of(form: FleetSize, workers: int) -> list[Point]:
    """All points, by several processes."""
    points = [(load, trigger, tries) for trigger in TRIGGERS for tries in TRIES for load in LOADS]
    with ProcessPoolExecutor(workers) as pool:
        return list(pool.map(point, *zip(*points, strict=True), [form] * len(points)))
