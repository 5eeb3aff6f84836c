"""Reads the platform's configuration: environment variables and one JSON file.

The nested settings are converted to ``path=value`` lines, the format of ``simulator_settings``, whose parser
returns the policy's ``Settings``.
"""

from __future__ import annotations

import json
import math
import os
import re
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

from magpieshift.config.consistency import check_consistency
from magpieshift.config.document import MIN_SOCKETS, Config, Document, Limits, Names
from magpieshift.config.errors import ConfigError
from magpieshift.config.values import parse_address
from magpieshift.policy.errors import SettingsError
from magpieshift.policy.settings import Settings
from magpieshift.policy.simulator_settings import parse_settings

CLASS_NAME = re.compile(r"[!-+\--~]{1,64}")
"""Printable characters except space and comma, since the name is sent in a list on an endpoint's request
line."""
MAX_SHOWN_CHARACTERS = 120
"""Longest part of an invalid value that an error shows."""
NUMBER = (int, float)

Types = type | tuple[type, ...]


def load(environ: Mapping[str, str] | None = None) -> Config:
    """Read the file that ``EDGE_CONFIG`` names; the other ``EDGE_*`` variables take precedence over it."""
    env = os.environ if environ is None else environ
    path = env.get("EDGE_CONFIG")
    if not path:
        raise ConfigError("EDGE_CONFIG is not set")
    try:
        data = json.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError) as err:
        raise ConfigError(f"EDGE_CONFIG cannot be read: {err}") from err
    if not isinstance(data, dict):
        raise ConfigError("the file that EDGE_CONFIG names does not hold a JSON object")
    return parse(data, env.get("EDGE_LISTEN"), env.get("EDGE_NAME"), env.get("EDGE_CONSOLE"))


def parse(
    data: Mapping[str, Any],
    listen: str | None = None,
    name: str | None = None,
    console: str | None = None,
) -> Config:
    """Convert the file's data to the typed configuration; the other arguments take precedence over it.

    Raises ``ConfigError`` if a value is missing or invalid.
    """
    nested = _get(data, "settings", Mapping)
    _check_settings(data)
    check_consistency(nested)
    settings = _read_settings(nested)
    seed = _read_seed(data)
    _check_positive(data, "limits.memory_mb")
    limits = Limits(_get(data, "limits.memory_mb", NUMBER), _get(data, "limits.sockets", int))
    if limits.sockets < MIN_SOCKETS:
        raise ConfigError(f"limits.sockets: found {limits.sockets}, expected at least {MIN_SOCKETS}")
    console = console or data.get("console")
    document = Document(
        name=name or str(data.get("name", "")),
        listen=parse_address(listen or data.get("listen"), "listen"),
        limits=limits,
        change_log_address=parse_address(_get(data, "changelog", str), "changelog"),
        settings=settings,
        names=Names(
            classes=tuple(str(_get(row, "Name", str)) for row in _get(nested, "Classes", list)),
            zones=_words(nested, "Zones"),
            kinds=_words(nested, "MachineTypes"),
            report=settings.load_report_columns,
        ),
        idle_timeout_us=int(_get(nested, "Caps.ConnIdleUs", NUMBER)),
        streams_per_connection=max(1, int(_get(nested, "Caps.MaxStreams", NUMBER))),
        admin_address=parse_address(console, "console") if console else None,
    )
    return Config(document, seed, _get(data, "known", Mapping))


def flatten(value: object, path: str = "") -> Iterator[str]:
    """Convert nested settings to the ``path=value`` lines that ``simulator_settings`` parses."""
    if isinstance(value, Mapping):
        for key, inner in value.items():
            yield from flatten(inner, f"{path}.{key}" if path else str(key))
    elif isinstance(value, list) and any(isinstance(inner, Mapping) for inner in value):
        yield f"{path}.count={len(value)}"
        for index, inner in enumerate(value):
            yield from flatten(inner, f"{path}.{index}")
    elif isinstance(value, list):
        yield f"{path}=" + ",".join(_line_value(inner) for inner in value)
    elif isinstance(value, float) and not math.isfinite(value):
        # comparisons with NaN or infinity would give wrong results
        raise ConfigError(f"settings.{path}: found {value}, expected a finite number")
    else:
        yield f"{path}={_line_value(value)}"


def _line_value(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    text = "" if value is None else str(value)
    return "_".join(text.replace(",", " ").split(" ")).replace("\n", "_")


def _read_settings(nested: Mapping[str, Any]) -> Settings:
    try:
        return parse_settings("\n".join(flatten(nested)))
    except (SettingsError, IndexError, OverflowError) as err:
        raise ConfigError(f"settings: {err}") from err


def _read_seed(data: Mapping[str, Any]) -> int:
    seed = _get(data, "seed", (str, int))
    try:
        return int(seed, 16) if isinstance(seed, str) else int(seed)
    except ValueError:
        raise ConfigError(
            f"configuration has a bad seed: found {seed!r}, expected hexadecimal digits"
        ) from None


def _get(data: Mapping[str, Any], path: str, types: Types) -> Any:
    """The value at a dotted path; ``ConfigError`` if it is missing or of another type. Booleans are not
    numbers."""
    value: Any = data
    for key in path.split("."):
        if isinstance(value, list):
            value = {str(index): inner for index, inner in enumerate(value)}
        if not isinstance(value, Mapping) or key not in value:
            raise ConfigError(f"configuration lacks {path}")
        value = value[key]
    if not isinstance(value, types) or (isinstance(value, bool) and types is not bool):
        expected = " or ".join(
            accepted.__name__ for accepted in (types if isinstance(types, tuple) else (types,))
        )
        shown = f"{value!r:.{MAX_SHOWN_CHARACTERS}}"
        raise ConfigError(f"configuration has a bad {path}: found {shown}, expected {expected}")
    return value


def _words(settings: Mapping[str, Any], path: str) -> tuple[str, ...]:
    return tuple(str(word) for word in _get(settings, path, list))


def _check_positive(data: Mapping[str, Any], path: str, types: Types = NUMBER) -> None:
    """Reject a value that is not a finite number above zero.

    The parser of ``simulator_settings`` would accept text, true, zero or NaN as some number, and that number
    would then limit requests.
    """
    value = _get(data, path, types)
    if not 0 < value < math.inf:
        raise ConfigError(f"{path}: found {value!r}, expected a number above zero")


def _check_not_negative(data: Mapping[str, Any], path: str) -> None:
    value = _get(data, path, NUMBER)
    if not 0 <= value < math.inf:
        raise ConfigError(f"{path}: found {value!r}, expected a number that is not negative")


def _check_settings(data: Mapping[str, Any]) -> None:
    """Reject settings that the parser of ``simulator_settings`` accepts, but that the router cannot run
    with."""
    _check_positive(data, "settings.Caps.MaxAttempts", int)
    _check_positive(data, "settings.Caps.ConnectTimeoutUs")
    seen: set[str] = set()
    for index in range(len(_get(data, "settings.Classes", list))):
        name = _get(data, f"settings.Classes.{index}.Name", str)
        if not CLASS_NAME.fullmatch(name) or name in seen:
            raise ConfigError(f"settings.Classes.{index}.Name: found {name!r:.80}, expected a unique word")
        seen.add(name)
        for setting in ("GiveUpUs", "AimUs"):
            _check_positive(data, f"settings.Classes.{index}.{setting}")
        if "AimStretch" in data["settings"]["Classes"][index]:
            _check_not_negative(data, f"settings.Classes.{index}.AimStretch")
    if not seen:
        raise ConfigError("settings.Classes: found none, expected at least one")
