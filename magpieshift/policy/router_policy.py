"""The decisions of one router instance: events in, actions out.

This is the entry point: it dispatches each event to the module whose rule it concerns, and keeps one timer
set for all requests. ``docs/decisions.md`` describes the path of a request through the rules.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable
from typing import Any

from magpieshift.policy import invalidation, latency
from magpieshift.policy.actions import Action, SetTimer, SubscribeToEndpointList
from magpieshift.policy.attempt_results import attempt_ended
from magpieshift.policy.endpoint_list import endpoint_list_received
from magpieshift.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointListReceived,
    Event,
    PurgeReceived,
    RequestReceived,
    ResponseStarted,
    TimerFired,
)
from magpieshift.policy.forwarding import advance, end_request, forget_request, max_copy_age_us
from magpieshift.policy.state import PendingRequest, RouterState

ANSWER_MARGIN_TICKS = 2
"""Ticks between the final answer and the client's deadline: one for the timer's delay, one for delivery of
the answer."""
MIN_TIMER_SWEEP = 4096
"""Number of entries in ``timers`` up to which those of requests that are over are not searched for. They take
half a megabyte."""
MAX_TIMERS_PER_REQUEST = 8
"""Number of entries for each open request above which that search pays; an open request has fewer."""
NO_DEADLINE_US = (1 << 64) - 1
"""Added to a request's ``answer_by_us`` to disable it; larger than any timestamp."""


class RouterPolicy(RouterState):
    """The policy of one router instance. It does no I/O, and all its state is in ``RouterState``."""

    def handle(self, now_us: int, events: Iterable[Event]) -> list[Action]:
        """Process the events of a batch received at ``now_us``; return the resulting actions in order."""
        self.now_us = now_us
        self.actions = [] if self.subscribed else [SubscribeToEndpointList(True)]
        self.subscribed = True
        for event in events:
            handler = _HANDLERS.get(type(event))
            if handler is not None:
                handler(self, event)
        self._set_timer()
        return self.actions

    def max_copy_age_us(self, request_id: int, now_us: int) -> int:
        """Maximum age of an acceptable copy for an attempt of an open request that is sent at ``now_us``.

        In microseconds; 0 means none besides that of the decision. It changes nothing: an attempt may have to
        wait between the decision and its write, and a purge received meanwhile applies to it.
        """
        pending = self.requests.get(request_id) if self.purges else None
        return 0 if pending is None else max_copy_age_us(self, pending, now_us)

    def _set_timer(self) -> None:
        """Set a timer for the earliest entry of ``timers``, unless one that fires no later is already set."""
        timers = self.timers
        # entries of requests that are over: each would cause a timer event with nothing to do
        while timers and timers[0][1] not in self.requests:
            heapq.heappop(timers)
        if len(timers) > MIN_TIMER_SWEEP + MAX_TIMERS_PER_REQUEST * len(self.requests):
            self.timers = timers = [timer for timer in timers if timer[1] in self.requests]
            heapq.heapify(timers)
        if timers and (self.next_timer_us <= self.now_us or timers[0][0] < self.next_timer_us):
            self.next_timer_us = max(timers[0][0], self.now_us + 1)
            self.actions.append(SetTimer(self.next_timer_us - self.now_us, 0))


def _request_received(state: RouterState, event: RequestReceived) -> None:
    service_time_us = latency.draw_service_time_us(state, event)
    request_class = state.settings.classes[event.class_index]
    margin_us = ANSWER_MARGIN_TICKS * state.settings.tick_us
    answer_by_us = state.now_us + event.time_left_us - margin_us
    pending = PendingRequest(event, request_class, answer_by_us, service_time_us)
    state.requests[event.request_id] = pending
    assumed_service_time_us = max(service_time_us, state.service_times_us[event.class_index])
    # keep the order of the addition: another order rounds differently and changes decisions
    pending.objective_due_us = (
        state.now_us
        + request_class.latency_objective_us
        + request_class.latency_objective_stretch * assumed_service_time_us
    )
    latency.record_size(state, event, service_time_us)
    heapq.heappush(state.timers, (answer_by_us, event.request_id))
    advance(state, pending)


def _response_started(state: RouterState, event: ResponseStarted) -> None:
    pending = state.requests.get(event.request_id)
    if pending is not None:  # a streamed answer has begun: the deadline for the answer no longer applies
        pending.answer_by_us += NO_DEADLINE_US


def _client_disconnected(state: RouterState, event: ClientDisconnected) -> None:
    pending = state.requests.get(event.request_id)
    if pending is not None:
        forget_request(state, pending)


def _timer_fired(state: RouterState, event: TimerFired) -> None:
    """Process all due entries of ``timers``: end a request whose queue time or deadline has passed, and
    repeat a lookup that was scheduled for now."""
    while state.timers and state.timers[0][0] <= state.now_us:
        _, request_id = heapq.heappop(state.timers)
        pending = state.requests.get(request_id)
        if pending is None:
            continue
        is_queued = pending.queued_source is not None
        if state.now_us >= (pending.queued_until_us if is_queued else pending.answer_by_us):
            end_request(state, pending)
        elif pending.attempt_in_flight < 0 and not is_queued and pending.next_lookup_us <= state.now_us:
            advance(state, pending)


def _purge_received(state: RouterState, event: PurgeReceived) -> None:
    invalidation.record_purge(state.purges, event.object_key, event.group, state.now_us - event.age_us)
    state.purge_sweep_size = invalidation.sweep(
        state.purges, state.purge_sweep_size, state.now_us, state.settings.purge_propagation_us
    )


_HANDLERS: dict[type, Callable[[RouterState, Any], None]] = {
    RequestReceived: _request_received,
    AttemptEnded: attempt_ended,
    ResponseStarted: _response_started,
    ClientDisconnected: _client_disconnected,
    TimerFired: _timer_fired,
    EndpointListReceived: endpoint_list_received,
    PurgeReceived: _purge_received,
}
"""The handler for each event class. Health check results and peer messages have none: no decision depends on
them."""
