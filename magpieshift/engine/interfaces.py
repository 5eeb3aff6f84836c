"""What the engine needs of the parts around it, as protocols, so that it imports none of them."""

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
"""Takes the final answer to one request."""


class Upstream(Protocol):
    """Carries attempts and health checks to endpoints."""

    def start(self, request: UpstreamRequest, done: Callable[[AttemptResult], None], /) -> UpstreamExchange:
        """Begin an attempt; ``done`` is called once with its result, unless it is cancelled."""
        ...

    def probe(self, endpoint: ListedEndpoint, done: Callable[[AttemptResult], None], /) -> None:
        """Begin a health check; ``done`` is called once with its result."""
        ...

    def close_idle(self, endpoint: ListedEndpoint, /) -> None:
        """Close the connections to this endpoint that carry nothing."""
        ...


class PolicyObserver(Protocol):
    """Stands between the engine and the policy, passing on what it sees unchanged (``capture.recorder``)."""

    def handle(self, policy: RouterPolicy, now_us: int, events: Sequence[Event], /) -> list[Action]:
        """Pass a batch of events to the policy; returns the policy's actions."""
        ...

    def register_name(self, number: int, name: str, /) -> None:
        """Learn the text id behind the number of a request or an endpoint."""
        ...

    def reconfigured(self, settings: Settings, reset_classes: Collection[int], /) -> None:
        """The policy runs on new settings, and starts anew with these classes."""
        ...

    def overrides_applied(self, now_us: int, overrides: Sequence[HealthOverride], /) -> None:
        """The policy ejected or readmitted endpoints because other routers reported them."""
        ...


class RequestObserver(Protocol):
    """Counts the ends of requests and attempts. It is called in the path of each and must not raise."""

    def request_ended(
        self,
        request: ClientRequest,
        request_class: RequestClass,
        verdict: Verdict | None,
        duration_us: int,
        /,
    ) -> None:
        """A request has ended with its final answer, or (None) because its client disconnected."""
        ...

    def attempt_ended(self, outcome: Outcome, filled: bool, origin: bool, /) -> None:
        """An attempt has ended: whether it named a source, and whether the origin was endpoint or source."""
        ...


class EngineHooks:
    """Attachment points of the engine; other parts assign them, and the engine's modules read them."""

    def __init__(self, object_number: Callable[[str], int]) -> None:
        self.object_number = object_number
        """Maps the text key of an object to the policy's number for it."""
        self.policy_observer: PolicyObserver | None = None
        """Sees all that passes between the engine and the policy."""
        self.request_observer: RequestObserver | None = None
        """Counts how requests and attempts end."""
        self.refresh_quota: Callable[[], None] | None = None
        """Called before each batch of events, as a quota lease may have expired."""
        self.copy_age_limit: Callable[[], int] | None = None
        """The largest age that any read may accept of a cached copy now, in microseconds, 0 for no limit.

        For a part that knows when purges may have been missed. Called at each decision, and again at the
        write.
        """
