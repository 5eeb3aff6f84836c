"""State machine of one upstream connection: which exchanges are open on it, and what its responses mean.

It owns the ids in use on the connection: one is taken when an exchange is opened and given back in
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
"""Called once with the end of an exchange."""

MAX_CANCELLED = 1024
"""Cancelled ids that one connection remembers, since their responses may come late, and twice. With so many
it takes no new exchange. Larger costs memory, smaller ends connections sooner."""
MAX_ANSWERED = 64
"""Ids answered last that are remembered, since a second response may come some milliseconds late.
Too small, and a late duplicate passes for the answer to a repeated request."""


class CompletedExchange(NamedTuple):
    """An exchange that a response has ended."""

    callback: ResultCallback
    result: AttemptResult


class _OpenExchange(NamedTuple):
    """What is open under an id."""

    callback: ResultCallback
    outcomes: Mapping[ResponseStatus, Outcome]
    """The statuses that may answer it."""


class ExchangeTable:
    """The exchanges of one upstream connection."""

    def __init__(self, load_report_columns: Sequence[str]) -> None:
        self.load_report_columns = load_report_columns
        """The names of a load report's figures, in the settings' order."""
        self._parser = ResponseParser()
        self._open: dict[str, _OpenExchange] = {}
        """Exchanges that wait for their response, by id."""
        self._cancelled: set[str] = set()
        """Ids that were cancelled: a response to them may still be on its way, and is dropped."""
        self._answered: dict[str, None] = {}
        """The ids answered last, oldest first."""
        self._probe_count = 0
        """Probes opened so far; numbers their ids."""

    def __len__(self) -> int:
        return len(self._open)

    def can_open(self, request_id: str, must_not_repeat: bool = False) -> bool:
        """Whether a response under this id would be taken for that of the new request, and of no other.

        For a request that must not run twice, the id must also not have been answered here: a second response
        that comes late would pass for that of the new request, and let a third go out."""
        used = (
            request_id in self._open
            or request_id in self._cancelled
            or (must_not_repeat and request_id in self._answered)
        )
        return not used and len(self._cancelled) < MAX_CANCELLED

    def is_receiving(self, request_id: str) -> bool:
        """Whether the response under this id has begun and not ended: all others wait behind it."""
        return self._parser.partial_request_id == request_id

    def open_request(
        self, request: UpstreamRequest, now_us: int, callback: ResultCallback
    ) -> tuple[bytes, ...]:
        """Open an exchange; the bytes to write for it."""
        is_conditional = bool(request.request.known_version)
        outcomes = REQUEST_OUTCOMES if is_conditional else UNCONDITIONAL_REQUEST_OUTCOMES
        self._open[request.request.request_id] = _OpenExchange(callback, outcomes)
        return encode_request(request, now_us)

    def open_probe(self, with_load_report: bool, callback: ResultCallback) -> tuple[str, bytes]:
        """Open a health check; its id, and the bytes to write for it."""
        self._probe_count += 1
        probe_id = f"p{self._probe_count}"
        self._open[probe_id] = _OpenExchange(callback, PROBE_OUTCOMES)
        return probe_id, encode_probe(probe_id, with_load_report)

    def cancel(self, request_id: str, is_probe: bool = False) -> bytes:
        """Cancel an exchange; the bytes to write for that. Its response, should one come, is dropped."""
        if request_id not in self._open:
            return b""
        self._release(request_id)
        self._cancelled.add(request_id)
        return b"" if is_probe else encode_cancel(request_id)

    def feed(self, data: bytes) -> Iterator[CompletedExchange]:
        """The exchanges that these bytes end; ``UpstreamProtocolError`` where the connection cannot go on."""
        for response in self._parser.feed(data):
            request_id = response.request_id
            if request_id in self._open:
                self._remember_answered(request_id)
                outcome = self._open[request_id].outcomes.get(response.status)
                if outcome is None:
                    raise UpstreamProtocolError(f"{response.status} does not answer {request_id}")
                result = response.result(outcome, self.load_report_columns)
                yield CompletedExchange(self._release(request_id).callback, result)
            elif request_id not in self._cancelled:
                log.warning(
                    "answer to nothing asked", extra=fields(request_id=request_id[:MAX_LOGGED_CHARACTERS])
                )

    def abort_all(self) -> list[ResultCallback]:
        """Release everything that is open, since the connection is gone; the callbacks to notify."""
        return [self._release(request_id).callback for request_id in list(self._open)]

    def _remember_answered(self, request_id: str) -> None:
        self._answered[request_id] = None
        if len(self._answered) > MAX_ANSWERED:
            del self._answered[next(iter(self._answered))]

    def _release(self, request_id: str) -> _OpenExchange:
        """The one place where an id is given back."""
        return self._open.pop(request_id)
