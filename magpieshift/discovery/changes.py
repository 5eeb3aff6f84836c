"""The change log's events, read, put in order, and told to the core."""

from __future__ import annotations

import json
import logging
from collections.abc import Mapping, Sequence
from typing import Any, Protocol

from magpieshift.config import Names, parse_address
from magpieshift.engine.model import ListedEndpoint, endpoint_number
from magpieshift.log import fields
from magpieshift.policy.events import Endpoint, EndpointListKind, EndpointState

log = logging.getLogger(__name__)

LINE_EVERY_S = 1.0  # purges are logged together: a line for each is three tenths of what a purge costs

PHASES = {
    "SERVING": EndpointState.READY,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.REMOVED,
}


class Gap(Exception):
    """Events are missing: the log must be read again from the last one known."""


class Listener(Protocol):
    """Who is told of changes."""

    def list_changed(
        self, kind: EndpointListKind, version: int, members: Sequence[ListedEndpoint]
    ) -> None: ...

    def purged(self, key: str, group: int, made_us: int) -> None: ...


class ChangeSource(Protocol):
    """Where a router hears of changes from: ``feed.client.FeedClient``, or what is put in its place as
    ``EdgeRouter.change_source`` before the start. It tells them on the router's event loop, to the router as
    a ``Listener``, or as events to ``EdgeRouter.changes``, a ``ChangeLog``, with ``log_due`` after each
    batch."""

    def start(self) -> None:
        """Begin to tell; what the configuration knows was applied before. Must not wait."""
        ...

    def stop(self) -> None:
        """Tell nothing more and give back all that is held; may be called again, and without a start."""
        ...

    async def caught_up(self, within_s: float) -> bool:
        """Wait, so many seconds at most, until all is told that there was to tell; whether it is. Asked where
        the router replaces another process, before it takes clients."""
        ...


class ChangeLog:
    """Follows the log: each event once, none skipped while it can still be had."""

    def __init__(self, names: Names, listener: Listener) -> None:
        self.names = names
        self._listener = listener
        self.last = 0
        self._asked_again_for = 0
        self._unlogged = 0
        self._log_at_once = False
        self._next_line_s = 0.0

    def known(self, known: Mapping[str, Any]) -> None:
        """What the configuration tells of the time before the start."""
        results = known.get("results")
        for event in results if isinstance(results, list) else []:
            self._apply(event, first=True)
        seq = known.get("seq")
        if isinstance(seq, int):
            self.last = max(self.last, seq)
        self.log_all()

    def event(self, text: str, ident: str = "") -> None:
        """An event of the log. One that is known is passed over; ``Gap`` where some before it are missing,
        unless they were asked for already."""
        try:
            event = json.loads(text)
            seq = event["seq"] if "seq" in event else int(ident)
            if not isinstance(seq, int):
                raise ValueError(f"seq {seq!r}")
        except (ValueError, TypeError, KeyError) as err:
            log.warning("unreadable change", extra=fields(reason=str(err)[:200]))
            return
        if seq <= self.last:
            return
        if seq > self.last + 1 and self._asked_again_for != self.last + 1:
            self._asked_again_for = self.last + 1
            raise Gap(f"change {self.last + 1} is missing before {seq}")
        self.last = seq
        self._apply(event)

    def log_due(self, now_s: float) -> None:
        """Log what was applied since the last line, in one line: at once where the list of stores has
        changed, purges once in ``LINE_EVERY_S``. To be called after each batch of events, with the time of a
        clock that never goes back, in seconds."""
        due = self._log_at_once or now_s >= self._next_line_s
        if due and self.log_all():
            self._next_line_s = now_s + LINE_EVERY_S

    def log_all(self) -> bool:
        """Log what was applied since the last line, in one line; whether there was anything."""
        count = self._unlogged
        self._unlogged = 0
        self._log_at_once = False
        if count:
            log.info("change applied", extra=fields(seq=self.last, count=count))
        return count > 0

    def _apply(self, event: Any, first: bool = False) -> None:
        """Tell the core; what cannot be read is logged in one line and changes nothing."""
        try:
            if "fleet" in event:
                self._log_at_once = True
                self.take_list(event["fleet"], first)
            if "invalidate" in event:
                self._purge(event["invalidate"])
        except Exception as err:
            log.warning("unreadable change", extra=fields(reason=f"{type(err).__name__}: {err}"[:200]))
        else:
            self._unlogged += 1

    def take_list(self, fleet: Mapping[str, Any], first: bool) -> None:
        """Tell the listener of a list of stores, as the log has it."""
        members = []
        for raw in fleet["members"]:
            try:
                members.append(self._member(raw))
            except Exception as err:  # the others count all the same
                log.warning("unreadable member", extra=fields(reason=f"{type(err).__name__}: {err}"[:200]))
        kind = EndpointListKind.CACHED if first else EndpointListKind.COMPLETE
        kind = kind if fleet.get("complete") else EndpointListKind.DELTA
        self._listener.list_changed(kind, int(fleet.get("revision", 0)), members)

    def _member(self, raw: Mapping[str, Any]) -> ListedEndpoint:
        ident = str(raw["id"])
        names = self.names
        phase = PHASES[raw["phase"]]
        if not ident or any(mark in ident for mark in " ,=\r\n"):
            raise ValueError(f"id {ident!r}")
        weight = float(raw.get("size", 1.0))
        if not 0 < weight < 1e9:  # also false for what is no number: it would poison every comparison
            raise ValueError(f"size {weight}")
        entry = Endpoint(
            number=endpoint_number(ident),
            zone=names.zones.index(raw["locality"] or None),  # numbers out of use have an empty name
            kind=names.kinds.index(raw["flavor"] or None),
            cell=int(raw.get("cell", 0)),
            state=phase,
            weight=weight,
            started_us=max(0, int(raw.get("up_since_ms", 0) * 1000)),
        )
        return ListedEndpoint(ident, parse_address(raw["host_port"], "host_port"), entry)

    def _purge(self, purge: Mapping[str, Any]) -> None:
        made_us = int(purge["time"] * 1000)
        if "object" in purge:
            key = str(purge["object"])
            int(key, 16)
            self._listener.purged(key, 0, made_us)
        else:
            self._listener.purged("", int(purge["bucket"]), made_us)
