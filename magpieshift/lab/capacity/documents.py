"""Settings documents of a given size, for roles that read or transfer them."""

from __future__ import annotations

from typing import Any

from magpieshift.control.schema import load_data, to_data


def settings(
    zones: int, change_log: str = "127.0.0.1:7070", listen: str = "127.0.0.1:6565"
) -> dict[str, Any]:
    """The data of a valid settings document with ``zones`` zones; the router's own zone is the last one."""
    picture = {"aim-ms": 500, "deadline-ms": 2000, "in-parts": True, "worth": 2}
    basket = {"aim-ms": 700, "deadline-ms": 2000, "effect": "keyed", "dedup-ms": 5000, "write": True}
    named = {f"zone-{number}": {"routers": 1, "attached-to": "hub"} for number in range(zones - 2)}
    data = {
        "name": "lab",
        "listen": listen,
        "change-log": change_log,
        "limits": {"memory-mb": 64, "sockets": 512},
        "zone": "shop",
        "routers": max(1, zones - 1),
        "zones": {"hub": {"routers": 0}, **named, "shop": {"routers": 1, "attached-to": "hub"}},
        "kinds": ["box", "upper", "source"],
        "parent-kind": "upper",
        "origin-kind": "source",
        "classes": {"picture": picture, "basket": basket},
    }
    return to_data(load_data(data).document)


def with_change(data: dict[str, Any], number: int) -> dict[str, Any]:
    """A copy of the document with one setting changed; each ``number`` gives another value."""
    return data | {"stores": data["stores"] | {"answer-slack-ms": number / 1000}}
