"""The only caller of the policy: passes events to it in batches and contains its errors."""

from __future__ import annotations

import logging
from collections.abc import Iterable, Sequence
from typing import Protocol

from magpieshift.clock import Clock
from magpieshift.engine.interfaces import EngineHooks
from magpieshift.log import fields
from magpieshift.policy.actions import Action
from magpieshift.policy.events import EndpointListReceived, Event, PurgeReceived
from magpieshift.policy.health_override import HealthOverride, apply_overrides
from magpieshift.policy.reconfigure import reconfigure
from magpieshift.policy.router_policy import RouterPolicy
from magpieshift.policy.settings import Settings

log = logging.getLogger(__name__)


class ActionExecutor(Protocol):
    """Executes the policy's actions (``engine.actions``)."""

    def execute(self, action: Action, /) -> None:
        """Execute one action."""
        ...

    def is_withdrawn(self, event: Event, /) -> bool:
        """Whether an event needs no decision, because its request was closed before the policy saw it."""
        ...

    def answer_undecided(self, items: Iterable[Event | Action], /) -> None:
        """Answer the requests of these events or actions, which the policy will not decide on after an
        error."""
        ...


class PolicyCalls:
    """Owner of the policy, of its queued events and of its time."""

    def __init__(self, policy: RouterPolicy, clock: Clock, hooks: EngineHooks) -> None:
        self.policy = policy
        """The decision policy; only this class passes events to it."""
        self.executor: ActionExecutor | None = None
        """Executes the policy's actions; set once, while the engine is built."""
        self._clock = clock
        self._hooks = hooks
        self._events: list[Event] = []  # queued for the policy
        self._flush_scheduled = False
        self._policy_time_us = 0  # Unix microseconds, as last passed to the policy

    def post(self, event: Event) -> None:
        """Queue an event for the next flush.

        The policy is not called here, so events of one event loop iteration form one batch.
        """
        self._events.append(event)
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self._clock.soon(self.flush)

    def flush(self) -> None:
        """Pass all queued events to the policy and execute its actions."""
        assert self.executor is not None
        self._flush_scheduled = False
        # Requests closed before the policy saw them need no decision; clients may cancel hundreds at a time.
        events = [event for event in self._events if not self.executor.is_withdrawn(event)]
        self._events = []
        if not events:
            return
        if self._hooks.refresh_quota is not None:
            self._hooks.refresh_quota()
        self._policy_time_us = self.time_us()
        # Whatever the policy raises, the batch's requests are answered and the event loop continues.
        try:
            actions = self._handle(events)
        except Exception:
            log.exception("policy failed", extra=fields(events=len(events)))
            self.executor.answer_undecided(events)
            actions = self._replay_lasting_events(events)
        for action in actions:
            # A failing action must not prevent the others from being executed.
            try:
                self.executor.execute(action)
            except Exception:
                log.exception("action failed", extra=fields(action=type(action).__name__))
                self.executor.answer_undecided([action])

    def time_us(self) -> int:
        """The policy's time, in Unix microseconds; it never decreases, even if the clock is set back."""
        return max(self._policy_time_us, self._clock.now_us())

    def max_copy_age_us(self, request_number: int) -> int:
        """Current maximum age of an acceptable copy for an attempt of this request, in microseconds; 0: no
        bound."""
        return self.policy.max_copy_age_us(request_number, self.time_us())

    def reconfigure(self, settings: Settings, reset_classes: frozenset[int]) -> None:
        """Pass new settings to the policy, which discards what it learned about the classes to reset."""
        reconfigure(self.policy, settings, reset_classes)
        if self._hooks.policy_observer is not None:
            self._hooks.policy_observer.reconfigured(settings, reset_classes)

    def apply_overrides(self, overrides: Sequence[HealthOverride]) -> None:
        """Have the policy eject or readmit endpoints on the reports of other routers."""
        if overrides:
            now_us = self.time_us()
            apply_overrides(self.policy, now_us, overrides)
            if self._hooks.policy_observer is not None:
                self._hooks.policy_observer.overrides_applied(now_us, overrides)

    def _handle(self, events: Sequence[Event]) -> list[Action]:
        if self._hooks.policy_observer is None:
            return self.policy.handle(self._policy_time_us, events)
        return self._hooks.policy_observer.handle(self.policy, self._policy_time_us, events)

    def _replay_lasting_events(self, events: Iterable[Event]) -> list[Action]:
        """After the policy failed on a batch, pass its endpoint list changes and purges again, one by one.

        The policy may have missed them, they remain valid, and the router must obey them. Processing one
        twice is harmless.
        """
        actions: list[Action] = []
        for event in events:
            if isinstance(event, EndpointListReceived | PurgeReceived):
                # The remaining events are replayed whatever this one raises.
                try:
                    actions += self._handle([event])
                except Exception:
                    log.exception("event replay failed", extra=fields(event_type=type(event).__name__))
        return actions
