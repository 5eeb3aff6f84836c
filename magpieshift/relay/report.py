"""How far followers lag: what a relay reports to its source, and what operators see."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from magpieshift.relay.limits import MAX_LAGGING_NAMES
from magpieshift.relay.messages import Epoch
from magpieshift.relay.watermark import FollowerRecord


@dataclass(frozen=True, slots=True)
class DownstreamReport:
    """What a relay reports to its source about its followers, for its ``Progress``."""

    epoch: Epoch
    """Of the watermark."""
    watermark: int
    """Up to where the relay and every follower that may hold a lease have applied everything."""
    lagging_names: tuple[str, ...]
    """Some followers without the newest version."""
    lagging_count: int
    """How many followers lack the newest version."""
    follower_count: int
    """How many are connected, with those of relays below."""


@dataclass(frozen=True, slots=True)
class FollowerStatus:
    """One follower as operators see it."""

    name: str
    """By which it joined."""
    boot: str
    """New with each of its starts."""
    connected: bool
    """Whether it has a stream."""
    applied: int
    """What it has acknowledged in this epoch."""
    lag_entries: int
    """How many entries it has not acknowledged."""
    silent_us: int
    """Since its last message."""
    may_hold_lease: bool
    """Whether the watermark waits for it."""
    configuration_digest: str
    """Of the version in force there."""
    rejected_version: int
    """Number of a version that it rejected; 0 if none."""
    rejection_reason: str
    """Why it did."""
    invalid_acknowledgements: int
    """Acknowledgements of what it had not been sent."""


def make_report(
    epoch: Epoch, watermark: int, followers: Iterable[FollowerRecord], newest_digest: str
) -> DownstreamReport:
    """The report over the followers that are connected, and over what these report of their own. Nobody lags
    while there is no newest version."""
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
    """All followers, by name."""
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
