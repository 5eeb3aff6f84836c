"""Accusations and verdicts: whom this router accuses, suspects and holds to be gone."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from magpieshift.membership.dissemination import Dissemination
from magpieshift.membership.member_table import MemberState, MemberTable, SuspicionReport

MONITORED_PEERS = 6
SUSPICION_QUORUM = 3
SUSPICION_TIMEOUT_US = 6_600_000  # with the silence before, longer than any pause that is to be borne


@dataclass(frozen=True, slots=True)
class DetectorTuning:
    """What experiments change: the defaults are what runs."""

    monitored_peers: int = MONITORED_PEERS
    suspicion_quorum: int = SUSPICION_QUORUM
    local_health: bool = True  # who hears nobody or slept holds still; without, it judges all the same


class Suspicion:
    """One router's judgement of the others. A member is suspected where enough different ones accuse it, and
    gone once that has lasted ``SUSPICION_TIMEOUT_US``; no verdict is passed on."""

    def __init__(self, view: MemberTable, dissemination: Dissemination, tuning: DetectorTuning) -> None:
        self._view = view
        self._dissemination = dissemination
        self._tuning = tuning

    @property
    def eligible_reporters(self) -> int:
        """How many could accuse: those nobody suspects and this router does not accuse, itself included."""
        own = self._view.own.name
        return sum(
            k.state == MemberState.ALIVE and own not in k.reporters
            for k in (self._view.members[name] for _, name in self._view.ring)
        )

    def add_report(self, said: SuspicionReport) -> None:
        """Hold an accusation, this router's own or another's, and pass it on where it is new."""
        if self._view.add_suspicion(said):
            self._dissemination.spread_suspicion(said)

    def report_silent(self, now_us: int, watched: Mapping[str, int], woke_us: int, silent_us: int) -> None:
        """Accuse whom nobody has brought a beat of for so long; ``watched`` says since when each is
        watched."""
        own = self._view.own.name
        for name, since in watched.items():
            known = self._view.members[name]
            last = max(known.last_heartbeat_us, since, woke_us)
            if now_us - last >= silent_us and own not in known.reporters:
                member = known.member
                self.add_report(SuspicionReport(name, member.incarnation, member.heartbeat, own))

    def update_states(self, now_us: int, settled: bool) -> None:
        """Go through all who are accused. ``settled``: this router may hold others to be gone."""
        if not self._view.under_suspicion:
            return
        enough = max(1, min(self._tuning.suspicion_quorum, self.eligible_reporters))
        for name in sorted(self._view.under_suspicion):
            known = self._view.members[name]
            held = sorted(who for who in known.reporters if self._is_present(who))
            if known.state == MemberState.ALIVE and len(held) >= enough:
                why = f"nothing heard since beat {known.member.heartbeat} by {', '.join(held)}"
                self._view.set_state(name, MemberState.SUSPECT, now_us, why)
            elif known.state == MemberState.SUSPECT and len(held) < enough:
                self._view.set_state(name, MemberState.ALIVE, now_us, "too few accuse it any more")
            elif (
                known.state == MemberState.SUSPECT
                and settled
                and now_us - known.state_since_us >= SUSPICION_TIMEOUT_US
            ):
                self._view.set_state(name, MemberState.DEAD, now_us, known.reason)

    def _is_present(self, accuser: str) -> bool:
        known = self._view.members.get(accuser)
        return known is not None and known.is_present
