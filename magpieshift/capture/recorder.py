"""Passes each batch on to the policy unchanged, and queues the batch and its actions for the writer's thread.

Recording never blocks the event loop: a batch costs it one more call and one queue entry, and occasionally a
snapshot of the policy's state. If the writer does not keep up (a slow, blocked or full disk), whole batches
are dropped and counted; once the writer has caught up, recording resumes with a keyframe and a record of the
gap.
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
"""Maximum number of events and actions that wait for the writer, about 5 MB of memory."""
RECONFIGURATION_WEIGHT = 50
"""Weight of a reconfiguration in the backlog; its settings are about the size of this many events."""


class DecidingPolicy(Protocol):
    """The policy, as the engine calls it."""

    actions: list[Action]

    def handle(self, now_us: int, events: Sequence[Event]) -> list[Action]:
        """Process events; returns the actions to carry out."""
        ...


class Recorder:
    """Records the events that the policy receives and the actions that it returns."""

    def __init__(self, folder: str | Path, header: wire.Header, limits: Limits | None = None) -> None:
        """``header`` begins each segment; the recorder keeps its configuration version up to date."""
        self.batches = 0
        """Number of batches recorded."""
        self.dropped = 0
        """Number of batches dropped."""
        self.gaps = 0
        self.config_version: Callable[[], int] = lambda: 0
        """Returns the version of the configuration in force."""
        self.listed_endpoints: Callable[[], Iterable[NumberedName]] = lambda: ()
        """Returns the numbers and ids of all listed endpoints."""
        self._folder = Path(folder)
        self._header = header
        self._writer = Writer(self._folder, header, limits or Limits())
        self._open_gap: Gap | None = None
        """The current gap, while batches are being dropped."""
        self._ended_gap: Gap | None = None
        """A gap that has ended; it is recorded after the next keyframe."""
        self._names: list[NumberedName] = []
        """The ids of requests and endpoints that are new since the last batch."""

    @property
    def backlog(self) -> int:
        """Approximate number of events and actions that wait for the writer."""
        return self._writer.backlog

    @property
    def failure(self) -> str:
        """Why the capture cannot be written at present; "" if it can."""
        return self._writer.failure

    def start(self) -> None:
        """Start the writer's thread; may be called once only."""
        self._writer.start()

    def stop(self) -> None:
        """Write the queued items and stop the writer; a blocked disk is given up after a time-out."""
        if not self._writer.stop():
            log.error("capture writer did not stop", extra=fields(folder=self._folder, backlog=self.backlog))
        log.info("capture ended", extra=fields(batches=self.batches, dropped=self.dropped, gaps=self.gaps))

    def register_name(self, number: int, name: str) -> None:
        """Record the id that a request or endpoint has in the log, so that it can be found in the capture."""
        if len(self._names) < MAX_BACKLOG:  # limits memory if no batch follows
            self._names.append((number, name))

    def handle(self, policy: DecidingPolicy, now_us: int, events: Sequence[Event]) -> list[Action]:
        """Pass events to the policy, and record them with the actions or the error that result."""
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

    def reconfigured(self, settings: Settings, reset_classes: Collection[int]) -> None:
        """Record that new settings were put in force between two batches."""
        version = self.config_version()
        self._header.config_version = version
        if self._open_gap is None:
            item = Reconfiguration(state.snapshot_record(settings), sorted(reset_classes), version)
            self._writer.put(RECONFIGURATION_WEIGHT, item)

    def overrides_applied(self, now_us: int, overrides: Sequence[HealthOverride]) -> None:
        """Record that health overrides were applied between two batches."""
        if self._open_gap is None:
            self._writer.put(len(overrides), Overrides(now_us, overrides))

    def _put_keyframe(self, policy: DecidingPolicy, weight: int) -> None:
        self._writer.is_keyframe_wanted = False
        keyframe = Keyframe(state.snapshot(policy), list(self.listed_endpoints()))
        self._writer.put(weight, keyframe)
        if self._ended_gap is not None:  # after the keyframe, in the segment that begins with it
            self._writer.put(1, self._ended_gap)
            self._ended_gap = None

    def _must_drop(self, now_us: int) -> bool:
        """Whether to drop this batch.

        Batches are dropped once the backlog is full or a write has failed, until the writer has caught up.
        """
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
    """The weight of a batch's events in the backlog; each entry of an endpoint list counts as an event."""
    lists = sum(len(event.endpoints) for event in events if type(event) is EndpointListReceived)
    return 1 + len(events) + lists
