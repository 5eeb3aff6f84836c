"""The settings of each router of a simulated fleet, in the form of a settings file."""

from __future__ import annotations

from magpieshift.config import Document
from magpieshift.control.schema import load_data
from magpieshift.lab.simulated.fleet_clients import BASKET_CLASS, PICTURE_CLASS
from magpieshift.lab.simulated.fleet_state import FleetSize

ENDPOINT_KINDS = ("box", "upper", "source")  # caches, parents and the origin
REQUEST_CLASSES = {
    PICTURE_CLASS: {"aim-ms": 500, "aim-stretch": 1, "deadline-ms": 3000, "in-parts": True, "worth": 2},
    BASKET_CLASS: {
        "aim-ms": 700,
        "deadline-ms": 3000,
        "effect": "keyed",
        "dedup-ms": 5000,
        "write": True,
        "worth": 3,
    },
}


def router_document(size: FleetSize, number: int, link_kb_per_s: int) -> Document:
    """The settings of the router with this number; ``link_kb_per_s`` is the bandwidth of each zone's link."""
    zone = {
        "routers": size.routers // size.zones,
        "attached-to": "hub",
        "link-kb-per-s": link_kb_per_s,
    }
    return load_data(
        {
            "name": f"r{number}",
            "listen": "127.0.0.1:1",
            "change-log": "127.0.0.1:2",
            "limits": {"memory-mb": 64, "sockets": 512},
            "zone": f"z{number % size.zones}",
            "zones": {"hub": {"routers": 0}} | {f"z{index}": dict(zone) for index in range(size.zones)},
            "routers": size.routers,
            "router-index": number,
            "client-kb-per-s": 10_000,
            "kinds": list(ENDPOINT_KINDS),
            "parent-kind": ENDPOINT_KINDS[1],
            "origin-kind": ENDPOINT_KINDS[2],
            "classes": REQUEST_CLASSES,
        }
    ).document
