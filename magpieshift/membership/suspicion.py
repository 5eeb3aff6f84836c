"""Suspicion, as in SWIM and Lifeguard: members reported silent become suspect, and dead after a timeout."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from magpieshift.membership.dissemination import Dissemination
from magpieshift.membership.member import KnownMember, MemberState, SuspicionReport
from magpieshift.membership.member_table import MemberTable

# Members that each member monitors: twice the quorum, so that half of a suspect's monitors may be cut off.
MONITORED_PEERS = 6
# Reporters needed to make a member suspect (Lifeguard's K); a single reporter may be at fault.
SUSPICION_QUORUM = 3
# From suspect to dead. Together with the preceding heartbeat timeout it exceeds the longest process pause
# that has to be tolerated. Longer keeps a dead router's quota unused for longer; shorter removes paused
# routers.
SUSPICION_TIMEOUT_US = 6_600_000


@dataclass(frozen=True, slots=True)
class DetectorTuning:
    """Parameters that laboratory experiments vary; production routers use the defaults."""

    monitored_peers: int = MONITORED_PEERS
    suspicion_quorum: int = SUSPICION_QUORUM
    local_health: bool = True  # Lifeguard's local health: isolated or paused routers declare no member dead


class Suspicion:
    """One router's decisions on the state of other members. Only reports are disseminated, not decisions."""

    def __init__(self, view: MemberTable, dissemination: Dissemination, tuning: DetectorTuning) -> None:
        self._view = view
        self._dissemination = dissemination
        self._tuning = tuning

    @property
    def eligible_reporters(self) -> int:
        """The number of possible reporters: alive members, this router included, that it does not report."""
        return sum(self._is_eligible(self._view.members[name]) for _, name in self._view.ring.positions)

    def _is_eligible(self, known: KnownMember) -> bool:
        return known.state == MemberState.ALIVE and self._view.own.name not in known.reporters

    def add_report(self, report: SuspicionReport) -> None:
        """Store a report of this router or another one, and disseminate it if it is new."""
        if self._view.add_suspicion(report):
            self._dissemination.spread_suspicion(report)

    def report_silent(
        self, now_us: int, monitored_since: Mapping[str, int], resumed_us: int, timeout_us: int
    ) -> None:
        """Report the monitored members from which no heartbeat arrived within the timeout.

        ``monitored_since`` gives the time at which the monitoring of each member began, ``resumed_us`` the
        time at which this process last resumed from a pause. Silence before either of them does not count.
        """
        own = self._view.own.name
        for name, since_us in monitored_since.items():
            known = self._view.members[name]
            silent_since_us = max(known.last_heartbeat_us, since_us, resumed_us)
            if now_us - silent_since_us >= timeout_us and own not in known.reporters:
                member = known.member
                self.add_report(SuspicionReport(name, member.incarnation, member.heartbeat, own))

    def update_states(self, now_us: int, may_declare_dead: bool) -> None:
        """Update the states of all members under suspicion: alive, suspect or dead."""
        if not self._view.under_suspicion:
            return
        quorum = max(1, min(self._tuning.suspicion_quorum, self.eligible_reporters))
        for name in sorted(self._view.under_suspicion):
            known = self._view.members[name]
            reporters = sorted(reporter for reporter in known.reporters if self._is_present(reporter))
            has_quorum = len(reporters) >= quorum
            suspected_for_us = now_us - known.state_since_us
            if known.state == MemberState.ALIVE and has_quorum:
                reason = f"nothing heard since beat {known.member.heartbeat} by {', '.join(reporters)}"
                self._view.set_state(name, MemberState.SUSPECT, now_us, reason)
            elif known.state == MemberState.SUSPECT and not has_quorum:
                self._view.set_state(name, MemberState.ALIVE, now_us, "too few accuse it any more")
            elif (
                known.state == MemberState.SUSPECT
                and may_declare_dead
                and suspected_for_us >= SUSPICION_TIMEOUT_US
            ):
                self._view.set_state(name, MemberState.DEAD, now_us, known.reason)

    def _is_present(self, reporter: str) -> bool:
        known = self._view.members.get(reporter)
        return known is not None and known.is_present
