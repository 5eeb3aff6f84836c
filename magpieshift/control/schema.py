"""The schema of settings files: checked data to the typed ``Document`` that the router runs on, and back.

Times are milliseconds in the file and microseconds in the document. The checks are pydantic's: it finds all
that is wrong at once, where msgspec stops at the first (docs/design/versioned-configuration.md has the
figures).
"""

from __future__ import annotations

import difflib
import math
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path as FilePath
from typing import Annotated, Any, Literal

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, StringConstraints, ValidationError

from magpieshift.config import (
    LEAST_SOCKETS,
    ConfigError,
    Document,
    Limits,
    Members,
    Names,
    address,
    read_text,
)
from magpieshift.control import sexp
from magpieshift.control.sexp import Path, Problem, Unusable
from molecleat.interface import Effect, RequestClass, Scope, Settings

MOST_CLASSES = 256  # each costs every store a record of its answers
MOST_ZONES = 4096
HOUR_MS = 3_600_000.0

Word = Annotated[
    str, StringConstraints(pattern=r"^[!-+\--~]{1,64}$", strict=True)
]  # it goes on a store's line
Ms = Annotated[float, Field(ge=0, le=24 * HOUR_MS, allow_inf_nan=False, strict=True)]
SomeMs = Annotated[float, Field(ge=1, le=24 * HOUR_MS, allow_inf_nan=False, strict=True)]
Share = Annotated[float, Field(ge=0, le=1, allow_inf_nan=False, strict=True)]
Amount = Annotated[float, Field(ge=0, le=1e12, allow_inf_nan=False, strict=True)]
Count = Annotated[int, Field(ge=0, le=1_000_000, strict=True)]
Some = Annotated[int, Field(ge=1, le=1_000_000, strict=True)]
Flag = Annotated[bool, Field(strict=True)]
Words = Annotated[list[Word], BeforeValidator(lambda value: value if isinstance(value, list) else [value])]
EFFECTS = {"free": Effect.FREE, "keyed": Effect.KEYED, "unsafe": Effect.UNSAFE}
SCOPES = {"all": Scope.ALL, "zone": Scope.ZONE, "cell": Scope.CELL}


class _Form(BaseModel):
    model_config = ConfigDict(
        extra="forbid", populate_by_name=True, alias_generator=lambda name: name.replace("_", "-")
    )


class LimitsForm(_Form):
    memory_mb: Annotated[float, Field(ge=8, le=1 << 20, allow_inf_nan=False, strict=True)]
    sockets: Annotated[int, Field(ge=LEAST_SOCKETS, le=1 << 20, strict=True)]


class ZoneForm(_Form):
    routers: Count = 0
    link_kb_per_s: Amount = 0.0
    attached_to: Word | None = None  # itself where it is not given


class ClassForm(_Form):
    aim_ms: SomeMs
    aim_stretch: Amount = 0.0
    deadline_ms: SomeMs
    effect: Literal["free", "keyed", "unsafe"] = "free"
    scope: Literal["all", "zone", "cell"] = "all"
    dedup_ms: Ms = 0.0
    worth: Amount = 1.0
    late_worth: Amount = 0.0
    stream: Flag = False
    write: Flag = False
    in_parts: Flag = False
    fresh_ms: Ms = 0.0
    grace_ms: Ms = 0.0
    stale_worth: Amount = 0.0


class StoresForm(_Form):
    weights: Literal["sizes", "live"] = "sizes"
    cold_from: Share = 0.2
    cold_ms: Ms = 18_000.0
    fall_multiple: Amount = 2.5
    fall_ms: SomeMs = 1_000.0
    drain_ms: Ms = 250.0
    answer_slack_ms: Ms = 8.0
    notes: Flag = True
    siblings: Flag = True
    share_fills: Flag = False
    report: Words = []


class ParentsForm(_Form):
    cold_from: Share = 0.1
    cold_ms: Ms = 19_000.0
    fall_multiple: Amount = 2.0


