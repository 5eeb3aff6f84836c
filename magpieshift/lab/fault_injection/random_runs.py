"""Draws random scenarios from a seed, and shrinks failing ones to a few faults.

Many faults start while the cluster recovers from another. So that the result can be checked, each fault ends,
a router has at most one router fault at a time, at most half of the routers and never all of several
endpoints of a kind are down at once, and no fault is active in the last quarter of the run.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import NamedTuple

from magpieshift.control import sexp
from magpieshift.lab.fault_injection import scenario as scenarios
from magpieshift.lab.fault_injection.link_faults import ANY_END, ANY_ROUTER, CHANGE_LOG
from magpieshift.lab.fault_injection.scenario import (
    ENDPOINT_FAULTS,
    LINK_FAULTS,
    ROUTER_FAULTS,
    Fault,
    Scenario,
)


class FaultDraw(NamedTuple):
    """Weight and range of durations with which a kind of fault is drawn."""

    weight: int
    """Weight of the kind, relative to the other kinds."""
    min_s: float
    """Minimum duration in seconds."""
    max_s: float
    """Maximum duration in seconds."""


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
"""Draws by kind of fault. The weights determine which failures are found first."""
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
"""Minimum and maximum magnitude by kind, in the units of ``Fault.magnitude``; other kinds have none."""
OVERLAP_FRACTION = 0.6
"""Share of faults that start soon after another's end: overlapping recoveries find the most failures."""
MAX_OVERLAP_DELAY_S = 3.0
"""Maximum delay in seconds of such a fault after the other's end: about the duration of a recovery."""
FAULT_PERIOD_FRACTION = 0.75
"""Share of a run after which all faults have ended: in the rest, the routers' views agree again."""
MAX_DRAWS_PER_FAULT = 40
"""Maximum number of draws until a fault fits with the earlier ones; after that it is left out."""
SEPARATION_S = 4.0
"""Minimum interval in seconds between two faults of one router or endpoint: a router starts faster."""
FIRST_FAULT_S = 1.0
"""Earliest start of a fault in seconds: until then clients may not have started."""
DATAGRAM_CUT_PROBABILITY = 0.7
"""Probability that a cut is between routers, not on a stream: the routers' agreement is tested most."""
REQUESTS_PER_S = 20.0
"""Request rate of each router's clients, the same as the default of scenarios."""
SOLO_QUOTAS = (0.25, 0.5, 1.0)
"""Possible quotas of a router that knows no other member: a cautious, the default and an unsafe one."""
MAX_SHRINK_RUNS = 60
"""Maximum number of runs for shrinking: each takes as long as the scenario."""


class _Fleet(NamedTuple):
    """The cluster for which faults are drawn."""

    routers: list[str]
    boxes: int
    hubs: int
    duration_s: float

    @property
    def endpoints(self) -> list[str]:
        """Return the places of the caches and parents."""
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
    if earlier and rand.random() < OVERLAP_FRACTION:  # during the recovery from another fault
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
    """Draw the source and target of a fault on links."""
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
    """Return whether two faults overlap, or are less than ``separation_s`` apart."""
    return (
        a.start_s < b.start_s + b.duration_s + separation_s
        and b.start_s < a.start_s + a.duration_s + separation_s
    )


def _fits(fault: Fault, earlier: list[Fault], fleet: _Fleet) -> bool:
    """Return whether a fault can be combined with the earlier ones, and leaves enough of the cluster up."""
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
    """Return whether the router has no other router fault, and at most half of the routers are down.

    A dead process cannot be paused, and a paused one does not handle SIGTERM.
    """
    if any(other.component == fault.component and other.kind in ROUTER_FAULTS for other in nearby):
        return False
    away = {other.component for other in nearby if other.kind in ("pause", "kill", "stop")}
    return len(away | {fault.component}) <= routers // 2


def _endpoints_remain(fault: Fault, nearby: list[Fault], fleet: _Fleet) -> bool:
    """Return whether the endpoint is up, and at least one of several of its kind remains up without it."""
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

    Removes halves of the faults, then quarters, and so on down to single faults. Each candidate is run once,
    at most ``max_runs`` candidates in total.
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
