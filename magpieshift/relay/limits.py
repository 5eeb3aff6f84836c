"""Time limits and size limits of the fan-out tier.

The lease and the time-outs that depend on it follow from the product's guarantee: a purge is done everywhere
within ``MAX_PURGE_US`` of its acceptance by the change log. Memory limits are multiples of the specified
load of 110 purges a second.
"""

from __future__ import annotations

# --- the lease

FRESHNESS_LEASE_US = 8_000_000
"""Duration of the freshness lease: the age that a follower's knowledge must stay below while it serves copies
without an age bound. Without a lease it serves no copy older than this."""

MAX_PURGE_US = 9_700_000
"""Longest time from a purge's acceptance by the change log until it is done everywhere: the lease, plus the
time until the lapse of a lease is noticed."""

CLOCK_DRIFT = 0.001
"""Greatest relative difference between the clock rates of any two machines; quartz clocks keep to a tenth of
it."""

LEASE_LAPSE_MARGIN_US = 20_000
"""Margin added to the clock drift before a lease counts as lapsed; covers rounding and second-order drift."""

# --- the streams

PROBE_INTERVAL_US = 500_000
"""Interval between a follower's probes, each of which is also an acknowledgement; a lease lasts for
sixteen."""

MIN_ACKNOWLEDGE_INTERVAL_US = 100_000
"""Interval between acknowledgements of a follower that is catching up: one that has received half a send
window since its last acknowledgement, or has no proof on its stream yet."""

BATCH_INTERVAL_US = 250_000
"""Longest time that entries wait to be batched, so that all followers get the same batches; probes are
answered within the same time."""

HEARTBEAT_INTERVAL_US = 1_000_000
"""Longest interval between two messages to a follower: one heartbeat may be lost before
``RELAY_SILENCE_TIMEOUT_US`` has passed."""

RELAY_SILENCE_TIMEOUT_US = 2_000_000
"""Time without any message from a relay after which a follower changes to another one; 6 s of its lease are
left."""

RELAY_STALE_TIMEOUT_US = 5_000_000
"""Time without newer data or proofs of the source after which a follower changes to another relay; 3 s of its
lease are left."""

MAX_ACKNOWLEDGE_DELAY_US = 2_000_000
"""A follower that leaves a batch unacknowledged for longer is sent no proof: its lease lapses, and it no
longer holds back the watermark."""

FOLLOWER_SILENCE_TIMEOUT_US = 4_000_000
"""Time without a message from a follower after which its stream is ended: half a lease."""

MAX_SERVING_SYNC_AGE_US = 4_000_000
"""Sync age (time since a relay last had everything that its source had) at which a relay sends its followers
to other relays; 4 s of their leases are left."""

UNKNOWN_AGE_US = 1 << 50
"""Age stated for a source that has not read its change log yet: 36 years, so that no lease can result from
it."""

MIN_PROCESS_PAUSE_US = 1_000_000
"""Interval between two ``Follower.check`` calls from which the process counts as having been paused itself;
it then restarts its silence and staleness time-outs."""

MAX_UNACKNOWLEDGED_BATCHES = 8
"""Send window of one follower, in batches: 2 s at ``BATCH_INTERVAL_US``, or four acknowledgements."""

# --- memory

MAX_BATCH_ENTRIES = 512
"""Maximum entries of one batch; 250 ms at ten times 110 purges a second are 275."""

MAX_LOG_ENTRIES = 262_144
"""Maximum entries of a log: 39 minutes at 110 a second, 4 minutes at ten times that."""

MAX_FOLLOWERS = 4_096
"""Maximum followers of one relay, so that names received from the network cannot fill the memory."""

MAX_PROBES = 64
"""Maximum sent probes that a follower remembers: 32 s at ``PROBE_INTERVAL_US``, by which time every lease has
lapsed."""

MAX_LAGGING_NAMES = 16
"""Maximum names of lagging followers in a report."""

# --- snapshots

MAX_SNAPSHOTS_PER_S = 60
"""Maximum snapshots a second of one relay: enough for 480 followers within a lease."""

SNAPSHOT_REUSE_US = 1_000_000
"""Time for which a snapshot is reused: followers that need one within it get the same snapshot, and the
entries after it."""

MIN_FULL_CONFIGURATION_INTERVAL_US = 2_000_000
"""Minimum interval between two complete configurations that are sent to the same follower."""

PURGE_RETENTION_US = 30_000_000
"""How long purges are retained for snapshots: more than twice the longest time that caches take to drop
purged copies."""

MAX_RECENT_PURGES = 33_000
"""Maximum purges in a snapshot: those of ``PURGE_RETENTION_US`` at ten times 110 a second."""

# --- the choice of a relay

MIN_RETURN_DELAY_S = 30.0
"""Shortest delay until a follower tries a relay that ranks higher; drawn at random each time, and long
compared with a relay's start."""

MAX_RETURN_DELAY_S = 90.0
"""Longest delay until a follower tries a relay that ranks higher; the spread keeps a relay's followers from
returning all at once."""

FAILOVER_INITIAL_BACKOFF_S = 0.2
"""Upper bound of the first jittered delay before the next relay is tried."""

MAX_FAILOVER_BACKOFF_S = 5.0
"""Upper bound of all later delays before the next relay is tried; shorter than a lease."""

MAX_RELAY_FAILOVER_BACKOFF_S = 2.5
"""Upper bound of the later delays of a relay before it tries the next source; lower than that of other
followers, since its own followers wait for it as well."""


def lease_lapse_us(lease_us: int = FRESHNESS_LEASE_US) -> int:
    """Time on this machine's clock after which a lease of ``lease_us`` has lapsed for certain, even if its
    holder's clock runs slower."""
    return int(lease_us * (1 + CLOCK_DRIFT)) + LEASE_LAPSE_MARGIN_US


def max_elapsed_us(duration_us: int) -> int:
    """The longest real time that may have passed while this machine's clock measured ``duration_us``."""
    return int(duration_us * (1 + CLOCK_DRIFT)) + 1
