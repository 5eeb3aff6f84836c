"""Exhaustive exploration of a small fan-out tier: a source, two relays and two routers.

Breadth first from a given state, every order of deliveries, sends, losses, crashes and passing time is tried
to a depth. What is not scheduled stands still, so pauses of any length are among them. Rules are checked in
each state. Time goes on in large steps, and the machines' clocks run at rates that differ by the drift.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Iterator
from dataclasses import dataclass
from functools import partial

from magpieshift.lab.simulated.fanout_judge import RuleBroken
from magpieshift.lab.simulated.fanout_tier import (
    BEGIN_US,
    FOLLOWERS,
    NAMES,
    RELAYS,
    ROUTERS,
    SOURCE,
    Budget,
    Draft,
    Known,
    Memory,
    Tier,
)

MOST_UNDER_WAY = 2  # messages in one direction of a stream
ENDLESS = Budget(*(1 << 30,) * len(Budget._fields))


@dataclass(frozen=True, slots=True)
class Count:
    """How much was explored."""

    states: int
    transitions: int
    depth: int
    processes: int  # different states of single processes


Move = tuple[str, Callable[[Draft], None]]
Moves = Callable[[Tier], Iterator[Move]]


def single_messages(tier: Tier, actors: Collection[str] = NAMES) -> Iterator[Move]:
    """What may happen, message by message. Of the followers only ``actors`` do anything."""
    yield from _faults(tier, actors)
    for name, way, left in zip(FOLLOWERS, tier.ways, tier.left, strict=True):
        if name not in actors:
            continue
        if left is not None and left.up:
            yield f"up left {name}", partial(Draft.up_left, follower=name)
        if name in ROUTERS:
            yield f"apply {name}", partial(Draft.apply, name=name)
        if way is None:
            continue
        if way.up:
            yield f"up {name}", partial(Draft.up, follower=name, answer=False)
        if way.down:
            yield f"down {name}", partial(Draft.down, follower=name)
        if len(way.up) < MOST_UNDER_WAY and way.server:
            yield f"acknowledge {name}", partial(Draft.acknowledge, name=name)
        if len(way.down) < MOST_UNDER_WAY and way.server:
            yield f"send {name}", partial(Draft.send, follower=name)


def whole_directions(tier: Tier, actors: Collection[str] = NAMES) -> Iterator[Move]:
    """What may happen, where all that is to be said in one direction of a stream arrives at once: fewer steps
    lead further."""
    yield from _faults(tier, actors)
    for name, way, left in zip(FOLLOWERS, tier.ways, tier.left, strict=True):
        if name in actors and (way is not None or left is not None):
            yield f"report {name}", partial(Draft.report, follower=name)
        if name in actors and way is not None:
            yield f"tell {name}", partial(Draft.tell, follower=name)


def rounds(tier: Tier, actors: Collection[str] = NAMES) -> Iterator[Move]:
    """What may happen, where all, or all but one of ``actors``, go about their business for a while."""
    yield from _faults(tier, actors)
    if tier.budget.rounds:
        yield "round", Draft.round
        for name in NAMES:
            if name in actors:
                yield f"round without {name}", partial(Draft.round, without=name)
    for name, left in zip(FOLLOWERS, tier.left, strict=True):
        if left is not None and left.up:
            yield f"up left {name}", partial(Draft.up_left, follower=name)
        if name in actors and name in ROUTERS:
            yield f"report {name}", partial(Draft.report, follower=name)


def _faults(tier: Tier, actors: Collection[str]) -> Iterator[Move]:
    """Time, purges, and what goes wrong."""
    budget = tier.budget
    if budget.ticks:
        yield "tick", Draft.tick
    if budget.purges:
        yield "purge", Draft.purge
    if SOURCE in actors:
        yield "read", Draft.read_log
    for name, way in zip(FOLLOWERS, tier.ways, strict=True):
        if name not in actors:
            continue
        servers = (SOURCE,) if name in RELAYS else RELAYS
        if way is None:
            for to in servers:
                yield f"connect {name} {to}", partial(Draft.connect, name=name, to=to)
        elif way.server:
            if budget.losses:
                yield f"lose {name}", partial(Draft.lose, follower=name)
            if budget.moves and name in ROUTERS:
                other = RELAYS[1 - RELAYS.index(way.server)]
                yield f"move {name}", partial(Draft.connect, name=name, to=other, moving=True)
        if budget.crashes:
            yield f"crash {name}", partial(Draft.crash, name=name)
    if budget.sources:
        yield "crash S", partial(Draft.crash, name=SOURCE)


class Explorer(Memory):
    """Explores from given states; what was worked out is remembered from one to the next."""

    def fair(self, budget: Budget, rounds: int = 25) -> Tier:
        """A state in which all have come up by a fair schedule, ``E1`` at ``R1`` and ``E2`` at ``R2``, with
        one purge that is done."""
        coming_up = budget._replace(rounds=rounds)
        empty = Tier(BEGIN_US, (0,) * 5, (None,) * 4, (None,) * 4, (Known(),) * 2, (), 0, (), 0, coming_up)
        draft = Draft(self, empty)
        for name in NAMES:
            draft.start(name)
        draft.made_us = (BEGIN_US,)
        servers = {"R1": SOURCE, "R2": SOURCE, "E1": "R1", "E2": "R2"}
        for _ in range(rounds):
            for name in FOLLOWERS:
                if draft.ways[name] is None:
                    draft.connect(name, servers[name])
            draft.round()
            draft.judge()
        if draft.logs[-1].done != 1 or any(known.sequence != 1 for known in draft.known.values()):
            raise ValueError(f"it did not come up: {draft.tier()}")
        draft.budget = budget
        return draft.tier()

    def after(self, tier: Tier, events: Iterable[Callable[[Draft], None]]) -> Tier:
        """The state after some events, whatever the budget."""
        draft = Draft(self, tier)
        for event in events:
            draft.budget = ENDLESS
            event(draft)
            draft.judge()
        draft.budget = tier.budget
        return draft.tier()

    def explore(self, start: Tier, depth: int, moves: Moves, most_states: int = 1_000_000) -> Count:
        """Everything that may come of a state in so many steps. ``RuleBroken``, with the way there in its
        notes."""
        came_by: dict[Tier, tuple[Tier, str] | None] = {start: None}
        frontier = [start]
        transitions = 0
        reached = 0
        for reached in range(1, depth + 1):  # noqa: B007
            found: list[Tier] = []
            for tier in frontier:
                for label, move in moves(tier):
                    transitions += 1
                    after = self._after(tier, label, move, came_by)
                    if after not in came_by:
                        came_by[after] = tier, label
                        found.append(after)
                if len(came_by) >= most_states:
                    return Count(len(came_by), transitions, reached - 1, len(self.frozen))
            frontier = found
        return Count(len(came_by), transitions, reached, len(self.frozen))

    def _after(
        self,
        tier: Tier,
        label: str,
        move: Callable[[Draft], None],
        came_by: dict[Tier, tuple[Tier, str] | None],
    ) -> Tier:
        draft = Draft(self, tier)
        try:
            move(draft)
            draft.judge()
        except RuleBroken as broken:
            trail = [label]
            step = came_by[tier]
            while step is not None:
                trail.append(step[1])
                step = came_by[step[0]]
            broken.add_note(", ".join(reversed(trail)))
            raise
        return draft.tier()
