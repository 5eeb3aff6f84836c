"""Routers' own figures as they come from doors, and what was gained between two looks."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, field

COUNTS = ("asked", "served", "late", "refused", "failed", "left")
MOST_CLASSES = 64


class Unreadable(Exception):
    """No figures; the text says what was found."""


@dataclass(frozen=True)
class Figures:
    """One look at one process. Counters are since its start; ``rss_kb`` and ``descriptors`` are 0 where its
    system does not tell."""

    label: str
    incarnation: str
    state: str
    up_us: int
    classes: Mapping[str, Mapping[str, int]]
    cpu_us: int
    rss_kb: int = 0
    descriptors: int = 0
    settings: int = 0
    latency: Mapping[str, str] = field(default_factory=dict)  # by class, encoded histograms


def read(text: str) -> Figures:
    """A door's answer, without its OK; ``Unreadable`` where it is none. What a later version adds is passed
    over, and what an earlier one lacks is 0."""
    try:
        raw = json.loads(text)
        classes = {
            str(name): {count: max(0, int(row.get(count, 0))) for count in COUNTS}
            for name, row in list(raw["classes"].items())[:MOST_CLASSES]
        }
        latency = {str(name): str(row.get("latency", "")) for name, row in raw["classes"].items()}
        return Figures(
            str(raw["label"]),
            str(raw["incarnation"]),
            str(raw.get("state", "")),
            int(raw["up_us"]),
            classes,
            int(raw.get("cpu_us", 0)),
            int(raw.get("rss_kb", 0)),
            int(raw.get("descriptors", 0)),
            int(raw.get("settings", 0)),
            latency,
        )
    except (ValueError, KeyError, TypeError, AttributeError) as err:
        raise Unreadable(f"found {text[:80]!r}: {type(err).__name__}") from None


@dataclass(frozen=True)
class Gain:
    """What one process did between two looks; ``whole`` is false where it had begun anew meanwhile, and only
    what it did since is known."""

    classes: Mapping[str, Mapping[str, int]]
    cpu_us: int
    for_us: int
    whole: bool = True

    @property
    def asked(self) -> int:
        return sum(row["asked"] for row in self.classes.values())


def gain(before: Figures, after: Figures) -> Gain:
    """Counters of one incarnation only rise; those of another begin at 0."""
    whole = before.incarnation == after.incarnation
    old: Mapping[str, Mapping[str, int]] = before.classes if whole else {}
    classes = {
        name: {count: max(0, row[count] - old.get(name, {}).get(count, 0)) for count in COUNTS}
        for name, row in after.classes.items()
    }
    cpu = after.cpu_us - (before.cpu_us if whole else 0)
    up = after.up_us - (before.up_us if whole else 0)
    return Gain(classes, max(0, cpu), max(0, up), whole)
