"""A small installation of stand-ins on loopback: one cache, one origin, their change log, and settings for a
router."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from magpieshift.control import sexp
from magpieshift.control.schema import load_data, to_data
from magpieshift.lab.emulators import peers


class LoopbackInstallation:
    """Owner of the stand-ins."""

    def __init__(self) -> None:
        self.overlaps, self.change_log = peers.OverlapDetector(), peers.ChangeLog()
        self.cache = peers.StubEndpoint("s-cache", self.overlaps)
        self.origin = peers.StubEndpoint("s-origin", self.overlaps, holds_all=True)
        self.router_port = peers.free_port()  # where the router is to listen

    async def start(self, members: int = 1) -> None:
        """Listen, and list the cache, the origin, and so many caches in all; the others are never asked, as
        they stand in another zone."""
        for store in (self.cache, self.origin):
            await store.start()
        await self.change_log.start()
        shop = peers.list_entry(self.cache, "shop", "box", 1)
        others = [{**shop, "id": f"s-far{i}", "locality": "hub", "cell": 2 + i} for i in range(members - 1)]
        origin = peers.list_entry(self.origin, "hub", "source", 0)
        self.change_log.publish(fleet={"revision": 1, "complete": True, "members": [shop, origin, *others]})

    def stop(self) -> None:
        for store in (self.cache, self.origin):
            store.stop()
        self.change_log.stop()

    def settings(self) -> dict[str, Any]:
        """The settings of a router in this world."""
        picture = {"aim-ms": 500, "deadline-ms": 2000, "in-parts": True, "worth": 2}
        basket = {"aim-ms": 700, "deadline-ms": 2000, "effect": "keyed", "dedup-ms": 5000, "write": True}
        data = {
            "name": "lab",
            "listen": f"127.0.0.1:{self.router_port}",
            "change-log": f"127.0.0.1:{self.change_log.port}",
            "limits": {"memory-mb": 64, "sockets": 512},
            "zone": "shop",
            "zones": {"hub": {"routers": 0}, "shop": {"routers": 1, "attached-to": "hub"}},
            "kinds": ["box", "upper", "source"],
            "parent-kind": "upper",
            "origin-kind": "source",
            "classes": {"picture": picture, "basket": basket},
        }
        return to_data(load_data(data).document)

    def write_settings(self, folder: Path) -> Path:
        path = folder / "start.sexp"
        path.write_text(sexp.format_document(self.settings()))
        return path
