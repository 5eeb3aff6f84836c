"""What many routers do together: several of them on one clock, what they say counted over all."""

from __future__ import annotations

from molecleat import interface as api
from molecleat.interface import Outcome
from tests.helpers import PARENTS, SECOND, World, a_class, settings


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


def test_a_dead_parent_is_tried_by_a_fleet_now_and_then_not_all_the_time() -> None:
    """The list says ready for ten seconds more, and each fill tried there costs a client its time."""
    tried = []
    for size in (1, 4, 40):
        worlds, times = fleet(size), []
        for world in worlds:
            start = world.now
            while world.now < start + 10 * SECOND:
                sent, leg = world.fill(world.next_id, size_kb=100.0), 1
                while isinstance(sent, api.Get) and sent.source == PARENTS[0]:
                    times.append(world.now - start)
                    after = world.end(sent, Outcome.FULL, leg, after=50_000, note=api.Note.SOURCE_LOST)
                    sent, leg = after[0], leg + 1
                world.end(sent, Outcome.OK, leg, after=150_000, note=api.Note.FILLED)
        late = [at for at in times if at > 5 * SECOND]
        tried.append(len(late) / size)
        busiest = max(sum(1 for at in late if now <= at < now + 200_000) for now in late) if late else 0
        assert busiest <= size / 4 + 2  # they do not come all at once
    assert max(tried) <= 1.5  # of each router in five seconds, in a fleet of any size


def test_a_request_waits_for_a_source_only_if_its_turn_comes_in_time() -> None:
    """Or requests wait with one slow parent until it is too late, while the next source stands idle."""
    for size in (1, 4, 40):
        for fill_ms, waits in ((50, True), (250, False)):
            for world in fleet(size, a_class(aim_stretch=0.0)):
                world.router.fill_us[0] = fill_ms * 1000.0
                sent = [world.fill(5, size_kb=10.0) for _ in range(max(1, min(4, 16 // size)) + 1)]
                sources = {fill.source for fill in sent if isinstance(fill, api.Get)}
                assert (len(sources) == 1) == waits
