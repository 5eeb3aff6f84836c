"""Which datagrams are taken in: those of the fleet, within a rate for each address, each once."""

from __future__ import annotations

from dataclasses import dataclass

from magpieshift.membership.counters import Counters
from magpieshift.membership.member_table import MemberTable
from magpieshift.membership.messages import Address, Datagram

WINDOW = 64  # datagrams of a sender that may overtake each other
# datagrams a second taken from one address: the sixteen that matter are far below
RATE = 200.0
BURST = 400.0
MOST_SPARE = 1024  # entries kept beyond those of members


@dataclass(slots=True)
class _Serials:
    """Which datagrams of one process have come."""

    life: tuple[int, int]
    top: int = 0
    seen: int = 0  # bits: of the WINDOW serials up to top

    def new(self, serial: int) -> bool:
        if serial > self.top:
            self.seen = (self.seen << min(serial - self.top, WINDOW) | 1) & ((1 << WINDOW) - 1)
            self.top = serial
            return True
        bit = 1 << (self.top - serial)
        if self.top - serial >= WINDOW or self.seen & bit:
            return False
        self.seen |= bit
        return True


class Admission:
    """One router's filter of what reaches its socket; what is dropped is counted by its reason."""

    def __init__(self, fleet: str, view: MemberTable, counters: Counters) -> None:
        self._fleet = fleet
        self._view = view
        self._counters = counters
        self._heard: dict[tuple[str, tuple[int, int]], _Serials] = {}  # by name and life
        self._budget: dict[Address, tuple[float, int]] = {}  # datagrams left, and when that was worked out

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
        if sender.life == own.life and sender.name == own.name:
            return False  # its own, come back
        key = sender.name, sender.life
        heard = self._heard.get(key)
        if heard is None:
            heard = _Serials(sender.life)
            known = self._view.known.get(sender.name)
            if known is not None and known.member.life == sender.life:
                self._heard[key] = heard
        if not heard.new(datagram.serial):
            self._counters.replayed += 1
            return False
        self._counters.taken += 1
        return True

    def _within_rate(self, now_us: int, source: Address) -> bool:
        left, last = self._budget.get(source, (BURST, now_us))
        left = min(BURST, left + RATE * (now_us - last) / 1e6)
        self._budget[source] = max(left - 1, 0.0), now_us
        return left >= 1

    def clear_old(self, past_us: int) -> None:
        """Forget addresses that were silent since then, and processes that are no members, where there are
        many."""
        if len(self._budget) > 2 * MOST_SPARE:
            self._budget = {at: spent for at, spent in self._budget.items() if spent[1] >= past_us}
        if len(self._heard) > 2 * self._view.count + MOST_SPARE:
            here = {(name, known.member.life) for name, known in self._view.known.items()}
            self._heard = {key: heard for key, heard in self._heard.items() if key in here}
