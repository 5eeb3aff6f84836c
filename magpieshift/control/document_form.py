"""The schema of a settings file: its entries, their types, bounds and defaults.

Only this module, ``document_from_form`` and ``document_to_data`` know the names and words of settings files.
Durations are milliseconds. The validation is pydantic's, since it reports all errors at once, where msgspec
stops at the first one (docs/design/versioned-configuration.md has the figures).
"""

from __future__ import annotations

from typing import Annotated, Any, Literal

from pydantic import BeforeValidator, Field, StringConstraints

from magpieshift.config import MIN_SOCKETS
from magpieshift.control.validation import Form

MAX_CLASSES = 256
"""Most request classes; each adds a record of response times to every endpoint."""
MAX_ZONES = 4096
"""Most zones: four times as many as the product has."""
MAX_MS = 24 * 3_600_000.0
"""Longest duration in a settings file: one day."""

# words are sent on an endpoint's request line, where commas and spaces are separators
Word = Annotated[str, StringConstraints(pattern=r"^[!-+\--~]{1,64}$", strict=True)]
Ms = Annotated[float, Field(ge=0, le=MAX_MS, allow_inf_nan=False, strict=True)]
PositiveMs = Annotated[float, Field(ge=1, le=MAX_MS, allow_inf_nan=False, strict=True)]
Fraction = Annotated[float, Field(ge=0, le=1, allow_inf_nan=False, strict=True)]
Amount = Annotated[float, Field(ge=0, le=1e12, allow_inf_nan=False, strict=True)]
Count = Annotated[int, Field(ge=0, le=1_000_000, strict=True)]
PositiveCount = Annotated[int, Field(ge=1, le=1_000_000, strict=True)]
Flag = Annotated[bool, Field(strict=True)]
Words = Annotated[list[Word], BeforeValidator(lambda value: value if isinstance(value, list) else [value])]


class LimitsForm(Form):
    """Resource limits of the process."""

    memory_mb: Annotated[float, Field(ge=8, le=1 << 20, allow_inf_nan=False, strict=True)]
    sockets: Annotated[int, Field(ge=MIN_SOCKETS, le=1 << 20, strict=True)]


class ZoneForm(Form):
    """A zone: its routers and its link."""

    routers: Count = 0
    link_kb_per_s: Amount = 0.0
    attached_to: Word | None = None  # the zone itself if not given


class ClassForm(Form):
    """A class of requests."""

    aim_ms: PositiveMs
    aim_stretch: Amount = 0.0
    deadline_ms: PositiveMs
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


class StoresForm(Form):
    """How caches are selected, warmed up and checked for overload."""

    weights: Literal["sizes", "live"] = "sizes"
    cold_from: Fraction = 0.2
    cold_ms: Ms = 18_000.0
    fall_multiple: Amount = 2.5
    fall_ms: PositiveMs = 1_000.0
    drain_ms: Ms = 250.0
    answer_slack_ms: Ms = 8.0
    notes: Flag = True
    siblings: Flag = True
    share_fills: Flag = False
    report: Words = []


class ParentsForm(Form):
    """Slow start and overload detection of parent caches."""

    cold_from: Fraction = 0.1
    cold_ms: Ms = 19_000.0
    fall_multiple: Amount = 2.0


class PurgesForm(Form):
    """Grace period and propagation time of purges."""

    grace_ms: Ms = 500.0
    done_ms: Ms = 6_000.0


class AttemptsForm(Form):
    """Limits of attempts, and which kinds of actions the platform allows."""

    most: Annotated[int, Field(ge=1, le=64, strict=True)] = 8
    connect_timeout_ms: PositiveMs = 400.0
    cancel: Flag = True
    probe: Flag = True
    message: Flag = False
    pass_by: Flag = True
    second_copies: Flag = False


class ConnectionsForm(Form):
    """Limits of connections to endpoints."""

    idle_ms: PositiveMs = 15_000.0
    streams: Annotated[int, Field(ge=1, le=4096, strict=True)] = 32


class MembersForm(Form):
    """Membership of the router's fleet, and the gossip between routers."""

    fleet: Word
    listen: Word
    advertise: Word | None = None
    seeds: Words = []
    council: Words = []
    alone: Fraction = 1.0
    digests: Flag = False
    hand_over: Flag = False


class DocumentForm(Form):
    """A whole settings file."""

    version: Annotated[int, Field(ge=0, lt=1 << 63, strict=True)] = 0
    name: Word
    listen: Word
    console: Word | None = None
    change_log: Word
    zone: Word
    routers: PositiveCount = 1
    router_index: Count = 0
    limits: LimitsForm
    zones: Annotated[dict[Word, ZoneForm | list[Any]], Field(min_length=1, max_length=MAX_ZONES)]
    kinds: Annotated[Words, Field(min_length=1, max_length=64)]
    parent_kind: Word
    origin_kind: Word
    classes: Annotated[dict[Word, ClassForm], Field(min_length=1, max_length=MAX_CLASSES)]
    stores: StoresForm = StoresForm()
    parents: ParentsForm = ParentsForm()
    purges: PurgesForm = PurgesForm()
    attempts: AttemptsForm = AttemptsForm()
    connections: ConnectionsForm = ConnectionsForm()
    members: MembersForm | None = None
    retry_after_ms: Ms = 900.0
    tick_ms: PositiveMs = 2.0
    client_kb_per_s: Amount = 0.0
    must_subscribe: Flag = False


def known_entries(path: tuple[str, ...]) -> list[str]:
    """The names of the entries that are allowed at a path."""
    forms: dict[str, type[Form]] = {
        "limits": LimitsForm,
        "stores": StoresForm,
        "parents": ParentsForm,
        "purges": PurgesForm,
        "attempts": AttemptsForm,
        "connections": ConnectionsForm,
        "zones": ZoneForm,
        "classes": ClassForm,
        "members": MembersForm,
    }
    form = forms[path[0]] if path else DocumentForm
    return [name.replace("_", "-") for name in form.model_fields]
