"""What many routers do together: several of them on one clock, what they say counted over all."""

from __future__ import annotations

from molecleat import interface as api
from molecleat.interface import Outcome
from tests.helpers import SECOND, World, a_class, settings


def fleet(size: int, *classes: api.RequestClass, **changes: object) -> list[World]:
    """Routers that share nothing, each with a random source of its own."""
    worlds = []
    for number in range(size):
        config = settings(*classes, routers=size, zone_routers=(0, size), self_index=number, **changes)
        world = World(config)
        world.router.random.seed(number)
        worlds.append(world)
    return worlds


def refusals(world: World, key: int = 5) -> list[api.Refuse]:
    """Misses of one object until its queue is full; those turned away."""
    said = [world.fill(key, size_kb=100.0) for _ in range(60)]
    return [action for action in said if isinstance(action, api.Refuse)]


def test_clients_turned_away_by_all_routers_at_once_come_back_spread_and_in_time() -> None:
    long = a_class(aim_us=2 * SECOND, aim_stretch=0.0)
    for size in (1, 4, 40):
        told = [refusals(world) for world in fleet(size, long, max_retry_after_us=5 * SECOND)]
        waits = sorted(no.retry_after_us for each in told for no in each)
        assert len(waits) >= size and waits[-1] < 2 * SECOND  # all while an answer is still of use
        window = 2 * SECOND // 4
        most = max(sum(1 for w in waits if at <= w < at + window) for at in waits)
        assert most <= len(waits) / 2 + 3


def test_who_is_turned_away_too_late_for_its_aim_is_told_to_stay_away() -> None:
    (world,) = fleet(1, a_class(aim_us=300_000, aim_stretch=0.0))
    (no,) = world.end(world.fill(size_kb=100.0), Outcome.FULL, 1, after=4 * SECOND - 10_000)
    assert isinstance(no, api.Refuse) and no.retry_after_us == world.router.cfg.max_retry_after_us
