"""Remembers the ids of ended requests that may have run and must not run again.

An id is new with every request. One that comes again, from a client that left and returned or through
something that repeats bytes, would run a second time.
"""

from __future__ import annotations

MAX_AGE_US = 60_000_000
"""How long an id is remembered: longer than any client waits. Longer costs memory."""
MAX_IDS = 8192
"""Maximum number of ids; above it the oldest is forgotten."""


class ExecutedRequests:
    """The ids of requests that may have run, oldest first."""

    def __init__(self) -> None:
        self._ended_us: dict[str, int] = {}
        """When each request ended, by its id."""

    def __len__(self) -> int:
        return len(self._ended_us)

    def ids(self) -> list[str]:
        """The ids, oldest first."""
        return list(self._ended_us)

    def add(self, request_id: str, now_us: int) -> None:
        """Remember an id, and forget those that are too old or too many."""
        self._ended_us.pop(request_id, None)
        self._ended_us[request_id] = now_us
        while self._ended_us:
            oldest = next(iter(self._ended_us))
            if len(self._ended_us) <= MAX_IDS and now_us - self._ended_us[oldest] <= MAX_AGE_US:
                return
            del self._ended_us[oldest]

    def may_have_run(self, request_id: str, now_us: int) -> bool:
        """Whether a request of this id may have run lately."""
        ended_us = self._ended_us.get(request_id)
        return ended_us is not None and now_us - ended_us <= MAX_AGE_US
