"""The engine's public face: one router's requests, attempts and timers around one decision policy.

It is told what clients, endpoints and the change log do, passes that to ``magpieshift.policy`` in batches,
and carries out what the policy decides. Whatever the policy does, each request gets exactly one final answer
in time, and none has two attempts in flight, unless the settings and its class allow hedged requests.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from magpieshift.clock import Clock
from magpieshift.config import NO_NAMES, Document, Names
from magpieshift.engine.actions import PolicyActions
from magpieshift.engine.attempts import Attempts
from magpieshift.engine.endpoint_table import EndpointTable
from magpieshift.engine.interfaces import EngineHooks, Reply, Upstream
from magpieshift.engine.model import ClientRequest, ListedEndpoint, Response, Verdict, object_number
from magpieshift.engine.policy_calls import PolicyCalls
from magpieshift.engine.reconfiguration import Reconfiguration
from magpieshift.engine.request_table import RequestTable
from magpieshift.engine.settings_in_force import RouterCounts, SettingsInForce
from magpieshift.policy.events import EndpointListKind, PurgeReceived
from magpieshift.policy.health_override import HealthOverride, endpoint_health
from magpieshift.policy.router_policy import RouterPolicy
from magpieshift.policy.settings import Settings

DEFAULT_MAX_BODY_BYTES = 32 << 20
"""For embedders that state no limit of their own (the simulator, the laboratory). A smaller
one rejects writes earlier, a larger one lets them use more memory."""
MIN_DRAINING_RETRY_FRACTION = 0.05
MAX_DRAINING_RETRY_FRACTION = 0.3
"""Bounds of the Retry-After of a draining router, as fractions of the settings' largest. Other routers can
take the request, so it is short; it is drawn between them, or all rejected clients would be back at once.
Smaller fractions bring clients back to a router that still drains, larger ones only add
waiting."""


class EndpointHealth(NamedTuple):
    """What the policy has learned of one endpoint."""

    endpoint: ListedEndpoint
    is_failing: bool
    """Whether its failure rate is above that at which it is ejected: it is ejected, or gets one attempt at a
    time."""
    since_failure_us: int | None
    """Microseconds since its last failure; None for never."""
    since_success_us: int | None
    """Microseconds since it last answered usefully; None for never."""


def _no_action() -> None:
    """The default of a callback that its caller does not need."""


class Engine(EngineHooks):
    """Joins the owners of requests, attempts, endpoints, settings and the policy."""

    part = "engine"
    """Its name among the parts that take a new document."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        clock: Clock,
        upstream: Upstream,
        max_body_bytes: int = DEFAULT_MAX_BODY_BYTES,
        names: Names = NO_NAMES,
    ) -> None:
        super().__init__(object_number)
        self._clock = clock
        self._random = random.Random(seed)
        self.policy_calls = PolicyCalls(RouterPolicy(settings, seed), clock, self)
        """Owner of the policy."""
        post_event = self.policy_calls.post
        self.in_force = SettingsInForce(settings, names, self.policy_calls)
        """Owner of the settings and class numbers in force."""
        self.endpoints = EndpointTable(self, post_event)
        """Owner of the endpoint list."""
        self.requests = RequestTable(clock, self.in_force, self, post_event, max_body_bytes)
        """Owner of all requests until their deadlines."""
        attempts = Attempts(clock, upstream, self.requests, self.endpoints, self.in_force, self, post_event)
        self.requests.cancel_attempts = attempts.cancel_all
        self.policy_calls.executor = PolicyActions(
            clock, upstream, self.requests, attempts, self.endpoints, post_event
        )
        self._reconfiguration = Reconfiguration(
            self.in_force, self.policy_calls, self.endpoints, self.requests
        )

    # --- requests of clients

    def submit(
        self,
        request: ClientRequest,
        reply: Reply,
        hold: bool = False,
        before_write: Callable[[], None] = _no_action,
    ) -> int:
        """Take a request; returns its number.

        ``reply`` is called once with its final answer, unless it is cancelled, and never before this returns.
        With ``hold`` it is not decided on until ``resume``, while its deadline runs. ``before_write`` is
        called right before an attempt is written, to read what the client has sent by then.
        """
        entry = self.requests.add(request, reply, before_write)
        if entry.is_admitted and not hold:
            self.requests.release(entry.number)
        return entry.number

    def resume(self, number: int) -> None:
        """Let the policy decide on a request that was held, if it is still open."""
        self.requests.release(number)

    def cancel(self, number: int) -> None:
        """The client of this request has disconnected."""
        self.requests.cancel(number)

    def draining_response(self) -> Response:
        """The answer to a request that is not taken because the router drains."""
        fraction = self._random.uniform(MIN_DRAINING_RETRY_FRACTION, MAX_DRAINING_RETRY_FRACTION)
        retry_after_us = int(fraction * self.in_force.settings.max_retry_after_us)
        return Response(Verdict.REJECTED, retry_after_us=retry_after_us)

    def answer_all(self) -> None:
        """Answer all open requests: the process must exit, whether or not the endpoints have answered."""
        self.requests.answer_all()

    def is_write_class(self, class_number: int) -> bool:
        """Whether requests of this class write."""
        return self.in_force.settings.classes[class_number].is_write

    @property
    def requests_taken(self) -> int:
        """How many requests have been taken since the start."""
        return self.requests.received

    @property
    def open_requests(self) -> int:
        """How many requests have no final answer yet."""
        return self.requests.open_requests

    @property
    def held_body_bytes(self) -> int:
        """Size of the bodies of open requests."""
        return self.requests.held_body_bytes

    @property
    def max_body_bytes(self) -> int:
        """Limit of ``held_body_bytes``; what comes beyond it is rejected."""
        return self.requests.max_body_bytes

    @max_body_bytes.setter
    def max_body_bytes(self, limit: int) -> None:
        self.requests.max_body_bytes = limit

    # --- settings

    def prepare(self, old: Document, new: Document) -> Callable[[], None]:
        """Make ready for a new document; returns its commit (``Reconfiguration.prepare``)."""
        return self._reconfiguration.prepare(old, new)

    def running(self) -> dict[str, object]:
        """The settings in force, by the names that operators know."""
        return self.in_force.by_name()

    def set_sibling_processes(self, count: int) -> None:
        """So many other processes of this router serve from now on, and share its part of all budgets."""
        self.in_force.set_sibling_processes(count)

    def set_router_counts(self, total: int, own_zone: int) -> None:
        """Use one part in so many of what all routers share, and of what those of the own zone share."""
        self.in_force.set_router_counts(RouterCounts(total, own_zone))

    @property
    def sibling_processes(self) -> int:
        """How many other processes of this router serve."""
        return self.in_force.sibling_processes

    @property
    def classes(self) -> dict[str, int]:
        """Numbers of the classes by name: one map as long as the engine lives, changed in place."""
        return self.in_force.class_numbers

    # --- endpoints and objects

    def list_changed(self, kind: EndpointListKind, version: int, endpoints: Iterable[ListedEndpoint]) -> None:
        """Endpoints have come, changed or gone; all but a ``DELTA`` is the complete list."""
        self.endpoints.apply(kind, version, endpoints)

    def purged(self, object_key: str, group: int, purged_us: int) -> None:
        """An object, or with no key a group, was purged at this Unix microsecond."""
        age_us = max(0, self._clock.now_us() - purged_us)
        number = self.object_number(object_key) if object_key else 0
        self.policy_calls.post(PurgeReceived(number, group, age_us))

    @property
    def endpoint_count(self) -> int:
        """How many endpoints are listed, of all zones."""
        return len(self.endpoints.by_number)

    def endpoint_names(self) -> list[tuple[int, str]]:
        """The policy's numbers of all listed endpoints, with their names."""
        return [(number, listed.name) for number, listed in self.endpoints.by_number.items()]

    def endpoint_health(self) -> Iterable[EndpointHealth]:
        """The health of each endpoint that the policy may choose."""
        now_us = self.policy_calls.time_us()

        def since_us(event_us: int) -> int | None:
            return None if event_us < 0 else max(0, now_us - event_us)

        for number, is_failing, failed_us, good_us in endpoint_health(self.policy_calls.policy):
            if (listed := self.endpoints.get(number)) is not None:
                yield EndpointHealth(listed, is_failing, since_us(failed_us), since_us(good_us))

    def apply_overrides(self, overrides: Sequence[HealthOverride]) -> None:
        """Have the policy eject or readmit endpoints by what other routers have seen."""
        self.policy_calls.apply_overrides(overrides)

    # --- the policy

    def flush(self) -> None:
        """Pass what has happened to the policy now, without waiting for the next turn of the loop."""
        self.policy_calls.flush()
