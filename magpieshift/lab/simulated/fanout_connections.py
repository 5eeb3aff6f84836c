"""The connection of a simulated follower to its relay, with the backoff after it has failed."""

from __future__ import annotations

from magpieshift.relay.selection import RelaySelection

US_PER_S = 1_000_000


class RelayConnection:
    """One incarnation's choice of a relay, and the stream that it follows by. Times are microseconds of the
    follower's own clock."""

    def __init__(self, selection: RelaySelection, now_us: int) -> None:
        self.selection = selection
        self.retry_at_us = now_us  # no stream is opened before
        self._stream_id: int | None = None  # the stream opened last; None once it has failed
        self._connected_us: int | None = None  # when its first message came

    def opened(self, stream_id: int) -> None:
        """A stream was opened; nothing has come from the relay yet."""
        self._connected_us = None
        self._stream_id = stream_id

    def received(self, now_us: int) -> None:
        """A message came on the current stream, so the relay is there."""
        if self._connected_us is None:
            self._connected_us = now_us
            self.selection.record_connected(now_us)

    def failed(self, stream_id: int, now_us: int) -> None:
        """A stream has ended: if it was the one opened last, another is opened after a backoff."""
        if self._stream_id != stream_id:
            return
        self._stream_id = None
        duration_s = 0.0 if self._connected_us is None else (now_us - self._connected_us) / US_PER_S
        self.retry_at_us = now_us + int(self.selection.record_failure(duration_s) * US_PER_S)
        self._connected_us = None
