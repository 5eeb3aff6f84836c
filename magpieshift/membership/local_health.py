"""Local health, as in Lifeguard: whether this router itself runs on time and receives datagrams.

To a process that was paused, runs late or is cut off, all other members appear silent. Since the fault is its
own, it must neither report members nor declare them dead.
"""

from __future__ import annotations

from magpieshift.membership.probing import TICK_INTERVAL_US

# Time without a heartbeat after which a member is reported: three rounds of probes, each with a retry.
# Shorter detects dead members sooner and reports more live members whose datagrams were lost.
HEARTBEAT_TIMEOUT_US = 2_400_000
MIN_PAUSE_US = 1_000_000  # lateness of a tick from which the process counts as having been paused
# Factor per tick, by which lateness extends the time-out for some seconds; closer to 1 extends it for longer.
LATENESS_DECAY = 0.98


class LocalHealth:
    """One router's record of its own pauses and isolation; times are microseconds of its steady clock."""

    def __init__(self, now_us: int) -> None:
        self.now_us = now_us  # the time of the last tick or received datagram
        self.resumed_us = now_us  # when the process last resumed from a pause
        self._last_tick_us = now_us
        self._last_heard_us = now_us  # when a datagram of any member last arrived
        self._lateness_us = 0  # decaying maximum of the lateness of recent ticks

    def tick(self, now_us: int) -> bool:
        """Record a tick; returns whether the process was paused before it."""
        lateness_us = now_us - self._last_tick_us - TICK_INTERVAL_US
        self.now_us = now_us
        self._last_tick_us = now_us
        self._lateness_us = max(lateness_us, int(self._lateness_us * LATENESS_DECAY), 0)
        return lateness_us >= MIN_PAUSE_US

    def resume(self) -> None:
        """Record that the process has resumed from a pause."""
        self.resumed_us = self.now_us

    def record_datagram(self) -> None:
        """Record that a datagram of a member has arrived."""
        self._last_heard_us = self.now_us

    def is_isolated(self, present_count: int) -> bool:
        """Whether no member's datagram arrived within the heartbeat timeout, although others are present."""
        return present_count > 1 and self.now_us - self._last_heard_us >= HEARTBEAT_TIMEOUT_US

    def is_healthy(self, present_count: int) -> bool:
        """Whether this router may report others: it is not isolated and was not paused recently."""
        has_run = self.now_us - self.resumed_us >= HEARTBEAT_TIMEOUT_US
        return not self.is_isolated(present_count) and has_run

    @property
    def heartbeat_timeout_us(self) -> int:
        """The heartbeat timeout, extended while this router's own ticks are late."""
        return HEARTBEAT_TIMEOUT_US + 2 * min(self._lateness_us, MIN_PAUSE_US)
