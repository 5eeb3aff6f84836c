"""The thread that writes a capture's segments.

It takes items from a queue that the event loop fills, makes records of them, and writes them in blocks.
Where the disk fails, what is queued is dropped, and it tries again until it can write.
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

POLL_S = 0.25
"""Between two looks at the queue; a router that is killed loses so much. Smaller makes
smaller blocks, which compress worse."""
MAX_BLOCK_WEIGHT = 4_000
"""Events and actions in a block: what a damaged block costs. Larger compresses better."""
RETRY_S = 1.0
"""After a write that failed. A shorter pause resumes sooner after a full disk."""
STOP_TIMEOUT_S = 2.0
"""For the last block; a disk that is stuck then is abandoned."""
MAX_REASON = 200
"""Characters of a failure's text that are held."""


@dataclass(frozen=True)
class Limits:
    """How much a capture may take on disk, and how it is cut into segments."""

    budget_bytes: int = 512 << 20
    segment_bytes: int = 16 << 20
    segment_s: float = 60.0
    """A new segment begins at the latest after so long: what a damaged keyframe costs."""


class Writer:
    """Owner of a capture's files and of the thread that writes them.

    Attributes are shared with the event loop without a lock: each is written by one side only, but for
    ``is_keyframe_wanted``, which the writer sets and the loop clears.
    """

    def __init__(self, folder: Path, header: wire.Header, limits: Limits) -> None:
        self.header = header
        """Begins each segment."""
        self.failure = ""
        """Why the writer cannot write, or ""; it tries again."""
        self.is_keyframe_wanted = True
        """Set where a segment is to begin."""
        self._folder = folder
        self._limits = limits
        self._queue: deque[tuple[int, Item]] = deque()
        """Items, each with its weight: the events and actions in it, about."""
        self._queued_weight = 0
        """Of all items ever queued; counted by the event loop."""
        self._taken_weight = 0
        """Of all items ever taken; counted by the writer."""
        self._segment: segments.Segment | None = None
        self._segment_started_s = 0.0
        self._other_segments_bytes = 0
        self._is_stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="capture", daemon=True)

    # --- on the event loop

    @property
    def backlog(self) -> int:
        """Weight of what is queued."""
        return self._queued_weight - self._taken_weight

    def put(self, weight: int, item: Item) -> None:
        """Queue an item; it costs the loop no more than that."""
        self._queued_weight += weight
        self._queue.append((weight, item))

    def start(self) -> None:
        """Start the thread; once."""
        self._thread.start()

    def stop(self) -> bool:
        """Write what is queued, as far as the disk takes it soon; returns whether it did."""
        self._is_stopping.set()
        self._thread.join(STOP_TIMEOUT_S)
        return not self._thread.is_alive()

    # --- in the writer's thread

    def _run(self) -> None:
        while True:
            is_stopping = self._is_stopping.wait(POLL_S)
            try:
                while self._write_block(is_stopping):
                    pass
                if self.failure:
                    log.warning("capture write recovered", extra=fields(folder=self._folder))
                    self.failure = ""
            except Exception as err:  # a full or broken disk, or what cannot be encoded: the router goes on
                self._write_failed(err)
                if self._is_stopping.wait(RETRY_S):
                    return
            if is_stopping:
                if self._segment is not None:
                    self._segment.close()
                return

    def _write_failed(self, err: Exception) -> None:
        """Drop what is queued: it belongs to the gap that begins now, and has no place to go to."""
        reason = err.strerror or str(err) if isinstance(err, OSError) else f"{type(err).__name__}: {err}"
        if not self.failure:
            log.error("capture write failed", extra=fields(folder=self._folder, reason=reason))
        self.failure = reason[:MAX_REASON]
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
        """Write what is queued, a block at most; returns whether there is more."""
        if self.failure and self._segment is None:
            self._open_segment()  # so that a disk that is still full shows before anything is taken
        records: list[wire.Record] = []
        weight = 0
        has_keyframe = False
        while self._queue and weight < MAX_BLOCK_WEIGHT:
            item_weight, item = self._queue.popleft()
            self._taken_weight += item_weight
            if isinstance(item, Keyframe):
                self._write_records(records)  # a segment begins with its keyframe
                self._open_segment()
                records = [wire.Record(header=self.header)]
                has_keyframe = True
            if self._segment is not None:  # else there is no keyframe to replay it from
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
        """Begin a segment, and make room for it within the budget."""
        if self._segment is not None:
            if self._segment.is_empty:
                return  # opened to see whether the disk takes it
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
