"""The recorder at the seam: hands each batch on to the module as it is, and what passed to a thread that
writes.

Traffic is never delayed: on the event loop a batch costs one more call and one entry in a queue, and now and
then the taking of a snapshot. Where the writer does not keep up (a slow, stuck or full disk), whole batches
are dropped and counted; once it has caught up, a record of the gap and a keyframe begin anew.
"""

from __future__ import annotations

import logging
import threading
import time
from collections import deque
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Protocol

from magpieshift.capture import codec, segments, state
from magpieshift.capture.wire import capture_pb2 as wire
from magpieshift.log import fields
from magpieshift.policy.actions import Action
from magpieshift.policy.events import EndpointListReceived, Event
from magpieshift.policy.health_override import Eject, HealthOverride
from magpieshift.policy.settings import Settings

log = logging.getLogger(__name__)

MOST_PENDING = 12_000  # events and actions that wait for the writer: some 5 MB
WAIT_S = 0.25  # between two looks of the writer at what has come
MOST_BLOCK = 4_000  # events and actions in a block
RETRY_S = 1.0  # after a write that failed
END_S = 2.0  # for the last block at the end; a stuck disk is left then


class Module(Protocol):
    """The deciding module, as the engine calls it."""

    actions: list[Action]

    def handle(self, now_us: int, events: Sequence[Event]) -> list[Action]: ...


@dataclass(frozen=True)
class Limits:
    """How much a capture may take on disk, and how it is cut into segments."""

    budget: int = 512 << 20
    segment: int = 16 << 20
    segment_s: float = 60.0  # at most so much is lost with a damaged keyframe


@dataclass(slots=True)
class _Batch:
    now_us: int
    events: Sequence[Any]
    actions: Sequence[Any]
    raised: str
    names: list[tuple[int, str]]


@dataclass(slots=True)
class _Keyframe:
    state: state.Snapshot
    stores: list[tuple[int, str]]


@dataclass(slots=True)
class _Retune:
    settings: state.Snapshot
    fresh: list[int]
    version: int


@dataclass(slots=True)
class _Gap:
    batches: int
    from_us: int
    to_us: int
    reason: str


@dataclass(slots=True)
class _Heed:
    now_us: int
    acts: Sequence[HealthOverride]


_Item = _Batch | _Keyframe | _Retune | _Heed | _Gap


