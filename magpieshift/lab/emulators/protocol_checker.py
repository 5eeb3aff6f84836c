"""Checks at the emulated endpoints that routers follow the rules of the protocol pages."""

from __future__ import annotations

import time
from collections.abc import Callable, Collection

SOCKET_SLACK_S = 0.05  # the protocol page's allowance for delays on sockets
DRAIN_NOTICE_S = 0.25  # the platform's rule: after it, a router starts no attempt at a draining endpoint
PURGE_NOTICE_S = 0.5  # the platform's rule: after it, a router serves no copy from before a purge
MAX_EXAMPLES = 20  # violations kept as examples; all are counted
NON_IDEMPOTENT_CLASS = "order"  # the class whose repeated requests endpoints do not recognize


class ProtocolChecker:
    """Counts the violations of all routers, as seen by all endpoints of an installation."""

    def __init__(
        self,
        slack_s: float = SOCKET_SLACK_S,
        known_at: Callable[[str, float], float] = lambda request_id, published_s: published_s,
        hedged_classes: Collection[str] = (),
    ) -> None:
        """``slack_s`` is a tolerance added to each time limit. ``known_at`` returns, for a request's id and
        the Unix time at which an event was published, when the router that sent the request could know of the
        event: a partitioned or paused router learns of it later. ``hedged_classes`` are the classes for which
        the settings permit a hedged request at another endpoint."""
        self.slack_s = slack_s
        self.known_at = known_at
        self.hedged_classes = hedged_classes
        self._in_flight: dict[str, list[str]] = {}
        """The endpoints with an attempt in flight, by request id."""
        self.attempts = 0
        """Attempts received by all endpoints."""
        self.violations: dict[str, int] = {}
        """Number of violations, by the rule's name in reports."""
        self.examples: list[str] = []
        """Descriptions of the first violations, at most ``MAX_EXAMPLES``."""
        self.drains_published_s: dict[str, float] = {}
        """Unix time at which an endpoint's drain or removal was published, by endpoint id."""
        self.purges_s: dict[str, tuple[float, float]] = {}
        """Unix times at which an object's last purge was made and was published, by object key."""
        self.origin_fetches: dict[str, int] = {}
        """Number of fills from the origin, by the endpoint that was filled."""
        self._executed: set[str] = set()
        """Ids of executed requests that must not be executed again."""

    def record_violation(self, rule: str, text: str) -> None:
        """Count a violation, and keep the first ones as examples."""
        self.violations[rule] = self.violations.get(rule, 0) + 1
        if len(self.examples) < MAX_EXAMPLES:
            self.examples.append(f"{rule}: {text}")

    def attempt_started(self, request_id: str, endpoint: str, class_name: str = "") -> None:
        """Record a received attempt; it must be the only one in flight, or a permitted hedged request."""
        self.attempts += 1
        in_flight = self._in_flight.setdefault(request_id, [])
        is_hedge = class_name in self.hedged_classes and len(in_flight) == 1 and endpoint not in in_flight
        if in_flight and not is_hedge:
            self.record_violation("second attempt", f"{request_id} came to {endpoint} while another was out")
        in_flight.append(endpoint)
        self.endpoint_used(request_id, endpoint, "came to")

    def endpoint_used(self, request_id: str, endpoint: str, how: str) -> None:
        """Check that an endpoint that receives a request, or is named as its source, is not draining."""
        published_s = self.drains_published_s.get(endpoint)
        if published_s is None:
            return
        now_s = time.time()
        if now_s > self.known_at(request_id, published_s) + DRAIN_NOTICE_S + self.slack_s:
            late_s = now_s - published_s
            self.record_violation(
                "drain", f"{request_id} {how} {endpoint} {late_s:.3f} s after its drain was told"
            )

    def check_slow_start(self, endpoint: str, work_s: float, capacity_s: float) -> None:
        """Check the work sent to an endpoint in slow start within a second (``work_s``).

        More than ``capacity_s``, a multiple of its present capacity, is an overload.
        """
        if work_s > capacity_s:
            self.record_violation(
                "cold store", f"{endpoint} was sent {work_s:.2f} s of work in 1 s, and bears {capacity_s:.2f}"
            )

    def attempt_ended(self, request_id: str, endpoint: str) -> None:
        """Record the end of an attempt. Raises ``ValueError`` or ``KeyError`` if it was not in flight."""
        self._in_flight[request_id].remove(endpoint)
        if not self._in_flight[request_id]:
            del self._in_flight[request_id]

    def request_executed(self, request_id: str, class_name: str, endpoint: str) -> None:
        """Record that a request was executed; one that is not idempotent may be executed only once."""
        if class_name != NON_IDEMPOTENT_CLASS:
            return
        if request_id in self._executed:
            self.record_violation("repeat", f"{request_id} came to {endpoint} again after it had run")
        self._executed.add(request_id)

    def copy_served(self, key: str, created_ms: int, sent_s: float, request_id: str = "") -> None:
        """Check a copy that a client received, by the Unix times of its creation and of the request.

        It must not be older than a purge that was published long enough before the request was sent.
        """
        purged_s, published_s = self.purges_s.get(key, (0.0, 0.0))
        if not purged_s or created_ms / 1000 >= purged_s:
            return
        if sent_s > self.known_at(request_id, published_s) + PURGE_NOTICE_S + self.slack_s:
            early_s = purged_s - created_ms / 1000
            self.record_violation("purge", f"object {key}: copy of {early_s:.3f} s before the purge")
