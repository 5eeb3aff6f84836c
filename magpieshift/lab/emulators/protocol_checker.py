"""Judges, at the emulated endpoints, whether routers keep the rules of the protocol pages."""

from __future__ import annotations

import time
from collections.abc import Callable, Collection

SOCKET_SLACK_S = 0.05  # the protocol page's allowance for delays on sockets
DRAIN_NOTICE_S = 0.25  # the platform's rule: after this a router sends a draining endpoint nothing new
PURGE_NOTICE_S = 0.5  # the platform's rule: after this a router serves no copy from before a purge
MAX_EXAMPLES = 20  # enough to see what went wrong; all violations are counted
NON_IDEMPOTENT_CLASS = "order"  # the class whose repeats no endpoint recognizes


class ProtocolChecker:
    """Counts violations over all endpoints of an installation, and for all routers that send to them."""

    def __init__(
        self,
        slack_s: float = SOCKET_SLACK_S,
        known_at: Callable[[str, float], float] = lambda request_id, published_s: published_s,
        hedged_classes: Collection[str] = (),
    ) -> None:
        """``slack_s`` is granted beyond each time limit. ``known_at`` gives, for a request's id and the Unix
        time at which an event was published, the time from which the router that sent the request could know
        of it: one that is partitioned or paused learns of it later. ``hedged_classes`` are the classes of
        which the settings permit a hedged request at another endpoint."""
        self.slack_s = slack_s
        self.known_at = known_at
        self.hedged_classes = hedged_classes
        self._in_flight: dict[str, list[str]] = {}
        """The endpoints at which each request has an attempt in flight."""
        self.attempts = 0
        """Attempts that have come to any endpoint."""
        self.violations: dict[str, int] = {}
        """How often each rule was broken, by its name in reports."""
        self.examples: list[str] = []
        """The first violations in words, at most ``MAX_EXAMPLES``."""
        self.drains_published_s: dict[str, float] = {}
        """Unix time at which each endpoint's drain, or its removal, was published."""
        self.purges_s: dict[str, tuple[float, float]] = {}
        """Unix times at which each object's last purge was made, and was published."""
        self.origin_fetches: dict[str, int] = {}
        """Fills answered by the origin, by the endpoint that was filled."""
        self._executed: set[str] = set()
        """Requests that must not be repeated and have taken effect."""

    def record_violation(self, rule: str, text: str) -> None:
        """Count a violation; the first few are kept as examples."""
        self.violations[rule] = self.violations.get(rule, 0) + 1
        if len(self.examples) < MAX_EXAMPLES:
            self.examples.append(f"{rule}: {text}")

    def attempt_started(self, request_id: str, endpoint: str, class_name: str = "") -> None:
        """An attempt has come to an endpoint: no other may be in flight, but for one hedged request."""
        self.attempts += 1
        in_flight = self._in_flight.setdefault(request_id, [])
        is_hedge = class_name in self.hedged_classes and len(in_flight) == 1 and endpoint not in in_flight
        if in_flight and not is_hedge:
            self.record_violation("second attempt", f"{request_id} came to {endpoint} while another was out")
        in_flight.append(endpoint)
        self.endpoint_used(request_id, endpoint, "came to")

    def endpoint_used(self, request_id: str, endpoint: str, how: str) -> None:
        """A request has come to an endpoint, or names it as the source of its fill: it must not drain."""
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
        """An endpoint in slow start was sent ``work_s`` of work within a second.

        Above ``capacity_s``, a multiple of what it can do now, it is overloaded.
        """
        if work_s > capacity_s:
            self.record_violation(
                "cold store", f"{endpoint} was sent {work_s:.2f} s of work in 1 s, and bears {capacity_s:.2f}"
            )

    def attempt_ended(self, request_id: str, endpoint: str) -> None:
        """An attempt is no longer in flight; ``ValueError`` or ``KeyError`` if it wasn't."""
        self._in_flight[request_id].remove(endpoint)
        if not self._in_flight[request_id]:
            del self._in_flight[request_id]

    def request_executed(self, request_id: str, class_name: str, endpoint: str) -> None:
        """A request has taken effect: one that is not idempotent may do so only once."""
        if class_name != NON_IDEMPOTENT_CLASS:
            return
        if request_id in self._executed:
            self.record_violation("repeat", f"{request_id} came to {endpoint} again after it had run")
        self._executed.add(request_id)

    def copy_served(self, key: str, created_ms: int, sent_s: float, request_id: str = "") -> None:
        """A client has received a copy made at ``created_ms`` for a request sent at ``sent_s`` (Unix times):
        none from before a purge, if the request was sent long enough after that was published."""
        purged_s, published_s = self.purges_s.get(key, (0.0, 0.0))
        if not purged_s or created_ms / 1000 >= purged_s:
            return
        if sent_s > self.known_at(request_id, published_s) + PURGE_NOTICE_S + self.slack_s:
            early_s = purged_s - created_ms / 1000
            self.record_violation("purge", f"object {key}: copy of {early_s:.3f} s before the purge")
