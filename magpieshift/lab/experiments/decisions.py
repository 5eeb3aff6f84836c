"""Measures the processor time of the policy's decisions alone, without sockets, by the zone's number of
caches.

Each request is a cache hit, or a miss and its fill. The runs of the sizes alternate.
"""

from __future__ import annotations

import gc
import random
import statistics
import time
from collections.abc import Sequence
from typing import Any

from magpieshift.policy.actions import SendCacheRequest, SendPlainRequest
from magpieshift.policy.events import (
    AttemptEnded,
    Endpoint,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    Event,
    RequestReceived,
)
from magpieshift.policy.outcomes import CacheStatus, Outcome
from magpieshift.policy.router_policy import RouterPolicy
from magpieshift.policy.settings import DeduplicationScope, Idempotency, RequestClass, Settings

SECOND_US = 1_000_000
OPEN_ATTEMPTS = 40  # attempts open at the same time
PARENT_COUNT = 4  # parent caches


def settings() -> Settings:
    """Return the settings of an installation with caches in zone 1, and parents and the origin in zone 0."""
    picture = RequestClass(
        Idempotency.IDEMPOTENT,
        DeduplicationScope.ALL,
        0,
        SECOND_US // 2,
        2.0,
        4 * SECOND_US,
        1.0,
        0.1,
        False,
        False,
        True,
        0,
        0,
        0.7,
    )
    return Settings(
        classes=(picture,),
        zone=1,
        router_count=1,
        router_index=0,
        zone_hub=(0, 0),
        zone_router_counts=(0, 1),
        zone_link_kb_per_s=(0.0, 90_000.0),
        parent_kind=1,
        origin_kind=2,
        tick_us=2000,
        client_kb_per_s=5000.0,
        weights_are_sizes=True,
        answer_slack_us=8000,
        drain_grace_us=250_000,
        slow_start_fraction=0.2,
        slow_start_us=18 * SECOND_US,
        overload_multiple=2.5,
        overload_window_us=SECOND_US,
        parent_slow_start_fraction=0.1,
        parent_slow_start_us=19 * SECOND_US,
        parent_overload_multiple=2.0,
        purge_grace_us=SECOND_US // 2,
        purge_propagation_us=6 * SECOND_US,
        connect_timeout_us=400_000,
        max_attempts=8,
        max_retry_after_us=900_000,
        can_cancel_attempts=True,
        can_check_health=True,
        can_message_peers=False,
        may_bypass_caches=True,
        hedged_requests=False,
        coalesces_fills=False,
        siblings=True,
        reports_cache_status=True,
        must_subscribe=False,
        load_report_columns=(),
    )


class PolicyRun:
    """A router policy with a number of caches, and simulated requests and answers."""

    def __init__(self, caches: int, seed: int) -> None:
        self.router = RouterPolicy(settings(), seed)
        self._random = random.Random(seed)
        self.now = 1_764_576_000 * SECOND_US
        self._ids = 0
        self._open_attempts: list[SendPlainRequest | SendCacheRequest] = []
        self._attempt_counts: dict[int, int] = {}
        entries = [self._entry(100 + i, 1, 0) for i in range(caches)]
        entries += [self._entry(10 + i, 0, 1) for i in range(PARENT_COUNT)] + [self._entry(1, 0, 2)]
        self._handle(EndpointListReceived(EndpointListKind.COMPLETE, 1, tuple(entries)))

    @staticmethod
    def _entry(store: int, zone: int, kind: int) -> Endpoint:
        # Spreads the numbers over 64 bits, like the hashes of endpoint ids.
        return Endpoint(
            store * 0x9E3779B97F4A7C15 % (1 << 64), zone, kind, store, EndpointState.READY, 4.0, 0
        )

    def _handle(self, event: Event) -> None:
        for action in self.router.handle(self.now, (event,)):
            if isinstance(action, SendPlainRequest | SendCacheRequest):
                self._open_attempts.append(action)

    def request(self) -> None:
        """Receive one request, then end the oldest attempts until at most ``OPEN_ATTEMPTS`` are open."""
        self._ids += 1
        self._attempt_counts[self._ids] = 0
        key = int(self._random.paretovariate(0.8)) % 5000 + 1
        self._handle(RequestReceived(self._ids, 0, 0, key, 4 * SECOND_US, 30.0, key % 256, 0, False, False))
        self.now += 500
        while len(self._open_attempts) > OPEN_ATTEMPTS:
            sent = self._open_attempts.pop(0)
            attempt = self._attempt_counts[sent.request_id]
            self._attempt_counts[sent.request_id] = attempt + 1
            is_fill = isinstance(sent, SendCacheRequest) and sent.source != sent.endpoint
            ok = is_fill or self._random.random() < 0.7
            outcome = Outcome.OK if ok else Outcome.MISS
            cache_status = CacheStatus.FILLED if is_fill else CacheStatus.HIT if ok else CacheStatus.NONE
            if ok:
                del self._attempt_counts[sent.request_id]
            self._handle(
                AttemptEnded(sent.request_id, outcome, 9_000, 0, ok, cache_status, sent.endpoint, attempt, ())
            )


def measure(sizes: Sequence[int], requests: int, rounds: int, budget_s: float = 20.0) -> list[dict[str, Any]]:
    """Measure the microseconds per request for each size. Returns rows with median and range over the rounds.

    ``budget_s`` limits the processor time per size: a size with slow requests gets fewer of them.
    """
    request_times_us: dict[int, list[float]] = {size: [] for size in sizes}
    request_counts: dict[int, int] = dict.fromkeys(sizes, 0)
    for round_ in range(rounds):
        for size in sizes:
            run = PolicyRun(size, seed=round_)
            handled = 0
            gc.collect()
            gc.disable()
            try:
                for _ in range(2 * OPEN_ATTEMPTS):
                    run.request()
                started_s = time.process_time()
                while handled < requests and time.process_time() - started_s < budget_s / rounds:
                    run.request()
                    handled += 1
                processor_time_s = time.process_time() - started_s
            finally:
                gc.enable()
            request_times_us[size].append(1e6 * processor_time_s / handled)
            request_counts[size] += handled
    return [
        {
            "caches": size,
            "us a request": round(statistics.median(times), 1),
            "from": round(min(times), 1),
            "to": round(max(times), 1),
            "requests": request_counts[size],
        }
        for size, times in request_times_us.items()
    ]
