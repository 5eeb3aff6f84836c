"""The times and bounds of the fan-out tier.

The lease and what hangs on it follow the product's promise: a purge is done everywhere within
``MAX_PURGE_US`` of its acceptance by the change log. Bounds on memory are multiples of the load that the
product names, 110 purges a second.
"""

from __future__ import annotations

# --- the lease

FRESHNESS_LEASE_US = 8_000_000
"""How old a follower's knowledge may be while it serves copies without a bound on their age; without a lease
it serves no copy older than this."""

MAX_PURGE_US = 9_700_000
"""From a purge's acceptance by the change log until it is done everywhere: the lease, and the time in which
one that has lapsed is noticed."""

CLOCK_DRIFT = 0.001
"""The greatest difference between the rates of any two machines' clocks; quartz keeps to a tenth of it."""

LEASE_LAPSE_MARGIN_US = 20_000
"""Added to the drift before a lease counts as lapsed: rounding, and drift of second order."""

# --- the streams

PROBE_INTERVAL_US = 500_000
"""Between a follower's probes, each of which acknowledges too: sixteen in a lease."""

MIN_ACKNOWLEDGE_INTERVAL_US = 100_000
"""Between acknowledgements of a follower that catches up: the window then holds half of what it may."""

BATCH_INTERVAL_US = 250_000
"""How long entries wait for others, so that all followers get the same batches; probes are answered within
it."""

HEARTBEAT_INTERVAL_US = 1_000_000
"""Between two messages to a follower, at most: one may be lost before ``RELAY_SILENCE_TIMEOUT_US``."""

RELAY_SILENCE_TIMEOUT_US = 2_000_000
"""A follower that hears nothing for so long goes to another relay: 6 s of its lease are left."""

RELAY_STALE_TIMEOUT_US = 5_000_000
"""A follower that hears nothing newer of the source for so long goes to another relay: 3 s are left."""

MAX_ACKNOWLEDGE_DELAY_US = 2_000_000
"""A follower with a batch unacknowledged for longer is sent no proof, so that it soon holds back nobody."""

FOLLOWER_SILENCE_TIMEOUT_US = 4_000_000
"""A stream on which no probe came for so long is ended: half a lease."""

MAX_SERVING_SYNC_AGE_US = 4_000_000
"""A relay that has heard of its source no later sends its followers elsewhere: they have 4 s left."""

UNKNOWN_AGE_US = 1 << 50
"""The age of a source that has not read its change log yet, 36 years: no lease can follow from it."""

MIN_PROCESS_PAUSE_US = 1_000_000
"""A process that was not called for so long was paused itself, and blames no silence on the other side."""

MAX_UNACKNOWLEDGED_BATCHES = 8
"""Of one follower: 2 s at ``BATCH_INTERVAL_US``, four acknowledgements."""

# --- memory

MAX_BATCH_ENTRIES = 512
"""In one batch; 250 ms at ten times 110 purges a second are 275."""

MAX_LOG_ENTRIES = 262_144
"""In a log: 39 minutes at 110 a second, 4 minutes at ten times that."""

MAX_FOLLOWERS = 4_096
"""Of one relay: names that come from the network must not fill the memory."""

MAX_PROBES = 64
"""Sent and remembered: 32 s at ``PROBE_INTERVAL_US``, by which every lease has lapsed."""

MAX_LAGGING_NAMES = 16
"""Listed in a report."""

# --- snapshots

MAX_SNAPSHOTS_PER_S = 60
"""Of one relay: 480 followers within a lease."""

SNAPSHOT_REUSE_US = 1_000_000
"""One snapshot, and the entries after it, serve all who need one within so long."""

MIN_FULL_CONFIGURATION_INTERVAL_US = 2_000_000
"""Before a complete configuration is sent again to the same follower."""

PURGE_RETENTION_US = 30_000_000
"""Of purges in snapshots: above twice the longest time in which caches drop purged copies."""

MAX_RECENT_PURGES = 33_000
"""In snapshots: ``PURGE_RETENTION_US`` at ten times 110 a second."""

# --- the choice of a relay

MIN_RETURN_DELAY_S = 30.0
"""Until a follower tries a relay that ranks higher, drawn anew each time: long beside a relay's start."""

MAX_RETURN_DELAY_S = 90.0
"""The longest such delay; the spread keeps a relay's followers from returning all at once."""

FAILOVER_INITIAL_BACKOFF_S = 0.2
"""The bound of the first jittered delay before the next relay."""

MAX_FAILOVER_BACKOFF_S = 5.0
"""The bound of all later ones: shorter than a lease."""

MAX_RELAY_FAILOVER_BACKOFF_S = 2.5
"""The same for a relay before the next source: its followers wait for it as well."""


def lease_lapse_us(lease_us: int = FRESHNESS_LEASE_US) -> int:
    """How long (us of this clock) a holder's lease may still hold, as its clock may run slower."""
    return int(lease_us * (1 + CLOCK_DRIFT)) + LEASE_LAPSE_MARGIN_US


def max_elapsed_us(duration_us: int) -> int:
    """The longest time that may really have passed while this clock measured ``duration_us``."""
    return int(duration_us * (1 + CLOCK_DRIFT)) + 1