class PurgesForm(_Form):
    grace_ms: Ms = 500.0
    done_ms: Ms = 6_000.0


class AttemptsForm(_Form):
    most: Annotated[int, Field(ge=1, le=64, strict=True)] = 8
    connect_timeout_ms: SomeMs = 400.0
    cancel: Flag = True
    probe: Flag = True
    message: Flag = False
    pass_by: Flag = True
    second_copies: Flag = False


class ConnectionsForm(_Form):
    idle_ms: SomeMs = 15_000.0
    streams: Annotated[int, Field(ge=1, le=4096, strict=True)] = 32


class MembersForm(_Form):
    fleet: Word
    listen: Word
    advertise: Word | None = None
    seeds: Words = []
    council: Words = []
    alone: Share = 1.0
    digests: Flag = False
    hand_over: Flag = False


class DocumentForm(_Form):
    """A whole settings file."""

    version: Annotated[int, Field(ge=0, lt=1 << 63, strict=True)] = 0
    name: Word
    listen: Word
    console: Word | None = None
    change_log: Word
    zone: Word
    routers: Some = 1
    router_index: Count = 0
    limits: LimitsForm
    zones: Annotated[dict[Word, ZoneForm | list[Any]], Field(min_length=1, max_length=MOST_ZONES)]
    kinds: Annotated[Words, Field(min_length=1, max_length=64)]
    parent_kind: Word
    origin_kind: Word
    classes: Annotated[dict[Word, ClassForm], Field(min_length=1, max_length=MOST_CLASSES)]
    stores: StoresForm = StoresForm()
    parents: ParentsForm = ParentsForm()
    purges: PurgesForm = PurgesForm()
    attempts: AttemptsForm = AttemptsForm()
    connections: ConnectionsForm = ConnectionsForm()
    members: MembersForm | None = None
    retry_after_ms: Ms = 900.0
    tick_ms: SomeMs = 2.0
    client_kb_per_s: Amount = 0.0
    must_subscribe: Flag = False


@dataclass(frozen=True)
class Loaded:
    """A settings file that can be used."""

    data: Mapping[str, Any]  # as it was written, without its version
    version: int  # 0 where the file names none
    document: Document

    @property
    def digest(self) -> str:
        return sexp.digest(self.data)


def load_text(text: str, source: str = "document") -> Loaded:
    """Read a settings text; ``Unusable`` with all that is wrong in it."""
    tree = sexp.read(text, source)
    return load_data(tree.data, tree.lines)


def load_file(path: str | FilePath) -> Loaded:
    """Read a settings file; ``ConfigError`` where it cannot be read, ``Unusable`` where it cannot be used."""
    return load_text(read_text(path), str(path))


def load_data(data: Mapping[str, Any], lines: Mapping[Path, int] | None = None) -> Loaded:
    """Check data and turn it into a document; ``Unusable`` with all that is wrong in it."""
    lines = lines or {}
    try:
        form = DocumentForm.model_validate(data)
    except ValidationError as err:
        raise Unusable([_problem(error, data, lines) for error in err.errors(include_url=False)]) from None
    problems = [Problem(" ".join(path), _line(path, lines), *words) for path, *words in _at_odds(form)]
    if problems:
        raise Unusable(problems)
    bare = {name: value for name, value in data.items() if name != "version"}
    return Loaded(bare, form.version, _document(form))


def _line(path: Path, lines: Mapping[Path, int]) -> int:
    """The line of an entry, or of the nearest one round it."""
    return next((lines[path[:to]] for to in range(len(path), 0, -1) if path[:to] in lines), 0)


