"""Formats the answer to the admin command MEMBERS; all of its JSON keys are defined here."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import asdict

from magpieshift.membership.failure_detector import FailureDetector
from magpieshift.membership.member import KnownMember, MembershipChange
from magpieshift.membership.quota_lease import FLEET_SCOPE, QuotaLease

MAX_MEMBERS_SHOWN = 256  # limits the length of the answer, a single line; present members come first


def membership_status(
    detector: FailureDetector,
    quota_lease: QuotaLease,
    zone_scope: str,
    history: Iterable[MembershipChange],
    now_us: int,
) -> str:
    """This router's view of the fleet and its quotas, as one line of JSON."""
    view = detector.view
    known_members = sorted(view.members.values(), key=lambda known: (not known.is_present, known.member.name))
    return json.dumps(
        {
            "own": view.own.name,
            "view": view.version,
            "digest": f"{view.digest:016x}",
            "here": view.present_count,
            "isolated": detector.isolated,
            "quiet": detector.superseded,
            "share": round(quota_lease.quota(FLEET_SCOPE, now_us), 6),
            "zone_share": round(quota_lease.quota(zone_scope, now_us), 6),
            "lease_s": round(max(0, quota_lease.lease_expires_us - now_us) / 1e6, 2),
            "dropped": asdict(detector.counters),
            "members": [_member(known, detector.now_us) for known in known_members[:MAX_MEMBERS_SHOWN]],
            "history": [_change(change, now_us) for change in history],
        },
        separators=(",", ":"),
    )


def _member(known: KnownMember, now_us: int) -> dict[str, object]:
    member = known.member
    return {
        "name": member.name,
        "standing": known.state.value,
        "address": f"{member.host}:{member.port}",
        "incarnation": member.incarnation,
        "beat": member.heartbeat,
        "zone": member.zone,
        "program": member.program_version,
        "settings": member.settings_version,
        "state": member.lifecycle_state,
        "load": member.open_requests,
        "for_s": round((now_us - known.state_since_us) / 1e6, 1),
        "why": known.reason,
        "accusers": sorted(known.reporters),
    }


def _change(change: MembershipChange, now_us: int) -> dict[str, object]:
    return {
        "view": change.view_version,
        "ago_s": round((now_us - change.changed_at_us) / 1e6, 1),
        "name": change.name,
        "before": change.old_state.value if change.old_state else "",
        "after": change.new_state.value,
        "why": change.reason,
    }
