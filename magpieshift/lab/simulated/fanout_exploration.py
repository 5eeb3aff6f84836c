"""Exhaustive exploration of a small fan-out tier: a source, two relays and two routers.

A breadth-first search from a given state tries every order of deliveries, sends, disconnects, crashes and
time steps up to a depth. A process that takes part in no event behaves like a paused one, so pauses of any
length are covered. The rules are checked in each state. Time advances in large steps, and the clocks of the
machines drift apart.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Iterator
from dataclasses import dataclass
from functools import partial

from magpieshift.lab.simulated.fanout_invariants import RuleBrokenError
from magpieshift.lab.simulated.fanout_tier import MutableTier
from magpieshift.lab.simulated.fanout_tier_processes import ProcessTable
from magpieshift.lab.simulated.fanout_tier_state import (
    FOLLOWERS,
    PROCESS_NAMES,
    RELAYS,
    ROUTERS,
    SOURCE,
    START_US,
    AppliedState,
    EventBudget,
    StreamState,
    TierState,
)

MAX_IN_FLIGHT_MESSAGES = 2  # in one direction of a stream; more would multiply the states
UNLIMITED_BUDGET = EventBudget(*(1 << 30,) * len(EventBudget._fields))  # more than any start sequence uses
MAX_STATES = 1_000_000  # an exploration stops there to limit memory; scenarios stay far below
START_UP_ROUNDS = 25  # rounds after which a purge is applied everywhere in a new tier


@dataclass(frozen=True, slots=True)
class ExplorationSize:
    """The extent of an exploration."""

    states: int  # different states of the whole tier
    transitions: int  # events tried, including those that lead to a known state
    depth: int  # events from the start to the last states
    processes: int  # different states of single processes


Event = Callable[[MutableTier], None]
Transition = tuple[str, Event]  # an event with its label
EnabledTransitions = Callable[[TierState], Iterator[Transition]]  # the possible events in a state
Predecessors = dict[TierState, tuple[TierState, str] | None]  # the state and event that led to each


def single_messages(tier: TierState, actors: Collection[str] = PROCESS_NAMES) -> Iterator[Transition]:
    """The possible events, each with at most one message. Of the followers only those in ``actors``
    take part; the source reads the change log only if it is among ``actors``."""
    yield from _faults(tier, actors)
    for follower, stream, abandoned in zip(FOLLOWERS, tier.streams, tier.abandoned_streams, strict=True):
        if follower not in actors:
            continue
        yield from _abandoned_deliveries(follower, abandoned)
        if follower in ROUTERS:
            yield f"apply {follower}", partial(MutableTier.apply, router=follower)
        if stream is not None:
            yield from _single_steps(follower, stream)


def _single_steps(follower: str, stream: StreamState) -> Iterator[Transition]:
    """The events in which one message is sent or arrives on a stream."""
    if stream.to_server:
        yield (
            f"deliver to server {follower}",
            partial(MutableTier.deliver_to_server, follower=follower, sends_answer=False),
        )
    if stream.to_follower:
        yield f"deliver to {follower}", partial(MutableTier.deliver_to_follower, follower=follower)
    if len(stream.to_server) < MAX_IN_FLIGHT_MESSAGES and stream.server:
        yield f"acknowledge {follower}", partial(MutableTier.acknowledge, follower=follower)
    if len(stream.to_follower) < MAX_IN_FLIGHT_MESSAGES and stream.server:
        yield f"send {follower}", partial(MutableTier.send, follower=follower)


def _abandoned_deliveries(follower: str, abandoned: StreamState | None) -> Iterator[Transition]:
    """The event in which a message arrives on the stream that a follower has left."""
    if abandoned is not None and abandoned.to_server:
        yield f"deliver abandoned {follower}", partial(MutableTier.deliver_abandoned, follower=follower)


def flushed_directions(tier: TierState, actors: Collection[str] = PROCESS_NAMES) -> Iterator[Transition]:
    """The possible events if all messages in one direction of a stream arrive in one event, so that the same
    depth covers longer histories."""
    yield from _faults(tier, actors)
    for follower, stream, abandoned in zip(FOLLOWERS, tier.streams, tier.abandoned_streams, strict=True):
        if follower in actors and (stream is not None or abandoned is not None):
            yield f"flush to server {follower}", partial(MutableTier.flush_to_server, follower=follower)
        if follower in actors and stream is not None:
            yield f"flush to {follower}", partial(MutableTier.flush_to_follower, follower=follower)


def rounds(tier: TierState, actors: Collection[str] = PROCESS_NAMES) -> Iterator[Transition]:
    """The possible events if all processes, or all but one of ``actors``, exchange their due messages at
    once."""
    yield from _faults(tier, actors)
    if tier.budget.rounds:
        yield "round", MutableTier.run_round
        for name in PROCESS_NAMES:
            if name in actors:
                yield f"round without {name}", partial(MutableTier.run_round, excluded=name)
    for follower, abandoned in zip(FOLLOWERS, tier.abandoned_streams, strict=True):
        yield from _abandoned_deliveries(follower, abandoned)
        if follower in actors and follower in ROUTERS:
            yield f"flush to server {follower}", partial(MutableTier.flush_to_server, follower=follower)


def _faults(tier: TierState, actors: Collection[str]) -> Iterator[Transition]:
    """The events in which time passes, purges are accepted, or processes and streams fail, within the
    budget."""
    budget = tier.budget
    if budget.ticks:
        yield "tick", MutableTier.tick
    if budget.purges:
        yield "purge", MutableTier.accept_purge
    if SOURCE in actors:
        yield "read change log", MutableTier.read_change_log
    for follower, stream in zip(FOLLOWERS, tier.streams, strict=True):
        if follower not in actors:
            continue
        if stream is None:
            for server in (SOURCE,) if follower in RELAYS else RELAYS:
                yield (
                    f"connect {follower} {server}",
                    partial(MutableTier.connect, follower=follower, server=server),
                )
        elif stream.server:
            yield from _stream_faults(follower, stream, budget)
        if budget.crashes:
            yield f"crash {follower}", partial(MutableTier.crash, name=follower)
    if budget.source_crashes:
        yield "crash S", partial(MutableTier.crash, name=SOURCE)


def _stream_faults(follower: str, stream: StreamState, budget: EventBudget) -> Iterator[Transition]:
    """The events in which a stream breaks, or a router switches to the other relay."""
    if budget.disconnects:
        yield f"disconnect {follower}", partial(MutableTier.disconnect, follower=follower)
    if budget.relay_switches and follower in ROUTERS:
        other = RELAYS[1 - RELAYS.index(stream.server)]
        yield (
            f"switch relay {follower}",
            partial(MutableTier.switch_relay, follower=follower, server=other),
        )


class Explorer(ProcessTable):
    """Explores from given states. Results of events are cached across explorations."""

    def started(self, budget: EventBudget) -> TierState:
        """A state after a start-up without faults, with ``E1`` at ``R1``, ``E2`` at ``R2``, and one purge
        that is applied everywhere."""
        tier = MutableTier(self, _empty_tier(budget._replace(rounds=START_UP_ROUNDS)))
        for name in PROCESS_NAMES:
            tier.start(name)
        tier.purges_accepted_us = (START_US,)
        servers = {"R1": SOURCE, "R2": SOURCE, "E1": "R1", "E2": "R2"}
        for _ in range(START_UP_ROUNDS):
            for follower in FOLLOWERS:
                if tier.streams.current[follower] is None:
                    tier.connect(follower, servers[follower])
            tier.run_round()
            tier.check_rules()
        if tier.source_logs[-1].watermark != 1 or any(
            applied.sequence != 1 for applied in tier.applied.values()
        ):
            raise ValueError(f"the tier did not start: found {tier.state()}, expected one purge everywhere")
        tier.budget = budget
        return tier.state()

    def after(self, state: TierState, events: Iterable[Event]) -> TierState:
        """The state after these events, which do not count towards the budget."""
        tier = MutableTier(self, state)
        for event in events:
            tier.budget = UNLIMITED_BUDGET
            event(tier)
            tier.check_rules()
        tier.budget = state.budget
        return tier.state()

    def explore(
        self, start: TierState, depth: int, enabled: EnabledTransitions, max_states: int = MAX_STATES
    ) -> ExplorationSize:
        """Visit every state within ``depth`` events of ``start``. Raises ``RuleBrokenError`` with the events
        that led there as its note."""
        predecessors: Predecessors = {start: None}
        frontier = [start]
        transitions = 0
        reached_depth = 0
        for reached_depth in range(1, depth + 1):  # noqa: B007
            discovered: list[TierState] = []
            for state in frontier:
                for label, event in enabled(state):
                    transitions += 1
                    after = self._after_transition(state, label, event, predecessors)
                    if after not in predecessors:
                        predecessors[after] = state, label
                        discovered.append(after)
                if len(predecessors) >= max_states:
                    return ExplorationSize(
                        len(predecessors), transitions, reached_depth - 1, len(self.process_states)
                    )
            frontier = discovered
        return ExplorationSize(len(predecessors), transitions, reached_depth, len(self.process_states))

    def _after_transition(
        self, state: TierState, label: str, event: Event, predecessors: Predecessors
    ) -> TierState:
        tier = MutableTier(self, state)
        try:
            event(tier)
            tier.check_rules()
        except RuleBrokenError as error:
            error.add_note(", ".join([*_path_to(state, predecessors), label]))
            raise
        return tier.state()


def _empty_tier(budget: EventBudget) -> TierState:
    """A tier before any of its processes has started."""
    return TierState(
        now_us=START_US,
        processes=(0,) * len(PROCESS_NAMES),
        streams=(None,) * len(FOLLOWERS),
        abandoned_streams=(None,) * len(FOLLOWERS),
        applied=(AppliedState(),) * len(ROUTERS),
        purges_accepted_us=(),
        purges_read=0,
        source_logs=(),
        last_incarnation=0,
        budget=budget,
    )


def _path_to(state: TierState, predecessors: Predecessors) -> list[str]:
    """The labels of the events that led from the start to a state."""
    labels = []
    step = predecessors[state]
    while step is not None:
        before, label = step
        labels.append(label)
        step = predecessors[before]
    return labels[::-1]