def _problem(error: Any, data: Any, lines: Mapping[Path, int]) -> Problem:
    """One of pydantic's errors, in our words."""
    path = tuple(str(part) for part in error["loc"] if part not in ("[key]", "ZoneForm", "list[any]"))
    where, line = " ".join(path) or "document", _line(path, lines)
    if error["type"] == "missing":
        return Problem(where, line, "nothing", "a value: it must be given")
    if error["type"] == "extra_forbidden":
        at = data
        for name in path[:-1]:
            at = at.get(name, {}) if isinstance(at, Mapping) else {}
        known = _known(path[:-1])
        close = difflib.get_close_matches(path[-1], known, 1)
        hint = f"another; did you mean {close[0]}?" if close else f"one of {', '.join(sorted(known))}"
        return Problem(where, line, f"unknown entry {path[-1]!r}", hint)
    wanted = str(error["msg"]).removeprefix("Input should be ").removeprefix("a valid ")
    if error["type"] == "string_pattern_mismatch":
        wanted = "a word of at most 64 printable characters without comma or space"
    elif error["type"] in ("model_type", "dict_type"):
        wanted = "entries, each in brackets"
    return Problem(where, line, sexp.shown(error["input"]), wanted)


def _known(path: Path) -> list[str]:
    """The names of the entries that a place may have."""
    forms: dict[str, type[_Form]] = {
        "limits": LimitsForm, "stores": StoresForm, "parents": ParentsForm, "purges": PurgesForm,
        "attempts": AttemptsForm, "connections": ConnectionsForm, "zones": ZoneForm, "classes": ClassForm,
        "members": MembersForm,
    }  # fmt: skip
    form = forms[path[0]] if path else DocumentForm
    return [name.replace("_", "-") for name in form.model_fields]


def _at_odds(form: DocumentForm) -> Iterator[tuple[Path, str, str]]:
    """Entries that are sound by themselves and do not fit each other: path, found, expected."""
    addresses = {"listen": form.listen, "console": form.console or form.listen, "change-log": form.change_log}
    for name, text in addresses.items():
        try:
            address(text, name)
        except ConfigError:
            yield (name,), sexp.shown(text), "host:port"
    if (members := form.members) is not None:
        told = [("listen", members.listen), ("advertise", members.advertise or members.listen)]
        for key, text in [*told, *(("seeds", seed) for seed in members.seeds)]:
            try:
                address(text, key)
            except ConfigError:
                yield ("members", key), sexp.shown(text), "host:port"
        if members.hand_over and not members.digests:
            yield ("members", "hand-over"), "yes", "no, or digests yes: it goes by what neighbours say"
        if members.alone < 1.0 and len(members.council) % 2 == 0:
            found = f"{len(members.council)} names"
            yield ("members", "council"), found, "an odd number of routers' names, as alone is less than 1"
    zones, kinds = list(form.zones), form.kinds
    if form.zone not in form.zones:
        yield ("zone",), sexp.shown(form.zone), f"one of the zones: {', '.join(zones[:8])}"
    for name, zone in form.zones.items():
        if isinstance(zone, list) and zone:
            yield ("zones", name), sexp.shown(zone), "entries, each in brackets"
        hub = zone.attached_to if isinstance(zone, ZoneForm) else None
        if hub is not None and hub not in form.zones:
            yield ("zones", name, "attached-to"), sexp.shown(hub), f"one of the zones: {', '.join(zones[:8])}"
    if len(set(kinds)) < len(kinds):
        yield ("kinds",), " ".join(kinds), "each kind once"
    for key, kind in (("parent-kind", form.parent_kind), ("origin-kind", form.origin_kind)):
        if kind not in kinds:
            yield (key,), sexp.shown(kind), f"one of the kinds: {', '.join(kinds[:8])}"
    if form.parent_kind == form.origin_kind:
        yield ("parent-kind",), sexp.shown(form.parent_kind), "another kind than origin-kind"
    if form.router_index >= form.routers:
        yield ("router-index",), str(form.router_index), f"less than routers, {form.routers}"
    for name, cls in form.classes.items():
        if cls.aim_ms > cls.deadline_ms:
            yield ("classes", name, "aim-ms"), str(cls.aim_ms), f"at most deadline-ms, {cls.deadline_ms}"
        if cls.effect == "keyed" and not cls.dedup_ms:
            yield ("classes", name, "dedup-ms"), "0", "how long stores know a key, as its effect is keyed"


