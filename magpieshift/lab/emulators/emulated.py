"""An emulated installation: stores by place, their list and purges told by the change log, their failures.

One ``Rules`` judges all its stores and all routers that ask them. A place keeps its name and its address
while processes come and go there; each process has an id of its own.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Iterable
from typing import Any

from magpieshift.config import Document
from magpieshift.control.schema import load_data, to_data
from magpieshift.lab.emulators.emulator import Figures, Rules, Store
from magpieshift.policy.settings import Idempotency

KINDS = {
    "box": ("shop", "box", Figures()),
    "hub": ("hub", "upper", Figures(slots=24, fetch_ms=10, fall_multiple=2.0)),
    "origin": ("hub", "source", Figures(slots=16, serve_ms=14, fetch_ms=25)),
}
DROPPED_S = 0.2  # after a purge, when stores have dropped what it voids

Tell = Callable[[dict[str, Any]], None]


def places(boxes: int, hubs: int) -> list[str]:
    """The names of all places of an installation of this size."""
    return [*(f"box{i + 1}" for i in range(boxes)), *(f"hub{i + 1}" for i in range(hubs)), "origin"]


def settings(name: str, port: int, log_port: int, routers: int = 1) -> dict[str, Any]:
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


def may_copy(document: Document) -> frozenset[str]:
    """The classes of which this document lets a second copy run beside the first."""
    classes = zip(document.names.classes, document.settings.classes, strict=True)
    may = document.settings.hedged_requests
    return frozenset(name for name, cls in classes if may and cls.idempotency == Idempotency.IDEMPOTENT)


class Emulated:
    """Owner of the stores of one installation. ``tell`` is given each event of the change log, in order."""

    def __init__(self, boxes: int, hubs: int, rules: Rules, rand: random.Random, tell: Tell) -> None:
        self.rules = rules
        self._random = rand
        self._tell = tell
        self.places: dict[str, Store] = {}
        self._wanted = places(boxes, hubs)
        self._told: asyncio.Queue[dict[str, Any]] = asyncio.Queue()
        self._telling: asyncio.Task[None] | None = None
        self._late_until = 0.0
        self._revision = 0
        self._births = 0

    # --- beginning and end

    async def start(self) -> None:
        """All stores up; nothing is told before ``tell_on``, when whoever reads the log can be told."""
        for place in self._wanted:
            self.places[place] = self._new(place, late=False)
            await self.places[place].start()
        self._sources()
        self.tell_list(whole=True)

    def tell_on(self) -> None:
        """Tell the whole list, and from now on what changes."""
        self._telling = asyncio.ensure_future(self._tell_on())

    def stop(self) -> None:
        if self._telling is not None:
            self._telling.cancel()
        for store in self.places.values():
            store.die()

    def _new(self, place: str, late: bool) -> Store:
        """A process for a place: new ids for all but the origin, whose restart the list does not show."""
        self._births += 1
        zone, kind, figures = KINDS.get(place[:3], KINDS["origin"])
        store = Store(
            f"s-{place}-{self._births}", zone, kind, self._births, figures, self.rules, self._random
        )
        store.up_since_ms = int(time.time() * 1000) if late else 0
        return store

    def _sources(self) -> None:
        """Whoever may be named in a fill, by the ids of now."""
        by_id = {store.ident: store for store in self.places.values()}
        for store in self.places.values():
            store.sources = by_id

    # --- the change log

    def tell_list(self, whole: bool = False, **left: Store) -> None:
        """Tell the list's changes: these have gone, or come, or all."""
        self._revision += 1
        members = [store.listing() for store in self.places.values()] if whole else []
        members += [store.listing(phase) for phase, store in left.items()]
        self._told.put_nowait({"fleet": {"revision": self._revision, "complete": whole, "members": members}})

    async def _tell_on(self) -> None:
        """The change log runs late at times; what it tells then comes all at once, in order."""
        while True:
            event = await self._told.get()
            while time.monotonic() < self._late_until:
                await asyncio.sleep(0.02)
            for member in event.get("fleet", {}).get("members", []):
                if member["phase"] != "SERVING":
                    self.rules.told_drain[member["id"]] = time.time()
            if "invalidate" in event:  # the rule counts from when it was told, copies from when it was made
                purge = event["invalidate"]
                self.rules.purged[purge["object"]] = purge["time"] / 1000, time.time()
            self._tell(event)

    # --- what may happen to it

    async def fail(self, what: str, who: str = "", for_s: float = 0.0, by: float = 0.0) -> None:
        """Carry one failure out, from its beginning to its end."""
        store = self.places.get(who)
        match what:
            case "late-list":
                self._late_until = time.monotonic() + for_s
            case "purge":
                key = f"{self._random.randrange(8) + 1:016x}"  # what is wanted most
                await self.purge(key)
            case "slow" if store is not None:
                store.slow_ms = by
                await asyncio.sleep(for_s)
                store.slow_ms = 0.0
            case "lose" if store is not None:
                store.lose = by
                await asyncio.sleep(for_s)
                store.lose = 0.0
            case "err" if store is not None:
                store.errs = by
                await asyncio.sleep(for_s)
                store.errs = 0.0
            case "hang" if store is not None:
                store.paused.clear()
                await asyncio.sleep(for_s)
                store.paused.set()
            case "reset" if store is not None:
                store.reset()
            case "drain" | "die" if store is not None and store.up and who != "origin":
                await self._replace(who, store, what == "drain", for_s)

    async def purge(self, key: str) -> None:
        """Void an object: told, and a moment later dropped by all stores."""
        made_ms = int(time.time() * 1000)  # copies are dropped soon after, however late the log tells
        self._told.put_nowait({"invalidate": {"object": key, "time": made_ms}})
        await asyncio.sleep(DROPPED_S)
        for holder in self.places.values():
            holder.drop(key)

    async def _replace(self, place: str, store: Store, drained: bool, for_s: float) -> None:
        """A process goes, drained first or at once, and a new one, cold and empty, comes at its address."""
        if drained:
            self.tell_list(DRAINING=store)
            await asyncio.sleep(max(1.0, for_s))
        store.die()
        self.tell_list(DELETED=store)
        await asyncio.sleep(for_s)
        if self.places[place] is not store:
            return
        new = self._new(place, late=True)
        await new.start(store.port)
        self.places[place] = new
        self._sources()
        self.tell_list(SERVING=new)

    def up(self) -> Iterable[Store]:
        """Who runs."""
        return (store for store in self.places.values() if store.up)
