"""How far behind is whom: what a relay tells its source, and what operators see."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from magpieshift.relay.limits import MOST_BEHIND_NAMES
from magpieshift.relay.messages import Epoch
from magpieshift.relay.watermark import Place


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
    refused: int  # number of a version it turned down, and why
    refusal: str
    disbelieved: int  # acknowledgements of what it had not been sent


def make_report(epoch: Epoch, done: int, places: Iterable[Place], newest_digest: str) -> Report:
    """The report over the followers that are connected, and over what these report of their own. Nobody is
    behind where there is no newest version."""
    behind: list[str] = []
    behind_count = 0
    followers = 0
    for place in places:
        if place.stream is None:
            continue
        followers += 1
        if newest_digest and (place.last is None or place.last.configuration != newest_digest):
            behind_count += 1
            behind.append(place.name)
        if place.last is not None:
            followers += place.last.followers
            behind_count += place.last.behind_count
            behind.extend(place.last.behind)
    return Report(epoch, done, tuple(behind[:MOST_BEHIND_NAMES]), behind_count, followers)


def make_status(places: Iterable[Place], head: int, now_us: int) -> tuple[FollowerStatus, ...]:
    """All followers, by name."""
    found = [_status(place, head, now_us) for place in places]
    return tuple(sorted(found, key=lambda status: (status.name, status.boot)))


def _status(place: Place, head: int, now_us: int) -> FollowerStatus:
    last = place.last
    return FollowerStatus(
        name=place.name,
        boot=place.boot,
        connected=place.stream is not None,
        applied=place.applied,
        behind=max(0, head - place.applied),
        heard_us=now_us - place.heard_us,
        counts=place.counts(now_us),
        configuration=last.configuration if last else "",
        refused=last.refused if last else 0,
        refusal=last.refusal if last else "",
        disbelieved=place.disbelieved,
    )
