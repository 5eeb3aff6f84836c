"""Tests of the usual path of a request: lookup, fill within the limit, queue, next source, rejection."""

import pytest

from magpieshift.policy import admission
from magpieshift.policy.actions import (
    Action,
    CacheRequestFlag,
    RejectRequest,
    SendCacheRequest,
    SendPlainRequest,
)
from magpieshift.policy.events import ClientDisconnected, EndpointListKind, EndpointListReceived, TimerFired
from magpieshift.policy.outcomes import CacheStatus, Outcome
from magpieshift.policy.state import FILL
from tests.policy.helpers import (
    CACHES,
    ORIGIN_NUMBER,
    PARENT,
    PARENTS,
    SECOND,
    PolicyHarness,
    entry,
    is_only_rejection_of,
    make_class,
    settings,
)


def test_the_first_attempt_is_a_lookup_at_the_cache() -> None:
    (sent,) = PolicyHarness().request()
    assert isinstance(sent, SendCacheRequest)
    assert sent.endpoint in CACHES and sent.source == sent.endpoint


def test_a_miss_is_filled_from_a_parent_through_the_same_cache() -> None:
    harness = PolicyHarness()
    (first,) = harness.request()
    (fill,) = harness.end_attempt(first, Outcome.MISS, 0)
    assert isinstance(fill, SendCacheRequest) and isinstance(first, SendCacheRequest)
    assert fill.endpoint == first.endpoint and fill.source in PARENTS


def test_routers_choose_the_same_parent_for_an_object() -> None:
    one, other = PolicyHarness(), PolicyHarness()
    for key in range(20):
        a, b = one.fill(key), other.fill(key)
        assert isinstance(a, SendCacheRequest) and isinstance(b, SendCacheRequest)
        assert a.source == b.source
        one.end_attempt(a, Outcome.OK, 1)
        other.end_attempt(b, Outcome.OK, 1)


def test_fills_in_flight_are_limited_queued_and_released() -> None:
    harness = PolicyHarness()
    fills = [harness.fill() for _ in range(6)]
    assert [isinstance(f, SendCacheRequest) for f in fills] == [True] * 4 + [False] * 2
    released = harness.end_attempt(fills[0], Outcome.OK, 1)
    # a slot was released and the limit was raised by one
    assert [type(a) for a in released] == [SendCacheRequest, SendCacheRequest]


def test_a_full_queue_spills_to_the_second_parent_then_the_origin() -> None:
    harness = PolicyHarness()
    fills = [harness.fill() for _ in range(40)]
    sources = [f.source for f in fills if isinstance(f, SendCacheRequest)]
    assert len(set(sources)) == 3 and sources[-1] == ORIGIN_NUMBER
    assert any(isinstance(f, RejectRequest) for f in fills)


