"""An emulated installation: stores by place, their list and purges told by the change log, their failures.

One ``ProtocolChecker`` judges all its endpoints and all routers that send to them. A place keeps its name and
its address while processes come and go there; each process has an id of its own.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Iterable
from typing import Any

from magpieshift.config import Document
from magpieshift.control.schema import load_data, to_data
from magpieshift.lab.emulators.emulator import EmulatedEndpoint, EndpointProfile, ProtocolChecker
from magpieshift.policy.settings import Idempotency

PROFILES = {
    "box": ("shop", "box", EndpointProfile()),
    "hub": ("hub", "upper", EndpointProfile(slots=24, fetch_ms=10, overload_multiple=2.0)),
    "origin": ("hub", "source", EndpointProfile(slots=16, serve_ms=14, fetch_ms=25)),
}
PURGE_DELAY_S = 0.2  # after a purge, when stores have dropped what it voids

Publish = Callable[[dict[str, Any]], None]


def place_names(boxes: int, hubs: int) -> list[str]:
    """The names of all places of an installation of this size."""
    return [*(f"box{i + 1}" for i in range(boxes)), *(f"hub{i + 1}" for i in range(hubs)), "origin"]


def router_settings(name: str, port: int, log_port: int, routers: int = 1) -> dict[str, Any]:
    """The settings of a router in front of it."""
    picture = {"aim-ms": 300, "deadline-ms": 1500, "in-parts": True, "worth": 2, "late-worth": 0.3}
    basket = {
        "aim-ms": 500,
        "deadline-ms": 2000,
        "effect": "keyed",
        "dedup-ms": 4000,
        "write": True,
        "worth": 3,
    }
    order = {"aim-ms": 500, "deadline-ms": 2000, "effect": "unsafe", "write": True, "worth": 3}
    data = {
        "name": name,
        "listen": f"127.0.0.1:{port}",
        "change-log": f"127.0.0.1:{log_port}",
        "limits": {"memory-mb": 64, "sockets": 512},
        "zone": "shop",
        "routers": routers,
        "zones": {"hub": {"routers": 0}, "shop": {"routers": routers, "attached-to": "hub"}},
        "kinds": ["box", "upper", "source"],
        "parent-kind": "upper",
        "origin-kind": "source",
        "classes": {"picture": picture, "basket": basket, "order": order},
        "client-kb-per-s": 300,
        "stores": {"cold-ms": 4000, "cold-from": 0.3},
        "parents": {"cold-ms": 4000, "cold-from": 0.3, "fall-multiple": 2},
    }
    return to_data(load_data(data).document)


def hedged_classes(document: Document) -> frozenset[str]:
    """The classes of which this document lets a second copy run beside the first."""
    classes = zip(document.names.classes, document.settings.classes, strict=True)
    may = document.settings.hedged_requests
    return frozenset(name for name, cls in classes if may and cls.idempotency == Idempotency.IDEMPOTENT)


class EmulatedInstallation:
    """Owner of the stores of one installation. ``tell`` is given each event of the change log, in order."""

    def __init__(
        self, boxes: int, hubs: int, rules: ProtocolChecker, rand: random.Random, tell: Publish
    ) -> None:
        self.checker = rules
        self._random = rand
        self._publish = tell
        self.places: dict[str, EmulatedEndpoint] = {}
        self._place_names = place_names(boxes, hubs)
        self._pending_events: asyncio.Queue[dict[str, Any]] = asyncio.Queue()
        self._publishing: asyncio.Task[None] | None = None
        self._delayed_until_s = 0.0
        self._revision = 0
        self._processes_started = 0

    # --- beginning and end

    async def start(self) -> None:
        """All stores up; nothing is told before ``tell_on``, when whoever reads the log can be told."""
        for place in self._place_names:
            self.places[place] = self._new_process(place, late=False)
            await self.places[place].start()
        self._link_sources()
        self.publish_list(whole=True)

    def start_publishing(self) -> None:
        """Tell the whole list, and from now on what changes."""
        self._publishing = asyncio.ensure_future(self._publish_events())

    def stop(self) -> None:
        if self._publishing is not None:
            self._publishing.cancel()
        for store in self.places.values():
            store.kill()

    def _new_process(self, place: str, late: bool) -> EmulatedEndpoint:
        """A process for a place: new ids for all but the origin, whose restart the list does not show."""
        self._processes_started += 1
        zone, kind, figures = PROFILES.get(place[:3], PROFILES["origin"])
        store = EmulatedEndpoint(
            f"s-{place}-{self._processes_started}",
            zone,
            kind,
            self._processes_started,
            figures,
            self.checker,
            self._random,
        )
        store.up_since_ms = int(time.time() * 1000) if late else 0
        return store

    def _link_sources(self) -> None:
        """Whoever may be named in a fill, by the ids of now."""
        by_id = {store.name: store for store in self.places.values()}
        for store in self.places.values():
            store.sources = by_id

    # --- the change log

    def publish_list(self, whole: bool = False, **left: EmulatedEndpoint) -> None:
        """Tell the list's changes: these have gone, or come, or all."""
        self._revision += 1
        members = [store.list_entry() for store in self.places.values()] if whole else []
        members += [store.list_entry(phase) for phase, store in left.items()]
        self._pending_events.put_nowait(
            {"fleet": {"revision": self._revision, "complete": whole, "members": members}}
        )

    async def _publish_events(self) -> None:
        """The change log runs late at times; what it tells then comes all at once, in order."""
        while True:
            event = await self._pending_events.get()
            while time.monotonic() < self._delayed_until_s:
                await asyncio.sleep(0.02)
            for member in event.get("fleet", {}).get("members", []):
                if member["phase"] != "SERVING":
                    self.checker.drains_published_s[member["id"]] = time.time()
            if "invalidate" in event:  # the rule counts from when it was told, copies from when it was made
                purge = event["invalidate"]
                self.checker.purges_s[purge["object"]] = purge["time"] / 1000, time.time()
            self._publish(event)

    # --- what may happen to it

    async def inject_fault(self, what: str, who: str = "", for_s: float = 0.0, by: float = 0.0) -> None:
        """Carry one failure out, from its beginning to its end."""
        store = self.places.get(who)
        match what:
            case "late-list":
                self._delayed_until_s = time.monotonic() + for_s
            case "purge":
                key = f"{self._random.randrange(8) + 1:016x}"  # what is wanted most
                await self.purge(key)
            case "slow" if store is not None:
                store.added_delay_ms = by
                await asyncio.sleep(for_s)
                store.added_delay_ms = 0.0
            case "lose" if store is not None:
                store.lost_answer_fraction = by
                await asyncio.sleep(for_s)
                store.lost_answer_fraction = 0.0
            case "err" if store is not None:
                store.failed_answer_fraction = by
                await asyncio.sleep(for_s)
                store.failed_answer_fraction = 0.0
            case "hang" if store is not None:
                store.running.clear()
                await asyncio.sleep(for_s)
                store.running.set()
            case "reset" if store is not None:
                store.reset_connections()
            case "drain" | "die" if store is not None and store.is_up and who != "origin":
                await self._replace(who, store, what == "drain", for_s)

    async def purge(self, key: str) -> None:
        """Void an object: told, and a moment later dropped by all stores."""
        made_ms = int(time.time() * 1000)  # copies are dropped soon after, however late the log tells
        self._pending_events.put_nowait({"invalidate": {"object": key, "time": made_ms}})
        await asyncio.sleep(PURGE_DELAY_S)
        for holder in self.places.values():
            holder.invalidate(key)

    async def _replace(self, place: str, store: EmulatedEndpoint, drained: bool, for_s: float) -> None:
        """A process goes, drained first or at once, and a new one, cold and empty, comes at its address."""
        if drained:
            self.publish_list(DRAINING=store)
            await asyncio.sleep(max(1.0, for_s))
        store.kill()
        self.publish_list(DELETED=store)
        await asyncio.sleep(for_s)
        if self.places[place] is not store:
            return
        new = self._new_process(place, late=True)
        await new.start(store.port)
        self.places[place] = new
        self._link_sources()
        self.publish_list(SERVING=new)

    def running_endpoints(self) -> Iterable[EmulatedEndpoint]:
        """Who runs."""
        return (store for store in self.places.values() if store.is_up)
