"""The connection of a simulated follower to its relay or source, with a back-off after a failure."""

from __future__ import annotations

from magpieshift.relay.selection import RelaySelection

US_PER_S = 1_000_000


class RelayConnection:
    """The relay choice and the current stream of one incarnation of a follower. Times are microseconds of
    the follower's own clock."""

    def __init__(self, selection: RelaySelection, now_us: int) -> None:
        self.selection = selection
        self.retry_at_us = now_us  # earliest time for opening a stream
        self._stream_id: int | None = None  # the stream opened last; None once it has failed
        self._connected_us: int | None = None  # when the first message arrived on it

    def opened(self, stream_id: int) -> None:
        """Record that a stream was opened; no message has arrived on it yet."""
        self._connected_us = None
        self._stream_id = stream_id

    def received(self, now_us: int) -> None:
        """Record a message on the current stream; the first one shows that the relay is reachable."""
        if self._connected_us is None:
            self._connected_us = now_us
            self.selection.record_connected(now_us)

    def failed(self, stream_id: int, now_us: int) -> None:
        """Record the end of a stream. If it was the one opened last, another is opened after a back-off."""
        if self._stream_id != stream_id:
            return
        self._stream_id = None
        duration_s = 0.0 if self._connected_us is None else (now_us - self._connected_us) / US_PER_S
        self.retry_at_us = now_us + int(self.selection.record_failure(duration_s) * US_PER_S)
        self._connected_us = None
