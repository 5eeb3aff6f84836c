"""The state of a router: starting, serving, draining as a lame duck, or ending. No I/O.

Admin commands, signals and the readiness shown to clients all go through the one ``Lifecycle`` of a router.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from magpieshift.errors import MagpieshiftError

SERVE_WHILE_DRAINING_US = 1_000_000
"""Requests are still served for so long: the platform's clients open connections for 0.4 s after they were
notified, and send requests on them for 0.2 s more."""
ARRIVALS_SETTLED_US = 450_000
"""By then no client that was on its way is still to come, so all connections can be notified."""
CUT_INCOMPLETE_US = 3_000_000
"""From here on a request of which only a part has come no longer holds its connection: the platform lets none
be held 4 s after the command."""


class State(Enum):
    """The states, by the words that admin commands answer with."""

    STARTING = "starting"
    SERVING = "serving"
    LAME_DUCK = "lame-duck"
    """Draining on command; it can return to serving."""
    ENDING = "ending"
    """Draining for the planned shutdown; there is no way back."""


class InvalidStateError(MagpieshiftError):
    """An admin command does not fit the state; the text is the state."""


class Lifecycle:
    """The state of one router, and since when it has been in it."""

    def __init__(self, now_us: Callable[[], int]) -> None:
        self.state = State.STARTING
        self.replacement_serves = False
        """Whether another process serves at the clients' address."""
        self.listeners: list[Callable[[State], None]] = []
        """Called with the new state at every transition."""
        self._now_us = now_us
        self._since_us = now_us()

    @property
    def state_name(self) -> str:
        """The state in the word that admin commands answer with."""
        return str(self.state.value)

    @property
    def is_ready(self) -> bool:
        """Whether clients should come.

        What two processes serve is one router: the one that ends does not send away those who would reach the
        other.
        """
        return self.state == State.SERVING or (self.state == State.ENDING and self.replacement_serves)

    @property
    def is_draining(self) -> bool:
        """Whether clients are notified to send no more."""
        return self.state in (State.LAME_DUCK, State.ENDING)

    @property
    def arrivals_settled(self) -> bool:
        """Whether all clients that were on their way have come, and can be notified."""
        return self.is_draining and self._has_lasted(ARRIVALS_SETTLED_US)

    @property
    def rejects_requests(self) -> bool:
        """Whether requests that still come are rejected: some clients send on, whatever they are notified."""
        return self.is_draining and self._has_lasted(SERVE_WHILE_DRAINING_US)

    @property
    def cuts_incomplete_requests(self) -> bool:
        """Whether a request of which only a part has come no longer holds its connection."""
        return self.is_draining and self._has_lasted(CUT_INCOMPLETE_US)

    # --- transitions of the program

    def start_completed(self) -> None:
        """Everything is up: starting becomes serving, unless a shutdown came first."""
        if self.state == State.STARTING:
            self._transition(State.SERVING)

    def begin_shutdown(self) -> None:
        """Any state becomes ending."""
        if self.state != State.ENDING:
            self._transition(State.ENDING)

    # --- admin commands: each returns the state after it, or raises ``InvalidStateError``

    def ping(self) -> str:
        """PING: report the state of a router that is up."""
        self._reject_in(State.STARTING, State.ENDING)
        return self.state_name

    def lame_duck(self) -> str:
        """LAMEDUCK: serving becomes lame duck. A repeated command does not start its time anew."""
        self._reject_in(State.STARTING)
        if self.state == State.SERVING:
            self._transition(State.LAME_DUCK)
        return self.state_name

    def rejoin(self) -> str:
        """REJOIN: lame duck becomes serving."""
        self._reject_in(State.STARTING, State.ENDING)
        if self.state == State.LAME_DUCK:
            self._transition(State.SERVING)
        return self.state_name

    def _reject_in(self, *states: State) -> None:
        if self.state in states:
            raise InvalidStateError(self.state_name)

    def _transition(self, state: State) -> None:
        self.state = state
        self._since_us = self._now_us()
        for listener in self.listeners:
            listener(state)

    def _has_lasted(self, duration_us: int) -> bool:
        return self._now_us() - self._since_us >= duration_us
