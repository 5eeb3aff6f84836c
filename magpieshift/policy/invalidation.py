"""The purges a router still has to heed: what was purged, and when that was at the origin.

The table is a plain dictionary, so that snapshots of the module's state keep their form. It is gone through
for what has expired only when it has doubled since the last time, so adding a purge takes the same time on
average however many are kept. All times are microseconds; ``done_us`` is the time within which caches drop
purged copies by themselves.
"""

from __future__ import annotations

from magpieshift.policy.events import RequestReceived

Purges = dict[tuple[int, int], int]
"""When each was purged: objects under ``(1, key)``, groups under ``(0, group)``."""

LEAST_SIZE = 64  # entries; a smaller table is not gone through
KEPT_TIMES = 2  # a purge matters for so many times ``done_us``, which covers fills under way


def add(purges: Purges, key: int, group: int, made_us: int) -> None:
    """Take in a purge of an object, or with ``key`` 0 of a group."""
    what = (1, key) if key else (0, group)
    purges[what] = max(made_us, purges.get(what, 0))


def expire(purges: Purges, most: int, now_us: int, done_us: int) -> int:
    """Drop what matters no more once the table has ``most`` entries; returns the next size to do so at."""
    if len(purges) < most:
        return most
    past_us = now_us - KEPT_TIMES * done_us
    for what in [what for what, made_us in purges.items() if made_us < past_us]:
        del purges[what]
    return max(LEAST_SIZE, 2 * len(purges))


def oldest_copy(purges: Purges, request: RequestReceived, fresh_us: int, now_us: int, done_us: int) -> int:
    """The largest age of a copy that will do for the request: ``fresh_us`` (0 for no bound) unless the object
    or its group was purged lately; then at least 1."""
    made_us = max(purges.get((1, request.object_key), -1), purges.get((0, request.group), -1))
    if made_us < max(0, now_us - KEPT_TIMES * done_us):
        return fresh_us
    since_us = max(1, now_us - made_us - 1)
    return min(since_us, fresh_us) if fresh_us else since_us
