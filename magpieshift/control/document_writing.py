"""A typed ``Document`` back to the data of a settings file."""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import Any

from magpieshift.config import Address, Document, Members
from magpieshift.control.document_reading import EFFECTS, SCOPES
from molecleat.interface import RequestClass, Settings

EFFECT_WORDS = {value: word for word, value in EFFECTS.items()}
SCOPE_WORDS = {value: word for word, value in SCOPES.items()}


def to_data(document: Document) -> dict[str, Any]:
    """The data of a document, whichever reader it came through; read again it gives an equal document."""
    s, names = document.settings, document.names
    return {
        "name": document.name,
        "listen": _host_port(document.listen),
        **({"console": _host_port(document.console)} if document.console else {}),
        **({"members": _members(document.members)} if document.members else {}),
        "change-log": _host_port(document.changelog),
        "limits": {"memory-mb": _number(document.limits.memory_mb), "sockets": document.limits.sockets},
        "zone": names.zones[s.zone],
        "routers": s.routers,
        "router-index": s.self_index,
        "zones": {name: _zone(s, names.zones, i) for i, name in enumerate(names.zones)},
        "kinds": _words(names.kinds),
        "parent-kind": names.kinds[s.parent_kind],
        "origin-kind": names.kinds[s.origin_kind],
        "classes": {name: _class(c) for name, c in zip(names.classes, s.classes, strict=True)},
        "stores": _stores(s) | {"report": _words(names.report)},
        "parents": {
            "cold-from": _number(s.parent_cold_from),
            "cold-ms": _ms(s.parent_cold_us),
            "fall-multiple": _number(s.parent_fall_multiple),
        },
        "purges": {"grace-ms": _ms(s.purge_grace_us), "done-ms": _ms(s.purge_done_us)},
        "attempts": _attempts(s),
        "connections": {
            "idle-ms": _ms(document.idle_us),
            "streams": document.streams_per_connection,
        },
        "retry-after-ms": _ms(s.max_retry_after_us),
        "tick-ms": _ms(s.tick_us),
        "client-kb-per-s": _number(s.flow_kb_per_s),
        "must-subscribe": s.must_subscribe,
    }


def _zone(s: Settings, zones: Sequence[str], i: int) -> dict[str, Any]:
    return {
        "routers": s.zone_routers[i],
        "link-kb-per-s": _number(s.zone_link_kb_per_s[i]),
        "attached-to": zones[s.zone_hub[i]],
    }


def _class(c: RequestClass) -> dict[str, Any]:
    return {
        "aim-ms": _ms(c.aim_us),
        "aim-stretch": _number(c.aim_stretch),
        "deadline-ms": _ms(c.deadline_us),
        "effect": EFFECT_WORDS[c.effect],
        "scope": SCOPE_WORDS[c.scope],
        "dedup-ms": _ms(c.dedup_us),
        "worth": _number(c.worth),
        "late-worth": _number(c.late_worth),
        "stream": c.stream,
        "write": c.write,
        "in-parts": c.in_parts,
        "fresh-ms": _ms(c.fresh_us),
        "grace-ms": _ms(c.grace_us),
        "stale-worth": _number(c.stale_worth),
    }


def _stores(s: Settings) -> dict[str, Any]:
    return {
        "weights": "sizes" if s.weights_are_sizes else "live",
        "cold-from": _number(s.cold_from),
        "cold-ms": _ms(s.cold_us),
        "fall-multiple": _number(s.fall_multiple),
        "fall-ms": _ms(s.fall_us),
        "drain-ms": _ms(s.drain_grace_us),
        "answer-slack-ms": _ms(s.answer_slack_us),
        "notes": s.notes,
        "siblings": s.siblings,
        "share-fills": s.joins_fills,
    }


def _attempts(s: Settings) -> dict[str, Any]:
    return {
        "most": s.max_attempts,
        "connect-timeout-ms": _ms(s.connect_timeout_us),
        "cancel": s.may_cancel,
        "probe": s.may_probe,
        "message": s.may_message,
        "pass-by": s.may_pass_by,
        "second-copies": s.second_copies,
    }


def _members(members: Members) -> dict[str, Any]:
    seeds = [_host_port(seed) for seed in members.seeds]
    return {
        "fleet": members.fleet,
        "listen": _host_port(members.listen),
        "advertise": _host_port(members.advertise),
        **({"seeds": _words(seeds)} if seeds else {}),
        **({"council": _words(members.council)} if members.council else {}),
        "alone": _number(members.alone),
        "digests": members.digests,
        "hand-over": members.hand_over,
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
