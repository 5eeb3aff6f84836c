"""Holds a retry until the endpoint has read the cancellation of the attempt before it.

A cancellation and a retry go out on different connections, as two answers under one id could not be told
apart on one. Nothing orders what is read from two connections: an endpoint that reads the retry first works
on the request twice at once. A health check behind the cancellation, on the same connection, is answered
only by an endpoint that has read it. Where none may be sent, or no answer comes, the retry is held for a
bounded time.
"""

from __future__ import annotations

from collections.abc import Callable

from magpieshift.clock import Clock
from magpieshift.engine.model import AttemptResult
from magpieshift.upstream.connection import PendingExchange

MAX_HOLD_US = 50_000
"""A retry is held for so long at most: the protocol's own allowance for delays on sockets."""


class CancelBarrier:
    """One retry that waits for the cancellation of the attempt before it."""

    def __init__(
        self, clock: Clock, cancelled: PendingExchange, may_probe: bool, release: Callable[[], None]
    ) -> None:
        """``release`` is called once, never from within this call: the retry may be written."""
        self._release_retry = release
        self._is_released = False
        self._timer = clock.after(MAX_HOLD_US, self._release)
        self._probe = PendingExchange(None, self._on_probe_ended)
        if may_probe and cancelled.connection is not None:
            cancelled.connection.submit_probe(self._probe)

    def _on_probe_ended(self, _result: AttemptResult) -> None:
        """The health check was answered, or its connection has ended, which gives up what was open on it."""
        self._release()

    def _release(self) -> None:
        if self._is_released:
            return
        self._is_released = True
        self._timer.cancel()
        self._probe.cancel()
        self._release_retry()
