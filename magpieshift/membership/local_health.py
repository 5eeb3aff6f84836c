"""Whether this router itself runs and hears others, as Lifeguard's local health.

A process that was paused, runs late or is cut off sees all others silent. The silence is its own then, and it
must neither report nor declare anybody.
"""

from __future__ import annotations

from magpieshift.membership.probing import TICK_INTERVAL_US

# Without a heartbeat for this long a member is reported: three rounds of probes, each retried. Shorter finds
# dead members sooner and reports more members whose datagrams were lost.
HEARTBEAT_TIMEOUT_US = 2_400_000
MIN_PAUSE_US = 1_000_000  # a tick so late means that the process did not run
LATENESS_DECAY = 0.98  # a tick: lateness counts for some seconds; closer to 1 stays lenient for longer


class LocalHealth:
    """One router's record of its own pauses and silence; times are microseconds of its steady clock."""

    def __init__(self, now_us: int) -> None:
        self.now_us = now_us  # the latest time that was passed in
        self.resumed_us = now_us  # when the process last resumed from a pause
        self._last_tick_us = now_us
        self._last_heard_us = now_us  # when a datagram of any member last arrived
        self._lateness_us = 0  # of recent ticks, decaying

    def tick(self, now_us: int) -> bool:
        """Note a tick; whether the process was paused before it."""
        lateness_us = now_us - self._last_tick_us - TICK_INTERVAL_US
        self.now_us = now_us
        self._last_tick_us = now_us
        self._lateness_us = max(lateness_us, int(self._lateness_us * LATENESS_DECAY), 0)
        return lateness_us >= MIN_PAUSE_US

    def resume(self) -> None:
        """Silence up to now was this router's own."""
        self.resumed_us = self.now_us

    def hear(self) -> None:
        """A datagram of a member has arrived."""
        self._last_heard_us = self.now_us

    def is_isolated(self, present_count: int) -> bool:
        """Whether it has lately heard nobody, though others are present."""
        return present_count > 1 and self.now_us - self._last_heard_us >= HEARTBEAT_TIMEOUT_US

    def is_healthy(self, present_count: int) -> bool:
        """Whether it may report others: it runs, and hears."""
        has_run = self.now_us - self.resumed_us >= HEARTBEAT_TIMEOUT_US
        return not self.is_isolated(present_count) and has_run

    @property
    def heartbeat_timeout_us(self) -> int:
        """The heartbeat timeout, longer while this router's own ticks come late."""
        return HEARTBEAT_TIMEOUT_US + 2 * min(self._lateness_us, MIN_PAUSE_US)
