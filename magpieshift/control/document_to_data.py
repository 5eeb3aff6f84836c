"""Converts a typed ``Document`` back to the data of a settings file."""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import Any

from magpieshift.config import Address, Document, MembershipSettings
from magpieshift.control.document_from_form import EFFECTS, SCOPES
from magpieshift.policy.settings import RequestClass, Settings

EFFECT_WORDS = {value: word for word, value in EFFECTS.items()}
SCOPE_WORDS = {value: word for word, value in SCOPES.items()}


def to_data(document: Document) -> dict[str, Any]:
    """The settings-file data of a document, from whichever format it was read; parsing it gives an equal
    document."""
    settings = document.settings
    names = document.names
    return {
        "name": document.name,
        "listen": _host_port(document.listen),
        **({"console": _host_port(document.admin_address)} if document.admin_address else {}),
        **({"members": _members(document.membership)} if document.membership else {}),
        "change-log": _host_port(document.change_log_address),
        "limits": {"memory-mb": _number(document.limits.memory_mb), "sockets": document.limits.sockets},
        "zone": names.zones[settings.zone],
        "routers": settings.router_count,
        "router-index": settings.router_index,
        "zones": {name: _zone(settings, names.zones, index) for index, name in enumerate(names.zones)},
        "kinds": _words(names.kinds),
        "parent-kind": names.kinds[settings.parent_kind],
        "origin-kind": names.kinds[settings.origin_kind],
        "classes": {name: _class(row) for name, row in zip(names.classes, settings.classes, strict=True)},
        "stores": _stores(settings) | {"report": _words(names.report)},
        "parents": {
            "cold-from": _number(settings.parent_slow_start_fraction),
            "cold-ms": _ms(settings.parent_slow_start_us),
            "fall-multiple": _number(settings.parent_overload_multiple),
        },
        "purges": {"grace-ms": _ms(settings.purge_grace_us), "done-ms": _ms(settings.purge_propagation_us)},
        "attempts": _attempts(settings),
        "connections": {
            "idle-ms": _ms(document.idle_timeout_us),
            "streams": document.streams_per_connection,
        },
        "retry-after-ms": _ms(settings.max_retry_after_us),
        "tick-ms": _ms(settings.tick_us),
        "client-kb-per-s": _number(settings.client_kb_per_s),
        "must-subscribe": settings.must_subscribe,
    }


def _zone(settings: Settings, zones: Sequence[str], index: int) -> dict[str, Any]:
    return {
        "routers": settings.zone_router_counts[index],
        "link-kb-per-s": _number(settings.zone_link_kb_per_s[index]),
        "attached-to": zones[settings.zone_hub[index]],
    }


def _class(request_class: RequestClass) -> dict[str, Any]:
    return {
        "aim-ms": _ms(request_class.latency_objective_us),
        "aim-stretch": _number(request_class.latency_objective_stretch),
        "deadline-ms": _ms(request_class.deadline_us),
        "effect": EFFECT_WORDS[request_class.idempotency],
        "scope": SCOPE_WORDS[request_class.deduplication_scope],
        "dedup-ms": _ms(request_class.deduplication_us),
        "worth": _number(request_class.priority_weight),
        "late-worth": _number(request_class.late_priority_weight),
        "stream": request_class.is_stream,
        "write": request_class.is_write,
        "in-parts": request_class.in_parts,
        "fresh-ms": _ms(request_class.max_age_us),
        "grace-ms": _ms(request_class.stale_grace_us),
        "stale-worth": _number(request_class.stale_priority_weight),
    }


def _stores(settings: Settings) -> dict[str, Any]:
    return {
        "weights": "sizes" if settings.weights_are_sizes else "live",
        "cold-from": _number(settings.slow_start_fraction),
        "cold-ms": _ms(settings.slow_start_us),
        "fall-multiple": _number(settings.overload_multiple),
        "fall-ms": _ms(settings.overload_window_us),
        "drain-ms": _ms(settings.drain_grace_us),
        "answer-slack-ms": _ms(settings.answer_slack_us),
        "notes": settings.reports_cache_status,
        "siblings": settings.siblings,
        "share-fills": settings.coalesces_fills,
    }


def _attempts(settings: Settings) -> dict[str, Any]:
    return {
        "most": settings.max_attempts,
        "connect-timeout-ms": _ms(settings.connect_timeout_us),
        "cancel": settings.can_cancel_attempts,
        "probe": settings.can_check_health,
        "message": settings.can_message_peers,
        "pass-by": settings.may_bypass_caches,
        "second-copies": settings.hedged_requests,
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
    """A list of words as settings-file data: a single word is not a list, as when it is parsed."""
    return values[0] if len(values) == 1 else list(values)


def _ms(duration_us: int) -> float | int:
    return duration_us // 1000 if duration_us % 1000 == 0 else duration_us / 1000


def _number(value: float) -> float | int:
    return int(value) if math.isfinite(value) and value == int(value) else value
