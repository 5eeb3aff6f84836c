"""Copies a part of a capture to a file of its own that begins with a keyframe."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from pathlib import Path

from magpieshift.capture import segments
from magpieshift.capture.errors import CaptureError
from magpieshift.capture.replay import Player, Replay
from magpieshift.capture.segments import Missing
from magpieshift.capture.wire import capture_pb2 as wire

Records = Callable[[], Iterable[wire.Record | Missing]]
"""Reads the records of a capture from its beginning at each call."""

MIN_ENDPOINT_NUMBER = 1 << 32
"""Larger numbers are those of endpoints, which are 64-bit hashes; requests are numbered from 1."""


class _PartCollector:
    """Collects the records of the part while the capture is replayed up to it."""

    def __init__(self, from_us: int) -> None:
        self.header: wire.Header | None = None
        self.records: list[wire.Record] = []
        """The records to write; the first one is a keyframe."""
        self.has_started = False
        """Whether a batch at or after ``from_us`` has been read."""
        self._from_us = from_us
        self._replay = Replay(before=self._before_batch)

    def add(self, record: wire.Record | Missing) -> None:
        """Process the next record of the capture."""
        if isinstance(record, Missing):
            if not self.has_started:
                self.records.clear()  # a replay cannot cross the gap
            self._replay.feed(record)
            return
        is_header = record.HasField("header")
        is_earlier_keyframe = record.HasField("keyframe") and not self.has_started
        if is_header:
            self.header = record.header
        elif is_earlier_keyframe:
            self.records[:] = [record]
        self._replay.feed(record)
        if (self.has_started or self.records) and not is_header and not is_earlier_keyframe:
            self.records.append(record)

    def _before_batch(self, number: int, record: wire.Batch, player: Player) -> None:
        """Make a keyframe at the part's first batch, if the policy decided as recorded up to there."""
        if self.has_started or record.now_us < self._from_us:
            return
        self.has_started = True
        if self._replay.result.differences and self.records:
            return
        endpoints = [
            wire.Name(id=number, ident=name)
            for number, name in self._replay.names.items()
            if number > MIN_ENDPOINT_NUMBER
        ]
        keyframe = wire.Keyframe(state=player.state(), stores=endpoints)
        self.records[:] = [wire.Record(keyframe=keyframe)]


def cut(records: Records, path: Path, from_us: int, to_us: int) -> tuple[int, int]:
    """Write the records between two Unix times in microseconds to a file; returns its batches and bytes.

    If the policy of this checkout decides as recorded up to ``from_us``, a new keyframe is made there; else
    the part begins earlier, at the last recorded keyframe before ``from_us``. Raises ``CaptureError`` if no
    batch that can be replayed lies between the two times.
    """
    collector = _PartCollector(from_us)
    for record in records():
        if not isinstance(record, Missing) and record.HasField("batch") and record.batch.now_us > to_us:
            break
        collector.add(record)
    batches = sum(1 for record in collector.records if record.HasField("batch"))
    if collector.header is None or not collector.has_started or not batches:
        raise CaptureError(
            f"no batch that can be replayed lies between the Unix times {from_us} us and {to_us} us"
        )
    return batches, segments.write_file(path, [wire.Record(header=collector.header), *collector.records])
