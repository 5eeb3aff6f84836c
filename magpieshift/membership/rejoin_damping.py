"""Damping of members that keep coming and going.

Each return moves quotas, routes and what others decide, for all. A member that has come back too often is
therefore heard for a while before it counts as present again; the wait doubles with each return.
"""

from __future__ import annotations

from magpieshift.membership.member import KnownMember

REJOIN_MEMORY_US = 600_000_000  # returns count for this long; longer damps slower flapping
FREE_REJOINS = 2  # returns within the memory that are not held back: a restart or two is ordinary
MIN_STABLE_US = 5_000_000  # the first wait; longer delays a member that recovered
MAX_STABLE_US = 60_000_000  # bound of the doubled wait, so that a member that recovered is not kept out
MAX_HEARTBEAT_GAP_US = 3_000_000  # a longer silence begins the wait anew; above the heartbeat timeout
MAX_DOUBLINGS = 8  # beyond it the wait is at its bound anyway
MAX_REJOINS_KEPT = 16  # per member


def is_rejoin_held_back(known: KnownMember, gap_us: int, now_us: int) -> bool:
    """Whether a dead member that is heard again has to wait; notes the return where it has not.

    ``gap_us`` is the time since its heartbeat last rose.
    """
    recent = tuple(rejoined for rejoined in known.rejoined_at_us if now_us - rejoined < REJOIN_MEMORY_US)
    excess = len(recent) - FREE_REJOINS
    if known.stable_since_us < 0 or gap_us >= MAX_HEARTBEAT_GAP_US:
        known.stable_since_us = now_us
    if excess >= 0:
        wait_us = min(MAX_STABLE_US, MIN_STABLE_US << min(excess, MAX_DOUBLINGS))
        if now_us - known.stable_since_us < wait_us:
            return True
    known.rejoined_at_us = (*recent, now_us)[-MAX_REJOINS_KEPT:]
    known.stable_since_us = -1
    return False
