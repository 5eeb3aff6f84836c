"""A trace of all that the module is told and says, as log lines, for counting over a fleet afterwards
(``magpieshift lab fleet``). Off unless it is asked for: a request takes about six lines."""

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

MOST_NAMES = 4096  # of stores, oldest forgotten first: a name only makes a line readable


class Trace:
    """Stands between the engine and the module, and logs what passes."""

    def __init__(self) -> None:
        self._names: dict[int, str] = {}
        self._order: deque[int] = deque()

    def register_name(self, number: int, ident: str) -> None:
        if number not in self._names and number > 1 << 32:  # requests are told by number alone
            self._order.append(number)
            if len(self._order) > MOST_NAMES:
                self._names.pop(self._order.popleft(), None)
            self._names[number] = ident

    def reconfigured(self, settings: Settings, fresh: Collection[int]) -> None:
        log.debug("retuned", extra=fields(routers=settings.router_count, zone=settings.zone))

    def overrides_applied(self, now_us: int, acts: Sequence[HealthOverride]) -> None:
        for act in acts:
            log.debug("heeded", extra=fields(store=self._store(act.endpoint), act=type(act).__name__.lower()))

    def handle(self, module: RouterPolicy, now_us: int, events: Sequence[Event]) -> list[Action]:
        for event in events:
            self._heard(event)
        actions = module.handle(now_us, events)
        for action in actions:
            self._said(action)
        return actions

    def _store(self, number: int) -> str:
        return self._names.get(number, "-")

    def _heard(self, event: Event) -> None:
        match event:
            case RequestReceived(request_id=op):
                log.debug(
                    "asked",
                    extra=fields(
                        op=op,
                        cls=event.class_index,
                        key=event.object_key,
                        part=event.part,
                        kb=event.size_kb,
                        wait_us=event.time_left_us,
                        repeat=int(event.is_repeat),
                    ),
                )
            case AttemptEnded(request_id=op):
                log.debug(
                    "ended",
                    extra=fields(
                        op=op,
                        leg=event.attempt,
                        store=self._store(event.endpoint),
                        took_us=event.latency_us,
                        outcome=Outcome(event.outcome).name.lower(),
                        note=_note(event.cache_status),
                        lag_us=event.fill_wait_us,
                        over=int(event.request_closed),
                        load=",".join(f"{value:.2f}" for value in event.load),
                    ),
                )
            case ClientDisconnected(request_id=op):
                log.debug("left", extra=fields(op=op))
            case PurgeReceived():
                log.debug(
                    "purged", extra=fields(key=event.object_key, group=event.group, age_us=event.age_us)
                )
            case EndpointListReceived():
                for entry in event.endpoints:
                    log.debug(
                        "listed",
                        extra=fields(
                            store=self._store(entry.number),
                            zone=entry.zone,
                            kind=entry.kind,
                            size=entry.weight,
                            phase=EndpointState(entry.state).name.lower(),
                            up_since_us=entry.started_us,
                        ),
                    )

    def _said(self, action: Action) -> None:
        match action:
            case SendPlainRequest(request_id=op):
                log.debug("sent", extra=fields(op=op, store=self._store(action.endpoint), source="-"))
            case SendCacheRequest(request_id=op):
                log.debug(
                    "sent",
                    extra=fields(
                        op=op,
                        store=self._store(action.endpoint),
                        source=self._store(action.source),
                        age_us=action.max_age_us,
                        mode=action.flags,
                    ),
                )
            case RejectRequest(request_id=op):
                log.debug("refused", extra=fields(op=op, after_us=action.retry_after_us))
            case FailRequest(request_id=op):
                log.debug("failed", extra=fields(op=op))
            case StartHealthCheck():
                log.debug("probed", extra=fields(store=self._store(action.endpoint)))


def _note(number: int) -> str:
    known = number in CacheStatus._value2member_map_
    return CacheStatus(number).name.lower() if known else str(number)
