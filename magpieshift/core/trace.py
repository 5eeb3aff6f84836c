"""A trace of all that the module is told and says, as log lines, for counting over a fleet afterwards
(``magpieshift lab fleet``). Off unless it is asked for: a request takes about six lines."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Collection, Sequence

from magpieshift.log import fields
from molecleat import interface as api
from molecleat.control import Router
from molecleat.heed import Act
from molecleat.interface import Note, Outcome, Phase

log = logging.getLogger("magpieshift.trace")

MOST_NAMES = 4096  # of stores, oldest forgotten first: a name only makes a line readable


class Trace:
    """Stands between the engine and the module, and logs what passes."""

    def __init__(self) -> None:
        self._names: dict[int, str] = {}
        self._order: deque[int] = deque()

    def name(self, number: int, ident: str) -> None:
        if number not in self._names and number > 1 << 32:  # requests are told by number alone
            self._order.append(number)
            if len(self._order) > MOST_NAMES:
                self._names.pop(self._order.popleft(), None)
            self._names[number] = ident

    def retuned(self, settings: api.Settings, fresh: Collection[int]) -> None:
        log.debug("retuned", extra=fields(routers=settings.routers, zone=settings.zone))

    def heeded(self, now_us: int, acts: Sequence[Act]) -> None:
        for act in acts:
            log.debug("heeded", extra=fields(store=self._store(act.number), act=type(act).__name__.lower()))

    def handle(self, module: Router, now_us: int, events: Sequence[api.Event]) -> list[api.Action]:
        for event in events:
            self._heard(event)
        actions = module.handle(now_us, events)
        for action in actions:
            self._said(action)
        return actions

    def _store(self, number: int) -> str:
        return self._names.get(number, "-")

    def _heard(self, event: api.Event) -> None:
        match event:
            case api.Request(id=op):
                log.debug("asked", extra=fields(
                    op=op, cls=event.cls, key=event.key, part=event.part, kb=event.size_kb,
                    wait_us=event.patience_us, repeat=int(event.repeat),
                ))  # fmt: skip
            case api.Ended(id=op):
                log.debug("ended", extra=fields(
                    op=op, leg=event.attempt, store=self._store(event.store), took_us=event.latency_us,
                    outcome=Outcome(event.outcome).name.lower(), note=_note(event.note),
                    lag_us=event.fill_wait_us, over=int(event.closed),
                    load=",".join(f"{value:.2f}" for value in event.load),
                ))  # fmt: skip
            case api.Hangup(id=op):
                log.debug("left", extra=fields(op=op))
            case api.Purged():
                log.debug("purged", extra=fields(key=event.key, group=event.group, age_us=event.age_us))
            case api.StoreList():
                for entry in event.entries:
                    log.debug("listed", extra=fields(
                        store=self._store(entry.store), zone=entry.zone, kind=entry.kind, size=entry.weight,
                        phase=Phase(entry.phase).name.lower(), up_since_us=entry.up_since_us,
                    ))  # fmt: skip

    def _said(self, action: api.Action) -> None:
        match action:
            case api.Send(id=op):
                log.debug("sent", extra=fields(op=op, store=self._store(action.store), source="-"))
            case api.Get(id=op):
                log.debug("sent", extra=fields(
                    op=op, store=self._store(action.store), source=self._store(action.source),
                    age_us=action.age_us, mode=action.mode,
                ))  # fmt: skip
            case api.Refuse(id=op):
                log.debug("refused", extra=fields(op=op, after_us=action.retry_after_us))
            case api.Fail(id=op):
                log.debug("failed", extra=fields(op=op))
            case api.Probe():
                log.debug("probed", extra=fields(store=self._store(action.store)))


def _note(number: int) -> str:
    known = number in Note._value2member_map_
    return Note(number).name.lower() if known else str(number)
