"""The frames of one connection that wait for its stream, oldest first. No I/O.

A frame that was passed to the stream has begun to be sent and cannot be taken back. One in this queue can: a
response with a body may still be replaced by a short final answer, so that memory can be released without
leaving the request unanswered.
"""

from __future__ import annotations

from dataclasses import dataclass

from magpieshift.downstream.messages import Chunks

FRAME_OVERHEAD_BYTES = 256
"""Memory of one entry besides the frame's own bytes."""
MAX_MERGED_BYTES = 4096
"""Maximum size of an entry that collects several short frames."""


@dataclass(slots=True, eq=False)
class _QueuedFrame:
    """One frame, or several short ones."""

    chunks: Chunks
    size: int
    replacement: Chunks
    """The short answer that may be sent instead; empty if there is none."""


class ResponseQueue:
    """The frames that wait for one connection's stream."""

    def __init__(self) -> None:
        self._frames: list[_QueuedFrame] = []  # an empty deque takes ten times as much for each connection
        self._replaceable: list[_QueuedFrame] = []
        """Those of ``_frames`` that have a replacement, in the same order."""
        self.size = 0
        """Number of bytes of all frames."""
        self.replaceable_size = 0
        """Number of bytes of the frames that have a replacement."""

    def __len__(self) -> int:
        return len(self._frames)

    @property
    def held_bytes(self) -> int:
        """Memory that the queue holds, including its entries."""
        return self.size + FRAME_OVERHEAD_BYTES * len(self._frames)

    @property
    def first_size(self) -> int:
        """Size of the oldest frame, in bytes; 0 if there is none."""
        return self._frames[0].size if self._frames else 0

    def append(self, chunks: Chunks, replacement: Chunks = ()) -> None:
        """Add a frame; ``replacement`` is the short answer that may be sent instead of it."""
        size = sum(map(len, chunks))
        self.size += size
        if not replacement and self._merge(chunks, size):
            return
        frame = _QueuedFrame(chunks, size, replacement)
        self._frames.append(frame)
        if replacement:
            self._replaceable.append(frame)
            self.replaceable_size += size

    def pop_first(self) -> tuple[Chunks, Chunks]:
        """Remove the oldest frame; returns it, and the short answer that may be sent instead."""
        frame = self._frames.pop(0)
        self.size -= frame.size
        if frame.replacement:
            self._replaceable.pop(0)
            self.replaceable_size -= frame.size
        return frame.chunks, frame.replacement

    def replace_newest(self) -> int:
        """Put the short answer in the place of the newest frame that has one; returns how many bytes that
        released."""
        if not self._replaceable:
            return 0
        frame = self._replaceable.pop()
        self.replaceable_size -= frame.size
        size = sum(map(len, frame.replacement))
        released = frame.size - size
        self.size -= released
        frame.chunks, frame.size, frame.replacement = frame.replacement, size, ()
        return released

    def clear(self) -> None:
        """Remove all frames, as the connection has ended."""
        self._frames.clear()
        self._replaceable.clear()
        self.size = 0
        self.replaceable_size = 0

    def _merge(self, chunks: Chunks, size: int) -> bool:
        """Add a short frame to the newest entry, if that holds short frames as well; returns whether it
        was."""
        newest = self._frames[-1] if self._frames else None
        if newest is None or newest.replacement or newest.size + size > MAX_MERGED_BYTES:
            return False
        newest.chunks = (b"".join((*newest.chunks, *chunks)),)
        newest.size += size
        return True
