"""Random scenarios with a seed, and shrinking a failing one until it can be read.

Faults are drawn so that many begin while the fleet still recovers from another, and so that the run can be
judged afterwards: each ends, no router has two of its own at a time, no more than half of the routers and
never all endpoints of a kind that has several are away at once, and nothing is wrong in the last quarter.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import NamedTuple

from magpieshift.control import sexp
from magpieshift.lab.fault_injection import scenario as scenarios
from magpieshift.lab.fault_injection.network import ANY_END, ANY_ROUTER, CHANGE_LOG
from magpieshift.lab.fault_injection.scenario import (
    ENDPOINT_FAULTS,
    LINK_FAULTS,
    ROUTER_FAULTS,
    Fault,
    Scenario,
)


class FaultDraw(NamedTuple):
    """How often a kind of fault is drawn, and how long it lasts."""

    weight: int
    """Share of draws, beside the other kinds' weights."""
    min_s: float
    """Shortest duration in seconds."""
    max_s: float
    """Longest duration in seconds."""


FAULT_DRAWS: dict[str, FaultDraw] = {
    "pause": FaultDraw(6, 0.5, 8.0),
    "kill": FaultDraw(6, 0.5, 4.0),
    "stop": FaultDraw(2, 0.5, 3.0),
    "step": FaultDraw(2, 2.0, 8.0),
    "rate": FaultDraw(1, 5.0, 15.0),
    "cut": FaultDraw(6, 1.0, 12.0),
    "lose": FaultDraw(3, 2.0, 12.0),
    "delay": FaultDraw(2, 2.0, 8.0),
    "double": FaultDraw(1, 2.0, 8.0),
    "reset": FaultDraw(3, 0.5, 3.0),
    "silence": FaultDraw(2, 1.0, 5.0),
    "throttle": FaultDraw(1, 2.0, 5.0),
    "drain": FaultDraw(2, 1.0, 3.0),
    "die": FaultDraw(4, 1.0, 5.0),
    "hang": FaultDraw(2, 0.5, 3.0),
    "slow": FaultDraw(3, 2.0, 8.0),
    "err": FaultDraw(2, 2.0, 6.0),
    "purge": FaultDraw(3, 0.0, 0.0),
    "late-list": FaultDraw(1, 2.0, 6.0),
}
"""By kind; the weights decide which failures are found first."""
MAGNITUDES = {
    "lose": (0.1, 0.7),
    "double": (0.1, 0.5),
    "err": (0.2, 0.9),
    "delay": (20.0, 800.0),
    "slow": (50.0, 600.0),
    "throttle": (20.0, 200.0),
    "step": (-30.0, 30.0),
    "rate": (0.99, 1.01),
}
"""Least and greatest magnitude by kind, in the units of ``Fault.magnitude``; other kinds have none."""
OVERLAP_FRACTION = 0.6
"""Share of faults that begin soon after another's end: recoveries that meet find the most failures."""
MAX_OVERLAP_DELAY_S = 3.0
"""Seconds after another's end within which those begin: a recovery takes about as long."""
FAULT_PERIOD_FRACTION = 0.75
"""Share of a run after which nothing new is wrong: the rest is for the fleet to agree again."""
MAX_DRAWS_PER_FAULT = 40
"""Draws until one fits beside the faults before it; then the run has one fault fewer."""
SEPARATION_S = 4.0
"""Seconds between two faults of one router or endpoint: a router starts in less."""
FIRST_FAULT_S = 1.0
"""Earliest beginning of a fault in seconds: before, clients have not begun."""
DATAGRAM_CUT_PROBABILITY = 0.7
"""Probability that a cut is between routers, not on a stream: their agreement is what is tested most."""
REQUESTS_PER_S = 20.0
"""Rate of the clients at each router, as for scenarios that say none."""
SOLO_QUOTAS = (0.25, 0.5, 1.0)
"""Quotas of a lone router that are drawn from: a cautious, the default and a careless one."""
MAX_SHRINK_RUNS = 60
"""Runs that shrinking may take: each lasts as long as the scenario."""


class _Fleet(NamedTuple):
    """What faults are drawn for."""

    routers: list[str]
    boxes: int
    hubs: int
    duration_s: float

    @property
    def endpoints(self) -> list[str]:
        """Places of the caches and parents."""
        return [*(f"box{i + 1}" for i in range(self.boxes)), *(f"hub{i + 1}" for i in range(self.hubs))]


def draw(seed: int, routers: int = 6, seconds: float = 40.0, faults: int = 8) -> Scenario:
    """Return a random scenario; the same seed gives the same one."""
    rand = random.Random(f"history {seed}")
    boxes = rand.randint(2, 4)
    hubs = rand.randint(1, 2)
    fleet = _Fleet([f"r{number}" for number in range(routers)], boxes, hubs, seconds)
    drawn: list[Fault] = []
    for number in range(faults):
        for _ in range(MAX_DRAWS_PER_FAULT):
            fault = _draw_fault(f"f{number}", rand, fleet, drawn)
            if _fits(fault, drawn, fleet):
                drawn.append(fault)
                break
    ordered = tuple(sorted(drawn, key=lambda fault: fault.start_s))
    solo_quota = rand.choice(SOLO_QUOTAS)
    scenario = Scenario(seconds, seed, routers, REQUESTS_PER_S, solo_quota, boxes, hubs, ordered)
    return replace(scenarios.load(_data(scenario)), faults=ordered)


def _data(scenario: Scenario) -> dict[str, object]:
    tree = sexp.parse(scenarios.format_scenario(scenario), "history", scenarios.DOCUMENT_HEAD)
    return dict(tree.data)


