"""Tests of many routers together: they share a clock, and their actions are counted in total."""

from __future__ import annotations

from dataclasses import replace

from magpieshift.policy.actions import (
    FailRequest,
    RejectRequest,
    SendCacheRequest,
    SendPlainRequest,
)
from magpieshift.policy.admission import concurrency_limit
from magpieshift.policy.events import (
    AttemptEnded,
    Endpoint,
    EndpointListKind,
    EndpointListReceived,
    RequestReceived,
    TimerFired,
)
from magpieshift.policy.outcomes import CacheStatus, Outcome
from magpieshift.policy.outlier_detection import UNRESPONSIVE_WEIGHT, record_failure
from magpieshift.policy.placement import fill_sources
from magpieshift.policy.settings import RequestClass
from magpieshift.policy.state import FILL, PendingRequest
from tests.policy.helpers import PARENTS, SECOND, PolicyHarness, entry, make_class, settings


def fleet(size: int, *classes: RequestClass, **changes: object) -> list[PolicyHarness]:
    """Independent routers, each with its own random seed."""
    harnesses = []
    for number in range(size):
        config = settings(
            *classes, router_count=size, zone_router_counts=(0, size), router_index=number, **changes
        )
        harness = PolicyHarness(config)
        harness.router.random.seed(number)
        harnesses.append(harness)
    return harnesses


def rejections(harness: PolicyHarness, key: int = 5) -> list[RejectRequest]:
    """The rejections of 60 misses of one object, which fill its queues."""
    actions = [harness.fill(key, size_kb=100.0) for _ in range(60)]
    return [action for action in actions if isinstance(action, RejectRequest)]


def test_clients_rejected_by_all_routers_at_once_retry_at_spread_times_and_in_time() -> None:
    """Retries are spread over half of the time in which they can meet the objective, so that a client
    rejected twice can retry once more (Kayal site: with all of that time the score in overload scenarios was
    0.764 instead of 0.780)."""
    for request_class in (
        make_class(latency_objective_us=2 * SECOND, latency_objective_stretch=0.0),
        make_class(latency_objective_us=SECOND, latency_objective_stretch=10.0),
    ):
        for size in (1, 4, 40):
            received = [
                rejections(harness) for harness in fleet(size, request_class, max_retry_after_us=5 * SECOND)
            ]
            waits = sorted(rejection.retry_after_us for each in received for rejection in each)
            assert len(waits) >= size and 0.7 * SECOND < waits[-1] < 1 * SECOND
            window = SECOND // 4
            most = max(sum(1 for w in waits if at <= w < at + window) for at in waits)
            assert most <= len(waits) / 2 + 3


def test_a_rejection_too_late_for_the_objective_has_the_longest_retry_after() -> None:
    (harness,) = fleet(1, make_class(latency_objective_us=300_000, latency_objective_stretch=0.0))
    (rejection,) = harness.end_attempt(
        harness.fill(size_kb=100.0), Outcome.OVERLOADED, 1, after=4 * SECOND - 10_000
    )
    assert (
        isinstance(rejection, RejectRequest)
        and rejection.retry_after_us == harness.router.settings.max_retry_after_us
    )


def test_many_routers_retry_a_dead_parent_only_occasionally() -> None:
    """The endpoint list still shows the parent as ready for ten seconds, and each fill attempted there delays
    a client."""
    late_attempts_per_router = []
    for size in (1, 4, 40):
        harnesses, times = fleet(size), []
        for harness in harnesses:
            start = harness.now
            while harness.now < start + 10 * SECOND:
                sent, attempt = harness.fill(harness.next_id, size_kb=100.0), 1
                while isinstance(sent, SendCacheRequest) and sent.source == PARENTS[0]:
                    times.append(harness.now - start)
                    after = harness.end_attempt(
                        sent, Outcome.OVERLOADED, attempt, after=50_000, cache_status=CacheStatus.SOURCE_LOST
                    )
                    sent, attempt = after[0], attempt + 1
                harness.end_attempt(sent, Outcome.OK, attempt, after=150_000, cache_status=CacheStatus.FILLED)
        late = [at for at in times if at > 5 * SECOND]
        late_attempts_per_router.append(len(late) / size)
        busiest = max(sum(1 for at in late if now <= at < now + 200_000) for now in late) if late else 0
        assert busiest <= size / 4 + 2  # attempts of the routers are spread over time
    # attempts of each router in five seconds, with any number of routers
    assert max(late_attempts_per_router) <= 1.5


