"""The current endpoint list, indexed by the policy's endpoint numbers."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from magpieshift.engine.interfaces import EngineHooks
from magpieshift.engine.model import ListedEndpoint
from magpieshift.policy.events import EndpointListKind, EndpointListReceived, EndpointState, Event


class EndpointTable:
    """Holds the current endpoint list and passes every change of it to the policy."""

    def __init__(self, hooks: EngineHooks, post_event: Callable[[Event], None]) -> None:
        self.by_number: dict[int, ListedEndpoint] = {}
        self._hooks = hooks
        self._post_event = post_event

    def get(self, number: int) -> ListedEndpoint | None:
        """The endpoint with this number, or None if it is not listed."""
        return self.by_number.get(number)

    def apply(self, kind: EndpointListKind, version: int, endpoints: Iterable[ListedEndpoint]) -> None:
        """Apply an endpoint list event; ``DELTA`` carries changes only, any other kind replaces the list."""
        endpoints = tuple(endpoints)
        if kind != EndpointListKind.DELTA:
            self.by_number.clear()
        for listed in endpoints:
            number = listed.endpoint.number
            if listed.endpoint.state == EndpointState.REMOVED:
                self.by_number.pop(number, None)
            else:
                self.by_number[number] = listed
                if self._hooks.policy_observer is not None:
                    self._hooks.policy_observer.register_name(number, listed.name)
        self._post_event(EndpointListReceived(kind, version, tuple(e.endpoint for e in endpoints)))

    def resend_list(self) -> None:
        """Pass the current complete list to the policy again."""
        self.apply(EndpointListKind.COMPLETE, 0, tuple(self.by_number.values()))