class Recorder:
    """Owner of a capture's files and of the thread that writes them."""

    def __init__(self, folder: str | Path, header: wire.Header, limits: Limits | None = None) -> None:
        self._folder = Path(folder)
        self._header = header
        self._limits = limits or Limits()
        self._pending: deque[tuple[int, _Item]] = deque()
        self._weight = 0  # of what is pending, counted up by the loop and down by the writer
        self._taken = 0
        self._keyframe_wanted = True  # set by the writer where a segment begins
        self._dropping: _Gap | None = None
        self._over: _Gap | None = None
        self._names: list[tuple[int, str]] = []
        self._ending = threading.Event()
        self._failed = ""  # why the writer cannot write; it tries again
        self.batches = 0
        self.dropped = 0
        self.gaps = 0
        self.version: Callable[[], int] = lambda: 0  # of the configuration in force
        self.stores: Callable[[], Iterable[tuple[int, str]]] = lambda: ()  # all that are listed
        self._segment: segments.Segment | None = None
        self._begun_s = 0.0
        self._others = 0  # bytes of the other segments
        self._thread = threading.Thread(target=self._write, name="capture", daemon=True)

    def start(self) -> None:
        self._thread.start()

    def stop(self) -> None:
        """Write what is pending, as far as the disk takes it soon."""
        self._ending.set()
        self._thread.join(END_S)
        if self._thread.is_alive():
            log.error("capture not ended", extra=fields(folder=self._folder, pending=len(self._pending)))
        log.info("capture ended", extra=fields(batches=self.batches, dropped=self.dropped, gaps=self.gaps))

    # --- on the event loop

    def register_name(self, number: int, ident: str) -> None:
        """A request's or a store's id in the log, for people who look for it."""
        if len(self._names) < MOST_PENDING:  # where nothing is ever handled, nothing piles up
            self._names.append((number, ident))

    def handle(self, module: Module, now_us: int, events: Sequence[Event]) -> list[Action]:
        """Let the module decide, and note what it was told and said."""
        names = self._names
        self._names = []
        drop = self._full(now_us)
        if self._keyframe_wanted and not drop:
            self._keyframe_wanted = False
            self._put(len(events) + 1, _Keyframe(state.snapshot(module), list(self.stores())))
            if self._over is not None:  # behind the keyframe, in the segment that it begins
                self._put(1, self._over)
                self._over = None
        raised = ""
        actions = list[Action]()
        try:
            actions = module.handle(now_us, events)
        except Exception as err:
            raised = type(err).__name__
            actions = list(module.actions)
            raise
        finally:
            if not drop:
                self.batches += 1
                weight = 1 + len(events) + len(actions)
                for event in events:
                    if type(event) is EndpointListReceived:
                        weight += len(event.endpoints)
                self._put(weight, _Batch(now_us, events, actions, raised, names))
        return actions

    def reconfigured(self, settings: Settings, fresh: Collection[int]) -> None:
        """The module has gone over to other settings, between two batches."""
        self._header.config_version = self.version()
        if self._dropping is None:
            self._put(50, _Retune(state.snapshot_record(settings), sorted(fresh), self.version()))

    def overrides_applied(self, now_us: int, acts: Sequence[HealthOverride]) -> None:
        """The module has heeded what other routers say, between two batches."""
        if self._dropping is None:
            self._put(len(acts), _Heed(now_us, acts))

    def _full(self, now_us: int) -> bool:
        """Whether this batch is dropped: from when too much is pending until the writer has caught up."""
        gap = self._dropping
        if gap is None:
            if self._weight - self._taken < MOST_PENDING and not self._failed:
                return False
            reason = self._failed or "the writer did not keep up"
            self._dropping = _Gap(1, now_us, now_us, reason)
            self.gaps += 1
            self.dropped += 1
            log.warning("capture interrupted", extra=fields(reason=reason))
            return True
        if self._weight == self._taken and not self._failed:
            self._dropping = None
            self._over = gap
            self._keyframe_wanted = True
            log.warning("capture goes on", extra=fields(dropped=gap.batches))
            return False
        gap.batches = gap.batches + 1
        gap.to_us = now_us
        self.dropped += 1
        return True

    def _put(self, weight: int, item: _Item) -> None:
        self._weight += weight
        self._pending.append((weight, item))

    # --- in the writer's thread

    def _write(self) -> None:
        while True:
            ending = self._ending.wait(WAIT_S)
            try:
                while self._block(ending):
                    pass
                if self._failed:
                    log.warning("capture can be written again", extra=fields(folder=self._folder))
                    self._failed = ""
            except Exception as err:  # whatever it is: the router goes on, and the writer tries again
                reason = (
                    err.strerror or str(err) if isinstance(err, OSError) else f"{type(err).__name__}: {err}"
                )
                if not self._failed:
                    log.error("capture cannot be written", extra=fields(folder=self._folder, reason=reason))
                self._failed = reason[:200]
                self._lose()
                if self._ending.wait(RETRY_S):
                    return
            if ending:
                if self._segment is not None:
                    self._segment.close()
                return

    def _lose(self) -> None:
        """What is pending has no place to go to: it belongs to the gap that begins now."""
        if self._segment is not None:
            self._segment.close()
            if self._segment.empty:
                self._segment.path.unlink(missing_ok=True)
            self._segment = None
        self._keyframe_wanted = True
        while self._pending:
            weight, _ = self._pending.popleft()
            self._taken += weight

    def _block(self, ending: bool) -> bool:
        """Write what is pending, a block at most; whether there is more."""
        if self._failed and self._segment is None:
            self._open()  # so that a disk that is still full shows before anything is taken up again
        records: list[wire.Record] = []
        weight = 0
        begins = False
        while self._pending and weight < MOST_BLOCK:
            size, item = self._pending.popleft()
            self._taken += size
            if isinstance(item, _Keyframe):
                if records and self._segment is not None:  # a segment begins with its keyframe
                    self._put_block(self._segment, records)
                self._open()
                records = [wire.Record(header=self._header)]
                begins = True
            if self._segment is not None:  # else there is nothing to replay it from
                weight += size
                records.append(_record(item))
        if records and self._segment is not None:
            self._put_block(self._segment, records)
        if self._segment is not None and not begins and not ending:
            old = time.monotonic() - self._begun_s > self._limits.segment_s
            if old or self._segment.size > self._limits.segment:
                self._keyframe_wanted = True
        return bool(self._pending)

    def _open(self) -> None:
        if self._segment is not None:
            if self._segment.empty:
                return  # opened to see whether the disk takes it
            self._segment.close()
            self._segment = None
        self._folder.mkdir(parents=True, exist_ok=True)
        number = segments.next_number(self._folder)
        self._header.segment = number
        self._header.created_us = time.time_ns() // 1000
        self._segment = segments.Segment(self._folder / segments.NAME.format(number))
        self._begun_s = time.monotonic()
        self._others = segments.trim(self._folder, self._limits.budget, keep=self._segment.path)

    def _put_block(self, segment: segments.Segment, records: Sequence[wire.Record]) -> None:
        segment.write(records)
        if self._others + segment.size > self._limits.budget:
            self._others = segments.trim(self._folder, self._limits.budget, keep=segment.path) - segment.size


def _record(item: _Item) -> wire.Record:
    match item:
        case _Batch():
            return wire.Record(
                batch=wire.Batch(
                    now_us=item.now_us,
                    events=[codec.write_event(e) for e in item.events if codec.is_recorded(e)],
                    actions=[codec.write_action(a) for a in item.actions if codec.is_recorded(a)],
                    raised=item.raised,
                    names=_names(item.names),
                )
            )
        case _Retune():
            settings = state.encode(item.settings)
            return wire.Record(
                retune=wire.Retune(settings=settings, fresh=item.fresh, config_version=item.version)
            )
        case _Heed():
            return wire.Record(heed=wire.Heed(now_us=item.now_us, acts=[_act(act) for act in item.acts]))
        case _Gap():
            return wire.Record(
                gap=wire.Gap(batches=item.batches, from_us=item.from_us, to_us=item.to_us, reason=item.reason)
            )
    return wire.Record(keyframe=wire.Keyframe(state=state.encode(item.state), stores=_names(item.stores)))


def _act(act: HealthOverride) -> wire.Act:
    if isinstance(act, Eject):
        return wire.Act(store=act.endpoint, leave=True, us=act.duration_us)
    return wire.Act(store=act.endpoint, us=act.delay_us, pause_us=act.min_pause_us)


def _names(names: Iterable[tuple[int, str]]) -> list[wire.Name]:
    return [wire.Name(id=number, ident=ident) for number, ident in names]
