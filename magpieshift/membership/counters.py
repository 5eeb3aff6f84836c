"""Counters of one router's membership, named as in the answer of the admin command MEMBERS."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class MembershipCounters:
    """Totals since the start of the process. They count datagrams unless stated otherwise."""

    sent: int = 0
    taken: int = 0  # admitted
    other_fleet: int = 0  # dropped: from another fleet
    replayed: int = 0  # dropped: duplicate, or behind the replay window
    flooded: int = 0  # dropped: in excess of the rate limit of an address, or of the limit per tick
    malformed: int = 0  # dropped: could not be decoded
    slept: int = 0  # pauses of this process
    conflicts: int = 0  # live processes that were found under this router's name
