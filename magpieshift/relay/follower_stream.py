"""The state that a ``Fanout`` keeps for each stream."""

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
    """A batch or snapshot that has been sent but not acknowledged."""

    last: int
    """Sequence number of the last entry in it."""
    sent_us: int
    """When it was sent."""


@dataclass(slots=True, eq=False)
class FollowerStream:
    """What has been sent to and received from a follower on one stream. Times are of the monotonic clock."""

    follower: FollowerRecord
    """Record of the follower process."""
    epoch: Epoch
    """Epoch of the follower's position; differs from the log's epoch until the follower has been sent a
    snapshot."""
    cursor: int
    """Sequence number up to which everything was sent on the stream, or was present when the follower
    joined."""
    joined_with: int
    """Sequence number up to which the follower had everything when it joined; may be ahead of this log."""
    required_acknowledgement: int
    """Sequence number that the follower must acknowledge on this stream before it is sent a proof."""
    last_heard_us: int
    """When the last message was received."""
    last_sent_us: int
    """When the last message was sent."""
    acknowledged: int = 0
    """The highest sequence number that the follower has acknowledged."""
    unacknowledged: deque[SentEntries] = field(default_factory=deque)
    """The send window: batches and snapshots in flight, oldest first."""
    last_probe: int = 0
    """Number of the last probe received; 0 before the first."""
    last_probe_us: int = 0
    """When the last probe was received."""
    answered_probe: int = 0
    """Number of the last probe that has been answered."""
    wants_full: bool = False
    """Whether the follower waits for a complete configuration."""
    full_sent_us: int | None = None
    """When a complete configuration was last sent; None if none was."""
    lease_released: bool = False
    """Whether the follower has released its lease; it is then sent no proofs."""

    @property
    def window_open(self) -> bool:
        """Whether the send window has room for another batch."""
        return len(self.unacknowledged) < MAX_UNACKNOWLEDGED_BATCHES

    def is_keeping_up(self, now_us: int) -> bool:
        """Whether the follower acknowledges in time, so that it may be given a lease and the watermark may
        wait for it."""
        waiting_us = now_us - self.unacknowledged[0].sent_us if self.unacknowledged else 0
        return self.acknowledged >= self.required_acknowledgement and waiting_us <= MAX_ACKNOWLEDGE_DELAY_US

    def record(self, progress: Progress, now_us: int) -> None:
        """Record a progress message, except for its acknowledgement."""
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
        """Reset the position: the log has begun a new epoch, of which the follower has no entries."""
        self.cursor = 0
        self.joined_with = 0
        self.acknowledged = 0
        self.unacknowledged.clear()
