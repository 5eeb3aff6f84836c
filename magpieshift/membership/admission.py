"""Admission of datagrams: drops those of other fleets, those in excess of a rate limit, and replayed ones."""

from __future__ import annotations

from dataclasses import dataclass

from magpieshift.membership.counters import MembershipCounters
from magpieshift.membership.member_table import MemberTable
from magpieshift.membership.messages import Address, Datagram

REPLAY_WINDOW = 64  # sequence numbers within which a sender's datagrams may be reordered (as in RFC 4303)
RATE_PER_S = 200.0  # datagrams per second admitted from one address; a peer sends far fewer, a flood far more
BURST_DATAGRAMS = 400.0  # two seconds at that rate, which may arrive at once after a pause of this process
MAX_EXTRA_ENTRIES = 1024  # entries kept in addition to those of members, before idle entries are dropped


@dataclass(slots=True)
class _ReplayWindow:
    """The sequence numbers that have arrived from one process."""

    highest: int = 0
    seen_bits: int = 0  # bit n is set if number ``highest - n`` has arrived; ``REPLAY_WINDOW`` bits

    def is_new(self, sequence_number: int) -> bool:
        """Return whether this number has not arrived before, and record it as arrived."""
        if sequence_number > self.highest:
            shift = min(sequence_number - self.highest, REPLAY_WINDOW)
            self.seen_bits = (self.seen_bits << shift | 1) & ((1 << REPLAY_WINDOW) - 1)
            self.highest = sequence_number
            return True
        age = self.highest - sequence_number
        if age >= REPLAY_WINDOW or self.seen_bits >> age & 1:
            return False
        self.seen_bits |= 1 << age
        return True


class DatagramAdmission:
    """Filters the datagrams that arrive at one router, and counts dropped ones by reason."""

    def __init__(self, fleet: str, view: MemberTable, counters: MembershipCounters) -> None:
        self._fleet = fleet
        self._view = view
        self._counters = counters
        self._replay_windows: dict[
            tuple[str, tuple[int, int]], _ReplayWindow
        ] = {}  # by sender's name and generation
        self._rate_budgets: dict[Address, tuple[float, int]] = {}  # tokens left, and when they were computed

    def admits(self, now_us: int, source: Address, datagram: Datagram) -> bool:
        """Return whether to process a datagram; if so, records its sequence number."""
        if datagram.fleet != self._fleet:
            self._counters.other_fleet += 1
            return False
        if not self._is_within_rate(now_us, source):
            self._counters.flooded += 1
            return False
        sender = datagram.sender
        own = self._view.own
        if sender.generation == own.generation and sender.name == own.name:
            return False  # a datagram of this process itself
        key = sender.name, sender.generation
        window = self._replay_windows.get(key)
        if window is None:
            window = _ReplayWindow()
            known = self._view.members.get(sender.name)
            if known is not None and known.member.generation == sender.generation:
                self._replay_windows[key] = window
        if not window.is_new(datagram.sequence_number):
            self._counters.replayed += 1
            return False
        self._counters.taken += 1
        return True

    def _is_within_rate(self, now_us: int, source: Address) -> bool:
        """Take a token from the token bucket of a source address; returns whether there was one."""
        budget, computed_us = self._rate_budgets.get(source, (BURST_DATAGRAMS, now_us))
        budget = min(BURST_DATAGRAMS, budget + RATE_PER_S * (now_us - computed_us) / 1e6)
        self._rate_budgets[source] = max(budget - 1, 0.0), now_us
        return budget >= 1

    def forget_idle(self, idle_since_us: int) -> None:
        """Bound the tables: drop addresses idle since ``idle_since_us``, and processes of non-members."""
        if len(self._rate_budgets) > 2 * MAX_EXTRA_ENTRIES:
            self._rate_budgets = {
                address: budget
                for address, budget in self._rate_budgets.items()
                if budget[1] >= idle_since_us
            }
        if len(self._replay_windows) > 2 * self._view.present_count + MAX_EXTRA_ENTRIES:
            current = {(name, known.member.generation) for name, known in self._view.members.items()}
            self._replay_windows = {
                key: window for key, window in self._replay_windows.items() if key in current
            }
