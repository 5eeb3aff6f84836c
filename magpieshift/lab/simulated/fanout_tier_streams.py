"""The streams of a small simulated fan-out tier, and the messages in flight on them."""

from __future__ import annotations

from magpieshift.lab.simulated.fanout_tier_state import END_OF_STREAM, FOLLOWERS, NO_SERVER, StreamState


class TierStreams:
    """For each follower, its current stream, and one that it has left with messages still in flight."""

    def __init__(
        self, current: tuple[StreamState | None, ...], abandoned: tuple[StreamState | None, ...]
    ) -> None:
        self.current = dict(zip(FOLLOWERS, current, strict=True))
        self.abandoned = dict(zip(FOLLOWERS, abandoned, strict=True))

    def open(self, follower: str, stream_id: int, server: str) -> None:
        """A follower opens a stream, and leaves its current one without ending it."""
        if (stream := self.current[follower]) is not None:
            self.abandon(follower, stream, ended=False)
        self.current[follower] = StreamState(stream_id, server)

    def abandon(self, follower: str, stream: StreamState, ended: bool) -> None:
        """A follower leaves its current stream: messages in flight to it are lost, those in flight to the
        server still arrive, followed by the end of the stream if ``ended``."""
        self.current[follower] = None
        if stream.server:
            to_server = (*stream.to_server, END_OF_STREAM) if ended else stream.to_server
            self.abandoned[follower] = stream._replace(to_server=to_server, to_follower=())

    def send_to_server(self, stream_id: int, number: int) -> None:
        """Put a message of the follower in flight; does nothing if the stream has ended."""
        for follower, stream in self.current.items():
            if stream is not None and stream.stream_id == stream_id and stream.server:
                self.current[follower] = stream._replace(to_server=(*stream.to_server, number))
        for follower, abandoned in self.abandoned.items():
            if abandoned is not None and abandoned.stream_id == stream_id:
                self.abandoned[follower] = abandoned._replace(to_server=(*abandoned.to_server, number))

    def send_to_follower(self, stream_id: int, number: int) -> None:
        """Put a message of the server in flight; does nothing if the stream has ended."""
        for follower, stream in self.current.items():
            if stream is not None and stream.stream_id == stream_id and stream.server:
                self.current[follower] = stream._replace(to_follower=(*stream.to_follower, number))

    def take_to_server(self, follower: str) -> tuple[StreamState, int]:
        """The oldest message in flight to the server, taken off the stream, and the stream before that."""
        stream = self.current[follower]
        assert stream is not None
        self.current[follower] = stream._replace(to_server=stream.to_server[1:])
        return stream, stream.to_server[0]

    def take_abandoned(self, follower: str) -> tuple[StreamState, int]:
        """The oldest message in flight to the server on the stream that the follower has left, taken off it,
        and the stream before that. The stream is removed with its last message."""
        stream = self.abandoned[follower]
        assert stream is not None
        remaining = stream.to_server[1:]
        self.abandoned[follower] = stream._replace(to_server=remaining) if remaining else None
        return stream, stream.to_server[0]

    def take_to_follower(self, follower: str) -> tuple[StreamState, int]:
        """The oldest message in flight to the follower, taken off the stream, and the stream before that."""
        stream = self.current[follower]
        assert stream is not None
        self.current[follower] = stream._replace(to_follower=stream.to_follower[1:])
        return stream, stream.to_follower[0]

    def end(self, name: str, stream_id: int) -> None:
        """A process ends a stream; the other side learns of it after all messages sent before."""
        for follower, stream in self.current.items():
            if stream is not None and stream.stream_id == stream_id:
                if follower == name:
                    self.abandon(follower, stream, ended=True)
                else:
                    self._end_by_server(follower, stream)
        abandoned = self.abandoned.get(name)
        if abandoned is None or abandoned.stream_id != stream_id:
            return
        if abandoned.to_server[-1:] != (END_OF_STREAM,):
            to_server = (*abandoned.to_server, END_OF_STREAM)
            self.abandoned[name] = abandoned._replace(to_server=to_server)

    def reset(self, name: str) -> None:
        """A process has ended: both ends of its streams are closed, and no more messages reach it."""
        for follower in FOLLOWERS:
            stream = self.current[follower]
            abandoned = self.abandoned[follower]
            if stream is not None and stream.server == name:
                self._end_by_server(follower, stream)
            if abandoned is not None and abandoned.server == name:
                self.abandoned[follower] = None
        if name in FOLLOWERS and (own := self.current[name]) is not None:
            self.abandon(name, own, ended=True)

    def _end_by_server(self, follower: str, stream: StreamState) -> None:
        to_follower = (*stream.to_follower, END_OF_STREAM)
        self.current[follower] = stream._replace(server=NO_SERVER, to_server=(), to_follower=to_follower)
