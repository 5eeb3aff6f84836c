"""Exhaustive exploration of a small simulated fan-out tier: no state within the depth breaks a rule."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from magpieshift.lab.simulated.fanout_exploration import (
    EnabledTransitions,
    ExplorationSize,
    Explorer,
    flushed_directions,
    rounds,
    single_messages,
)
from magpieshift.lab.simulated.fanout_tier import MutableTier
from magpieshift.lab.simulated.fanout_tier_state import EventBudget, TierState

MIN_STATES = 60_000
NO_EVENTS = EventBudget(ticks=0, purges=0, disconnects=0)
Step = Callable[[MutableTier], None]


class Scenario(NamedTuple):
    """The start state of an exploration, the moves that are explored, and the depth."""

    name: str
    start: Callable[[Explorer], TierState]
    moves: EnabledTransitions
    depth: int


def started(budget: EventBudget) -> Callable[[Explorer], TierState]:
    return lambda explorer: explorer.started(budget)


def round_without(name: str) -> Step:
    return partial(MutableTier.run_round, excluded=name)


def connect(follower: str, server: str) -> Step:
    return partial(MutableTier.connect, follower=follower, server=server)


def relay_resumes(explorer: Explorer) -> TierState:
    """``R1``, which has no follower that its watermark waits for, is paused. Meanwhile two batches arrive for
    it, and a restarted ``E1`` sends it probes before and after applying its snapshot."""
    join_steps: list[Step] = [
        partial(MutableTier.crash, name="E1"),
        *[MutableTier.run_round] * 16,
        connect("E1", "R1"),
    ]
    join_steps += [
        partial(MutableTier.deliver_to_server, follower="E1"),
        partial(MutableTier.acknowledge, follower="E1"),
    ]
    snapshot_steps: list[Step] = [
        partial(MutableTier.send, follower="E1"),
        partial(MutableTier.deliver_to_follower, follower="E1"),
    ]
    snapshot_steps += [
        partial(MutableTier.apply, router="E1"),
        round_without("R1"),
        partial(MutableTier.acknowledge, follower="E1"),
    ]
    one_more_purge: list[Step] = [
        MutableTier.accept_purge,
        MutableTier.read_change_log,
        partial(MutableTier.send, follower="R1"),
        round_without("R1"),
    ]
    return explorer.after(
        explorer.started(NO_EVENTS),
        [
            *join_steps,
            *snapshot_steps,
            *one_more_purge,
            *one_more_purge,
            round_without("R1"),
            round_without("R1"),
        ],
    )


def router_behind(explorer: Explorer) -> TierState:
    """``E1`` has been disconnected for longer than its lease. Meanwhile two purges were applied everywhere
    else."""
    disconnect_steps: list[Step] = [
        partial(MutableTier.disconnect, follower="E1"),
        partial(MutableTier.deliver_abandoned, follower="E1"),
    ]
    purges: list[Step] = [MutableTier.accept_purge, MutableTier.read_change_log, MutableTier.accept_purge]
    return explorer.after(
        explorer.started(NO_EVENTS), [*disconnect_steps, *purges, *[MutableTier.run_round] * 20]
    )


def router_reconnected(explorer: Explorer) -> TierState:
    """``E1`` has been disconnected for longer than its lease, and has just caught up."""
    tier = explorer.after(
        router_behind(explorer), [connect("E1", "R1"), MutableTier.run_round, MutableTier.run_round]
    )
    return tier._replace(budget=EventBudget(ticks=1, rounds=5, purges=1, disconnects=0))


def router_ahead(explorer: Explorer) -> TierState:
    """``E1`` has an entry from ``R1`` that ``R2`` has not received, and has lost its stream."""
    steps: list[Step] = [
        MutableTier.accept_purge,
        *[round_without("R2")] * 3,
        partial(MutableTier.disconnect, follower="E1"),
    ]
    return explorer.after(explorer.started(NO_EVENTS), steps)


SCENARIOS = (
    Scenario("messages", started(EventBudget(ticks=2, purges=1, disconnects=1)), single_messages, 5),
    Scenario(
        "messages and a crash", started(EventBudget(ticks=2, disconnects=0, crashes=1)), single_messages, 4
    ),
    Scenario("directions", started(EventBudget(ticks=3, purges=2, disconnects=1)), flushed_directions, 5),
    Scenario(
        "a new source", started(EventBudget(ticks=2, disconnects=0, source_crashes=1)), flushed_directions, 5
    ),
    Scenario("a lost connection", started(EventBudget(ticks=2, rounds=5)), rounds, 4),
    Scenario("a crash", started(EventBudget(ticks=2, rounds=5, disconnects=0, crashes=1)), rounds, 4),
    Scenario(
        "a change of relay",
        started(EventBudget(2, 5, disconnects=0, relay_switches=1)),
        partial(rounds, actors=("E1",)),
        6,
    ),
    Scenario("a paused relay resumes", relay_resumes, partial(single_messages, actors=("R1", "E1")), 9),
    Scenario("a lagging router", router_behind, partial(single_messages, actors=("R1", "E1")), 9),
    Scenario("a router reconnected", router_reconnected, partial(rounds, actors=("E1",)), 5),
    Scenario("a router ahead of its relay", router_ahead, partial(single_messages, actors=("R2", "E1")), 9),
)


def explore(scenario: Scenario, explorer: Explorer | None = None) -> ExplorationSize:
    explorer = explorer or Explorer()
    return explorer.explore(scenario.start(explorer), scenario.depth, scenario.moves)


class FanoutExploration(unittest.TestCase):
    def test_no_state_breaks_a_rule(self) -> None:
        states, explorer = 0, Explorer()
        for scenario in SCENARIOS:
            with self.subTest(scenario.name):
                count = explore(scenario, explorer)
                print(f"{scenario.name}: {count}")
                self.assertEqual(count.depth, scenario.depth)
                states += count.states
        print(f"{states} states")
        self.assertGreater(states, MIN_STATES)


if __name__ == "__main__":
    unittest.main()
