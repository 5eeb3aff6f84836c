"""What a ``Fanout`` keeps of each stream, and why it refuses one."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from magpieshift.relay.limits import LAGGING_US
from magpieshift.relay.messages import Epoch
from magpieshift.relay.watermark import Place


class Superseded(Exception):
    """A follower has heard of a higher epoch: a source ends, a relay refuses it and passes the epoch on."""

    def __init__(self, epoch: Epoch) -> None:
        super().__init__(f"a source with term {epoch.term} is newer")
        self.epoch = epoch


class Full(Exception):
    """There are ``MOST_FOLLOWERS`` already."""


class Unfit(Exception):
    """This process is not current itself: its followers do better elsewhere."""


class UnknownStream(Exception):
    """The stream never joined, has left, or was replaced by a later one of the same process."""


@dataclass(slots=True, eq=False)
class Stream:
    """What was sent to a follower on one stream, and heard."""

    place: Place
    epoch: Epoch  # of what it has; differs from the log's until it was sent a snapshot
    cursor: int  # everything up to here was sent, or it had it when it joined
    known: int  # what it had when it joined: it may be ahead of this log
    needed: int  # without having acknowledged this much on the stream, it is proven nothing
    heard_us: int
    sent_us: int
    acknowledged: int = 0
    unacknowledged: deque[tuple[int, int]] = field(
        default_factory=deque
    )  # of each batch, last entry and when
    probe: int = 0  # the last one heard, and when
    probe_us: int = 0
    answered: int = 0
    want_whole: bool = False
    whole_us: int | None = None  # when the whole configuration was last sent
    released: bool = False  # nothing is to be proven any more

    def keeps_up(self, now_us: int) -> bool:
        """Whether it hears and applies what it is sent, and need not be waited for without end."""
        waits_us = now_us - self.unacknowledged[0][1] if self.unacknowledged else 0
        return self.acknowledged >= self.needed and waits_us <= LAGGING_US


@dataclass(frozen=True, slots=True)
class Cut:
    """Up to where entries are visible to followers, and how current that is."""

    head: int
    made_us: int  # when entries were last made visible
    checked_us: int  # when the log had nothing beyond
    age_us: int | None  # the process's own age at that time; None: it has none to pass on
    source_age_us: int  # the part of it that is the source's
