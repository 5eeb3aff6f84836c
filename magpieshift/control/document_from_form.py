"""Converts a validated form to the typed ``Document`` that the router runs on: durations become microseconds,
and names of zones and kinds become their indexes."""

from __future__ import annotations

from magpieshift.config import Document, Limits, MembershipSettings, Names, parse_address
from magpieshift.control.document_form import ClassForm, DocumentForm, MembersForm, ZoneForm
from magpieshift.policy.settings import DeduplicationScope, Idempotency, RequestClass, Settings

# words of settings files
EFFECTS = {
    "free": Idempotency.IDEMPOTENT,
    "keyed": Idempotency.WITH_KEY,
    "unsafe": Idempotency.NOT_IDEMPOTENT,
}
SCOPES = {"all": DeduplicationScope.ALL, "zone": DeduplicationScope.ZONE, "cell": DeduplicationScope.CELL}


def _us(ms: float) -> int:
    return round(ms * 1000)


def document_of(form: DocumentForm) -> Document:
    """Convert a form to a document."""
    settings = _settings(form)
    names = Names(tuple(form.classes), tuple(form.zones), tuple(form.kinds), settings.load_report_columns)
    return Document(
        name=form.name,
        listen=parse_address(form.listen, "listen"),
        limits=Limits(form.limits.memory_mb, form.limits.sockets),
        change_log_address=parse_address(form.change_log, "change-log"),
        settings=settings,
        names=names,
        idle_timeout_us=_us(form.connections.idle_ms),
        streams_per_connection=form.connections.streams,
        admin_address=parse_address(form.console, "console") if form.console is not None else None,
        membership=_members(form.members) if form.members is not None else None,
    )


def _zones(form: DocumentForm) -> dict[str, ZoneForm]:
    """The zones by name; a zone without entries gets the defaults."""
    return {name: zone if isinstance(zone, ZoneForm) else ZoneForm() for name, zone in form.zones.items()}


def _settings(form: DocumentForm) -> Settings:
    """The policy's settings."""
    zones = _zones(form)
    zone_number = list(zones).index
    return Settings(
        classes=tuple(_class(row) for row in form.classes.values()),
        zone=zone_number(form.zone),
        router_count=form.routers,
        router_index=form.router_index,
        zone_hub=tuple(zone_number(zone.attached_to or name) for name, zone in zones.items()),
        zone_router_counts=tuple(zone.routers for zone in zones.values()),
        zone_link_kb_per_s=tuple(float(zone.link_kb_per_s) for zone in zones.values()),
        parent_kind=form.kinds.index(form.parent_kind),
        origin_kind=form.kinds.index(form.origin_kind),
        tick_us=_us(form.tick_ms),
        client_kb_per_s=float(form.client_kb_per_s),
        weights_are_sizes=form.stores.weights == "sizes",
        answer_slack_us=_us(form.stores.answer_slack_ms),
        drain_grace_us=_us(form.stores.drain_ms),
        slow_start_fraction=float(form.stores.cold_from),
        slow_start_us=_us(form.stores.cold_ms),
        overload_multiple=float(form.stores.fall_multiple),
        overload_window_us=_us(form.stores.fall_ms),
        parent_slow_start_fraction=float(form.parents.cold_from),
        parent_slow_start_us=_us(form.parents.cold_ms),
        parent_overload_multiple=float(form.parents.fall_multiple),
        purge_grace_us=_us(form.purges.grace_ms),
        purge_propagation_us=_us(form.purges.done_ms),
        connect_timeout_us=_us(form.attempts.connect_timeout_ms),
        max_attempts=form.attempts.most,
        max_retry_after_us=_us(form.retry_after_ms),
        can_cancel_attempts=form.attempts.cancel,
        can_check_health=form.attempts.probe,
        can_message_peers=form.attempts.message,
        may_bypass_caches=form.attempts.pass_by,
        hedged_requests=form.attempts.second_copies,
        coalesces_fills=form.stores.share_fills,
        siblings=form.stores.siblings,
        reports_cache_status=form.stores.notes,
        must_subscribe=form.must_subscribe,
        load_report_columns=tuple(form.stores.report),
    )


def _members(form: MembersForm) -> MembershipSettings:
    return MembershipSettings(
        fleet=form.fleet,
        listen=parse_address(form.listen, "listen"),
        advertise=parse_address(form.advertise or form.listen, "advertise"),
        seeds=tuple(parse_address(seed, "seeds") for seed in form.seeds),
        voters=tuple(form.council),
        solo_quota=form.alone,
        gossips_overload=form.digests,
        may_offload=form.hand_over,
    )


def _class(form: ClassForm) -> RequestClass:
    return RequestClass(
        idempotency=EFFECTS[form.effect],
        deduplication_scope=SCOPES[form.scope],
        deduplication_us=_us(form.dedup_ms),
        latency_objective_us=_us(form.aim_ms),
        latency_objective_stretch=float(form.aim_stretch),
        deadline_us=_us(form.deadline_ms),
        priority_weight=float(form.worth),
        late_priority_weight=float(form.late_worth),
        is_stream=form.stream,
        is_write=form.write,
        in_parts=form.in_parts,
        max_age_us=_us(form.fresh_ms),
        stale_grace_us=_us(form.grace_ms),
        stale_priority_weight=float(form.stale_worth),
    )
