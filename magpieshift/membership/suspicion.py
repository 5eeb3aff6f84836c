"""Suspicion, as in SWIM and Lifeguard: members reported silent become suspect, and dead after a timeout."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from magpieshift.membership.dissemination import Dissemination
from magpieshift.membership.member import KnownMember, MemberState, SuspicionReport
from magpieshift.membership.member_table import MemberTable

MONITORED_PEERS = (
    6  # that each member monitors, twice the quorum: half of a suspect's monitors may be cut off
)
SUSPICION_QUORUM = 3  # independent reporters that make a suspect (Lifeguard's K); one alone may be at fault
# From suspect to dead: with the heartbeat timeout before it, longer than any pause of a process that has to
# be borne. Longer keeps the quota of a dead router unused for longer; shorter removes paused ones.
SUSPICION_TIMEOUT_US = 6_600_000


@dataclass(frozen=True, slots=True)
class DetectorTuning:
    """What experiments vary; the defaults are the product's."""

    monitored_peers: int = MONITORED_PEERS
    suspicion_quorum: int = SUSPICION_QUORUM
    local_health: bool = True  # Lifeguard's local health: an isolated or paused router declares nobody dead


class Suspicion:
    """One router's decisions on the state of others. Decisions are not passed on, only reports are."""

    def __init__(self, view: MemberTable, dissemination: Dissemination, tuning: DetectorTuning) -> None:
        self._view = view
        self._dissemination = dissemination
        self._tuning = tuning

    @property
    def eligible_reporters(self) -> int:
        """How many could report: alive members that this router does not report, itself included."""
        return sum(self._is_eligible(self._view.members[name]) for _, name in self._view.ring.positions)

    def _is_eligible(self, known: KnownMember) -> bool:
        return known.state == MemberState.ALIVE and self._view.own.name not in known.reporters

    def add_report(self, report: SuspicionReport) -> None:
        """Keep a report, this router's own or another's, and pass it on where it is new."""
        if self._view.add_suspicion(report):
            self._dissemination.spread_suspicion(report)

    def report_silent(
        self, now_us: int, monitored_since: Mapping[str, int], resumed_us: int, timeout_us: int
    ) -> None:
        """Report the monitored members of which no heartbeat arrived for the timeout.

        ``monitored_since`` says since when each is monitored, ``resumed_us`` when this process last resumed
        from a pause: silence before either does not count.
        """
        own = self._view.own.name
        for name, since_us in monitored_since.items():
            known = self._view.members[name]
            silent_since_us = max(known.last_heartbeat_us, since_us, resumed_us)
            if now_us - silent_since_us >= timeout_us and own not in known.reporters:
                member = known.member
                self.add_report(SuspicionReport(name, member.incarnation, member.heartbeat, own))

    def update_states(self, now_us: int, may_declare_dead: bool) -> None:
        """Move all members under suspicion between alive, suspect and dead."""
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
