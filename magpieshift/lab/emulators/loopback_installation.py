"""A small installation on loopback: a cache, an origin, a change log, and settings for a router."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from magpieshift.control import sexp
from magpieshift.control.schema import load_data, to_data
from magpieshift.lab.emulators import peers
from magpieshift.lab.emulators.endpoint_profile import CACHE_KIND, ORIGIN_KIND, PARENT_KIND
from magpieshift.lab.fault_injection.ports import free_port

ROUTER_ZONE = "shop"
ORIGIN_ZONE = "hub"


class LoopbackInstallation:
    """Owns the emulated peers of one router."""

    def __init__(self) -> None:
        self.overlaps = peers.OverlapDetector()
        self.change_log = peers.ChangeLog()
        self.cache = peers.StubEndpoint("s-cache", self.overlaps)
        self.origin = peers.StubEndpoint("s-origin", self.overlaps, is_origin=True)
        self.router_port = free_port()
        """Port of loopback on which the router is to listen."""

    async def start(self, members: int = 1) -> None:
        """Start listening, and publish an endpoint list with the origin and ``members`` caches. All caches
        but the first are in another zone and get no requests."""
        for endpoint in (self.cache, self.origin):
            await endpoint.start()
        await self.change_log.start()
        cache = peers.list_entry(self.cache, ROUTER_ZONE, CACHE_KIND, 1)
        others = [
            {**cache, "id": f"s-far{i}", "locality": ORIGIN_ZONE, "cell": 2 + i} for i in range(members - 1)
        ]
        origin = peers.list_entry(self.origin, ORIGIN_ZONE, ORIGIN_KIND, 0)
        self.change_log.publish(fleet={"revision": 1, "complete": True, "members": [cache, origin, *others]})

    def stop(self) -> None:
        """Accept no more connections."""
        for endpoint in (self.cache, self.origin):
            endpoint.stop()
        self.change_log.stop()

    def settings(self) -> dict[str, Any]:
        """Return the router's settings document as data."""
        picture = {"aim-ms": 500, "deadline-ms": 2000, "in-parts": True, "worth": 2}
        basket = {"aim-ms": 700, "deadline-ms": 2000, "effect": "keyed", "dedup-ms": 5000, "write": True}
        data = {
            "name": "lab",
            "listen": f"127.0.0.1:{self.router_port}",
            "change-log": f"127.0.0.1:{self.change_log.port}",
            "limits": {"memory-mb": 64, "sockets": 512},
            "zone": ROUTER_ZONE,
            "zones": {ORIGIN_ZONE: {"routers": 0}, ROUTER_ZONE: {"routers": 1, "attached-to": ORIGIN_ZONE}},
            "kinds": [CACHE_KIND, PARENT_KIND, ORIGIN_KIND],
            "parent-kind": PARENT_KIND,
            "origin-kind": ORIGIN_KIND,
            "classes": {"picture": picture, "basket": basket},
        }
        return to_data(load_data(data).document)

    def write_settings(self, folder: Path) -> Path:
        """Write the settings to a file in this folder; return its path."""
        path = folder / "start.sexp"
        path.write_text(sexp.format_document(self.settings()))
        return path
