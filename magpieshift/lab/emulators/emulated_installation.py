"""An emulated installation: its endpoints, their faults, and the change log's endpoint lists and purges.

All endpoints share one ``ProtocolChecker``, which checks all routers that send requests to them. A place
keeps its name and address when its endpoint's process is replaced; each process has its own endpoint id.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from typing import Any

from magpieshift.config import Document
from magpieshift.control.schema import load_data, to_data
from magpieshift.lab.emulators.emulated_endpoint import EmulatedEndpoint
from magpieshift.lab.emulators.endpoint_profile import CACHE_KIND, ORIGIN_KIND, PARENT_KIND, role_of
from magpieshift.lab.emulators.protocol_checker import ProtocolChecker
from magpieshift.policy.settings import Idempotency

PURGE_DELAY_S = 0.2  # from a purge until the endpoints drop their copies; below PURGE_NOTICE_S
MIN_DRAIN_S = 1.0  # shortest drain, so that routers learn of it before the process ends
DELAY_POLL_S = 0.02  # polling interval for the end of a change log delay
POPULAR_OBJECTS = 8  # a purge picks one of the most requested objects, of which copies exist

Event = dict[str, Any]
"""One event of the change log, with the field names of the wire."""
Publish = Callable[[Event], None]


def place_names(boxes: int, hubs: int) -> list[str]:
    """Return the names of all places of an installation of this size."""
    return [*(f"box{i + 1}" for i in range(boxes)), *(f"hub{i + 1}" for i in range(hubs)), "origin"]


def router_settings(name: str, port: int, log_port: int, routers: int = 1) -> dict[str, Any]:
    """Return the settings document, as data, of a router in front of the installation."""
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
        "kinds": [CACHE_KIND, PARENT_KIND, ORIGIN_KIND],
        "parent-kind": PARENT_KIND,
        "origin-kind": ORIGIN_KIND,
        "classes": {"picture": picture, "basket": basket, "order": order},
        "client-kb-per-s": 300,
        "stores": {"cold-ms": 4000, "cold-from": 0.3},
        "parents": {"cold-ms": 4000, "cold-from": 0.3, "fall-multiple": 2},
    }
    return to_data(load_data(data).document)


def hedged_classes(document: Document) -> frozenset[str]:
    """Return the classes for which this document permits hedged requests."""
    if not document.settings.hedged_requests:
        return frozenset()
    classes = zip(document.names.classes, document.settings.classes, strict=True)
    return frozenset(name for name, cls in classes if cls.idempotency == Idempotency.IDEMPOTENT)


class EmulatedInstallation:
    """Owns the endpoints of one installation."""

    def __init__(
        self, boxes: int, hubs: int, checker: ProtocolChecker, rand: random.Random, publish: Publish
    ) -> None:
        """``publish`` is called with each event of the change log, in order."""
        self.checker = checker
        self._random = rand
        self._publish = publish
        self.places: dict[str, EmulatedEndpoint] = {}
        """The most recent endpoint process at each place, by the place's name."""
        self._place_names = place_names(boxes, hubs)
        self._pending_events: asyncio.Queue[Event] = asyncio.Queue()
        """Events that are not published yet."""
        self._publishing: asyncio.Task[None] | None = None
        self._delayed_until_s = 0.0
        """Steady time until which the change log publishes nothing."""
        self._revision = 0
        """Revision of the endpoint list."""
        self._processes_started = 0

    # --- start and stop

    async def start(self) -> None:
        """Start all endpoints. Nothing is published until ``start_publishing``, when routers can connect."""
        for place in self._place_names:
            self.places[place] = self._new_process(place, up_since_ms=0)
            await self.places[place].start()
        self._link_sources()
        self._publish_list([endpoint.list_entry() for endpoint in self.places.values()], complete=True)

    def start_publishing(self) -> None:
        """Publish the complete endpoint list, and all events from now on."""
        self._publishing = asyncio.ensure_future(self._publish_events())

    def stop(self) -> None:
        """Stop publishing and kill all endpoints."""
        if self._publishing is not None:
            self._publishing.cancel()
        for endpoint in self.places.values():
            endpoint.kill()

    def _new_process(self, place: str, up_since_ms: int) -> EmulatedEndpoint:
        self._processes_started += 1
        number = self._processes_started
        role = role_of(place)
        endpoint = EmulatedEndpoint(
            f"s-{place}-{number}", role.zone, role.kind, number, role.profile, self.checker, self._random
        )
        endpoint.up_since_ms = up_since_ms
        return endpoint

    def _link_sources(self) -> None:
        """Let each endpoint fill from any other, by the current endpoint ids."""
        by_id = {endpoint.name: endpoint for endpoint in self.places.values()}
        for endpoint in self.places.values():
            endpoint.sources = by_id

    # --- the change log

    def _publish_list(self, members: list[dict[str, object]], complete: bool = False) -> None:
        """Queue the complete endpoint list, or changes to it, for publishing."""
        self._revision += 1
        fleet = {"revision": self._revision, "complete": complete, "members": members}
        self._pending_events.put_nowait({"fleet": fleet})

    async def _publish_events(self) -> None:
        """Publish queued events in order; those queued during a delay are published together after it."""
        while True:
            event = await self._pending_events.get()
            while time.monotonic() < self._delayed_until_s:
                await asyncio.sleep(DELAY_POLL_S)
            for member in event.get("fleet", {}).get("members", []):
                if member["phase"] != "SERVING":
                    self.checker.drains_published_s[member["id"]] = time.time()
            if "invalidate" in event:
                purge = event["invalidate"]
                # copies may not be older than the purge; routers may react to it only after its publication
                self.checker.purges_s[purge["object"]] = purge["time"] / 1000, time.time()
            self._publish(event)

    # --- faults

    async def inject_fault(
        self, kind: str, place: str = "", duration_s: float = 0.0, magnitude: float = 0.0
    ) -> None:
        """Inject one fault, and return when it has ended.

        ``kind`` is the kind of a scenario's fault, and ``magnitude`` a delay in milliseconds or a share of
        answers, by the kind. A fault at an unknown place has no effect, nor has "drain" or "die" at the
        origin or at an endpoint that is down.
        """
        endpoint = self.places.get(place)
        if kind == "late-list":
            self._delayed_until_s = time.monotonic() + duration_s
        elif kind == "purge":
            await self.purge(f"{self._random.randrange(POPULAR_OBJECTS) + 1:016x}")
        elif endpoint is not None:
            await self._inject_endpoint_fault(kind, place, endpoint, duration_s, magnitude)

    async def _inject_endpoint_fault(
        self, kind: str, place: str, endpoint: EmulatedEndpoint, duration_s: float, magnitude: float
    ) -> None:
        match kind:
            case "slow":
                endpoint.added_delay_ms = magnitude
                await asyncio.sleep(duration_s)
                endpoint.added_delay_ms = 0.0
            case "lose":
                endpoint.lost_answer_fraction = magnitude
                await asyncio.sleep(duration_s)
                endpoint.lost_answer_fraction = 0.0
            case "err":
                endpoint.failed_answer_fraction = magnitude
                await asyncio.sleep(duration_s)
                endpoint.failed_answer_fraction = 0.0
            case "hang":
                endpoint.running.clear()
                await asyncio.sleep(duration_s)
                endpoint.running.set()
            case "reset":
                endpoint.reset_connections()
            case "drain" | "die" if endpoint.is_up and place != "origin":
                if kind == "drain":
                    self._publish_list([endpoint.list_entry("DRAINING")])
                    await asyncio.sleep(max(MIN_DRAIN_S, duration_s))
                await self._replace(place, endpoint, duration_s)

    async def purge(self, key: str) -> None:
        """Purge an object: queue the purge, and drop the copies at all endpoints after ``PURGE_DELAY_S``."""
        made_ms = int(time.time() * 1000)  # copies are dropped soon after, even if the change log is delayed
        self._pending_events.put_nowait({"invalidate": {"object": key, "time": made_ms}})
        await asyncio.sleep(PURGE_DELAY_S)
        for endpoint in self.places.values():
            endpoint.invalidate(key)

    async def _replace(self, place: str, endpoint: EmulatedEndpoint, down_s: float) -> None:
        """Kill an endpoint and, after ``down_s``, start an empty successor in slow start at its address."""
        endpoint.kill()
        self._publish_list([endpoint.list_entry("DELETED")])
        await asyncio.sleep(down_s)
        if self.places[place] is not endpoint:
            return
        successor = self._new_process(place, up_since_ms=int(time.time() * 1000))
        await successor.start(endpoint.port)
        self.places[place] = successor
        self._link_sources()
        self._publish_list([successor.list_entry("SERVING")])
