"""A checked form to the typed ``Document`` that the router runs on: times become microseconds, words the
numbers of what they name."""

from __future__ import annotations

from magpieshift.config import Document, Limits, Members, Names, address
from magpieshift.control.document_form import ClassForm, DocumentForm, MembersForm, ZoneForm
from molecleat.interface import Effect, RequestClass, Scope, Settings

EFFECTS = {"free": Effect.FREE, "keyed": Effect.KEYED, "unsafe": Effect.UNSAFE}
SCOPES = {"all": Scope.ALL, "zone": Scope.ZONE, "cell": Scope.CELL}


def _us(ms: float) -> int:
    return round(ms * 1000)


def document_of(form: DocumentForm) -> Document:
    zones = {name: zone if isinstance(zone, ZoneForm) else ZoneForm() for name, zone in form.zones.items()}
    order, stores, tries = list(zones), form.stores, form.attempts
    settings = Settings(
        classes=tuple(_class(cls) for cls in form.classes.values()),
        zone=order.index(form.zone),
        routers=form.routers,
        self_index=form.router_index,
        zone_hub=tuple(order.index(zone.attached_to or name) for name, zone in zones.items()),
        zone_routers=tuple(zone.routers for zone in zones.values()),
        zone_link_kb_per_s=tuple(float(zone.link_kb_per_s) for zone in zones.values()),
        parent_kind=form.kinds.index(form.parent_kind),
        origin_kind=form.kinds.index(form.origin_kind),
        tick_us=_us(form.tick_ms),
        flow_kb_per_s=float(form.client_kb_per_s),
        weights_are_sizes=stores.weights == "sizes",
        answer_slack_us=_us(stores.answer_slack_ms),
        drain_grace_us=_us(stores.drain_ms),
        cold_from=float(stores.cold_from),
        cold_us=_us(stores.cold_ms),
        fall_multiple=float(stores.fall_multiple),
        fall_us=_us(stores.fall_ms),
        parent_cold_from=float(form.parents.cold_from),
        parent_cold_us=_us(form.parents.cold_ms),
        parent_fall_multiple=float(form.parents.fall_multiple),
        purge_grace_us=_us(form.purges.grace_ms),
        purge_done_us=_us(form.purges.done_ms),
        connect_timeout_us=_us(tries.connect_timeout_ms),
        max_attempts=tries.most,
        max_retry_after_us=_us(form.retry_after_ms),
        may_cancel=tries.cancel,
        may_probe=tries.probe,
        may_message=tries.message,
        may_pass_by=tries.pass_by,
        second_copies=tries.second_copies,
        joins_fills=stores.share_fills,
        siblings=stores.siblings,
        notes=stores.notes,
        must_subscribe=form.must_subscribe,
        report_columns=tuple(stores.report),
    )
    names = Names(tuple(form.classes), tuple(order), tuple(form.kinds), settings.report_columns)
    return Document(
        name=form.name,
        listen=address(form.listen, "listen"),
        limits=Limits(form.limits.memory_mb, form.limits.sockets),
        changelog=address(form.change_log, "change-log"),
        settings=settings,
        names=names,
        idle_us=_us(form.connections.idle_ms),
        streams_per_connection=form.connections.streams,
        console=address(form.console, "console") if form.console is not None else None,
        members=_members(form.members) if form.members is not None else None,
    )


def _members(form: MembersForm) -> Members:
    return Members(
        fleet=form.fleet,
        listen=address(form.listen, "listen"),
        advertise=address(form.advertise or form.listen, "advertise"),
        seeds=tuple(address(seed, "seeds") for seed in form.seeds),
        council=tuple(form.council),
        alone=form.alone,
        digests=form.digests,
        hand_over=form.hand_over,
    )


def _class(form: ClassForm) -> RequestClass:
    return RequestClass(
        effect=EFFECTS[form.effect],
        scope=SCOPES[form.scope],
        dedup_us=_us(form.dedup_ms),
        aim_us=_us(form.aim_ms),
        aim_stretch=float(form.aim_stretch),
        deadline_us=_us(form.deadline_ms),
        worth=float(form.worth),
        late_worth=float(form.late_worth),
        stream=form.stream,
        write=form.write,
        in_parts=form.in_parts,
        fresh_us=_us(form.fresh_ms),
        grace_us=_us(form.grace_ms),
        stale_worth=float(form.stale_worth),
    )
