"""What the membership of one router counts."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class MembershipCounters:
    """What has been dropped and why, and what was done."""

    sent: int = 0
    taken: int = 0
    other_fleet: int = 0
    replayed: int = 0
    flooded: int = 0
    malformed: int = 0
    slept: int = 0
    conflicts: int = 0
