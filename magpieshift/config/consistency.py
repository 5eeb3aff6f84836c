"""Checks the settings of the platform's file against each other: lengths of lists, ranges of references, and
names that occur twice.

Single values are checked where they are read (``platform_file``, ``simulator_settings``); documents of the
control channel refer to zones and kinds by name, and are checked by ``control.document_consistency``.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from magpieshift.config.errors import ConfigError

NO_KIND = -1
"""``ShieldKind`` of an installation without parents."""
HUB_LIST = "Specifics.AttachedTo"
ZONE_LISTS = (HUB_LIST, "Specifics.ZoneBalancers", "Specifics.LinkInKbPerS")
"""Lists with a value for each zone."""
CLASS_LISTS = tuple(
    f"Specifics.{name}" for name in ("ClassWrite", "InPieces", "MaxAgeUs", "GraceForUs", "StaleEarns")
)
"""Lists with a value for each class."""
MAX_SHOWN_CHARACTERS = 120
"""Longest part of an invalid value that an error shows."""


def check_consistency(settings: Mapping[str, Any]) -> None:
    """Check the nested settings; raises ``ConfigError`` for the first that does not fit the others.

    The error names the setting, what was found and what was expected. Settings that are missing are left to
    the reader of their values, which rejects them.
    """
    specifics = settings.get("Specifics", {})
    if not isinstance(specifics, Mapping):
        raise _mismatch("Specifics", specifics, "an object")
    values = dict(settings) | {f"Specifics.{name}": value for name, value in specifics.items()}
    if "Zones" in values:
        _check_zones(values, len(_names(values, "Zones")))
    if "MachineTypes" in values:
        count = len(_names(values, "MachineTypes"))
        _check_reference(values, "Specifics.MasterKind", 0, count, "MachineTypes")
        _check_reference(values, "Specifics.ShieldKind", NO_KIND, count, "MachineTypes")
    if "Classes" in values:
        count = len(_list(values, "Classes"))
        for name in CLASS_LISTS:
            _check_length(values, name, count, "Classes")


def _check_zones(values: Mapping[str, Any], count: int) -> None:
    for name in ZONE_LISTS:
        _check_length(values, name, count, "Zones")
    _check_reference(values, "Locality", 0, count, "Zones")
    hubs = {f"{HUB_LIST}.{index}": hub for index, hub in enumerate(values.get(HUB_LIST, ()))}
    for name in hubs:
        _check_reference(hubs, name, 0, count, "Zones")


def _mismatch(name: str, found: object, expected: str) -> ConfigError:
    return ConfigError(f"settings.{name}: found {found!r:.{MAX_SHOWN_CHARACTERS}}, expected {expected}")


def _list(values: Mapping[str, Any], name: str) -> Sequence[Any]:
    value = values[name]
    if not isinstance(value, list):
        raise _mismatch(name, value, "a list")
    return value


def _names(values: Mapping[str, Any], name: str) -> Sequence[str]:
    names = _list(values, name)
    if not names:
        raise _mismatch(name, names, "at least one name")
    for index, each in enumerate(names):
        if not isinstance(each, str) or not each or each in names[:index]:
            raise _mismatch(f"{name}.{index}", each, "a name that occurs once")
    return names


def _check_length(values: Mapping[str, Any], name: str, length: int, owner: str) -> None:
    if name not in values:
        return
    value = values[name]
    if not isinstance(value, list) or len(value) != length:
        found = f"{len(value)} values" if isinstance(value, list) else repr(value)[:MAX_SHOWN_CHARACTERS]
        raise ConfigError(
            f"settings.{name}: found {found}, expected {length}, one for each of settings.{owner}"
        )


def _check_reference(values: Mapping[str, Any], name: str, lowest: int, length: int, owner: str) -> None:
    if name not in values:
        return
    value = values[name]
    if not isinstance(value, int) or isinstance(value, bool) or not lowest <= value < length:
        raise _mismatch(name, value, f"{lowest} to {length - 1}, a place in settings.{owner}")
