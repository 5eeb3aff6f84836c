"""Which datagrams are taken in: those of the fleet, within a rate for each address, each once."""

from __future__ import annotations

from dataclasses import dataclass

from magpieshift.membership.counters import MembershipCounters
from magpieshift.membership.member_table import MemberTable
from magpieshift.membership.messages import Address, Datagram

REPLAY_WINDOW = 64  # datagrams of a sender that may overtake each other
# datagrams a second taken from one address: the sixteen that matter are far below
RATE_PER_S = 200.0
BURST_DATAGRAMS = 400.0
MAX_EXTRA_ENTRIES = 1024  # entries kept beyond those of members


@dataclass(slots=True)
class _Serials:
    """Which datagrams of one process have come."""

    life: tuple[int, int]
    top: int = 0
    seen: int = 0  # bits: of the WINDOW serials up to top

    def new(self, serial: int) -> bool:
        if serial > self.top:
            self.seen = (self.seen << min(serial - self.top, REPLAY_WINDOW) | 1) & ((1 << REPLAY_WINDOW) - 1)
            self.top = serial
            return True
        bit = 1 << (self.top - serial)
        if self.top - serial >= REPLAY_WINDOW or self.seen & bit:
            return False
        self.seen |= bit
        return True


class DatagramAdmission:
    """One router's filter of what reaches its socket; what is dropped is counted by its reason."""

    def __init__(self, fleet: str, view: MemberTable, counters: MembershipCounters) -> None:
        self._fleet = fleet
        self._view = view
        self._counters = counters
        self._replay_windows: dict[tuple[str, tuple[int, int]], _Serials] = {}  # by name and life
        self._rate_budgets: dict[
            Address, tuple[float, int]
        ] = {}  # datagrams left, and when that was worked out

    def admits(self, now_us: int, source: Address, datagram: Datagram) -> bool:
        """Whether to take in a datagram; each that is taken is remembered."""
        if datagram.fleet != self._fleet:
            self._counters.other_fleet += 1
            return False
        sender = datagram.sender
        own = self._view.own
        if not self._within_rate(now_us, source):
            self._counters.flooded += 1
            return False
        if sender.generation == own.generation and sender.name == own.name:
            return False  # its own, come back
        key = sender.name, sender.generation
        heard = self._replay_windows.get(key)
        if heard is None:
            heard = _Serials(sender.generation)
            known = self._view.members.get(sender.name)
            if known is not None and known.member.generation == sender.generation:
                self._replay_windows[key] = heard
        if not heard.new(datagram.sequence_number):
            self._counters.replayed += 1
            return False
        self._counters.taken += 1
        return True

    def _within_rate(self, now_us: int, source: Address) -> bool:
        left, last = self._rate_budgets.get(source, (BURST_DATAGRAMS, now_us))
        left = min(BURST_DATAGRAMS, left + RATE_PER_S * (now_us - last) / 1e6)
        self._rate_budgets[source] = max(left - 1, 0.0), now_us
        return left >= 1

    def forget_idle(self, past_us: int) -> None:
        """Forget addresses that were silent since then, and processes that are no members, where there are
        many."""
        if len(self._rate_budgets) > 2 * MAX_EXTRA_ENTRIES:
            self._rate_budgets = {
                at: spent for at, spent in self._rate_budgets.items() if spent[1] >= past_us
            }
        if len(self._replay_windows) > 2 * self._view.present_count + MAX_EXTRA_ENTRIES:
            here = {(name, known.member.generation) for name, known in self._view.members.items()}
            self._replay_windows = {key: heard for key, heard in self._replay_windows.items() if key in here}
