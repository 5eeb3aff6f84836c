"""Accusations and verdicts: whom this router accuses, suspects and holds to be gone."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from magpieshift.membership.dissemination import Dissemination
from magpieshift.membership.member_table import Accusation, MemberTable, Standing

WATCHED = 6
ACCUSERS = 3
SUSPECT_US = 6_600_000  # with the silence before, longer than any pause that is to be borne


@dataclass(frozen=True, slots=True)
class Tuning:
    """What experiments change: the defaults are what runs."""

    watched: int = WATCHED
    accusers: int = ACCUSERS
    health: bool = True  # who hears nobody or slept holds still; without, it judges all the same


class SuspicionRules:
    """One router's judgement of the others. A member is suspected where enough different ones accuse it, and
    gone once that has lasted ``SUSPECT_US``; no verdict is passed on."""

    def __init__(self, view: MemberTable, dissemination: Dissemination, tuning: Tuning) -> None:
        self._view = view
        self._dissemination = dissemination
        self._tuning = tuning

    @property
    def healthy(self) -> int:
        """How many could accuse: those nobody suspects and this router does not accuse, itself included."""
        own = self._view.own.name
        return sum(
            k.standing == Standing.ALIVE and own not in k.accusers
            for k in (self._view.known[name] for _, name in self._view.ring)
        )

    def accuse(self, said: Accusation) -> None:
        """Hold an accusation, this router's own or another's, and pass it on where it is new."""
        if self._view.accuse(said):
            self._dissemination.spread_accusation(said)

    def accuse_silent(self, now_us: int, watched: Mapping[str, int], woke_us: int, silent_us: int) -> None:
        """Accuse whom nobody has brought a beat of for so long; ``watched`` says since when each is
        watched."""
        own = self._view.own.name
        for name, since in watched.items():
            known = self._view.known[name]
            last = max(known.heard_us, since, woke_us)
            if now_us - last >= silent_us and own not in known.accusers:
                member = known.member
                self.accuse(Accusation(name, member.incarnation, member.beat, own))

    def judge(self, now_us: int, settled: bool) -> None:
        """Go through all who are accused. ``settled``: this router may hold others to be gone."""
        if not self._view.accused:
            return
        enough = max(1, min(self._tuning.accusers, self.healthy))
        for name in sorted(self._view.accused):
            known = self._view.known[name]
            held = sorted(who for who in known.accusers if self._counts(who))
            if known.standing == Standing.ALIVE and len(held) >= enough:
                why = f"nothing heard since beat {known.member.beat} by {', '.join(held)}"
                self._view.stand(name, Standing.SUSPECTED, now_us, why)
            elif known.standing == Standing.SUSPECTED and len(held) < enough:
                self._view.stand(name, Standing.ALIVE, now_us, "too few accuse it any more")
            elif known.standing == Standing.SUSPECTED and settled and now_us - known.since_us >= SUSPECT_US:
                self._view.stand(name, Standing.GONE, now_us, known.why)

    def _counts(self, accuser: str) -> bool:
        known = self._view.known.get(accuser)
        return known is not None and known.here
