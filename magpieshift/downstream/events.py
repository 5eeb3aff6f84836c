"""The events that a session yields for the bytes received from a client."""

from __future__ import annotations

from dataclasses import dataclass

from magpieshift.engine.model import ClientRequest, Verdict


@dataclass(slots=True)
class ClientRequestReceived:
    """A request on a new stream."""

    stream_id: int
    request: ClientRequest


@dataclass(slots=True)
class InvalidRequestReceived:
    """An invalid request; its stream is open, and the client must be sent a response with this verdict."""

    stream_id: int
    reason: str
    verdict: Verdict = Verdict.FAILED


@dataclass(slots=True)
class ClientRequestCancelled:
    """The client cancelled the request on this stream; the stream is closed."""

    stream_id: int


@dataclass(slots=True)
class ReadinessRequested:
    """The client asks whether the router is ready."""

    stream_id: int


SessionEvent = ClientRequestReceived | InvalidRequestReceived | ClientRequestCancelled | ReadinessRequested
