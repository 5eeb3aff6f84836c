"""What a client's bytes mean: the events that a session yields."""

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
    """A request that cannot be used; its stream is open and is owed a response of this verdict."""

    stream_id: int
    reason: str
    verdict: Verdict = Verdict.FAILED


@dataclass(slots=True)
class ClientRequestCancelled:
    """The client no longer waits for the response on this stream, which is closed."""

    stream_id: int


@dataclass(slots=True)
class ReadinessRequested:
    """The client asks whether the router is ready."""

    stream_id: int


SessionEvent = ClientRequestReceived | InvalidRequestReceived | ClientRequestCancelled | ReadinessRequested
