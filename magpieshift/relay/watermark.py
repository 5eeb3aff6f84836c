"""Which followers hold back the watermark, and how far all of them have come.

A process holds it back from the first proof that is sent to it until no proof sent to it can still give it a
lease, also after its stream has ended. Records are kept per process (name and boot), not per name: a follower
that was killed holds no lease, but a paused one wakes with the lease it had while another runs under its
name, and from here they look alike. And the record of a relay that was killed stands for its followers, which
still hold leases by its proofs. Only a process that releases its lease (``Progress.lease_released``) stops
holding it back at once.
"""

from __future__ import annotations

from dataclasses import dataclass

from magpieshift.relay.messages import Progress


@dataclass(slots=True, eq=False)
class FollowerRecord:
    """One process that follows, on whatever stream. Times are of the monotonic clock."""

    name: str
    """By which it joined."""
    boot: str
    """New with each of its starts."""
    last_heard_us: int
    """When it last sent something."""
    stream_number: int | None = None
    """Its present stream; None while it has none."""
    applied: int = 0
    """What it has acknowledged in this epoch."""
    subtree_applied: int = 0
    """What it and all that follow it have applied in this epoch."""
    lease_until_us: int | None = None
    """By when its lease has surely lapsed; None: it has none."""
    last_progress: Progress | None = None
    """The last acknowledgement that came."""
    invalid_acknowledgements: int = 0
    """Acknowledgements of what it had not been sent."""

    def may_hold_lease(self, now_us: int) -> bool:
        """Whether a proof that was sent to it may still give it a lease."""
        return self.lease_until_us is not None and now_us < self.lease_until_us


class Watermark:
    """The records of all processes that follow or followed lately, and the watermark over them."""

    def __init__(self) -> None:
        self.followers: dict[tuple[str, str], FollowerRecord] = {}
        """By name and boot."""
        self._position = 0

    def follower(self, name: str, boot: str, now_us: int) -> FollowerRecord:
        """The record of a process, which may be new."""
        record = self.followers.get((name, boot))
        if record is None:
            record = FollowerRecord(name, boot, now_us)
            self.followers[name, boot] = record
        record.last_heard_us = now_us
        return record

    def begin_epoch(self) -> None:
        """A new epoch begins, of which nobody has anything. Leases go on."""
        self._position = 0
        for follower in self.followers.values():
            follower.applied = 0
            follower.subtree_applied = 0

    def acknowledge(self, follower: FollowerRecord, applied: int, subtree_applied: int) -> None:
        """A process acknowledged so much of this epoch, for itself and for all that follow it."""
        follower.applied = max(follower.applied, applied)
        follower.subtree_applied = max(follower.subtree_applied, min(applied, subtree_applied))

    def extend_lease(self, follower: FollowerRecord, until_us: int) -> None:
        """A proof is sent whose lease has lapsed by ``until_us``."""
        follower.lease_until_us = max(until_us, follower.lease_until_us or until_us)

    def release_lease(self, follower: FollowerRecord) -> None:
        """The process holds no lease by what was sent to it until now."""
        follower.lease_until_us = None

    def advance(self, own_applied: int, now_us: int) -> int:
        """The watermark: the lowest of all that may hold a lease and of this process's own; never goes back
        within an epoch. A follower that gets a lease later has come as far as this process was then."""
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
