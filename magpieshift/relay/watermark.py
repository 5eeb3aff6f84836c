"""Computes the watermark, and tracks which followers hold it back.

A process holds back the watermark from the first proof that is sent to it until no proof sent to it can still
give it a lease, even after its stream has ended. Records are kept per process (name and boot), not per name:
a killed follower holds no lease, but a paused one may resume with its old lease while another process runs
under its name, and the server cannot tell the two cases apart. The record of a killed relay also stands for
its followers, which still hold leases from its proofs. Only a process that releases its lease
(``Progress.lease_released``) stops holding back the watermark at once.
"""

from __future__ import annotations

from dataclasses import dataclass

from magpieshift.relay.messages import Progress


@dataclass(slots=True, eq=False)
class FollowerRecord:
    """Record of one follower process, over all its streams. Times are of the monotonic clock."""

    name: str
    """Name of the follower."""
    boot: str
    """Identifies the run of the process; new with each start."""
    last_heard_us: int
    """When its last message was received."""
    stream_number: int | None = None
    """Number of its present stream; None if it has none."""
    applied: int = 0
    """Sequence number up to which it has acknowledged everything in this epoch."""
    subtree_applied: int = 0
    """Sequence number up to which it and all processes below it have applied everything in this epoch."""
    lease_until_us: int | None = None
    """When its lease has lapsed for certain; None if it was given none or has released it."""
    last_progress: Progress | None = None
    """The last progress message received; None before the first."""
    invalid_acknowledgements: int = 0
    """Number of its acknowledgements of entries that it had not been sent."""

    def may_hold_lease(self, now_us: int) -> bool:
        """Whether a proof that was sent to the process may still give it a lease."""
        return self.lease_until_us is not None and now_us < self.lease_until_us


class Watermark:
    """The records of all processes that follow or may still hold a lease, and the watermark over them."""

    def __init__(self) -> None:
        self.followers: dict[tuple[str, str], FollowerRecord] = {}
        """Records by name and boot."""
        self._position = 0

    def follower(self, name: str, boot: str, now_us: int) -> FollowerRecord:
        """The record of a process; created if there is none."""
        record = self.followers.get((name, boot))
        if record is None:
            record = FollowerRecord(name, boot, now_us)
            self.followers[name, boot] = record
        record.last_heard_us = now_us
        return record

    def begin_epoch(self) -> None:
        """Begin a new epoch, of which no process has applied anything. Leases remain valid."""
        self._position = 0
        for follower in self.followers.values():
            follower.applied = 0
            follower.subtree_applied = 0

    def acknowledge(self, follower: FollowerRecord, applied: int, subtree_applied: int) -> None:
        """Record an acknowledgement in this epoch: of the process itself, and of all processes below it."""
        follower.applied = max(follower.applied, applied)
        follower.subtree_applied = max(follower.subtree_applied, min(applied, subtree_applied))

    def extend_lease(self, follower: FollowerRecord, until_us: int) -> None:
        """Record that a proof is sent, whose lease has lapsed for certain at ``until_us``."""
        follower.lease_until_us = max(until_us, follower.lease_until_us or until_us)

    def release_lease(self, follower: FollowerRecord) -> None:
        """Record that the process holds no lease from the proofs sent to it until now."""
        follower.lease_until_us = None

    def advance(self, own_applied: int, now_us: int) -> int:
        """Update and return the watermark: the minimum of this process's own position and those of all
        followers that may hold a lease. Never decreases within an epoch: a follower that gets a lease later
        has applied everything that this process had then."""
        applied = [
            follower.subtree_applied
            for follower in self.followers.values()
            if follower.may_hold_lease(now_us)
        ]
        self._position = max(self._position, min([own_applied, *applied]))
        return self._position

    def forget_expired(self, now_us: int) -> None:
        """Forget processes without a stream whose leases have lapsed."""
        expired = [
            key
            for key, follower in self.followers.items()
            if follower.stream_number is None and not follower.may_hold_lease(now_us)
        ]
        for key in expired:
            del self.followers[key]
