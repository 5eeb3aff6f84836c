"""Tests of the rules for retries and rejections, which both the policy and the engine check."""

from __future__ import annotations

import random

import pytest

from magpieshift.policy import rejection, retry
from magpieshift.policy.settings import DeduplicationScope, Idempotency
from tests.policy.helpers import CACHE, SECOND, entry, make_class

TICK_US = 1000
SENT_US = 50 * SECOND
WINDOW_US = 2 * SECOND


@pytest.mark.parametrize(
    "idempotency, after_us, permitted",
    [
        (Idempotency.IDEMPOTENT, 100 * WINDOW_US, True),
        (Idempotency.WITH_KEY, 0, True),
        (Idempotency.WITH_KEY, WINDOW_US - TICK_US - 1, True),
        (Idempotency.WITH_KEY, WINDOW_US - TICK_US, False),  # it would arrive after the key has expired
        (Idempotency.NOT_IDEMPOTENT, 0, False),
    ],
)
def test_a_repeat_is_permitted_by_class_and_window(
    idempotency: Idempotency, after_us: int, permitted: bool
) -> None:
    request_class = make_class(idempotency=idempotency, deduplication_us=WINDOW_US)
    assert retry.is_repeat_permitted(request_class, SENT_US, SENT_US + after_us, TICK_US) == permitted
    assert retry.is_repeat_permitted(request_class, None, SENT_US + after_us, TICK_US)


@pytest.mark.parametrize(
    "scope, zone, cell, within",
    [
        (DeduplicationScope.ALL, 2, 9, True),
        (DeduplicationScope.ZONE, 1, 9, True),
        (DeduplicationScope.ZONE, 2, 5, False),
        (DeduplicationScope.CELL, 2, 5, True),
        (DeduplicationScope.CELL, 1, 9, False),
    ],
)
def test_a_repeat_goes_only_where_it_is_discarded(
    scope: DeduplicationScope, zone: int, cell: int, within: bool
) -> None:
    first = entry(11, CACHE, zone=1, cell=5)
    other = entry(12, CACHE, zone=zone, cell=cell)
    with_key = make_class(idempotency=Idempotency.WITH_KEY, deduplication_scope=scope)
    assert retry.is_within_scope(with_key, first, other) == within
    assert retry.is_within_scope(make_class(deduplication_scope=scope), first, other), (
        "idempotent requests may be repeated anywhere"
    )


def test_attempts_and_time_run_out() -> None:
    assert not retry.is_exhausted(2, 3, SENT_US, 1000.0, SENT_US + 1001)
    assert retry.is_exhausted(3, 3, SENT_US, 1000.0, SENT_US + 1001)
    assert retry.is_exhausted(2, 3, SENT_US, 1000.0, SENT_US + 1000)


@pytest.mark.parametrize(
    "idempotency, scope, may_reject",
    [
        (Idempotency.IDEMPOTENT, DeduplicationScope.CELL, True),
        (Idempotency.WITH_KEY, DeduplicationScope.ALL, True),
        (
            Idempotency.WITH_KEY,
            DeduplicationScope.ZONE,
            False,
        ),  # the client's retry may reach an endpoint outside the scope
        (Idempotency.WITH_KEY, DeduplicationScope.CELL, False),
        (Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL, False),
    ],
)
def test_what_may_have_run_is_rejected_only_if_a_retry_does_no_harm(
    idempotency: Idempotency, scope: DeduplicationScope, may_reject: bool
) -> None:
    request_class = make_class(idempotency=idempotency, deduplication_scope=scope)
    assert rejection.may_reject(request_class, may_have_run=True) == may_reject
    assert rejection.may_reject(request_class, may_have_run=False)


def test_retries_are_spread_over_half_the_time_that_is_left_for_them() -> None:
    generator = random.Random(3)
    drawn = [rejection.retry_after_us(100_000.0, 500_000, generator) for _ in range(400)]
    assert 0 <= min(drawn) < 2_000 and 48_000 < max(drawn) < 50_000
    before = generator.getstate()
    assert rejection.retry_after_us(0.0, 500_000, generator) == 500_000
    assert generator.getstate() == before, "no random number is drawn without a retry window"
