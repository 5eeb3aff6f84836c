"""The lifecycle of a router: starting, serving, lame duck or ending. No I/O.

Admin commands, signals and the readiness reported to clients all use the router's single ``Lifecycle``.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from magpieshift.errors import MagpieshiftError

SERVE_WHILE_DRAINING_US = 1_000_000
"""How long requests are still served after draining starts: the platform's clients open connections for up to
0.4 s after they are notified, and send requests on them for 0.2 s more."""
ARRIVALS_SETTLED_US = 450_000
"""Time from the start of draining after which no more clients are expected to connect, so that all
connections can be notified."""
CUT_INCOMPLETE_US = 3_000_000
"""Time from the start of draining after which an incompletely received request no longer keeps its connection
open: the platform allows no connection to be held 4 s after the drain command."""


class State(Enum):
    """The lifecycle states; the values are the words that admin commands answer with."""

    STARTING = "starting"
    SERVING = "serving"
    LAME_DUCK = "lame-duck"
    """Draining on command; can return to serving."""
    ENDING = "ending"
    """Draining for the planned shutdown; final."""


class InvalidStateError(MagpieshiftError):
    """An admin command is not valid in the current state; the text is that state."""


class Lifecycle:
    """The current state of one router and when it was entered."""

    def __init__(self, now_us: Callable[[], int]) -> None:
        self.state = State.STARTING
        self.replacement_serves = False
        """Whether another process serves on the same client address."""
        self.listeners: list[Callable[[State], None]] = []
        """Called with the new state at each transition."""
        self._now_us = now_us
        self._since_us = now_us()

    @property
    def state_name(self) -> str:
        """The word for the state that admin commands answer with."""
        return str(self.state.value)

    @property
    def is_ready(self) -> bool:
        """Whether the router reports itself ready to clients.

        Two processes on one address are one router to clients: an ending process still reports ready while
        the other one serves.
        """
        return self.state == State.SERVING or (self.state == State.ENDING and self.replacement_serves)

    @property
    def is_draining(self) -> bool:
        """Whether clients are notified to stop sending requests."""
        return self.state in (State.LAME_DUCK, State.ENDING)

    @property
    def arrivals_settled(self) -> bool:
        """Whether no more clients are expected to connect, so that all connections can be notified."""
        return self.is_draining and self._has_lasted(ARRIVALS_SETTLED_US)

    @property
    def rejects_requests(self) -> bool:
        """Whether new requests are rejected, as some clients continue to send despite the notification."""
        return self.is_draining and self._has_lasted(SERVE_WHILE_DRAINING_US)

    @property
    def cuts_incomplete_requests(self) -> bool:
        """Whether an incompletely received request no longer keeps its connection open."""
        return self.is_draining and self._has_lasted(CUT_INCOMPLETE_US)

    # --- transitions of the program

    def start_completed(self) -> None:
        """Change from starting to serving, unless a shutdown has started."""
        if self.state == State.STARTING:
            self._transition(State.SERVING)

    def begin_shutdown(self) -> None:
        """Change from any state to ending."""
        if self.state != State.ENDING:
            self._transition(State.ENDING)

    # --- admin commands: each returns the resulting state or raises ``InvalidStateError``

    def ping(self) -> str:
        """PING: return the state, if serving or lame duck."""
        self._reject_in(State.STARTING, State.ENDING)
        return self.state_name

    def lame_duck(self) -> str:
        """LAMEDUCK: change from serving to lame duck. Repeating the command does not restart the drain
        time."""
        self._reject_in(State.STARTING)
        if self.state == State.SERVING:
            self._transition(State.LAME_DUCK)
        return self.state_name

    def rejoin(self) -> str:
        """REJOIN: change from lame duck to serving."""
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
