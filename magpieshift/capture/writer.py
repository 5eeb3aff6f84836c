"""The thread that writes a capture's segments.

It takes items from a queue that the event loop fills, converts them to records, and writes them in blocks.
If a write fails, the queued items are dropped, and it retries until it can write again.
"""

from __future__ import annotations

import logging
import threading
import time
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from magpieshift.capture import segments
from magpieshift.capture.items import Item, Keyframe, to_record
from magpieshift.capture.wire import capture_pb2 as wire
from magpieshift.log import fields

log = logging.getLogger(__name__)

POLL_INTERVAL_S = 0.25
"""Polling interval of the queue. A router that is killed loses what it recorded in that time; a shorter
interval makes smaller blocks, which compress worse."""
MAX_BLOCK_WEIGHT = 4_000
"""Maximum number of events and actions in a block, all lost if it is damaged; larger ones compress better."""
RETRY_DELAY_S = 1.0
"""Delay before the next attempt after a failed write; a shorter one resumes sooner after a full disk."""
STOP_TIMEOUT_S = 2.0
"""Time-out for writing the queued items at the end; a blocked disk does not delay the router's end longer."""
MAX_REASON_CHARACTERS = 200
"""Maximum number of characters kept of the reason of a failure."""


@dataclass(frozen=True)
class Limits:
    """The disk budget of a capture, and the maximum size and age of its segments."""

    budget_bytes: int = 512 << 20
    segment_bytes: int = 16 << 20
    segment_s: float = 60.0
    """Maximum duration of a segment; a damaged keyframe loses at most that much."""


class Writer:
    """Owns the files of a capture and the thread that writes them.

    Attributes are shared with the event loop without a lock: each is written by one thread only, except
    ``is_keyframe_wanted``, which the writer sets and the event loop clears.
    """

    def __init__(self, folder: Path, header: wire.Header, limits: Limits) -> None:
        self.header = header
        """Written at the beginning of each segment."""
        self.failure = ""
        """Why the last write failed; "" while writes succeed."""
        self.is_keyframe_wanted = True
        """Asks the event loop for a keyframe, with which a new segment begins."""
        self._folder = folder
        self._limits = limits
        self._queue: deque[tuple[int, Item]] = deque()
        """Items with their weights, which are about the numbers of events and actions in them."""
        self._queued_weight = 0
        """Weight of all items queued since the start; counted by the event loop."""
        self._taken_weight = 0
        """Weight of all items taken from the queue since the start; counted by the writer."""
        self._segment: segments.Segment | None = None
        self._segment_started_s = 0.0
        self._other_segments_bytes = 0
        self._is_stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="capture", daemon=True)

    # --- on the event loop

    @property
    def backlog(self) -> int:
        """Weight of the queued items."""
        return self._queued_weight - self._taken_weight

    def put(self, weight: int, item: Item) -> None:
        """Queue an item; never blocks the event loop."""
        self._queued_weight += weight
        self._queue.append((weight, item))

    def start(self) -> None:
        """Start the thread; may be called once only."""
        self._thread.start()

    def stop(self) -> bool:
        """Write the queued items and end the thread; returns whether it ended within ``STOP_TIMEOUT_S``."""
        self._is_stopping.set()
        self._thread.join(STOP_TIMEOUT_S)
        return not self._thread.is_alive()

    # --- in the writer's thread

    def _run(self) -> None:
        while True:
            is_stopping = self._is_stopping.wait(POLL_INTERVAL_S)
            try:
                while self._write_block(is_stopping):
                    pass
                if self.failure:
                    log.warning("capture write recovered", extra=fields(folder=self._folder))
                    self.failure = ""
            except Exception as err:  # neither a bad disk nor an item that cannot be encoded ends the thread
                self._write_failed(err)
                if self._is_stopping.wait(RETRY_DELAY_S):
                    return
            if is_stopping:
                if self._segment is not None:
                    self._segment.close()
                return

    def _write_failed(self, err: Exception) -> None:
        """Drop the queued items, which become part of the gap that begins now."""
        reason = err.strerror or str(err) if isinstance(err, OSError) else f"{type(err).__name__}: {err}"
        if not self.failure:
            log.error("capture write failed", extra=fields(folder=self._folder, reason=reason))
        self.failure = reason[:MAX_REASON_CHARACTERS]
        if self._segment is not None:
            self._segment.close()
            if self._segment.is_empty:
                self._segment.path.unlink(missing_ok=True)
            self._segment = None
        self.is_keyframe_wanted = True
        while self._queue:
            weight, _ = self._queue.popleft()
            self._taken_weight += weight

    def _write_block(self, is_stopping: bool) -> bool:
        """Write queued items, at most a block; returns whether more are queued."""
        if self.failure and self._segment is None:
            self._open_segment()  # a disk that is still full then fails before items are taken
        records: list[wire.Record] = []
        weight = 0
        has_keyframe = False
        while self._queue and weight < MAX_BLOCK_WEIGHT:
            item_weight, item = self._queue.popleft()
            self._taken_weight += item_weight
            if isinstance(item, Keyframe):
                self._write_records(records)  # each segment begins with a keyframe
                self._open_segment()
                records = [wire.Record(header=self.header)]
                has_keyframe = True
            if self._segment is not None:  # else there was no keyframe from which to replay the item
                weight += item_weight
                records.append(to_record(item))
        self._write_records(records)
        if not has_keyframe and not is_stopping and self._is_segment_full():
            self.is_keyframe_wanted = True
        return bool(self._queue)

    def _is_segment_full(self) -> bool:
        if self._segment is None:
            return False
        is_old = time.monotonic() - self._segment_started_s > self._limits.segment_s
        return is_old or self._segment.size > self._limits.segment_bytes

    def _open_segment(self) -> None:
        """Begin a segment, and remove old ones to keep to the budget."""
        if self._segment is not None:
            if self._segment.is_empty:
                return  # opened after a failure to test the disk
            self._segment.close()
            self._segment = None
        self._folder.mkdir(parents=True, exist_ok=True)
        number = segments.next_number(self._folder)
        self.header.segment = number
        self.header.created_us = time.time_ns() // 1000
        self._segment = segments.Segment(self._folder / segments.SEGMENT_NAME.format(number))
        self._segment_started_s = time.monotonic()
        self._other_segments_bytes = segments.trim(
            self._folder, self._limits.budget_bytes, self._segment.path
        )

    def _write_records(self, records: Sequence[wire.Record]) -> None:
        segment = self._segment
        if not records or segment is None:
            return
        segment.write(records)
        if self._other_segments_bytes + segment.size > self._limits.budget_bytes:
            remaining = segments.trim(self._folder, self._limits.budget_bytes, segment.path)
            self._other_segments_bytes = remaining - segment.size
