"""Histories that nobody thought of: random faults with a seed, and a failing one cut down until it can be
read.

Faults are drawn so that many begin while the fleet still recovers from another, and so that it can be
judged afterwards: each ends, no router has two of its own at a time, no more than half of the routers and
never all stores of a kind are away at once, and the last quarter is quiet."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from dataclasses import replace

from magpieshift.control import sexp
from magpieshift.lab.fault_injection import scenario
from magpieshift.lab.fault_injection.network import LOG
from magpieshift.lab.fault_injection.scenario import AT_STORES, ON_LINKS, ON_ROUTERS, Fault, Run

# how often each is drawn, and how long it lasts in seconds
KINDS: dict[str, tuple[int, float, float]] = {
    "pause": (6, 0.5, 8.0),
    "kill": (6, 0.5, 4.0),
    "stop": (2, 0.5, 3.0),
    "step": (2, 2.0, 8.0),
    "rate": (1, 5.0, 15.0),
    "cut": (6, 1.0, 12.0),
    "lose": (3, 2.0, 12.0),
    "delay": (2, 2.0, 8.0),
    "double": (1, 2.0, 8.0),
    "reset": (3, 0.5, 3.0),
    "silence": (2, 1.0, 5.0),
    "throttle": (1, 2.0, 5.0),
    "drain": (2, 1.0, 3.0),
    "die": (4, 1.0, 5.0),
    "hang": (2, 0.5, 3.0),
    "slow": (3, 2.0, 8.0),
    "err": (2, 2.0, 6.0),
    "purge": (3, 0.0, 0.0),
    "late-list": (1, 2.0, 6.0),
}
# share of faults that begin within so long of another's end
SOON = 0.6
SOON_S = 3.0
QUIET = 0.75  # of the time, after which nothing new is wrong
TRIES = 40


def _by(what: str, rand: random.Random) -> float:
    """How strong it is, in the unit of its kind."""
    ranges = {
        "lose": (0.1, 0.7),
        "double": (0.1, 0.5),
        "err": (0.2, 0.9),
        "delay": (20.0, 800.0),
        "slow": (50.0, 600.0),
        "throttle": (20.0, 200.0),
        "step": (-30.0, 30.0),
        "rate": (0.99, 1.01),
    }
    least, most = ranges.get(what, (0.0, 0.0))
    return round(rand.uniform(least, most), 3)


def draw(seed: int, routers: int = 6, seconds: float = 40.0, faults: int = 8) -> Run:
    """A history by its seed: the same seed gives the same one."""
    rand = random.Random(f"history {seed}")
    boxes = rand.randint(2, 4)
    hubs = rand.randint(1, 2)
    names = [f"r{number}" for number in range(routers)]
    stores = [*(f"box{i + 1}" for i in range(boxes)), *(f"hub{i + 1}" for i in range(hubs))]
    out: list[Fault] = []
    for number in range(faults):
        for _ in range(TRIES):  # one that fits to those before it
            fault = _one(f"f{number}", rand, names, stores, out, seconds)
            if _fits(fault, out, routers, boxes, hubs):
                out.append(fault)
                break
    ordered = tuple(sorted(out, key=lambda fault: fault.at_s))
    run = Run(seconds, seed, routers, 20.0, rand.choice([0.25, 0.5, 1.0]), boxes, hubs, ordered)
    return replace(scenario.load(_data(run)), faults=ordered)


def _data(run: Run) -> dict[str, object]:
    tree = sexp.parse(scenario.written(run), "history", scenario.HEAD)
    return dict(tree.data)


def _one(
    name: str, rand: random.Random, names: list[str], stores: list[str], before: list[Fault], seconds: float
) -> Fault:
    weights = [weight for weight, _, _ in KINDS.values()]
    what = rand.choices(list(KINDS), weights)[0]
    _, least, most = KINDS[what]
    for_s = round(min(rand.uniform(least, most), QUIET * seconds / 2), 2)
    last = QUIET * seconds - for_s
    at_s = rand.uniform(1.0, last)
    if before and rand.random() < SOON:  # into the recovery of another
        other = rand.choice(before)
        at_s = min(other.at_s + other.for_s + rand.uniform(0.0, SOON_S), last)
    who = ""
    source = ""
    target = ""
    if what in ON_ROUTERS:
        who = rand.choice(names)
    elif what in AT_STORES:
        who = rand.choice([*stores, "origin"] if what in ("slow", "err") else stores)
    elif what in ON_LINKS:
        router = rand.choice(names)
        if what in ("lose", "double", "delay") or (what == "cut" and rand.random() < 0.7):
            source, target = rand.choice(
                [
                    (router, "routers"),
                    ("routers", router),
                    ("routers", "routers"),
                    (router, rand.choice(names)),
                ]
            )
            if what == "cut" and source == target:
                source = router
                target = "routers"
        else:
            end = rand.choice([*stores, LOG]) if what == "cut" else rand.choice(stores)
            source, target = (router, end) if rand.random() < 0.5 else (end, router)
    return Fault(name, what, round(at_s, 2), for_s, who, source or "*", target or "*", _by(what, rand))


def _overlaps(a: Fault, b: Fault, beyond_s: float = 0.0) -> bool:
    return a.at_s < b.at_s + b.for_s + beyond_s and b.at_s < a.at_s + a.for_s + beyond_s


def _fits(fault: Fault, before: list[Fault], routers: int, boxes: int, hubs: int) -> bool:
    """Whether it can be carried out beside those, and what it takes away leaves enough to be judged."""
    beside = [other for other in before if _overlaps(fault, other, 4.0)]
    if fault.what in ON_ROUTERS:  # a dead process can't be paused, and a paused one does not end when asked
        if any(other.who == fault.who and other.what in ON_ROUTERS for other in beside):
            return False
        away = {other.who for other in beside if other.what in ("pause", "kill", "stop")}
        return len(away | {fault.who}) <= routers // 2
    if fault.what in ("drain", "die", "hang"):
        away = {other.who for other in beside if other.what in ("drain", "die", "hang")}
        if fault.who in away:
            return False
        for kind, many in (("box", boxes), ("hub", hubs)):
            if fault.who.startswith(kind) and sum(who.startswith(kind) for who in away) + 1 >= max(many, 2):
                return False
    return not (fault.what in AT_STORES and any(o.who == fault.who and o.what == fault.what for o in beside))


async def shrink(run: Run, fails: Callable[[Run], Awaitable[bool]], most: int = 60) -> Run:
    """Fewer faults that still fail, by leaving out halves, then quarters, and so on down to single ones; each
    candidate is played once, ``most`` of them in all."""
    played = 0
    parts = 2
    while len(run.faults) > 1 and played < most:
        size = max(1, len(run.faults) // parts)
        smaller = None
        for start in range(0, len(run.faults), size):
            left = run.faults[:start] + run.faults[start + size :]
            if not left or played >= most:
                continue
            played += 1
            if await fails(replace(run, faults=left)):
                smaller = replace(run, faults=left)
                break
        if smaller is not None:
            run = smaller
            parts = max(2, parts - 1)
        elif size == 1:
            break
        else:
            parts = min(len(run.faults), parts * 2)
    return run
