"""Protocols for the components that the engine depends on, so that it does not import them."""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from typing import Protocol

from magpieshift.engine.model import (
    AttemptResult,
    ClientRequest,
    ListedEndpoint,
    Response,
    UpstreamExchange,
    UpstreamRequest,
    Verdict,
)
from magpieshift.policy.actions import Action
from magpieshift.policy.events import Event
from magpieshift.policy.health_override import HealthOverride
from magpieshift.policy.outcomes import Outcome
from magpieshift.policy.router_policy import RouterPolicy
from magpieshift.policy.settings import RequestClass, Settings

Reply = Callable[[Response], None]
"""Receives the final answer to one request."""


class Upstream(Protocol):
    """Sends attempts and health checks to endpoints."""

    def start(self, request: UpstreamRequest, done: Callable[[AttemptResult], None], /) -> UpstreamExchange:
        """Start an attempt; ``done`` is called once with its result, unless the attempt is cancelled."""
        ...

    def probe(self, endpoint: ListedEndpoint, done: Callable[[AttemptResult], None], /) -> None:
        """Start a health check; ``done`` is called once with its result."""
        ...

    def close_idle(self, endpoint: ListedEndpoint, /) -> None:
        """Close the idle connections to this endpoint."""
        ...


class PolicyObserver(Protocol):
    """Called by the engine in place of the policy; passes events and actions on unchanged and observes them
    (for example ``capture.recorder``)."""

    def handle(self, policy: RouterPolicy, now_us: int, events: Sequence[Event], /) -> list[Action]:
        """Pass a batch of events to the policy; returns the policy's actions."""
        ...

    def register_name(self, number: int, name: str, /) -> None:
        """Register the text id of the request or endpoint that the policy knows by this number."""
        ...

    def reconfigured(self, settings: Settings, reset_classes: Collection[int], /) -> None:
        """The policy was given new settings, and its learned state for these classes was reset."""
        ...

    def overrides_applied(self, now_us: int, overrides: Sequence[HealthOverride], /) -> None:
        """The policy ejected or readmitted endpoints because other routers reported them."""
        ...


class RequestObserver(Protocol):
    """Counts finished requests and attempts. It is called synchronously for each and must not raise."""

    def request_ended(
        self,
        request: ClientRequest,
        request_class: RequestClass,
        verdict: Verdict | None,
        duration_us: int,
        /,
    ) -> None:
        """A request has ended with this verdict, or with None because its client disconnected."""
        ...

    def attempt_ended(self, outcome: Outcome, filled: bool, origin: bool, /) -> None:
        """An attempt has ended.

        ``filled``: it named a source to fill from. ``origin``: the origin was its endpoint or its source.
        """
        ...


class SharedIds(Protocol):
    """The ids of requests that must not run again, shared with another process of the same router."""

    def announce(self, request_id: str, /) -> None:
        """Tell the other process, if one is alive, that this one has taken a request."""
        ...

    def is_taken(self, request_id: str, /) -> bool:
        """Whether the other process has taken a request of this id lately."""
        ...


class EngineHooks:
    """Optional hooks of the engine; other parts set them, and the engine's modules call them."""

    def __init__(self, object_number: Callable[[str], int]) -> None:
        self.object_number = object_number
        """Maps the text key of an object to the policy's number for it."""
        self.policy_observer: PolicyObserver | None = None
        """Observes all events and actions between the engine and the policy."""
        self.request_observer: RequestObserver | None = None
        """Counts how requests and attempts end."""
        self.shared_ids: SharedIds | None = None
        """Ids shared with another process of this router; None where there can be none."""
        self.refresh_quota: Callable[[], None] | None = None
        """Called before each batch of events, because a quota lease may have expired."""
        self.copy_age_limit: Callable[[], int] | None = None
        """Returns the current maximum age of cached copies for all reads, in microseconds; 0 means no limit.

        Set by a part that detects when purges may have been missed. Called when an attempt is started, and
        again right before it is written.
        """
