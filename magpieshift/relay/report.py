"""How far followers lag: the report of a relay to its source, and the follower status for operators."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from magpieshift.relay.limits import MAX_LAGGING_NAMES
from magpieshift.relay.messages import Epoch
from magpieshift.relay.watermark import FollowerRecord


@dataclass(frozen=True, slots=True)
class DownstreamReport:
    """The report of a relay on its followers, which it sends to its source in ``Progress``."""

    epoch: Epoch
    """Epoch of the watermark."""
    watermark: int
    """Sequence number up to which the relay and every follower that may hold a lease have applied
    everything."""
    lagging_names: tuple[str, ...]
    """Names of some followers without the newest version."""
    lagging_count: int
    """Number of followers without the newest version."""
    follower_count: int
    """Number of connected followers, including those of relays below."""


@dataclass(frozen=True, slots=True)
class FollowerStatus:
    """Status of one follower for operators."""

    name: str
    """Name of the follower."""
    boot: str
    """Identifies the run of the process; new with each start."""
    connected: bool
    """Whether the follower has a stream."""
    applied: int
    """Sequence number up to which it has acknowledged everything in this epoch."""
    lag_entries: int
    """Number of entries that it has not acknowledged."""
    silent_us: int
    """Time since its last message."""
    may_hold_lease: bool
    """Whether it may hold a lease; the watermark then waits for it."""
    configuration_digest: str
    """Digest of the configuration version in force at the follower."""
    rejected_version: int
    """Number of a version that it rejected; 0 if none."""
    rejection_reason: str
    """Why it rejected that version."""
    invalid_acknowledgements: int
    """Number of its acknowledgements of entries that it had not been sent."""


def make_report(
    epoch: Epoch, watermark: int, followers: Iterable[FollowerRecord], newest_digest: str
) -> DownstreamReport:
    """Build the report from the connected followers and the reports of their own followers. Without a newest
    version, no direct follower counts as lagging."""
    lagging_names: list[str] = []
    lagging_count = 0
    follower_count = 0
    for follower in followers:
        if follower.stream_number is None:
            continue
        follower_count += 1
        last = follower.last_progress
        if newest_digest and (last is None or last.configuration_digest != newest_digest):
            lagging_count += 1
            lagging_names.append(follower.name)
        if last is not None:
            follower_count += last.follower_count
            lagging_count += last.lagging_count
            lagging_names.extend(last.lagging_names)
    return DownstreamReport(
        epoch, watermark, tuple(lagging_names[:MAX_LAGGING_NAMES]), lagging_count, follower_count
    )


def make_status(followers: Iterable[FollowerRecord], head: int, now_us: int) -> tuple[FollowerStatus, ...]:
    """Status of all followers, sorted by name."""
    found = [_status(follower, head, now_us) for follower in followers]
    return tuple(sorted(found, key=lambda status: (status.name, status.boot)))


def _status(follower: FollowerRecord, head: int, now_us: int) -> FollowerStatus:
    last = follower.last_progress
    return FollowerStatus(
        name=follower.name,
        boot=follower.boot,
        connected=follower.stream_number is not None,
        applied=follower.applied,
        lag_entries=max(0, head - follower.applied),
        silent_us=now_us - follower.last_heard_us,
        may_hold_lease=follower.may_hold_lease(now_us),
        configuration_digest=last.configuration_digest if last else "",
        rejected_version=last.rejected_version if last else 0,
        rejection_reason=last.rejection_reason if last else "",
        invalid_acknowledgements=follower.invalid_acknowledgements,
    )
