"""Hands each batch on to the policy as it is, and what passed to the writer's thread.

Traffic is never delayed: on the event loop a batch costs one more call and one entry in a queue, and now and
then the taking of a snapshot. Where the writer does not keep up (a slow, stuck or full disk), whole batches
are dropped and counted; once it has caught up, a keyframe and a record of the gap begin anew.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Collection, Iterable, Sequence
from pathlib import Path
from typing import Protocol

from magpieshift.capture import state
from magpieshift.capture.items import Batch, Gap, Keyframe, NumberedName, Overrides, Reconfiguration
from magpieshift.capture.wire import capture_pb2 as wire
from magpieshift.capture.writer import Limits, Writer
from magpieshift.log import fields
from magpieshift.policy.actions import Action
from magpieshift.policy.events import EndpointListReceived, Event
from magpieshift.policy.health_override import HealthOverride
from magpieshift.policy.settings import Settings

log = logging.getLogger(__name__)

MAX_BACKLOG = 12_000
"""Events and actions that wait for the writer, some 5 MB: a bound on memory."""
RECONFIGURATION_WEIGHT = 50
"""A reconfiguration's settings count as so many events, about their size."""


class DecidingPolicy(Protocol):
    """The policy, as the engine calls it."""

    actions: list[Action]

    def handle(self, now_us: int, events: Sequence[Event]) -> list[Action]:
        """Take in events; return what to do."""
        ...


class Recorder:
    """Records what the policy is told and what it decides."""

    def __init__(self, folder: str | Path, header: wire.Header, limits: Limits | None = None) -> None:
        """``header`` begins each segment; the recorder keeps its configuration version current."""
        self.batches = 0
        """Batches recorded."""
        self.dropped = 0
        """Batches dropped."""
        self.gaps = 0
        self.config_version: Callable[[], int] = lambda: 0
        """Gives the version of the configuration in force."""
        self.listed_endpoints: Callable[[], Iterable[NumberedName]] = lambda: ()
        """Gives all endpoints that are listed."""
        self._folder = Path(folder)
        self._header = header
        self._writer = Writer(self._folder, header, limits or Limits())
        self._open_gap: Gap | None = None
        """The gap being dropped into."""
        self._ended_gap: Gap | None = None
        """A gap that is over, and is recorded behind the next keyframe."""
        self._names: list[NumberedName] = []
        """Of requests and endpoints that are new since the last batch."""

    @property
    def backlog(self) -> int:
        """Events and actions, about, that the writer has yet to take."""
        return self._writer.backlog

    @property
    def failure(self) -> str:
        """Why the capture cannot be written, or ""."""
        return self._writer.failure

    def start(self) -> None:
        """Start writing; once."""
        self._writer.start()

    def stop(self) -> None:
        """Write what is pending, as far as the disk takes it soon."""
        if not self._writer.stop():
            log.error("capture writer did not stop", extra=fields(folder=self._folder, backlog=self.backlog))
        log.info("capture ended", extra=fields(batches=self.batches, dropped=self.dropped, gaps=self.gaps))

    def register_name(self, number: int, name: str) -> None:
        """Note a request's or an endpoint's id in the log, for people who look for it."""
        if len(self._names) < MAX_BACKLOG:  # where no batch ever comes, nothing piles up
            self._names.append((number, name))

    def handle(self, policy: DecidingPolicy, now_us: int, events: Sequence[Event]) -> list[Action]:
        """Let the policy decide, and record what it was told and what it decided."""
        names = self._names
        self._names = []
        is_dropped = self._must_drop(now_us)
        if self._writer.is_keyframe_wanted and not is_dropped:
            self._put_keyframe(policy, len(events) + 1)
        error = ""
        actions = list[Action]()
        try:
            actions = policy.handle(now_us, events)
        except Exception as err:
            error = type(err).__name__
            actions = list(policy.actions)
            raise
        finally:
            if not is_dropped:
                self.batches += 1
                weight = _weight_of(events) + len(actions)
                self._writer.put(weight, Batch(now_us, events, actions, error, names))
        return actions

    def reconfigured(self, settings: Settings, fresh: Collection[int]) -> None:
        """Record that other settings were put in force, between two batches."""
        version = self.config_version()
        self._header.config_version = version
        if self._open_gap is None:
            item = Reconfiguration(state.snapshot_record(settings), sorted(fresh), version)
            self._writer.put(RECONFIGURATION_WEIGHT, item)

    def overrides_applied(self, now_us: int, acts: Sequence[HealthOverride]) -> None:
        """Record that health overrides were applied, between two batches."""
        if self._open_gap is None:
            self._writer.put(len(acts), Overrides(now_us, acts))

    def _put_keyframe(self, policy: DecidingPolicy, weight: int) -> None:
        self._writer.is_keyframe_wanted = False
        keyframe = Keyframe(state.snapshot(policy), list(self.listed_endpoints()))
        self._writer.put(weight, keyframe)
        if self._ended_gap is not None:  # behind the keyframe, in the segment that it begins
            self._writer.put(1, self._ended_gap)
            self._ended_gap = None

    def _must_drop(self, now_us: int) -> bool:
        """Whether this batch is dropped: from when too much is pending until the writer has caught up."""
        gap = self._open_gap
        if gap is None:
            if self.backlog < MAX_BACKLOG and not self.failure:
                return False
            reason = self.failure or "the writer did not keep up"
            self._open_gap = Gap(1, now_us, now_us, reason)
            self.gaps += 1
            self.dropped += 1
            log.warning("capture interrupted", extra=fields(reason=reason))
            return True
        if self.backlog == 0 and not self.failure:
            self._open_gap = None
            self._ended_gap = gap
            self._writer.is_keyframe_wanted = True
            log.warning("capture resumed", extra=fields(dropped=gap.batches))
            return False
        gap.batches += 1
        gap.to_us = now_us
        self.dropped += 1
        return True


def _weight_of(events: Sequence[Event]) -> int:
    """A batch's events as a part of the backlog; an endpoint list counts by its entries."""
    lists = sum(len(event.endpoints) for event in events if type(event) is EndpointListReceived)
    return 1 + len(events) + lists
