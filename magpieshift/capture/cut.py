"""A part of a capture as a small file of its own, with a keyframe at its beginning."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from pathlib import Path

from magpieshift.capture import segments
from magpieshift.capture.replay import Player, Replay
from magpieshift.capture.segments import CaptureError, Missing
from magpieshift.capture.wire import capture_pb2 as wire

Records = Callable[[], Iterable[wire.Record | Missing]]


def cut(records: Records, path: Path, from_us: int, to_us: int) -> tuple[int, int]:
    """Write what lies from one Unix time to another; how many batches, and bytes.

    The keyframe is made at the very beginning if the module of this checkout decides as recorded up to there;
    else the part begins at the last recorded keyframe before. ``CaptureError`` where nothing lies there."""
    header: wire.Header | None = None
    kept: list[wire.Record] = []
    begun = False

    def before(number: int, record: wire.Batch, player: Player) -> None:
        nonlocal begun
        if not begun and record.now_us >= from_us:
            begun = True
            if not replay.result.differences or not kept:
                stores = [wire.Name(id=n, ident=i) for n, i in replay.names.items() if n > 1 << 32]
                frame = wire.Keyframe(state=player.state(), stores=stores)
                kept[:] = [wire.Record(keyframe=frame)]

    replay = Replay(before=before)
    for record in records():
        if isinstance(record, Missing):
            if not begun:
                kept.clear()
            replay.take(record)
            continue
        if record.HasField("header"):
            header = record.header
        elif record.HasField("keyframe") and not begun:
            kept[:] = [record]
        if record.HasField("batch") and record.batch.now_us > to_us:
            break
        replay.take(record)
        if (
            (begun or kept)
            and not record.HasField("header")
            and not (record.HasField("keyframe") and not begun)
        ):
            kept.append(record)
    batches = sum(1 for record in kept if record.HasField("batch"))
    if header is None or not begun or not batches:
        raise CaptureError(f"nothing that can be replayed lies from {from_us} us to {to_us} us")
    return batches, segments.write_file(path, [wire.Record(header=header), *kept])
