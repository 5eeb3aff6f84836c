"""The configuration: environment variables and one JSON file, read into typed values.

The nested settings become the policy's ``Settings`` by way of ``simulator_codec``'s parser, which takes the
same object as ``path=value`` lines.
"""

from __future__ import annotations

import dataclasses
import json
import math
import os
import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from magpieshift.policy.settings import RequestClass, Settings
from magpieshift.policy.simulator_codec import SettingsError, parse_settings

Address = tuple[str, int]
CLASS_NAME = re.compile(r"[!-+\--~]{1,64}")  # it goes into a list on a store's line
MIN_SOCKETS = 192  # fewer leave no room for stores beside the clients' third and what is kept aside


class ConfigError(Exception):
    """A value is missing or cannot be used; the text is one plain line."""


@dataclass(frozen=True)
class Limits:
    """What the machine gives."""

    memory_mb: float
    sockets: int


@dataclass(frozen=True)
class Names:
    """The words of the settings that messages on the sockets use."""

    classes: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    report: tuple[str, ...]


NO_NAMES = Names((), (), (), ())


@dataclass(frozen=True)
class MembershipSettings:
    """How a router talks with the others of its fleet, where it does."""

    fleet: str  # datagrams of another are dropped
    listen: Address  # of its datagrams
    advertise: Address  # where the others send them
    seeds: tuple[Address, ...] = ()  # to join by
    voters: tuple[str, ...] = ()  # names of those who choose who deals out shares
    solo_quota: float = 1.0  # part of its share by the settings that a router uses whatever it hears
    digests: bool = False  # whether routers tell each other of failing stores
    may_offload: bool = False  # whether one that has too much sends clients to its neighbours


@dataclass(frozen=True)
class Document:
    """The settings of an installation, whichever reader they came through: the platform's JSON below, or an
    S-expression (``magpieshift.control.schema``). It is what a version of the configuration holds."""

    name: str
    listen: Address
    limits: Limits
    changelog: Address
    settings: Settings
    names: Names
    idle_us: int
    streams_per_connection: int
    console: Address | None = None  # where operators call; nowhere if there is none
    members: MembershipSettings | None = None  # None: it talks to no other router


@dataclass(frozen=True)
class Config:
    """All that the program is told at its start: a document, and what is no setting but true of this
    start."""

    document: Document
    seed: int
    known: Mapping[str, Any]
    version: int = 0  # of the document; 0 for one without a number, as the platform's


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
"""Names under which settings are shown and compared between processes, where the field has another."""

