"""What a router is in the middle of: starting, serving, emptied as a lame duck, or ending. No I/O.

The operators' door, the signals and the front's readiness all go through the one ``Lifecycle`` of a router.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

SERVE_ON_US = 1_000_000  # new connections come for 0.4 s after a call, and requests on them for 0.2 s more
LAST_CALL_US = 450_000  # by then nobody comes new: connections made since the call are told as well
CUT_US = 3_000_000  # from here on not even half a request holds a connection: at 4 s none may be held


class State(Enum):
    """In the words that the door answers with."""

    STARTING = "starting"
    SERVING = "serving"
    LAME_DUCK = "lame-duck"
    ENDING = "ending"


class InvalidStateError(Exception):
    """A call that does not fit the state; the text says why."""


class Lifecycle:
    """The state of one router, and for how long it has been so."""

    def __init__(self, now_us: Callable[[], int]) -> None:
        self._now_us = now_us
        self.state = State.STARTING
        self._since_us = now_us()
        self.replaced = False  # another process serves at the clients' address
        self.watchers: list[Callable[[State], None]] = []  # told of every change

    def _go(self, state: State) -> None:
        self.state, self._since_us = state, self._now_us()
        for watcher in self.watchers:
            watcher(state)

    def _for(self, us: int) -> bool:
        return self._now_us() - self._since_us >= us

    @property
    def ready(self) -> bool:
        """Whether clients should come. What two processes serve is one router: the one that ends does not
        send away those who would reach the other."""
        return self.state == State.SERVING or (self.state == State.ENDING and self.replaced)

    @property
    def emptying(self) -> bool:
        """Whether clients are told to send no more."""
        return self.state in (State.LAME_DUCK, State.ENDING)

    @property
    def last_call(self) -> bool:
        """Whether all who were on their way have come, and can be told."""
        return self.emptying and self._for(LAST_CALL_US)

    @property
    def turning_away(self) -> bool:
        """Whether what still comes is refused: some clients send on, whatever they are told."""
        return self.emptying and self._for(SERVE_ON_US)

    @property
    def cutting(self) -> bool:
        """Whether half a request no longer holds a connection."""
        return self.emptying and self._for(CUT_US)

    def served(self) -> None:
        """All is up; the start is over, unless an end came first."""
        if self.state == State.STARTING:
            self._go(State.SERVING)

    def end(self) -> None:
        """Begin the planned end; there is no way back."""
        if self.state != State.ENDING:
            self._go(State.ENDING)

    @property
    def word(self) -> str:
        return str(self.state.value)

    # --- the operators' calls: what to say, or ``InvalidStateError``

    def ping(self) -> str:
        if self.state in (State.STARTING, State.ENDING):
            raise InvalidStateError(self.word)
        return self.word

    def lame_duck(self) -> str:
        if self.state == State.STARTING:
            raise InvalidStateError(self.word)
        if self.state == State.SERVING:  # called again, its time does not begin anew
            self._go(State.LAME_DUCK)
        return self.word

    def rejoin(self) -> str:
        if self.state in (State.STARTING, State.ENDING):
            raise InvalidStateError(self.word)
        if self.state == State.LAME_DUCK:
            self._go(State.SERVING)
        return self.word
