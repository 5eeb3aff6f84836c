"""Exhaustive exploration of a small fan-out tier: no rule is broken in any state that can be reached."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from magpieshift.lab.simulated.fanout_explored import (
    Count,
    Explorer,
    Moves,
    rounds,
    single_messages,
    whole_directions,
)
from magpieshift.lab.simulated.fanout_tier import Budget, Draft, Tier

LEAST_STATES = 60_000
QUIET = Budget(ticks=0, purges=0, losses=0)
Step = Callable[[Draft], None]


class Scenario(NamedTuple):
    """Where an exploration starts, and what may happen in it to which depth."""

    name: str
    start: Callable[[Explorer], Tier]
    moves: Moves
    depth: int


def fair(budget: Budget) -> Callable[[Explorer], Tier]:
    return lambda explorer: explorer.fair(budget)


def without(name: str) -> Step:
    return partial(Draft.round, without=name)


def connect(name: str, to: str) -> Step:
    return partial(Draft.connect, name=name, to=to)


def relay_wakes(explorer: Explorer) -> Tier:
    """``R1``, which nobody counts at, stood still while two batches came for it, and while a new ``E1``
    probed before and after it took its snapshot."""
    joins: list[Step] = [partial(Draft.crash, name="E1"), *[Draft.round] * 16, connect("E1", "R1")]
    joins += [partial(Draft.up, follower="E1"), partial(Draft.acknowledge, name="E1")]
    snapshot: list[Step] = [partial(Draft.send, follower="E1"), partial(Draft.down, follower="E1")]
    snapshot += [partial(Draft.apply, name="E1"), without("R1"), partial(Draft.acknowledge, name="E1")]
    one_more: list[Step] = [Draft.purge, Draft.read_log, partial(Draft.send, follower="R1"), without("R1")]
    return explorer.after(
        explorer.fair(QUIET), [*joins, *snapshot, *one_more, *one_more, without("R1"), without("R1")]
    )


def router_behind(explorer: Explorer) -> Tier:
    """``E1`` was away while two purges were done, for longer than its lease."""
    away: list[Step] = [partial(Draft.lose, follower="E1"), partial(Draft.up_left, follower="E1")]
    purges: list[Step] = [Draft.purge, Draft.read_log, Draft.purge]
    return explorer.after(explorer.fair(QUIET), [*away, *purges, *[Draft.round] * 20])


def router_back(explorer: Explorer) -> Tier:
    """``E1`` was away for longer than its lease, and has just caught up."""
    tier = explorer.after(router_behind(explorer), [connect("E1", "R1"), Draft.round, Draft.round])
    return tier._replace(budget=Budget(ticks=1, rounds=5, purges=1, losses=0))


def router_ahead(explorer: Explorer) -> Tier:
    """``E1`` had an entry of ``R1`` that ``R2`` has not heard of, and lost its stream."""
    ahead: list[Step] = [Draft.purge, *[without("R2")] * 3, partial(Draft.lose, follower="E1")]
    return explorer.after(explorer.fair(QUIET), ahead)


SCENARIOS = (
    Scenario("messages", fair(Budget(ticks=2, purges=1, losses=1)), single_messages, 5),
    Scenario("messages and a crash", fair(Budget(ticks=2, losses=0, crashes=1)), single_messages, 4),
    Scenario("directions", fair(Budget(ticks=3, purges=2, losses=1)), whole_directions, 5),
    Scenario("a new source", fair(Budget(ticks=2, losses=0, sources=1)), whole_directions, 5),
    Scenario("a loss", fair(Budget(ticks=2, rounds=5)), rounds, 4),
    Scenario("a crash", fair(Budget(ticks=2, rounds=5, losses=0, crashes=1)), rounds, 4),
    Scenario("a move", fair(Budget(2, 5, losses=0, moves=1)), partial(rounds, actors=("E1",)), 6),
    Scenario("a relay wakes", relay_wakes, partial(single_messages, actors=("R1", "E1")), 9),
    Scenario("a router behind", router_behind, partial(single_messages, actors=("R1", "E1")), 9),
    Scenario("a router back", router_back, partial(rounds, actors=("E1",)), 5),
    Scenario("a router ahead", router_ahead, partial(single_messages, actors=("R2", "E1")), 9),
)


def explore(scenario: Scenario, explorer: Explorer | None = None) -> Count:
    explorer = explorer or Explorer()
    return explorer.explore(scenario.start(explorer), scenario.depth, scenario.moves)


class Explored(unittest.TestCase):
    def test_no_state_breaks_a_rule(self) -> None:
        states, explorer = 0, Explorer()
        for scenario in SCENARIOS:
            with self.subTest(scenario.name):
                count = explore(scenario, explorer)
                print(f"{scenario.name}: {count}")
                self.assertEqual(count.depth, scenario.depth)
                states += count.states
        print(f"{states} states")
        self.assertGreater(states, LEAST_STATES)


if __name__ == "__main__":
    unittest.main()
