"""Tests of the five guarantees of the policy in edge cases."""

import pytest

from magpieshift.policy.actions import (
    CancelAttempt,
    FailRequest,
    RejectRequest,
    SendCacheRequest,
    SendPlainRequest,
    WriteLog,
)
from magpieshift.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    Endpoint,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    PurgeReceived,
    ResponseStarted,
    TimerFired,
)
from magpieshift.policy.outcomes import Outcome
from magpieshift.policy.settings import DeduplicationScope, Idempotency
from magpieshift.policy.state import FILL
from tests.policy.helpers import (
    CACHE,
    CACHES,
    ORIGIN_NUMBER,
    PARENT,
    PARENTS,
    SECOND,
    PolicyHarness,
    complete_list,
    entry,
    is_only_rejection_of,
    make_class,
    settings,
)

KEYED_WRITE = make_class(idempotency=Idempotency.WITH_KEY, is_write=True, deduplication_us=2 * SECOND)
UNSAFE_WRITE = make_class(idempotency=Idempotency.NOT_IDEMPOTENT, is_write=True)


def delta(*entries: Endpoint) -> EndpointListReceived:
    return EndpointListReceived(EndpointListKind.DELTA, 2, entries)


# rule 1: each request gets exactly one final answer


def test_the_clients_own_time_left_is_the_deadline() -> None:
    harness = PolicyHarness()
    (sent,) = harness.request(time_left_us=SECOND)
    assert isinstance(sent, SendCacheRequest) and sent.timeout_us < SECOND
    actions = harness.receive(TimerFired(0), after=SECOND - 1000)
    assert actions == [RejectRequest(1, 500_000), CancelAttempt(1, 0)]


def test_a_closed_request_gets_no_second_answer() -> None:
    harness = PolicyHarness()
    (sent,) = harness.request()
    assert harness.end_attempt(sent, Outcome.OK, 0) == []
    assert harness.receive(TimerFired(0), after=5 * SECOND) == []


def test_no_endpoint_at_all_still_gives_one_answer() -> None:
    harness = PolicyHarness(listed=EndpointListReceived(EndpointListKind.CACHED, 1, ()))
    assert is_only_rejection_of(harness.request(), 1)


def test_unknown_outcomes_timers_and_disconnects_are_ignored() -> None:
    harness = PolicyHarness()
    gone = AttemptEnded(77, Outcome.OK, 1, 0, True, 0, CACHES[0], 0, ())
    assert (
        harness.receive(gone, ClientDisconnected(77), TimerFired(99), ResponseStarted(77, CACHES[0], 1, 0))
        == []
    )


def test_slots_are_released_after_the_client_disconnected() -> None:
    harness = PolicyHarness()
    fill = harness.fill()
    assert isinstance(fill, SendCacheRequest)
    harness.receive(ClientDisconnected(fill.request_id))
    assert (
        harness.router.endpoints[fill.source].in_flight_by_kind[FILL] == harness.router.fills_in_flight == 1
    )
    harness.end_attempt(fill, Outcome.CANCELLED, 1)
    harness.end_attempt(fill, Outcome.CANCELLED, 1)
    assert (
        harness.router.endpoints[fill.source].in_flight_by_kind[FILL] == harness.router.fills_in_flight == 0
    )


# rule 2: no request takes effect twice


def test_a_repeat_with_a_key_goes_only_within_its_window() -> None:
    harness = PolicyHarness(settings(KEYED_WRITE))
    (first,) = harness.request()
    assert isinstance(first, SendPlainRequest) and first.endpoint == ORIGIN_NUMBER
    late = harness.end_attempt(first, Outcome.ERROR, 0, after=2 * SECOND)
    # the scope is ``ALL``: a rejection is permitted, another attempt is not
    assert is_only_rejection_of(late, 1)


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED])
def test_a_request_that_is_not_idempotent_and_may_have_run_is_failed(outcome: Outcome) -> None:
    harness = PolicyHarness(settings(UNSAFE_WRITE))
    (first,) = harness.request()
    assert harness.end_attempt(first, outcome, 0) == [FailRequest(1)]


def test_a_request_that_is_not_idempotent_and_never_ran_may_be_rejected() -> None:
    harness = PolicyHarness(settings(UNSAFE_WRITE))
    (first,) = harness.request()
    assert is_only_rejection_of(harness.end_attempt(first, Outcome.OVERLOADED, 0), 1)


def test_a_request_that_is_not_idempotent_and_in_flight_at_the_deadline_is_failed() -> None:
    harness = PolicyHarness(settings(UNSAFE_WRITE))
    harness.request()
    assert harness.receive(TimerFired(0), after=4 * SECOND)[0] == FailRequest(1)


@pytest.mark.parametrize("scope", [DeduplicationScope.ZONE, DeduplicationScope.CELL])
def test_a_narrow_scope_allows_no_rejection_once_it_may_have_run(scope: DeduplicationScope) -> None:
    keyed = make_class(idempotency=Idempotency.WITH_KEY, deduplication_scope=scope)
    harness = PolicyHarness(settings(keyed))
    (first,) = harness.request()
    assert isinstance(first, SendCacheRequest)
    for attempt in range(6):
        actions = harness.end_attempt(first, Outcome.ERROR, attempt)
        if isinstance(actions[0], FailRequest):
            return
        assert isinstance(actions[0], SendCacheRequest)
        if scope == DeduplicationScope.CELL:
            assert actions[0].endpoint == first.endpoint  # each endpoint of the test list has its own cell
        first = actions[0]
    pytest.fail("no final answer")


