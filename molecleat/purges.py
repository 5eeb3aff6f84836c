"""The purges a router still has to heed: what was purged, and when that was at the origin.

The table is a plain dictionary, so that snapshots of the module's state keep their form. It is gone through
for what has expired only when it has doubled since the last time, so adding a purge takes the same time on
average however many are kept.
"""

from __future__ import annotations

from molecleat import interface as api

Purges = dict[tuple[int, int], int]
"""When each was purged, in microseconds: objects under ``(1, key)``, groups under ``(0, group)``."""

LEAST_SIZE = 64  # entries; a smaller table is not gone through


def add(purges: Purges, key: int, group: int, made_us: int) -> None:
    """Take in a purge of an object, or with ``key`` 0 of a group."""
    what = (1, key) if key else (0, group)
    purges[what] = max(made_us, purges.get(what, 0))


def expire(purges: Purges, past_us: int) -> int:
    """Drop the purges made before ``past_us``; returns the size at which this is worth doing again."""
    for what in [what for what, made_us in purges.items() if made_us < past_us]:
        del purges[what]
    return max(LEAST_SIZE, 2 * len(purges))


def last(purges: Purges, key: int, group: int, past_us: int) -> int | None:
    """When the object, or its group, was last purged; None if not since ``past_us``."""
    made_us = max(purges.get((1, key), -1), purges.get((0, group), -1))
    return made_us if made_us >= max(0, past_us) else None


def oldest_copy(purges: Purges, request: api.Request, fresh_us: int, now_us: int, kept_us: int) -> int:
    """The largest age of a copy that will do for the request, in microseconds: ``fresh_us`` (0 for no bound)
    unless the object or its group was purged within ``kept_us``; then at least 1."""
    made_us = last(purges, request.key, request.group, now_us - kept_us)
    if made_us is None:
        return fresh_us
    since_us = max(1, now_us - made_us - 1)
    return min(since_us, fresh_us) if fresh_us else since_us