SHOWN_CLASS_FIGURES = {
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
"""The same of the figures of a request class."""


def shown_membership(members: MembershipSettings) -> dict[str, object]:
    """Membership settings under the names that operators are shown."""
    names = {"voters": "council", "solo_quota": "alone", "may_offload": "hand_over"}
    return {names.get(name, name): value for name, value in dataclasses.asdict(members).items()}


def settings_by_name(
    settings: Settings, names: Names, classes: Mapping[str, RequestClass]
) -> dict[str, object]:
    """Settings in JSON's types with zones, kinds and classes by name: the same for equal settings, however
    the parts of a router number them."""
    plain: dict[str, Any] = {
        SHOWN_SETTINGS.get(field.name, field.name): getattr(settings, field.name)
        for field in dataclasses.fields(settings)
        if field.name != "classes"
    }
    zones = names.zones
    plain["zone"] = zones[settings.zone]
    for shown in ("zone_hub", "zone_routers", "zone_link_kb_per_s"):
        plain[shown] = {name: value for name, value in zip(zones, plain[shown], strict=True) if name}
    plain["zone_hub"] = {zone: zones[hub] for zone, hub in plain["zone_hub"].items()}
    for shown in ("parent_kind", "origin_kind"):
        plain[shown] = names.kinds[plain[shown]]
    plain["report_columns"] = list(settings.load_report_columns)
    plain["classes"] = {name: _class_by_name(classes[name]) for name in sorted(classes)}
    return plain


def _class_by_name(request_class: RequestClass) -> dict[str, object]:
    figures = dataclasses.asdict(request_class)
    return {SHOWN_CLASS_FIGURES.get(name, name): value for name, value in figures.items()}


def flatten(value: object, path: str = "") -> Iterator[str]:
    """Nested settings as the lines that ``simulator_codec`` reads."""
    if isinstance(value, Mapping):
        for key, inner in value.items():
            yield from flatten(inner, f"{path}.{key}" if path else str(key))
    elif isinstance(value, list) and any(isinstance(inner, Mapping) for inner in value):
        yield f"{path}.count={len(value)}"
        for index, inner in enumerate(value):
            yield from flatten(inner, f"{path}.{index}")
    elif isinstance(value, list):
        yield f"{path}=" + ",".join(_plain(inner) for inner in value)
    elif isinstance(value, float) and not math.isfinite(value):  # it poisons every comparison
        raise ConfigError(f"settings.{path}: found {value}, expected a finite number")
    else:
        yield f"{path}={_plain(value)}"


def _plain(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    text = "" if value is None else str(value)
    return "_".join(text.replace(",", " ").split(" ")).replace("\n", "_")


def read_text(path: str | Path) -> str:
    """A file's text, as UTF-8; ``ConfigError`` where it cannot be read."""
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, ValueError) as err:
        raise ConfigError(f"{path} cannot be read: {err}") from err


def parse_address(text: object, what: str) -> Address:
    """``host:port``, the host as an IPv4 address or a name."""
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ConfigError(f"{what} is not host:port: {text!r}")
    return host, int(port)


def _get(data: Mapping[str, Any], path: str, kind: type | tuple[type, ...]) -> Any:
    """The value at a dotted path, of the wanted type."""
    value: Any = data
    for key in path.split("."):
        if isinstance(value, list):
            value = dict(zip(map(str, range(len(value))), value, strict=True))
        if not isinstance(value, Mapping) or key not in value:
            raise ConfigError(f"configuration lacks {path}")
        value = value[key]
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        wanted = " or ".join(each.__name__ for each in (kind if isinstance(kind, tuple) else (kind,)))
        raise ConfigError(f"configuration has a bad {path}: found {value!r:.120}, expected {wanted}")
    return value


def _words(settings: Mapping[str, Any], path: str) -> tuple[str, ...]:
    return tuple(str(word) for word in _get(settings, path, list))


def _positive(data: Mapping[str, Any], path: str, kind: type | tuple[type, ...] = (int, float)) -> None:
    """See that a figure is a number above zero. What is none (text, true, zero, NaN) would be read as
    something, and requests be held to it."""
    if not 0 < _get(data, path, kind) < math.inf:
        raise ConfigError(f"{path}: found {_get(data, path, kind)!r}, expected a number above zero")


def _check(data: Mapping[str, Any]) -> None:
    """What the settings' own reader lets pass and the router can't run on."""
    _positive(data, "settings.Caps.MaxAttempts", int)
    _positive(data, "settings.Caps.ConnectTimeoutUs")
    seen: set[str] = set()
    for i in range(len(_get(data, "settings.Classes", list))):
        name = _get(data, f"settings.Classes.{i}.Name", str)
        if not CLASS_NAME.fullmatch(name) or name in seen:
            raise ConfigError(f"settings.Classes.{i}.Name: found {name!r:.80}, expected a word, each once")
        seen.add(name)
        for figure in ("GiveUpUs", "AimUs"):
            _positive(data, f"settings.Classes.{i}.{figure}")
    if not seen:
        raise ConfigError("settings.Classes: found none, expected one at least")


def parse(
    data: Mapping[str, Any],
    listen: str | None = None,
    name: str | None = None,
    console: str | None = None,
) -> Config:
    """The typed configuration; the variables' values win over the file's."""
    nested = _get(data, "settings", Mapping)
    _check(data)
    try:
        settings = parse_settings("\n".join(flatten(nested)))
    except (SettingsError, IndexError, OverflowError) as err:
        raise ConfigError(f"settings: {err}") from err
    seed = _get(data, "seed", (str, int))
    try:
        seed_number = int(seed, 16) if isinstance(seed, str) else int(seed)
    except ValueError:
        raise ConfigError(f"configuration has a bad seed: {seed!r}") from None
    limits = Limits(_get(data, "limits.memory_mb", (int, float)), _get(data, "limits.sockets", int))
    if limits.sockets < MIN_SOCKETS:
        raise ConfigError(f"limits.sockets is too small to serve with: {limits.sockets}")
    console = console or data.get("console")
    document = Document(
        name=name or str(data.get("name", "")),
        listen=parse_address(listen or data.get("listen"), "listen"),
        limits=limits,
        changelog=parse_address(_get(data, "changelog", str), "changelog"),
        settings=settings,
        names=Names(
            classes=tuple(str(_get(c, "Name", str)) for c in _get(nested, "Classes", list)),
            zones=_words(nested, "Zones"),
            kinds=_words(nested, "MachineTypes"),
            report=settings.load_report_columns,
        ),
        idle_us=int(_get(nested, "Caps.ConnIdleUs", (int, float))),
        streams_per_connection=max(1, int(_get(nested, "Caps.MaxStreams", (int, float)))),
        console=parse_address(console, "console") if console else None,
    )
    return Config(document, seed_number, _get(data, "known", Mapping))


def load(environ: Mapping[str, str] | None = None) -> Config:
    """Read the file that ``EDGE_CONFIG`` names."""
    env = os.environ if environ is None else environ
    path = env.get("EDGE_CONFIG")
    if not path:
        raise ConfigError("EDGE_CONFIG is not set")
    try:
        data = json.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError) as err:
        raise ConfigError(f"EDGE_CONFIG cannot be read: {err}") from err
    if not isinstance(data, dict):
        raise ConfigError("EDGE_CONFIG does not hold an object")
    return parse(data, env.get("EDGE_LISTEN"), env.get("EDGE_NAME"), env.get("EDGE_CONSOLE"))