def _us(ms: float) -> int:
    return round(ms * 1000)


def _document(form: DocumentForm) -> Document:
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


def _ms(us: int) -> float | int:
    return us // 1000 if us % 1000 == 0 else us / 1000


def _number(value: float) -> float | int:
    return int(value) if math.isfinite(value) and value == int(value) else value


def _members_data(members: Members) -> dict[str, Any]:
    def words(values: Sequence[str]) -> Any:
        return values[0] if len(values) == 1 else list(values)

    return {
        "fleet": members.fleet,
        "listen": "{}:{}".format(*members.listen),
        "advertise": "{}:{}".format(*members.advertise),
        **({"seeds": words(["{}:{}".format(*seed) for seed in members.seeds])} if members.seeds else {}),
        **({"council": words(members.council)} if members.council else {}),
        "alone": _number(members.alone),
        "digests": members.digests,
        "hand-over": members.hand_over,
    }


def to_data(document: Document) -> dict[str, Any]:
    """The data of a document, whichever reader it came through; read again it gives an equal document."""
    s, names = document.settings, document.names
    words = {Effect.FREE: "free", Effect.KEYED: "keyed", Effect.UNSAFE: "unsafe"}
    scopes = {value: word for word, value in SCOPES.items()}
    many = names.report[0] if len(names.report) == 1 else list(names.report)
    return {
        "name": document.name,
        "listen": "{}:{}".format(*document.listen),
        **({"console": "{}:{}".format(*document.console)} if document.console else {}),
        **({"members": _members_data(document.members)} if document.members else {}),
        "change-log": "{}:{}".format(*document.changelog),
        "limits": {"memory-mb": _number(document.limits.memory_mb), "sockets": document.limits.sockets},
        "zone": names.zones[s.zone],
        "routers": s.routers,
        "router-index": s.self_index,
        "zones": {
            name: {
                "routers": s.zone_routers[i],
                "link-kb-per-s": _number(s.zone_link_kb_per_s[i]),
                "attached-to": names.zones[s.zone_hub[i]],
            }
            for i, name in enumerate(names.zones)
        },
        "kinds": names.kinds[0] if len(names.kinds) == 1 else list(names.kinds),
        "parent-kind": names.kinds[s.parent_kind],
        "origin-kind": names.kinds[s.origin_kind],
        "classes": {
            name: {
                "aim-ms": _ms(c.aim_us),
                "aim-stretch": _number(c.aim_stretch),
                "deadline-ms": _ms(c.deadline_us),
                "effect": words[c.effect],
                "scope": scopes[c.scope],
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
            for name, c in zip(names.classes, s.classes, strict=True)
        },
        "stores": {
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
            "report": many,
        },
        "parents": {
            "cold-from": _number(s.parent_cold_from),
            "cold-ms": _ms(s.parent_cold_us),
            "fall-multiple": _number(s.parent_fall_multiple),
        },
        "purges": {"grace-ms": _ms(s.purge_grace_us), "done-ms": _ms(s.purge_done_us)},
        "attempts": {
            "most": s.max_attempts,
            "connect-timeout-ms": _ms(s.connect_timeout_us),
            "cancel": s.may_cancel,
            "probe": s.may_probe,
            "message": s.may_message,
            "pass-by": s.may_pass_by,
            "second-copies": s.second_copies,
        },
        "connections": {
            "idle-ms": _ms(document.idle_us),
            "streams": document.streams_per_connection,
        },
        "retry-after-ms": _ms(s.max_retry_after_us),
        "tick-ms": _ms(s.tick_us),
        "client-kb-per-s": _number(s.flow_kb_per_s),
        "must-subscribe": s.must_subscribe,
    }
