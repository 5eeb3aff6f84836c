"""What a ``Fanout`` knows of each stream."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from magpieshift.relay.limits import (
    MAX_ACKNOWLEDGE_DELAY_US,
    MAX_UNACKNOWLEDGED_BATCHES,
    MIN_FULL_CONFIGURATION_INTERVAL_US,
)
from magpieshift.relay.messages import Epoch, Progress
from magpieshift.relay.watermark import FollowerRecord


class SentEntries(NamedTuple):
    """A batch or snapshot that was sent and is not acknowledged yet."""

    last: int
    """Sequence number of its last entry."""
    sent_us: int
    """When it was sent."""


@dataclass(slots=True, eq=False)
class FollowerStream:
    """What was sent to a follower on one stream, and received from it. Times are of the monotonic clock."""

    follower: FollowerRecord
    """The process at the other end."""
    epoch: Epoch
    """Of what the follower has; differs from the log's until it was sent a snapshot."""
    cursor: int
    """Everything up to here was sent on the stream, or the follower had it when it joined."""
    joined_with: int
    """What the follower had when it joined: it may be ahead of this log."""
    required_acknowledgement: int
    """The follower is sent no proof before it has acknowledged this much on the stream."""
    last_heard_us: int
    """When its last message came."""
    last_sent_us: int
    """When it was last sent something."""
    acknowledged: int = 0
    """The highest sequence number that it has acknowledged."""
    unacknowledged: deque[SentEntries] = field(default_factory=deque)
    """The open window, oldest first."""
    last_probe: int = 0
    """Number of the last probe that came; 0 before the first."""
    last_probe_us: int = 0
    """When that probe came."""
    answered_probe: int = 0
    """Number of the last probe that was answered."""
    wants_full: bool = False
    """Whether it waits for a complete configuration."""
    full_sent_us: int | None = None
    """When a complete configuration was last sent."""
    lease_released: bool = False
    """Whether it takes no lease any more: it is sent no proof."""

    @property
    def window_open(self) -> bool:
        """Whether one more batch may be sent."""
        return len(self.unacknowledged) < MAX_UNACKNOWLEDGED_BATCHES

    def is_keeping_up(self, now_us: int) -> bool:
        """Whether it applies what it is sent, so that the watermark may wait for it."""
        waiting_us = now_us - self.unacknowledged[0].sent_us if self.unacknowledged else 0
        return self.acknowledged >= self.required_acknowledgement and waiting_us <= MAX_ACKNOWLEDGE_DELAY_US

    def record(self, progress: Progress, now_us: int) -> None:
        """Note a message of the follower, apart from what it acknowledges."""
        self.last_heard_us = now_us
        self.follower.last_heard_us = now_us
        self.follower.last_progress = progress
        if progress.probe > self.last_probe:
            self.last_probe = progress.probe
            self.last_probe_us = now_us
        sent_lately = (
            self.full_sent_us is not None and now_us - self.full_sent_us < MIN_FULL_CONFIGURATION_INTERVAL_US
        )
        self.wants_full = self.wants_full or (progress.wants_full and not sent_lately)

    def begin_epoch(self) -> None:
        """The log has begun a new epoch, of which the follower has nothing."""
        self.cursor = 0
        self.joined_with = 0
        self.acknowledged = 0
        self.unacknowledged.clear()
