"""The names under which settings are shown to operators and compared between processes.

They are the names used by the first program version, so that processes of different versions can be
compared.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from typing import Any

from magpieshift.config.document import MembershipSettings, Names
from magpieshift.policy.settings import RequestClass, Settings

SHOWN_SETTINGS = {
    "router_count": "routers",
    "router_index": "self_index",
    "zone_router_counts": "zone_routers",
    "client_kb_per_s": "flow_kb_per_s",
    "slow_start_fraction": "cold_from",
    "slow_start_us": "cold_us",
    "overload_multiple": "fall_multiple",
    "overload_window_us": "fall_us",
    "parent_slow_start_fraction": "parent_cold_from",
    "parent_slow_start_us": "parent_cold_us",
    "parent_overload_multiple": "parent_fall_multiple",
    "purge_propagation_us": "purge_done_us",
    "can_cancel_attempts": "may_cancel",
    "can_check_health": "may_probe",
    "can_message_peers": "may_message",
    "may_bypass_caches": "may_pass_by",
    "hedged_requests": "second_copies",
    "coalesces_fills": "joins_fills",
    "reports_cache_status": "notes",
    "load_report_columns": "report_columns",
}
"""Shown names of the policy's settings, where they differ from the field names."""

SHOWN_CLASS_SETTINGS = {
    "idempotency": "effect",
    "deduplication_scope": "scope",
    "deduplication_us": "dedup_us",
    "latency_objective_us": "aim_us",
    "latency_objective_stretch": "aim_stretch",
    "priority_weight": "worth",
    "late_priority_weight": "late_worth",
    "is_stream": "stream",
    "is_write": "write",
    "max_age_us": "fresh_us",
    "stale_grace_us": "grace_us",
    "stale_priority_weight": "stale_worth",
}
"""Shown names of the settings of a request class, where they differ from the field names."""

SHOWN_MEMBERSHIP = {
    "voters": "council",
    "solo_quota": "alone",
    "gossips_overload": "digests",
    "may_offload": "hand_over",
}
"""Shown names of the membership settings, where they differ from the field names."""


def shown_membership(members: MembershipSettings) -> dict[str, object]:
    """The membership settings under their shown names."""
    values = dataclasses.asdict(members)
    return {SHOWN_MEMBERSHIP.get(name, name): value for name, value in values.items()}


def settings_by_name(
    settings: Settings, names: Names, classes: Mapping[str, RequestClass]
) -> dict[str, object]:
    """The settings as JSON data under their shown names, with zones, kinds and classes by name.

    The result does not depend on how a part of the router numbers zones, kinds and classes.
    """
    shown: dict[str, Any] = {
        SHOWN_SETTINGS.get(field.name, field.name): getattr(settings, field.name)
        for field in dataclasses.fields(settings)
        if field.name != "classes"
    }
    zones = names.zones
    shown["zone"] = zones[settings.zone]
    for name in ("zone_hub", "zone_routers", "zone_link_kb_per_s"):
        shown[name] = {zone: value for zone, value in zip(zones, shown[name], strict=True) if zone}
    shown["zone_hub"] = {zone: zones[hub] for zone, hub in shown["zone_hub"].items()}
    for name in ("parent_kind", "origin_kind"):
        number = shown[name]
        shown[name] = names.kinds[number] if number >= 0 else ""  # negative: there are no parents
    shown["report_columns"] = list(settings.load_report_columns)
    shown["classes"] = {name: _class_by_name(classes[name]) for name in sorted(classes)}
    return shown


def _class_by_name(request_class: RequestClass) -> dict[str, object]:
    values = dataclasses.asdict(request_class)
    return {SHOWN_CLASS_SETTINGS.get(name, name): value for name, value in values.items()}
