"""Holds a retry until the endpoint has read the cancellation of the previous attempt.

A retry has the same request id as the cancelled attempt, so it is sent on another connection: on one
connection their responses could not be told apart. The endpoint may read the two connections in any order,
and if it reads the retry before the cancellation, it executes the request twice at once. A health check is
therefore sent after the cancellation on the same connection: once it is answered, the endpoint has read the
cancellation. If the settings do not allow health checks, or no answer arrives, the retry is held for
``MAX_HOLD_US``.
"""

from __future__ import annotations

from collections.abc import Callable

from magpieshift.clock import Clock
from magpieshift.engine.model import AttemptResult
from magpieshift.upstream.connection import PendingExchange

MAX_HOLD_US = 50_000
"""Maximum time for which a retry is held; the protocol allows for delays of this length on sockets."""


class CancelBarrier:
    """One retry that is held until the endpoint has read the cancellation of the previous attempt."""

    def __init__(
        self, clock: Clock, cancelled: PendingExchange, may_probe: bool, release: Callable[[], None]
    ) -> None:
        """Hold a retry of the attempt ``cancelled``.

        ``may_probe`` is whether the settings allow health checks. ``release`` is called once, when the retry
        may be written, and never from within this call.
        """
        self._release_retry = release
        self._is_released = False
        self._timer = clock.after(MAX_HOLD_US, self._release)
        self._probe = PendingExchange(None, self._on_probe_ended)
        if may_probe and cancelled.connection is not None:
            cancelled.connection.submit_probe(self._probe)

    def _on_probe_ended(self, _result: AttemptResult) -> None:
        """Release the retry: the health check was answered, or its connection closed.

        An endpoint abandons the requests of a connection that has closed.
        """
        self._release()

    def _release(self) -> None:
        if self._is_released:
            return
        self._is_released = True
        self._timer.cancel()
        self._probe.cancel()
        self._release_retry()
