"""A part of a capture as a small file of its own, with a keyframe at its beginning."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from pathlib import Path

from magpieshift.capture import segments
from magpieshift.capture.errors import CaptureError
from magpieshift.capture.replay import Player, Replay
from magpieshift.capture.segments import Missing
from magpieshift.capture.wire import capture_pb2 as wire

Records = Callable[[], Iterable[wire.Record | Missing]]
"""Goes through a capture once more from its beginning."""

MIN_ENDPOINT_NUMBER = 1 << 32
"""Endpoints have their address and port as a number, which is larger; requests are counted from 1."""


class _Part:
    """Gathers the records of a part while the capture is replayed."""

    def __init__(self, from_us: int) -> None:
        self.header: wire.Header | None = None
        self.records: list[wire.Record] = []
        """From a keyframe on."""
        self.has_started = False
        """Whether a batch at or after ``from_us`` was seen."""
        self._from_us = from_us
        self._replay = Replay(before=self._before)

    def add(self, record: wire.Record | Missing) -> None:
        """Take in the capture's next record."""
        if isinstance(record, Missing):
            if not self.has_started:
                self.records.clear()  # what came before cannot be replayed up to here
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

    def _before(self, number: int, record: wire.Batch, player: Player) -> None:
        """Begin with a keyframe made here, if the policy has decided as recorded up to here."""
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
    """Write what lies from one Unix time to another; returns how many batches, and bytes.

    The keyframe is made at the very beginning if the policy of this checkout decides as recorded up to there;
    else the part begins at the last recorded keyframe before. ``CaptureError`` where nothing lies there.
    """
    part = _Part(from_us)
    for record in records():
        if not isinstance(record, Missing) and record.HasField("batch") and record.batch.now_us > to_us:
            break
        part.add(record)
    batches = sum(1 for record in part.records if record.HasField("batch"))
    if part.header is None or not part.has_started or not batches:
        raise CaptureError(f"nothing that can be replayed lies from {from_us} us to {to_us} us")
    return batches, segments.write_file(path, [wire.Record(header=part.header), *part.records])
