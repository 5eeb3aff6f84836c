"""The one place where the policy is entered: events go in as batches, and a failing policy is contained."""

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
    """Carries out what the policy decides (``engine.actions``)."""

    def execute(self, action: Action, /) -> None:
        """Carry out one action."""
        ...

    def is_withdrawn(self, event: Event, /) -> bool:
        """Whether an event needs no decision any more."""
        ...

    def answer_undecided(self, items: Iterable[Event | Action], /) -> None:
        """Answer the requests of these events or actions that the policy would never come back to."""
        ...


class PolicyCalls:
    """Owner of the policy, of the events waiting for it and of the time it is given."""

    def __init__(self, policy: RouterPolicy, clock: Clock, hooks: EngineHooks) -> None:
        self.policy = policy
        """The decisions; entered from this class only."""
        self.executor: ActionExecutor | None = None
        """Carries out the policy's actions; set once, while the engine is built."""
        self._clock = clock
        self._hooks = hooks
        self._events: list[Event] = []  # not passed to the policy yet
        self._flush_scheduled = False
        self._policy_time_us = 0  # Unix microseconds, as last given to the policy

    def post(self, event: Event) -> None:
        """Queue an event. The policy is never entered from here: what comes in together goes in together."""
        self._events.append(event)
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self._clock.soon(self.flush)

    def flush(self) -> None:
        """Pass all queued events to the policy, and carry out its actions."""
        assert self.executor is not None
        self._flush_scheduled = False
        # What was withdrawn before the policy saw it needs no decision; clients withdraw hundreds at a time.
        events = [event for event in self._events if not self.executor.is_withdrawn(event)]
        self._events = []
        if not events:
            return
        if self._hooks.refresh_quota is not None:
            self._hooks.refresh_quota()
        self._policy_time_us = self.time_us()
        # The edge of the policy: whatever it raises, its requests are answered and the loop goes on.
        try:
            actions = self._handle(events)
        except Exception:
            log.exception("policy failed", extra=fields(events=len(events)))
            self.executor.answer_undecided(events)
            actions = self._replay_lasting_events(events)
        for action in actions:
            # One action that fails, for whatever reason, must not keep the others from being carried out.
            try:
                self.executor.execute(action)
            except Exception:
                log.exception("action failed", extra=fields(action=type(action).__name__))
                self.executor.answer_undecided([action])

    def time_us(self) -> int:
        """The policy's time, in Unix microseconds; it never goes back, though the clock may be set back."""
        return max(self._policy_time_us, self._clock.now_us())

    def reconfigure(self, settings: Settings, reset_classes: frozenset[int]) -> None:
        """Put settings in force in the policy; it forgets what it learned of the classes to reset."""
        reconfigure(self.policy, settings, reset_classes)
        if self._hooks.policy_observer is not None:
            self._hooks.policy_observer.reconfigured(settings, reset_classes)

    def apply_overrides(self, overrides: Sequence[HealthOverride]) -> None:
        """Have the policy eject or readmit endpoints by what other routers have seen."""
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
        """Pass drains and purges to a policy that failed once more, each by itself.

        It may have missed them, they stay true, and the rules hold the router to them. To receive one twice
        does no harm.
        """
        actions: list[Action] = []
        for event in events:
            if isinstance(event, EndpointListReceived | PurgeReceived):
                # The edge of the policy again: the next event is replayed whatever this one raises.
                try:
                    actions += self._handle([event])
                except Exception:
                    log.exception("event replay failed", extra=fields(event_type=type(event).__name__))
        return actions