def test_writes_do_not_wait_behind_fills_nor_fills_behind_writes() -> None:
    """Fills sent on to the origin occupied its slots and queue for seconds. A fifth of the writes, which take
    a tenth of the time and can only go to the origin, were rejected at once. This was seen in a scenario in
    which settings were reconfigured while a release made fills spill over to the origin."""
    harness = PolicyHarness(settings(make_class(), make_class(is_write=True)))
    while not isinstance(harness.fill(), RejectRequest):
        pass  # all sources are full, and so are their queues
    writes = [actions[0] if (actions := harness.request(class_index=1)) else None for _ in range(9)]
    assert [type(a) for a in writes] == [SendPlainRequest] * 4 + [type(None)] * 4 + [RejectRequest]
    assert isinstance(writes[0], SendPlainRequest)
    released = harness.end_attempt(writes[0], Outcome.OK, 0, after=SECOND // 4)
    assert any(isinstance(action, SendPlainRequest) for action in released)  # a slot for writes was released


def test_the_queue_timeout_rejects() -> None:
    harness = PolicyHarness()
    for _ in range(5):
        harness.fill()
    actions = harness.receive(TimerFired(0), after=3 * SECOND)
    assert RejectRequest(5, 500_000) in actions


def test_requests_far_above_a_caches_share_go_to_other_caches() -> None:
    """A hot part overloaded its one cache while the other caches were idle (incident i8e715a)."""
    harness = PolicyHarness()
    endpoints = {
        a.endpoint for _ in range(12) for a in harness.request(key=9) if isinstance(a, SendCacheRequest)
    }
    assert len(endpoints) > 1


def test_a_late_fill_does_not_raise_the_limit() -> None:
    """A source that became slower was sent more and more as long as it answered at all (incident i0e1bf3)."""
    harness = PolicyHarness()
    fills = [harness.fill() for _ in range(6)]
    assert len(harness.end_attempt(fills[0], Outcome.OK, 1, after=2 * SECOND)) == 1


def test_a_slow_attempt_is_not_cancelled_before_the_deadline() -> None:
    """Cancelling a slow attempt would start the same fill elsewhere while the first one still runs (incident
    i620dab)."""
    harness = PolicyHarness()
    harness.request()
    assert harness.receive(TimerFired(0), after=int(3.9 * SECOND)) == []


def test_nothing_is_sent_with_too_little_time_left() -> None:
    """Attempts that ended too late only added to an overload (incident i144f8c): the mean service time must
    fit into the time left."""
    assert is_only_rejection_of(PolicyHarness().request(time_left_us=100_000), 1)


def test_a_cache_without_fill_capacity_still_gets_lookups() -> None:
    """When a cache's rejections of fills counted as failures, it was ejected and its hits were lost too
    (incident i3a0fa9)."""
    harness = PolicyHarness()
    for _ in range(12):
        fill = harness.fill()
        assert isinstance(fill, SendCacheRequest)
        again = harness.end_attempt(fill, Outcome.OVERLOADED, 1, cache_status=CacheStatus.NO_CAPACITY)
        harness.receive(ClientDisconnected(fill.request_id))
        assert isinstance(again[0], SendCacheRequest)
        harness.end_attempt(again[0], Outcome.CANCELLED, 2)
    assert all(harness.router.endpoints[s].failure_rate == 0 for s in CACHES)


def test_the_newest_waiting_fill_goes_first(monkeypatch: pytest.MonkeyPatch) -> None:
    """The oldest request has the least of its objective left; when it was released first, all answers were
    late (overload scenarios)."""
    harness = PolicyHarness()
    fills = [harness.fill() for _ in range(7)]
    assert [isinstance(f, SendCacheRequest) for f in fills] == [True] * 4 + [False] * 3
    monkeypatch.setattr(admission, "concurrency_limit", lambda state, source, work_kind: 4)
    (released,) = harness.end_attempt(fills[0], Outcome.OK, 1)
    assert isinstance(released, SendCacheRequest) and released.request_id == 7


def test_the_lookup_of_a_part_that_is_being_filled_is_repeated_twice_at_most() -> None:
    """If caches do not coalesce fills, several routers filled the same part at once (scenario nila-later)."""
    harness = PolicyHarness(settings(coalesces_fills=False))
    (first,) = harness.request()
    assert harness.end_attempt(first, Outcome.MISS, 0, cache_status=CacheStatus.COALESCED) == []
    (again,) = harness.receive(TimerFired(0), after=SECOND)
    assert isinstance(again, SendCacheRequest) and again.endpoint == again.source
    harness.end_attempt(again, Outcome.MISS, 1, cache_status=CacheStatus.COALESCED)
    (third,) = harness.receive(TimerFired(0), after=SECOND)
    (fill,) = harness.end_attempt(third, Outcome.MISS, 2, cache_status=CacheStatus.COALESCED)
    assert isinstance(fill, SendCacheRequest) and fill.source in PARENTS


def test_a_fill_is_queued_no_longer_than_it_can_meet_its_objective() -> None:
    """Requests queued for half of the client's deadline were answered late and occupied a slot (scenario
    nila-later)."""
    harness = PolicyHarness()
    harness.router.fill_times_us[0] = 100_000.0
    for _ in range(5):
        harness.fill()
    # the objective is 0.45 s, the deadline 4 s
    assert harness.router.requests[5].queued_until_us - harness.now < 450_000


def test_nothing_is_queued_for_a_warming_source() -> None:
    """A warming source is sent so few attempts that queued requests would not be sent in time (scenario
    big-1, parents that restarted after the loss of a hub)."""
    harness = PolicyHarness()
    first_fill = harness.fill(9)
    assert isinstance(first_fill, SendCacheRequest)
    harness.receive(
        EndpointListReceived(
            EndpointListKind.DELTA, 2, (entry(first_fill.source, PARENT, started_us=harness.now),)
        )
    )
    harness.receive(TimerFired(0), after=10 * SECOND)
    fills = [harness.fill(9, part=part) for part in range(3)]
    assert sum(isinstance(f, SendCacheRequest) and f.source == first_fill.source for f in fills) == 1
    assert not harness.router.endpoints[first_fill.source].queue


def cache_only_lookups(actions: list[Action]) -> list[SendCacheRequest]:
    return [
        a
        for a in actions
        if isinstance(a, SendCacheRequest) and a.flags & CacheRequestFlag.SOURCE_CACHED_ONLY
    ]


def test_copies_at_a_parent_are_served_while_fills_wait_for_a_slow_origin() -> None:
    """With the origin 2 to 5 times slower, fills through a parent occupied all its slots, and the half of all
    misses that the parent could have answered at once was rejected (Kayal site, scenario big-6: 28 of 900
    fills in time within 5 s)."""
    for reports_status in (True, False):  # whether answers report a cache status
        harness = PolicyHarness(
            settings(make_class(latency_objective_us=SECOND), reports_cache_status=reports_status)
        )
        # the limit of fills is reached, and the origin does not answer
        first_fill = [harness.fill() for _ in range(4)][0]
        (first,) = harness.request()
        (lookup,) = cache_only_lookups(harness.end_attempt(first, Outcome.MISS, 0))
        assert isinstance(first_fill, SendCacheRequest) and lookup.source == first_fill.source
        harness.end_attempt(lookup, Outcome.OK, 1, after=20_000, cache_status=CacheStatus.FILLED)
        (first,) = harness.request()
        (lookup,) = cache_only_lookups(harness.end_attempt(first, Outcome.MISS, 0))
        # a miss at the parent: now it waits for a fill slot
        assert harness.end_attempt(lookup, Outcome.MISS, 1) == []
        assert (
            harness.router.requests[lookup.request_id].queued_source
            is harness.router.endpoints[first_fill.source]
        )
        assert harness.router.endpoints[first_fill.source].failure_rate == 0  # a miss is no failure
        (released,) = harness.end_attempt(
            first_fill, Outcome.OK, 1, after=300_000, cache_status=CacheStatus.FILLED
        )
        assert (
            isinstance(released, SendCacheRequest)
            and released.request_id == lookup.request_id
            and not cache_only_lookups([released])
        )


def test_a_direct_lookup_at_a_parent_names_the_parent_as_its_source() -> None:
    """A request sent directly to a parent may name only that parent or the origin as its source; with the
    parent there is no fill."""
    harness = PolicyHarness(
        listed=EndpointListReceived(EndpointListKind.CACHED, 1, (entry(21, PARENT), entry(31, 2)))
    )
    for _ in range(4):
        (direct,) = harness.request()
        assert isinstance(direct, SendCacheRequest) and (direct.endpoint, direct.source) == (21, 31)
    (lookup,) = harness.request()
    assert (
        isinstance(lookup, SendCacheRequest)
        and lookup.endpoint == lookup.source == 21
        and cache_only_lookups([lookup])
    )


def test_a_fill_that_the_zones_link_cannot_bring_in_time_is_rejected_at_once() -> None:
    """With empty caches in one zone, each fill was admitted that its source had capacity for, and the link
    into the zone, which all of them share, delivered every answer too late (Kayal site, scenario
    trouble-11)."""
    for routers, admitted in ((1, 3), (2, 1)):  # a link of 100 KB in 100 ms, shared with other routers
        harness = PolicyHarness(settings(zone_router_counts=(0, routers), zone_link_kb_per_s=(0.0, 1000.0)))
        fills = [harness.fill(key, size_kb=100.0) for key in range(1, 8)]  # the objective is 0.4 s
        assert [type(f) for f in fills] == [SendCacheRequest] * admitted + [RejectRequest] * (7 - admitted)
        small = harness.fill(9, size_kb=10.0)  # the link has capacity for a small one
        assert isinstance(small, SendCacheRequest) and isinstance(fills[0], SendCacheRequest)
        harness.end_attempt(small, Outcome.OK, 1, after=10_000)
        harness.end_attempt(fills[0], Outcome.OK, 1, after=50_000)
        # admitted again after one has ended
        assert isinstance(harness.fill(1, size_kb=100.0), SendCacheRequest)


def test_a_late_fill_halves_the_limit_down_to_one() -> None:
    """When the limit fell to its initial value at most, each router kept four fills in flight, which a slow
    origin all answered too late (Kayal site, scenario trouble-3)."""
    harness = PolicyHarness(settings(make_class(latency_objective_us=SECOND)))
    first, limits = harness.fill(5, size_kb=10.0), []
    assert isinstance(first, SendCacheRequest)
    source = harness.router.endpoints[first.source]
    harness.end_attempt(first, Outcome.OK, 1)
    source.concurrency_peaks[FILL] = (8, harness.now)
    for share in (1.5, 1.5, 1.5, 1.5, 0.5):
        (first,) = harness.request(5, size_kb=10.0)
        (fill,) = harness.end_attempt(first, Outcome.MISS, 0)
        harness.end_attempt(fill, Outcome.OK, 1, after=int(share * SECOND), cache_status=CacheStatus.FILLED)
        limits.append(admission.concurrency_limit(harness.router, source, FILL))
    assert limits == [5, 3, 2, 1, 2]
