"""State machine of one upstream connection: the exchanges open on it, and the results of its responses.

It owns the ids in use on the connection: an id is reserved when an exchange is opened, and released in
``_release``. No I/O.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import NamedTuple

from magpieshift.engine.model import AttemptResult, UpstreamRequest
from magpieshift.log import fields
from magpieshift.policy.outcomes import Outcome
from magpieshift.upstream.codec import (
    MAX_LOGGED_CHARACTERS,
    PROBE_OUTCOMES,
    REQUEST_OUTCOMES,
    UNCONDITIONAL_REQUEST_OUTCOMES,
    ResponseParser,
    ResponseStatus,
    UpstreamProtocolError,
    encode_cancel,
    encode_probe,
    encode_request,
)

log = logging.getLogger(__name__)

ResultCallback = Callable[[AttemptResult], None]
"""Called once with the result of an exchange."""

MAX_CANCELLED = 1024
"""Maximum number of cancelled ids that one connection remembers, as their responses may arrive late, and
twice. At this number it accepts no new exchange. Larger costs memory, smaller makes a connection unusable
sooner."""
MAX_ANSWERED = 64
"""Number of recently answered ids that one connection remembers, as a second response may arrive some
milliseconds later. If it is too small, such a duplicate is taken for the response to a retry under the same
id."""


class CompletedExchange(NamedTuple):
    """An exchange that a response has ended, with its result."""

    callback: ResultCallback
    result: AttemptResult


class _OpenExchange(NamedTuple):
    """An exchange that is open under an id."""

    callback: ResultCallback
    outcomes: Mapping[ResponseStatus, Outcome]
    """The statuses that may answer it, each with its outcome."""


class ExchangeTable:
    """The exchanges of one upstream connection."""

    def __init__(self, load_report_columns: Sequence[str]) -> None:
        self.load_report_columns = load_report_columns
        """Names of the figures in a load report, in the order of the settings."""
        self._parser = ResponseParser()
        self._open: dict[str, _OpenExchange] = {}
        """Exchanges whose response is due, by id."""
        self._cancelled: set[str] = set()
        """Ids of cancelled exchanges; responses under these ids, which may still arrive, are dropped."""
        self._answered: dict[str, None] = {}
        """The most recently answered ids, oldest first."""
        self._probe_count = 0
        """Number of health checks opened so far, from which their ids are made."""

    def __len__(self) -> int:
        return len(self._open)

    def can_open(self, request_id: str, must_not_repeat: bool = False) -> bool:
        """Whether a response under this id could only belong to the new request.

        If the request must not be executed twice, the id must also not be among the recently answered ones: a
        late second response would be taken for that of the new request, which could then be sent a third
        time.
        """
        used = (
            request_id in self._open
            or request_id in self._cancelled
            or (must_not_repeat and request_id in self._answered)
        )
        return not used and len(self._cancelled) < MAX_CANCELLED

    def is_receiving(self, request_id: str) -> bool:
        """Whether the response under this id is received in part; it blocks all others until it is
        complete."""
        return self._parser.partial_request_id == request_id

    @property
    def partial_body_bytes(self) -> int:
        """Number of bytes allocated for the body that is being received."""
        return self._parser.partial_body_bytes

    def open_request(
        self, request: UpstreamRequest, now_us: int, callback: ResultCallback
    ) -> tuple[bytes, ...]:
        """Open an exchange for a request; returns the bytes to write."""
        is_conditional = bool(request.request.known_version)
        outcomes = REQUEST_OUTCOMES if is_conditional else UNCONDITIONAL_REQUEST_OUTCOMES
        self._open[request.request.request_id] = _OpenExchange(callback, outcomes)
        return encode_request(request, now_us)

    def open_probe(self, with_load_report: bool, callback: ResultCallback) -> tuple[str, bytes]:
        """Open an exchange for a health check; returns its id and the bytes to write."""
        self._probe_count += 1
        probe_id = f"p{self._probe_count}"
        self._open[probe_id] = _OpenExchange(callback, PROBE_OUTCOMES)
        return probe_id, encode_probe(probe_id, with_load_report)

    def cancel(self, request_id: str, is_probe: bool = False) -> bytes:
        """Cancel an exchange; returns the bytes to write, none for a health check.

        A response that still arrives is dropped.
        """
        if request_id not in self._open:
            return b""
        self._release(request_id)
        self._cancelled.add(request_id)
        return b"" if is_probe else encode_cancel(request_id)

    def feed(self, data: bytes) -> Iterator[CompletedExchange]:
        """Yield the exchanges that these bytes end.

        Raises ``UpstreamProtocolError`` if the connection has to be closed.
        """
        for response in self._parser.feed(data):
            request_id = response.request_id
            if request_id in self._open:
                self._remember_answered(request_id)
                outcome = self._open[request_id].outcomes.get(response.status)
                if outcome is None:
                    raise UpstreamProtocolError(
                        f"found status {response.status} for {request_id}, which is not a valid answer to it"
                    )
                result = response.result(outcome, self.load_report_columns)
                yield CompletedExchange(self._release(request_id).callback, result)
            elif request_id not in self._cancelled:
                log.warning(
                    "answer to nothing asked", extra=fields(request_id=request_id[:MAX_LOGGED_CHARACTERS])
                )

    def abort_all(self) -> list[ResultCallback]:
        """Release all open exchanges, as the connection has closed; returns their callbacks."""
        return [self._release(request_id).callback for request_id in list(self._open)]

    def _remember_answered(self, request_id: str) -> None:
        self._answered[request_id] = None
        if len(self._answered) > MAX_ANSWERED:
            del self._answered[next(iter(self._answered))]

    def _release(self, request_id: str) -> _OpenExchange:
        """Remove an open exchange and release its id; nothing else does."""
        return self._open.pop(request_id)