def _draw_fault(name: str, rand: random.Random, fleet: _Fleet, earlier: list[Fault]) -> Fault:
    weights = [fault_draw.weight for fault_draw in FAULT_DRAWS.values()]
    kind = rand.choices(list(FAULT_DRAWS), weights)[0]
    fault_draw = FAULT_DRAWS[kind]
    longest_s = FAULT_PERIOD_FRACTION * fleet.duration_s / 2
    duration_s = round(min(rand.uniform(fault_draw.min_s, fault_draw.max_s), longest_s), 2)
    latest_s = FAULT_PERIOD_FRACTION * fleet.duration_s - duration_s
    start_s = rand.uniform(FIRST_FAULT_S, latest_s)
    if earlier and rand.random() < OVERLAP_FRACTION:  # into the recovery from another
        other = rand.choice(earlier)
        delay_s = rand.uniform(0.0, MAX_OVERLAP_DELAY_S)
        start_s = min(other.start_s + other.duration_s + delay_s, latest_s)
    component = ""
    source = ANY_END
    target = ANY_END
    if kind in ROUTER_FAULTS:
        component = rand.choice(fleet.routers)
    elif kind in ENDPOINT_FAULTS:
        endpoints = fleet.endpoints
        component = rand.choice([*endpoints, "origin"] if kind in ("slow", "err") else endpoints)
    elif kind in LINK_FAULTS:
        source, target = _draw_link(kind, rand, fleet)
    magnitude = round(rand.uniform(*MAGNITUDES.get(kind, (0.0, 0.0))), 3)
    return Fault(name, kind, round(start_s, 2), duration_s, component, source, target, magnitude)


def _draw_link(kind: str, rand: random.Random, fleet: _Fleet) -> tuple[str, str]:
    """Draw source and target of a fault on links."""
    router = rand.choice(fleet.routers)
    is_cut = kind == "cut"
    if kind in ("lose", "double", "delay") or (is_cut and rand.random() < DATAGRAM_CUT_PROBABILITY):
        source, target = rand.choice(
            [
                (router, ANY_ROUTER),
                (ANY_ROUTER, router),
                (ANY_ROUTER, ANY_ROUTER),
                (router, rand.choice(fleet.routers)),
            ]
        )
        if is_cut and source == target:  # all routers, or a router and itself
            return router, ANY_ROUTER
        return source, target
    end = rand.choice([*fleet.endpoints, CHANGE_LOG]) if is_cut else rand.choice(fleet.endpoints)
    return (router, end) if rand.random() < 0.5 else (end, router)


def _overlaps(a: Fault, b: Fault, separation_s: float = 0.0) -> bool:
    """Whether two faults are in force at once, or less than so many seconds apart."""
    return (
        a.start_s < b.start_s + b.duration_s + separation_s
        and b.start_s < a.start_s + a.duration_s + separation_s
    )


def _fits(fault: Fault, earlier: list[Fault], fleet: _Fleet) -> bool:
    """Whether a fault can be injected beside those, and leaves enough of the fleet to be judged."""
    nearby = [other for other in earlier if _overlaps(fault, other, SEPARATION_S)]
    if fault.kind in ROUTER_FAULTS:
        return _router_fault_fits(fault, nearby, len(fleet.routers))
    if fault.kind in ("drain", "die", "hang") and not _endpoints_remain(fault, nearby, fleet):
        return False
    return not (
        fault.kind in ENDPOINT_FAULTS
        and any(other.component == fault.component and other.kind == fault.kind for other in nearby)
    )


def _router_fault_fits(fault: Fault, nearby: list[Fault], routers: int) -> bool:
    """Whether the router has no other fault of its own, and at most half of the routers are away.

    A dead process can't be paused, and a paused one does not end when asked to.
    """
    if any(other.component == fault.component and other.kind in ROUTER_FAULTS for other in nearby):
        return False
    away = {other.component for other in nearby if other.kind in ("pause", "kill", "stop")}
    return len(away | {fault.component}) <= routers // 2


def _endpoints_remain(fault: Fault, nearby: list[Fault], fleet: _Fleet) -> bool:
    """Whether the endpoint is not away yet, and one of its kind remains where there are several."""
    away = {other.component for other in nearby if other.kind in ("drain", "die", "hang")}
    if fault.component in away:
        return False
    for kind, count in (("box", fleet.boxes), ("hub", fleet.hubs)):
        away_of_kind = sum(component.startswith(kind) for component in away)
        if fault.component.startswith(kind) and away_of_kind + 1 >= max(count, 2):
            return False
    return True


async def shrink(
    scenario: Scenario, fails: Callable[[Scenario], Awaitable[bool]], max_runs: int = MAX_SHRINK_RUNS
) -> Scenario:
    """Return a scenario with fewer faults that still fails.

    Halves of the faults are left out, then quarters, and so on down to single ones; each candidate is played
    once, ``max_runs`` of them in all.
    """
    runs = 0
    parts = 2
    while len(scenario.faults) > 1 and runs < max_runs:
        size = max(1, len(scenario.faults) // parts)
        smaller = None
        for start in range(0, len(scenario.faults), size):
            remaining = scenario.faults[:start] + scenario.faults[start + size :]
            if not remaining or runs >= max_runs:
                continue
            runs += 1
            if await fails(replace(scenario, faults=remaining)):
                smaller = replace(scenario, faults=remaining)
                break
        if smaller is not None:
            scenario = smaller
            parts = max(2, parts - 1)
        elif size == 1:
            break
        else:
            parts = min(len(scenario.faults), parts * 2)
    return scenario
