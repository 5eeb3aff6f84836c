"""The engine's interface: manages one router's requests, attempts and timers around one decision policy.

It receives events from clients, endpoints and the change log, passes them to ``magpieshift.policy`` in
batches, and carries out the policy's actions. Whatever the policy does, each request gets exactly one final
answer by its deadline, and never has two attempts in flight unless the settings and its class allow hedged
requests.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from magpieshift.clock import Clock
from magpieshift.config import NO_NAMES, Document, Names
from magpieshift.engine.actions import PolicyActions
from magpieshift.engine.attempts import Attempts
from magpieshift.engine.effective_settings import RouterCounts, SettingsInForce
from magpieshift.engine.endpoint_table import EndpointTable
from magpieshift.engine.interfaces import EngineHooks, Reply, Upstream
from magpieshift.engine.model import ClientRequest, ListedEndpoint, Response, Verdict, object_number
from magpieshift.engine.policy_calls import PolicyCalls
from magpieshift.engine.reconfiguration import Reconfiguration
from magpieshift.engine.request_table import RequestTable
from magpieshift.memory_use import MemoryUse
from magpieshift.policy.events import EndpointListKind, PurgeReceived
from magpieshift.policy.health_override import HealthOverride, endpoint_health
from magpieshift.policy.rejection import may_reject
from magpieshift.policy.router_policy import RouterPolicy
from magpieshift.policy.settings import Settings

DEFAULT_MAX_BODY_BYTES = 32 << 20
"""Default limit on the total size of the bodies of open requests, for embedders that set none (the simulator,
the laboratory). A smaller limit rejects writes earlier, a larger one lets them use more memory."""
MIN_DRAINING_RETRY_FRACTION = 0.05
MAX_DRAINING_RETRY_FRACTION = 0.3
"""Bounds of a draining router's Retry-After, as fractions of the settings' ``max_retry_after_us``. It is
short because another router can take the request, and chosen at random between the bounds so that rejected
clients do not all return at once. Smaller fractions bring clients back while the router still drains; larger
ones only add waiting time."""


class EndpointHealth(NamedTuple):
    """The health of one endpoint as the policy has observed it."""

    endpoint: ListedEndpoint
    is_failing: bool
    """Whether its failure rate is above the ejection threshold: it is ejected, or limited to one attempt at a
    time."""
    since_failure_us: int | None
    """Microseconds since its last failure; None if it has never failed."""
    since_success_us: int | None
    """Microseconds since its last useful answer; None if it has never given one."""


def _no_action() -> None:
    """Default for an optional callback."""


class Engine(EngineHooks):
    """Connects the components that own requests, attempts, endpoints, settings and the policy."""

    part = "engine"
    """Name of this part in a configuration transaction."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        clock: Clock,
        upstream: Upstream,
        max_body_bytes: int = DEFAULT_MAX_BODY_BYTES,
        names: Names = NO_NAMES,
        memory: MemoryUse | None = None,
    ) -> None:
        """``memory`` counts the memory of open requests, together with what other parts hold; None: it is not
        counted."""
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
        self.requests = RequestTable(
            clock,
            self.in_force,
            self,
            post_event,
            max_body_bytes,
            memory if memory is not None else MemoryUse(max_body_bytes),
        )
        """Owner of all requests, each kept until shortly after its end."""
        attempts = Attempts(
            clock,
            upstream,
            self.requests,
            self.endpoints,
            self.in_force,
            self,
            post_event,
            self.policy_calls.max_copy_age_us,
        )
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
        """Accept a request; returns its number.

        ``reply`` is called once with the final answer, unless the request is cancelled, and never before this
        method returns. With ``hold`` the policy does not see the request until ``resume``; its deadline runs
        meanwhile. ``before_write`` is called right before an attempt is written, so that a disconnect or
        cancellation which the client has already sent is read first.
        """
        entry = self.requests.add(request, reply, before_write)
        if entry.is_admitted and not hold:
            self.requests.release(entry.number)
        return entry.number

    def resume(self, number: int) -> None:
        """Pass a request submitted with ``hold`` to the policy, if it is still open."""
        self.requests.release(number)

    def cancel(self, number: int) -> None:
        """Cancel a request whose client has disconnected."""
        self.requests.cancel(number)

    def draining_response(self) -> Response:
        """The answer to a request that is rejected because the router drains."""
        fraction = self._random.uniform(MIN_DRAINING_RETRY_FRACTION, MAX_DRAINING_RETRY_FRACTION)
        retry_after_us = int(fraction * self.in_force.settings.max_retry_after_us)
        return Response(Verdict.REJECTED, retry_after_us=retry_after_us)

    def longest_wait_us(self, request: ClientRequest) -> int:
        """How long the client may wait for the answer to this request, in microseconds."""
        return min(request.time_left_us, self.in_force.settings.classes[request.class_index].deadline_us)

    def exhausted_response(self) -> Response:
        """The answer to a request that is rejected because there is no memory for it."""
        return Response(Verdict.REJECTED, retry_after_us=self.in_force.settings.max_retry_after_us)

    def replacement_response(self, class_number: int) -> Response:
        """The answer to a request of this class that was served, if its content cannot be delivered.

        It is a rejection if a retry does no harm, else a failure.
        """
        settings = self.in_force.settings
        if not may_reject(settings.classes[class_number], may_have_run=True):
            return Response(Verdict.FAILED)
        return Response(Verdict.REJECTED, retry_after_us=settings.max_retry_after_us)

    def answer_all(self) -> None:
        """Answer all open requests, as the process must exit even if endpoints have not answered."""
        self.requests.answer_all()

    def is_write_class(self, class_number: int) -> bool:
        """Whether requests of this class write."""
        return self.in_force.settings.classes[class_number].is_write

    @property
    def requests_submitted(self) -> int:
        """Number of requests submitted since the start."""
        return self.requests.received

    @property
    def open_requests(self) -> int:
        """Number of requests without a final answer."""
        return self.requests.open_requests

    @property
    def held_body_bytes(self) -> int:
        """Total size of the bodies of open requests, in bytes."""
        return self.requests.held_body_bytes

    @property
    def max_body_bytes(self) -> int:
        """Limit of ``held_body_bytes``; a request that would exceed it is rejected."""
        return self.requests.max_body_bytes

    @max_body_bytes.setter
    def max_body_bytes(self, limit: int) -> None:
        self.requests.max_body_bytes = limit

    # --- settings

    def prepare(self, old: Document, new: Document) -> Callable[[], None]:
        """Prepare a new document; returns the function that commits it (``Reconfiguration.prepare``)."""
        return self._reconfiguration.prepare(old, new)

    def running(self) -> dict[str, object]:
        """The settings in force, under the names that operators see."""
        return self.in_force.by_name()

    def set_sibling_processes(self, count: int) -> None:
        """Set how many other processes share this router's part of all budgets."""
        self.in_force.set_sibling_processes(count)

    def set_router_counts(self, total: int, own_zone: int) -> None:
        """Set the number of routers that share the budgets, in total and in this router's zone.

        They replace the document's counts.
        """
        self.in_force.set_router_counts(RouterCounts(total, own_zone))

    @property
    def sibling_processes(self) -> int:
        """Number of other processes that share this router's part of all budgets."""
        return self.in_force.sibling_processes

    @property
    def classes(self) -> dict[str, int]:
        """Class numbers by name. The dictionary is updated in place, so callers may keep a reference."""
        return self.in_force.class_numbers

    # --- endpoints and objects

    def list_changed(self, kind: EndpointListKind, version: int, endpoints: Iterable[ListedEndpoint]) -> None:
        """Apply an endpoint list event; ``DELTA`` carries changes only, any other kind replaces the list."""
        self.endpoints.apply(kind, version, endpoints)

    def purged(self, object_key: str, group: int, purged_us: int) -> None:
        """Record a purge of an object, or of a group if the key is empty; ``purged_us`` is Unix
        microseconds."""
        age_us = max(0, self._clock.now_us() - purged_us)
        number = self.object_number(object_key) if object_key else 0
        self.policy_calls.post(PurgeReceived(number, group, age_us))

    @property
    def endpoint_count(self) -> int:
        """Number of endpoints on the endpoint list, in all zones."""
        return len(self.endpoints.by_number)

    def endpoint_names(self) -> list[tuple[int, str]]:
        """Number (as used by the policy) and name of each listed endpoint."""
        return [(number, listed.name) for number, listed in self.endpoints.by_number.items()]

    def endpoint_health(self) -> Iterable[EndpointHealth]:
        """The health of each listed endpoint that the policy tracks."""
        now_us = self.policy_calls.time_us()

        def since_us(event_us: int) -> int | None:
            return None if event_us < 0 else max(0, now_us - event_us)

        for number, is_failing, failed_us, success_us in endpoint_health(self.policy_calls.policy):
            if (listed := self.endpoints.get(number)) is not None:
                yield EndpointHealth(listed, is_failing, since_us(failed_us), since_us(success_us))

    def apply_overrides(self, overrides: Sequence[HealthOverride]) -> None:
        """Have the policy eject or readmit endpoints on the reports of other routers."""
        self.policy_calls.apply_overrides(overrides)

    # --- the policy

    def flush(self) -> None:
        """Pass all queued events to the policy now, without waiting for the next event loop iteration."""
        self.policy_calls.flush()