def test_never_more_than_the_allowed_attempts() -> None:
    harness = PolicyHarness(settings(max_attempts=2))
    (first,) = harness.request()
    (second,) = harness.end_attempt(first, Outcome.ERROR, 0)
    assert is_only_rejection_of(harness.end_attempt(second, Outcome.ERROR, 1), 1)


# rule 3: draining endpoints get no new attempts


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.REMOVED])
def test_nothing_goes_to_or_through_a_draining_endpoint(state: EndpointState) -> None:
    harness = PolicyHarness()
    harness.receive(delta(entry(CACHES[0], CACHE, state=state), entry(PARENTS[0], PARENT, state=state)))
    for key in range(40):
        fill = harness.fill(key)
        if isinstance(fill, SendCacheRequest):
            assert fill.endpoint != CACHES[0] and fill.source != PARENTS[0]
            harness.end_attempt(fill, Outcome.OK, 1)


def test_an_endpoint_missing_from_a_complete_list_is_removed() -> None:
    harness = PolicyHarness()
    entries = tuple(e for e in complete_list().endpoints if e.number != CACHES[1])
    harness.receive(EndpointListReceived(EndpointListKind.COMPLETE, 3, entries))
    assert all(
        a.endpoint != CACHES[1]
        for k in range(40)
        for a in harness.request(k)
        if isinstance(a, SendCacheRequest)
    )


def test_queued_requests_leave_a_source_that_drains() -> None:
    harness = PolicyHarness()
    fills = [harness.fill() for _ in range(5)]
    assert isinstance(fills[0], SendCacheRequest) and isinstance(fills[4], WriteLog)
    (moved,) = harness.receive(delta(entry(fills[0].source, PARENT, state=EndpointState.DRAINING)))
    assert isinstance(moved, SendCacheRequest) and moved.source != fills[0].source


# rule 4: warming endpoints are not overloaded


def test_a_warming_parent_is_sent_less_than_its_budget() -> None:
    started = 100 * SECOND - 1
    harness = PolicyHarness(
        listed=complete_list(a=entry(PARENTS[0], PARENT, started_us=started, weight=10.0))
    )
    sent = 0
    for key in range(300):
        fill = harness.fill(key)
        if isinstance(fill, SendCacheRequest):
            sent += fill.source == PARENTS[0]
            harness.end_attempt(fill, Outcome.OK, 1)
    # the budget of one second: 2 x 0.1 x 10 transfers of 0.3 s, shared by two routers
    assert sent <= 2 * 0.13 * 10 / 0.3 / 2


def test_a_warming_cache_gets_a_fill_without_a_lookup() -> None:
    warming = {str(s): entry(s, CACHE, started_us=100 * SECOND - 1) for s in CACHES}
    harness = PolicyHarness(listed=complete_list(**warming))
    harness.receive(after=2 * SECOND)
    (sent,) = harness.request()
    assert isinstance(sent, SendCacheRequest) and sent.source in (*PARENTS, ORIGIN_NUMBER)


# rule 5: purged copies are not accepted


def max_copy_age_us(harness: PolicyHarness, **request: int) -> int:
    (sent,) = harness.request(**request)
    assert isinstance(sent, SendCacheRequest)
    return sent.max_age_us


def test_no_copy_older_than_a_purge_is_accepted() -> None:
    harness = PolicyHarness()
    harness.receive(PurgeReceived(5, 3, 200_000))
    assert 0 < max_copy_age_us(harness, object_key=5) < 200_000
    assert max_copy_age_us(harness, object_key=6) == 0
    harness.receive(after=SECOND)
    assert 1_000_000 < max_copy_age_us(harness, object_key=5) < 1_200_000


def test_a_purge_made_now_does_not_give_the_default_max_age() -> None:
    harness = PolicyHarness()
    harness.receive(PurgeReceived(5, 3, 0))
    assert max_copy_age_us(harness, object_key=5) == 1


def test_a_group_purge_covers_its_objects() -> None:
    harness = PolicyHarness()
    harness.receive(PurgeReceived(0, 3, 100_000))
    assert 0 < max_copy_age_us(harness, object_key=1, group=3) < 100_000
    assert max_copy_age_us(harness, object_key=1, group=4) == 0


def test_the_max_age_of_the_class_bounds_the_copy_age_too() -> None:
    harness = PolicyHarness(settings(make_class(max_age_us=50_000)))
    harness.receive(PurgeReceived(5, 3, 100_000))
    assert max_copy_age_us(harness, object_key=5) == 50_000


def test_the_max_age_is_calculated_anew_for_each_attempt() -> None:
    harness = PolicyHarness()
    (first,) = harness.request()
    harness.receive(PurgeReceived(5, 3, 100_000))
    (retried,) = harness.end_attempt(first, Outcome.ERROR, 0)
    assert isinstance(retried, SendCacheRequest) and 0 < retried.max_age_us <= 101_000
