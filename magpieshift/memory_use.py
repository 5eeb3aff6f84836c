"""Counts the memory that a router holds for requests, by purpose, against one limit. No I/O.

Each owner adds what it holds and subtracts what it releases. The limit is what the process may use beyond the
program itself.
"""

from __future__ import annotations

from dataclasses import dataclass

REQUEST_BYTES = 6 << 10
"""Memory of one open request without its body: the entries of all tables, its timers and its attempt."""
ADMISSION_FRACTION = 0.5
"""Fraction of the limit up to which requests are accepted; the rest is for the answers to those accepted."""
BEGUN_FRACTION = 0.375
"""Fraction of the limit for responses that clients have begun to receive, and take slowly."""
CROWDED_FRACTION = 0.5
"""Fraction of the limit above which one client may no longer use what others need."""


@dataclass(slots=True)
class MemoryUse:
    """The memory held for requests at present, in bytes."""

    limit_bytes: int
    """How much may be held for all purposes together."""
    client_bytes: int = 0
    """Unsent responses and incomplete frames of clients."""
    begun_bytes: int = 0
    """Those of ``client_bytes`` that have begun to be sent: unlike the others they cannot be released."""
    request_bytes: int = 0
    """Open requests with their bodies."""
    answer_bytes: int = 0
    """Answers of endpoints that are being received."""

    @property
    def total_bytes(self) -> int:
        """Memory held for all purposes."""
        return self.client_bytes + self.request_bytes + self.answer_bytes

    @property
    def is_exceeded(self) -> bool:
        """Whether more is held than the limit allows."""
        return self.total_bytes > self.limit_bytes

    @property
    def is_crowded(self) -> bool:
        """Whether so much is held that one client may no longer use what others need."""
        return self.total_bytes > CROWDED_FRACTION * self.limit_bytes

    def may_accept(self, body_bytes: int) -> bool:
        """Whether one more request with a body of this size may be accepted: what can be released makes room
        for it."""
        kept_bytes = self.request_bytes + self.answer_bytes + self.begun_bytes
        return kept_bytes + REQUEST_BYTES + body_bytes <= ADMISSION_FRACTION * self.limit_bytes

    def may_begin(self, size: int) -> bool:
        """Whether a response of this size may begin to be sent, after which it cannot be released."""
        free_bytes = self.limit_bytes - self.request_bytes - self.answer_bytes
        return self.begun_bytes + size <= min(free_bytes, BEGUN_FRACTION * self.limit_bytes)
