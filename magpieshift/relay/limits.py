"""The times and bounds of the fan-out tier. Times are microseconds unless the name says otherwise."""

from __future__ import annotations

LEASE_US = 8_000_000  # how old a follower's currency may be, and the age of copies it accepts beyond that
PURGE_BOUND_US = 9_700_000  # from a purge's acceptance by the change log until it is done everywhere
CLOCK_DRIFT = 0.001  # the greatest difference between the rates of any two machines' clocks
LAPSE_MARGIN_US = 20_000  # on top of the drift before a lease counts as lapsed: rounding, second-order drift

PROBE_US = 500_000  # a follower acknowledges and probes so often
ACKNOWLEDGE_US = 100_000  # and not more often, even while it catches up
BATCH_US = 250_000  # entries wait for others so long; probes are answered within it
HEARTBEAT_US = 1_000_000  # something is sent so often: two may be lost before ``SILENCE_US``
SILENCE_US = 2_000_000  # a follower that hears nothing for so long tries another relay
LAGGING_US = 2_000_000  # who has a batch unacknowledged for longer is proven nothing, and soon counts no more
FOLLOWER_SILENCE_US = 4_000_000  # a stream on which no probe came for so long is ended: half a lease is left
STALE_US = (
    5_000_000  # who has heard nothing newer of the source for so long tries another relay: 3 s are left
)
UNFIT_US = 4_000_000  # who has heard of its source no later sends its followers elsewhere: 4 s are left
UNKNOWN_AGE_US = 1 << 50  # of a source that has not read its change log yet: 36 years
PAUSE_US = 1_000_000  # who was not called for so long was paused itself, and does not blame the other side

WINDOW_BATCHES = 8  # unacknowledged batches of a follower: 2 s at ``BATCH_US``, four acknowledgements
MOST_BATCH_ENTRIES = 512  # 250 ms at ten times 110 purges a second are 275
MOST_LOG_ENTRIES = 262_144  # 39 minutes at 110 a second, 4 minutes at ten times that
MOST_FOLLOWERS = 4_096  # of one relay: names from the network must not fill the memory
MOST_PROBES = 64  # sent and remembered: 32 s at ``PROBE_US``, by which every lease has lapsed
MOST_BEHIND_NAMES = 16  # listed in a report

SNAPSHOTS_PER_S = 60  # of one relay: 480 followers within a lease
SNAPSHOT_REUSED_US = 1_000_000  # one snapshot and the entries after it serve all who need one within this
WHOLE_AGAIN_US = 2_000_000  # a whole configuration is not sent again to the same follower before
PURGES_KEPT_US = 30_000_000  # in snapshots: above twice the longest time in which caches drop purged copies
MOST_PURGES = 33_000  # in snapshots: ``PURGES_KEPT_US`` at ten times 110 a second

# until a follower goes back to a better relay, drawn anew
RETURN_LEAST_S = 30.0
RETURN_MOST_S = 90.0
# jittered pauses before the next relay
FAILOVER_FIRST_S = 0.2
FAILOVER_MOST_S = 5.0
RELAY_FAILOVER_MOST_S = 2.5  # the same of a relay, before the next source: its followers wait for it


def lapse_us(lease_us: int = LEASE_US) -> int:
    """How long a holder's lease may still hold, by a clock whose rate differs from the holder's."""
    return int(lease_us * (1 + CLOCK_DRIFT)) + LAPSE_MARGIN_US


def stretched(duration_us: int) -> int:
    """The longest time that may really have passed while this clock measured ``duration_us``."""
    return int(duration_us * (1 + CLOCK_DRIFT)) + 1
