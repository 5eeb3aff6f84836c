"""What may stand in a settings file: its entries, their types, bounds and defaults.

Times are milliseconds. The checks are pydantic's: it finds all that is wrong at once, where msgspec stops at
the first (docs/design/versioned-configuration.md has the figures).
"""

from __future__ import annotations

from typing import Annotated, Any, Literal

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, StringConstraints

from magpieshift.config import MIN_SOCKETS

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


class _Form(BaseModel):
    model_config = ConfigDict(
        extra="forbid", populate_by_name=True, alias_generator=lambda name: name.replace("_", "-")
    )


class LimitsForm(_Form):
    memory_mb: Annotated[float, Field(ge=8, le=1 << 20, allow_inf_nan=False, strict=True)]
    sockets: Annotated[int, Field(ge=MIN_SOCKETS, le=1 << 20, strict=True)]


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


def known_entries(path: tuple[str, ...]) -> list[str]:
    """The names of the entries that a place may have."""
    forms: dict[str, type[_Form]] = {
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
