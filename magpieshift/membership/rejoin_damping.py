"""Flap damping: delays the return of members that repeatedly die and rejoin.

Each return changes quotas, routes and the decisions of all other routers. A member that has returned too
often therefore has to send heartbeats for some time before it counts as present; the wait doubles with each
return.
"""

from __future__ import annotations

from magpieshift.membership.member import KnownMember

REJOIN_MEMORY_US = 600_000_000  # time for which a return counts; longer also damps slower flapping
UNDAMPED_REJOINS = 2  # returns within that time without a wait, since one or two restarts are normal
MIN_REJOIN_WAIT_US = 5_000_000  # the first wait; longer delays a member that has recovered
MAX_REJOIN_WAIT_US = 60_000_000  # upper limit of the doubled wait, so that a recovered member is not kept out
MAX_HEARTBEAT_GAP_US = 3_000_000  # a longer gap restarts the wait; exceeds the heartbeat timeout
MAX_DOUBLINGS = 8  # more would not matter, as the wait has reached its upper limit by then
MAX_REJOINS_KEPT = 16  # times of returns stored per member


def is_rejoin_delayed(known: KnownMember, gap_us: int, now_us: int) -> bool:
    """Whether a dead member that sends heartbeats again has to wait; records the return if it need not.

    ``gap_us`` is the time since its previous heartbeat arrived.
    """
    recent = tuple(rejoined for rejoined in known.rejoined_at_us if now_us - rejoined < REJOIN_MEMORY_US)
    excess = len(recent) - UNDAMPED_REJOINS
    if known.stable_since_us < 0 or gap_us >= MAX_HEARTBEAT_GAP_US:
        known.stable_since_us = now_us
    if excess >= 0:
        wait_us = min(MAX_REJOIN_WAIT_US, MIN_REJOIN_WAIT_US << min(excess, MAX_DOUBLINGS))
        if now_us - known.stable_since_us < wait_us:
            return True
    known.rejoined_at_us = (*recent, now_us)[-MAX_REJOINS_KEPT:]
    known.stable_since_us = -1
    return False
