"""Traces the policy's events and actions as log lines, to be counted over a whole fleet.

Enabled by ``EDGE_TRACE=1`` only, as each request logs about six lines.
``lab.experiments.fleet_log_counts`` parses the event names and fields; change both together.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Collection, Sequence

from magpieshift.log import fields
from magpieshift.policy.actions import (
    Action,
    FailRequest,
    RejectRequest,
    SendCacheRequest,
    SendPlainRequest,
    StartHealthCheck,
)
from magpieshift.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    Endpoint,
    EndpointListReceived,
    EndpointState,
    Event,
    PurgeReceived,
    RequestReceived,
)
from magpieshift.policy.health_override import HealthOverride
from magpieshift.policy.outcomes import CacheStatus, Outcome
from magpieshift.policy.router_policy import RouterPolicy
from magpieshift.policy.settings import Settings

log = logging.getLogger("magpieshift.trace")

MAX_NAMES = 4096
"""Maximum number of endpoint names, and of request ids, to remember; the oldest is dropped first. Names only
make log lines readable, so losing one is harmless."""
MIN_ENDPOINT_NUMBER = (1 << 32) + 1
"""Smallest number taken for an endpoint's: those are 64-bit hashes, while requests are numbered from 1."""
UNKNOWN = "-"
"""Logged in place of an unknown endpoint name or request id, and where there is no source."""


class Trace:
    """A policy observer that logs events and actions."""

    def __init__(self) -> None:
        self._names: dict[int, str] = {}
        self._registration_order: deque[int] = deque()  # endpoint numbers in order of registration
        self._request_ids: dict[int, str] = {}  # by request number, until the request is passed to the policy

    def register_name(self, number: int, name: str) -> None:
        """Remember the name of an endpoint or the client's id of a request."""
        if number < MIN_ENDPOINT_NUMBER:
            self._request_ids[number] = name
            if len(self._request_ids) > MAX_NAMES:
                del self._request_ids[next(iter(self._request_ids))]
            return
        if number in self._names:
            return
        self._registration_order.append(number)
        if len(self._registration_order) > MAX_NAMES:
            self._names.pop(self._registration_order.popleft(), None)
        self._names[number] = name

    def reconfigured(self, settings: Settings, reset_classes: Collection[int]) -> None:
        """Log that the policy was given new settings."""
        log.debug("policy reconfigured", extra=fields(routers=settings.router_count, zone=settings.zone))

    def overrides_applied(self, now_us: int, overrides: Sequence[HealthOverride]) -> None:
        """Log the ejections and readmissions made on the reports of other routers."""
        for override in overrides:
            kind = type(override).__name__.lower()
            log.debug(
                "health override applied",
                extra=fields(endpoint=self._endpoint_name(override.endpoint), override=kind),
            )

    def handle(self, policy: RouterPolicy, now_us: int, events: Sequence[Event]) -> list[Action]:
        """Pass a batch of events to the policy, and log the events and the resulting actions."""
        for event in events:
            self._log_event(event)
        actions = policy.handle(now_us, events)
        for action in actions:
            self._log_action(action)
        return actions

    def _endpoint_name(self, number: int) -> str:
        return self._names.get(number, UNKNOWN)

    def _log_event(self, event: Event) -> None:
        match event:
            case RequestReceived():
                self._log_request(event)
            case AttemptEnded():
                self._log_attempt(event)
            case ClientDisconnected(request_id=number):
                log.debug("client disconnected", extra=fields(request_number=number))
            case PurgeReceived():
                pairs = fields(object=event.object_key, group=event.group, age_us=event.age_us)
                log.debug("object purged", extra=pairs)
            case EndpointListReceived():
                for endpoint in event.endpoints:
                    self._log_endpoint(endpoint)

    def _log_request(self, event: RequestReceived) -> None:
        log.debug(
            "request received",
            extra=fields(
                request_number=event.request_id,
                request_id=self._request_ids.pop(event.request_id, UNKNOWN),
                class_number=event.class_index,
                object=event.object_key,
                part=event.part,
                size_kb=event.size_kb,
                time_left_us=event.time_left_us,
                is_repeat=int(event.is_repeat),
            ),
        )

    def _log_attempt(self, event: AttemptEnded) -> None:
        log.debug(
            "attempt ended",
            extra=fields(
                request_number=event.request_id,
                attempt=event.attempt,
                endpoint=self._endpoint_name(event.endpoint),
                duration_us=event.latency_us,
                outcome=Outcome(event.outcome).name.lower(),
                cache_status=_cache_status_name(event.cache_status),
                fill_wait_us=event.fill_wait_us,
                request_closed=int(event.request_closed),
                load=",".join(f"{value:.2f}" for value in event.load),
            ),
        )

    def _log_endpoint(self, endpoint: Endpoint) -> None:
        log.debug(
            "endpoint listed",
            extra=fields(
                endpoint=self._endpoint_name(endpoint.number),
                zone=endpoint.zone,
                kind=endpoint.kind,
                weight=endpoint.weight,
                state=EndpointState(endpoint.state).name.lower(),
                started_us=endpoint.started_us,
            ),
        )

    def _log_action(self, action: Action) -> None:
        match action:
            case SendPlainRequest(request_id=number):
                endpoint = self._endpoint_name(action.endpoint)
                pairs = fields(request_number=number, endpoint=endpoint, source=UNKNOWN)
                log.debug("attempt started", extra=pairs)
            case SendCacheRequest(request_id=number):
                log.debug(
                    "attempt started",
                    extra=fields(
                        request_number=number,
                        endpoint=self._endpoint_name(action.endpoint),
                        source=self._endpoint_name(action.source),
                        max_age_us=action.max_age_us,
                        flags=action.flags,
                    ),
                )
            case RejectRequest(request_id=number):
                pairs = fields(request_number=number, retry_after_us=action.retry_after_us)
                log.debug("request rejected", extra=pairs)
            case FailRequest(request_id=number):
                log.debug("request failed", extra=fields(request_number=number))
            case StartHealthCheck():
                endpoint = self._endpoint_name(action.endpoint)
                log.debug("health check started", extra=fields(endpoint=endpoint))


def _cache_status_name(number: int) -> str:
    known = number in CacheStatus._value2member_map_
    return CacheStatus(number).name.lower() if known else str(number)
