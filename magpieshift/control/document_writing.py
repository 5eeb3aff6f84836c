"""A typed ``Document`` back to the data of a settings file."""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import Any

from magpieshift.config import Address, Document, MembershipSettings
from magpieshift.control.document_reading import EFFECTS, SCOPES
from magpieshift.policy.settings import RequestClass, Settings

EFFECT_WORDS = {value: word for word, value in EFFECTS.items()}
SCOPE_WORDS = {value: word for word, value in SCOPES.items()}


def to_data(document: Document) -> dict[str, Any]:
    """The data of a document, whichever reader it came through; read again it gives an equal document."""
    s = document.settings
    names = document.names
    return {
        "name": document.name,
        "listen": _host_port(document.listen),
        **({"console": _host_port(document.admin_address)} if document.admin_address else {}),
        **({"members": _members(document.membership)} if document.membership else {}),
        "change-log": _host_port(document.change_log_address),
        "limits": {"memory-mb": _number(document.limits.memory_mb), "sockets": document.limits.sockets},
        "zone": names.zones[s.zone],
        "routers": s.router_count,
        "router-index": s.router_index,
        "zones": {name: _zone(s, names.zones, i) for i, name in enumerate(names.zones)},
        "kinds": _words(names.kinds),
        "parent-kind": names.kinds[s.parent_kind],
        "origin-kind": names.kinds[s.origin_kind],
        "classes": {name: _class(c) for name, c in zip(names.classes, s.classes, strict=True)},
        "stores": _stores(s) | {"report": _words(names.report)},
        "parents": {
            "cold-from": _number(s.parent_slow_start_fraction),
            "cold-ms": _ms(s.parent_slow_start_us),
            "fall-multiple": _number(s.parent_overload_multiple),
        },
        "purges": {"grace-ms": _ms(s.purge_grace_us), "done-ms": _ms(s.purge_propagation_us)},
        "attempts": _attempts(s),
        "connections": {
            "idle-ms": _ms(document.idle_timeout_us),
            "streams": document.streams_per_connection,
        },
        "retry-after-ms": _ms(s.max_retry_after_us),
        "tick-ms": _ms(s.tick_us),
        "client-kb-per-s": _number(s.client_kb_per_s),
        "must-subscribe": s.must_subscribe,
    }


def _zone(s: Settings, zones: Sequence[str], i: int) -> dict[str, Any]:
    return {
        "routers": s.zone_router_counts[i],
        "link-kb-per-s": _number(s.zone_link_kb_per_s[i]),
        "attached-to": zones[s.zone_hub[i]],
    }


def _class(c: RequestClass) -> dict[str, Any]:
    return {
        "aim-ms": _ms(c.latency_objective_us),
        "aim-stretch": _number(c.latency_objective_stretch),
        "deadline-ms": _ms(c.deadline_us),
        "effect": EFFECT_WORDS[c.idempotency],
        "scope": SCOPE_WORDS[c.deduplication_scope],
        "dedup-ms": _ms(c.deduplication_us),
        "worth": _number(c.priority_weight),
        "late-worth": _number(c.late_priority_weight),
        "stream": c.is_stream,
        "write": c.is_write,
        "in-parts": c.in_parts,
        "fresh-ms": _ms(c.max_age_us),
        "grace-ms": _ms(c.stale_grace_us),
        "stale-worth": _number(c.stale_priority_weight),
    }


def _stores(s: Settings) -> dict[str, Any]:
    return {
        "weights": "sizes" if s.weights_are_sizes else "live",
        "cold-from": _number(s.slow_start_fraction),
        "cold-ms": _ms(s.slow_start_us),
        "fall-multiple": _number(s.overload_multiple),
        "fall-ms": _ms(s.overload_window_us),
        "drain-ms": _ms(s.drain_grace_us),
        "answer-slack-ms": _ms(s.answer_slack_us),
        "notes": s.reports_cache_status,
        "siblings": s.siblings,
        "share-fills": s.coalesces_fills,
    }


def _attempts(s: Settings) -> dict[str, Any]:
    return {
        "most": s.max_attempts,
        "connect-timeout-ms": _ms(s.connect_timeout_us),
        "cancel": s.can_cancel_attempts,
        "probe": s.can_check_health,
        "message": s.can_message_peers,
        "pass-by": s.may_bypass_caches,
        "second-copies": s.hedged_requests,
    }


def _members(members: MembershipSettings) -> dict[str, Any]:
    seeds = [_host_port(seed) for seed in members.seeds]
    return {
        "fleet": members.fleet,
        "listen": _host_port(members.listen),
        "advertise": _host_port(members.advertise),
        **({"seeds": _words(seeds)} if seeds else {}),
        **({"council": _words(members.voters)} if members.voters else {}),
        "alone": _number(members.solo_quota),
        "digests": members.gossips_overload,
        "hand-over": members.may_offload,
    }


def _host_port(address: Address) -> str:
    return "{}:{}".format(*address)


def _words(values: Sequence[str]) -> str | list[str]:
    """One word stands by itself, as it does when it is read."""
    return values[0] if len(values) == 1 else list(values)


def _ms(us: int) -> float | int:
    return us // 1000 if us % 1000 == 0 else us / 1000


def _number(value: float) -> float | int:
    return int(value) if math.isfinite(value) and value == int(value) else value
