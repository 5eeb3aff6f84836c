"""The serving side of the fan-out, the same at a source and a relay: places of followers, what to send to
each, and up to where everything is done.

A driver feeds what it hears on each follower's stream to ``join`` and ``progress``, and writes what ``send``
yields whenever ``due_us`` says so and the last write is through; nothing is queued here for a follower.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from magpieshift.relay.log import SequencedLog
from magpieshift.relay.messages import Epoch, Join, Progress, ToFollower
from magpieshift.relay.snapshot import State


class Superseded(Exception):
    """A follower has heard of a higher epoch: a source ends, a relay refuses it and passes the epoch on."""

    def __init__(self, epoch: Epoch) -> None:
        super().__init__(f"a source with term {epoch.term} is newer")
        self.epoch = epoch


class Full(Exception):
    """There are ``MOST_FOLLOWERS`` already."""


class UnknownStream(Exception):
    """The stream never joined, has left, or was replaced by a later one of the same process."""


@dataclass(frozen=True, slots=True)
class Report:
    """What a relay tells its source of its followers, for its ``Progress``."""

    epoch: Epoch
    done: int  # every follower that counts, and the relay itself, has applied everything up to here
    behind: tuple[str, ...]  # some names of those without the newest version
    behind_count: int
    followers: int


@dataclass(frozen=True, slots=True)
class FollowerStatus:
    """One follower as operators see it."""

    name: str
    boot: str
    connected: bool
    applied: int  # what it has acknowledged in this epoch
    behind: int  # entries
    heard_us: int  # since it was last heard
    counts: bool  # for the watermark
    configuration: str  # digest of the version in force
    refused: int
    refusal: str


class Fanout:
    """The followers of one source or relay."""

    def __init__(
        self,
        log: SequencedLog,
        state: State,
        own_age: Callable[[int], int | None],
        done_everywhere: Callable[[], int] | None = None,
        counts_from_us: int = 0,
    ) -> None:
        """``own_age`` tells how current the process itself is (``Currency.epoch_age_us`` of a relay,
        ``SourceCurrency.age_us`` of a source). ``done_everywhere`` tells what a relay has heard from its
        source (``Follower.done``); a source leaves it out. ``counts_from_us``: until then nothing is called
        done; a source gives ``now_us + lapse_us()`` at its start, since followers of the one before it hold
        leases."""
        raise NotImplementedError

    def join(self, stream: int, join: Join, now_us: int) -> int | None:
        """A follower's first message. Returns the earlier stream of the same process, which is to be ended.
        ``Superseded``, ``Full``."""
        raise NotImplementedError

    def progress(self, stream: int, progress: Progress, now_us: int) -> None:
        """An acknowledgement and probe. ``Superseded``, ``UnknownStream``."""
        raise NotImplementedError

    def leave(self, stream: int, now_us: int) -> None:
        """The stream has ended, however. Its follower counts until its lease has surely lapsed."""
        raise NotImplementedError

    def due_us(self, stream: int) -> int:
        """When ``send`` is to be called next, as things stand; may be past. Changes with ``progress``, with
        appended entries and after ``send``. ``UnknownStream``."""
        raise NotImplementedError

    def due(self, now_us: int) -> list[int]:
        """The streams whose time has come."""
        raise NotImplementedError

    def send(self, stream: int, now_us: int) -> list[ToFollower]:
        """What to write to the stream now, in order; counts as sent. ``UnknownStream``."""
        raise NotImplementedError

    def silent(self, now_us: int) -> list[int]:
        """Streams to be ended, as nothing was heard on them for ``FOLLOWER_SILENCE_US``."""
        raise NotImplementedError

    def done(self, now_us: int) -> int:
        """Up to where everyone who counts, and this process, has applied everything; never goes back within
        an epoch."""
        raise NotImplementedError

    def report(self, now_us: int) -> Report:
        """What this relay tells its source; at a source, the same over all relays."""
        raise NotImplementedError

    def status(self, now_us: int) -> tuple[FollowerStatus, ...]:
        """All followers, by name."""
        raise NotImplementedError