def test_a_request_waits_for_a_source_only_if_its_turn_comes_in_time() -> None:
    """Otherwise requests wait at one slow parent until it is too late, while the next source is idle."""
    for size in (1, 4, 40):
        for fill_ms, waits in ((50, True), (250, False)):
            for harness in fleet(size, make_class(latency_objective_stretch=0.0)):
                harness.router.fill_times_us[0] = fill_ms * 1000.0
                sent = [harness.fill(5, size_kb=10.0) for _ in range(max(1, min(4, 16 // size)) + 1)]
                sources = {fill.source for fill in sent if isinstance(fill, SendCacheRequest)}
                assert (len(sources) == 1) == waits


def test_a_limit_is_raised_only_while_fills_are_well_within_their_objective() -> None:
    """Otherwise all routers raise their limits until answers are late, and notice only after the duration of
    a fill."""
    for size in (1, 4, 40):
        for fraction, grows in ((0.4, True), (0.8, False)):
            limit_sum = 0
            for harness in fleet(
                size, make_class(latency_objective_us=SECOND, latency_objective_stretch=0.0)
            ):
                for _ in range(6):
                    limit = concurrency_limit(harness.router, harness.router.parents[PARENTS[0]], FILL)
                    keys = [
                        key
                        for key in range(5, 200)
                        if fill_sources(harness.router, _pending_request(harness, key))[0].hash_salt
                        == harness.router.parents[PARENTS[0]].hash_salt
                    ][:limit]
                    sent = [harness.fill(key, size_kb=10.0) for key in keys]
                    harness.now += int(fraction * SECOND)
                    for fill in sent:
                        assert isinstance(fill, SendCacheRequest)
                        latency_us, cache = int(fraction * SECOND), fill.endpoint
                        ended = AttemptEnded(
                            fill.request_id, Outcome.OK, latency_us, 0, True, CacheStatus.FILLED, cache, 1, ()
                        )
                        harness.receive(ended)
                limit_sum += concurrency_limit(harness.router, harness.router.parents[PARENTS[0]], FILL)
            initial_limit_sum = size * max(1, min(4, 16 // size))
            assert (limit_sum > initial_limit_sum) == grows


def _pending_request(harness: PolicyHarness, key: int) -> PendingRequest:
    request = RequestReceived(0, 0, 0, key, SECOND, 10.0, 0, 0, False, False)
    return PendingRequest(request, harness.router.settings.classes[0], 0, 0.0)


def test_unusual_endpoint_lists_raise_nothing_and_every_request_gets_one_answer() -> None:
    """One cache or none, no parent, a router count of 0, and lists that are empty, repeated or out of order,
    or have no weights and start times."""
    cache, parent, origin = entry(11, 0), entry(21, 1), entry(31, 2)
    bare = [replace(e, weight=0.0, started_us=0) for e in (cache, parent, origin)]
    new = [replace(e, weight=0.0, started_us=100 * SECOND) for e in (cache, parent)]
    lists: tuple[list[Endpoint], ...] = (
        [],
        [cache],
        [cache, origin],
        [parent, origin],
        bare,
        [*new, origin],
        [origin, cache] * 2,
    )
    for routers, zone_routers in ((0, 0), (1, 1), (40, 7)):
        for entries in lists:
            for kind in (EndpointListKind.COMPLETE, EndpointListKind.DELTA):
                received = EndpointListReceived(kind, 1, tuple(entries))
                older = EndpointListReceived(kind, 0, tuple(reversed(entries)))
                harness = PolicyHarness(
                    settings(router_count=routers, zone_router_counts=(0, zone_routers)), received
                )
                harness.receive(received)
                harness.receive(older)
                answers = 0
                out: dict[int, SendCacheRequest | SendPlainRequest] = {}
                for _ in range(8):
                    actions = harness.request(size_kb=10.0)
                    answers += sum(isinstance(a, RejectRequest | FailRequest) for a in actions)
                    out |= {
                        a.request_id: a for a in actions if isinstance(a, SendCacheRequest | SendPlainRequest)
                    }
                for _ in range(12):
                    for sent in list(out.values()):
                        attempt = harness.router.requests[sent.request_id].attempts_started - 1
                        del out[sent.request_id]
                        actions = harness.end_attempt(sent, Outcome.OVERLOADED, attempt)
                        answers += sum(isinstance(a, RejectRequest | FailRequest) for a in actions)
                        out |= {
                            a.request_id: a
                            for a in actions
                            if isinstance(a, SendCacheRequest | SendPlainRequest)
                        }
                    actions = harness.receive(TimerFired(0), after=SECOND)
                    answers += sum(isinstance(a, RejectRequest | FailRequest) for a in actions)
                    out |= {
                        a.request_id: a for a in actions if isinstance(a, SendCacheRequest | SendPlainRequest)
                    }
                    out = {
                        request_id: a
                        for request_id, a in out.items()
                        if request_id in harness.router.requests
                    }
                assert answers == 8 and not harness.router.requests


def test_an_endpoint_that_stays_silent_is_ejected_for_a_bounded_time() -> None:
    """The failure rate rounds to exactly 1, so that dividing by the success rate would be a division by 0."""
    harness = PolicyHarness()
    endpoint = harness.router.parents[PARENTS[0]]
    for _ in range(100):
        harness.now = harness.router.now_us = max(harness.now, endpoint.ejected_until_us)
        record_failure(harness.router, endpoint, UNRESPONSIVE_WEIGHT)
    assert endpoint.failure_rate == 1.0 and endpoint.ejected_until_us - harness.now <= 8 * SECOND
