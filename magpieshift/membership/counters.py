"""Counters of one router's membership, under the names that the admin command MEMBERS shows."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class MembershipCounters:
    """Totals since the start of the process; datagrams unless said otherwise."""

    sent: int = 0
    taken: int = 0  # admitted
    other_fleet: int = 0  # dropped: of another fleet
    replayed: int = 0  # dropped: came again, or too late
    flooded: int = 0  # dropped: beyond the rate of an address, or of a tick
    malformed: int = 0  # dropped: not to be decoded
    slept: int = 0  # pauses of this process
    conflicts: int = 0  # other processes found alive under this router's name
