"""A fleet of routers with their clients and stores on one fake clock.

Routers are the real engine and module. Clients come to their zone's routers at random, in open arrivals; a
refused or failed one tries again, some after the time they were told and some at once. Fronts notice a dead
router after half a second, and spread its clients over the rest of its zone.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

import numpy as np

from magpieshift.config import Document
from magpieshift.control.schema import load_data
from magpieshift.engine.engine import Engine
from magpieshift.engine.model import ClientRequest, ListedEndpoint, Response, Verdict, endpoint_number
from magpieshift.lab.simulated.endpoints import (
    EndpointCapacity,
    EndpointCondition,
    SimulatedEndpoint,
    ZoneLink,
)
from magpieshift.lab.simulated.second_counters import ClassCounters, SecondCounters
from magpieshift.lab.simulated.time import RouterClock, Time
from magpieshift.lab.simulated.upstreams import SimulatedUpstream, SimulatedUpstreams
from magpieshift.policy.events import Endpoint, EndpointListKind, EndpointState

SECOND = 1_000_000
NOTICED_US = 500_000  # by a front, that a router has died
KINDS = ("box", "upper", "source")
CACHE_MISS_RATIO = 0.55  # about what caches of this size miss, by the skew of the keys
PICTURE = "picture"
BASKET = "basket"


@dataclass(frozen=True)
class Form:
    """What is simulated; rates are per second over the whole fleet."""

    routers: int = 40
    zones: int = 4
    boxes: int = 4  # in each zone
    parents: int = 4
    rate_each: float = 10.0  # of each router, which stores and links are made for
    load: float = 1.0  # times that
    objects: int = 4_000
    skew: float = 1.1  # of how objects are asked for
    size_kb: float = 30.0
    writes: float = 0.05  # share of requests
    tries: int = 4  # of a client, the first included
    patient: float = 0.5  # share of clients who come back when they were told, the rest come at once
    room: float = 1.2  # what stores and links bear, in times of the rate
    seed: int = 1

    @property
    def made_for(self) -> float:
        return self.rate_each * self.routers


@dataclass
class Router:
    """One router: its engine, and whether it is there."""

    name: str
    zone: int
    clock: RouterClock
    engine: Engine
    alive: bool = True


@dataclass
class Wish:
    """A client's request, through all its tries."""

    cls: str
    key: str
    second: int  # in which it was first asked
    zone: int
    due_us: int
    tries: int = 1
    refused_at: str = ""  # the last router that refused it


@dataclass
class Seen:
    """What is counted over the whole of a run."""

    seconds: list[SecondCounters] = field(default_factory=list)
    refused_then_served: int = 0
    refused_wishes: int = 0
    broken: list[str] = field(default_factory=list)


class Fleet:
    """Owner of the clock, the stores, the routers and the clients."""

    def __init__(self, form: Form) -> None:
        self.form = form
        self.time = Time()
        self.rand = random.Random(form.seed)
        self._draw = np.random.default_rng(form.seed)
        self.seen = Seen()
        self.stores = SimulatedUpstreams(self.time, self.account)
        self.rate = form.made_for * form.load
        self.routers: dict[str, Router] = {}
        self._idents = 0
        self._keys: list[int] = []
        self._build_endpoints()
        for number in range(form.routers):
            self.start(f"r{number}")
        self.time.after(0, self._arrive)

    def account(self) -> SecondCounters:
        """That of the present second."""
        seconds = self.seen.seconds
        while len(seconds) <= self.time.second:
            seconds.append(SecondCounters())
        return seconds[self.time.second]

    # --- the installation

    def _build_endpoints(self) -> None:
        """Caches in each zone, parents and the origin, sized for the rate that the fleet is made for."""
        size = self.form
        kb_per_s = size.made_for * size.size_kb
        misses_per_s = CACHE_MISS_RATIO * size.made_for
        cache = EndpointCapacity(
            slots=max(2, round(size.room * kb_per_s / 10_000 / (size.zones * size.boxes) * 4)),
            us_per_kb=100.0,
            max_objects=max(20, int(size.objects * 0.4 / size.boxes)),
        )
        parent = EndpointCapacity(
            slots=max(2, round(size.room * misses_per_s * 0.02 / size.parents * 2)),
            min_service_us=20_000.0,
            max_objects=max(20, int(size.objects * 0.8 / size.parents)),
        )
        origin = EndpointCapacity(
            slots=max(3, round(size.room * misses_per_s * 0.7 * 0.05 + size.writes * size.made_for * 0.05)),
            min_service_us=50_000.0,
            max_queued=32,
            max_objects=0,
        )
        for zone in range(size.zones):
            link_kb_per_s = size.room * misses_per_s * size.size_kb / size.zones
            self.stores.links[zone + 1] = ZoneLink(self.time, link_kb_per_s)
            for number in range(size.boxes):
                self._add_endpoint(f"box-{zone}-{number}", 0, zone + 1, cache)
        for number in range(size.parents):
            self._add_endpoint(f"hub-{number}", 1, 0, parent)
        self._add_endpoint("origin", 2, 0, origin)

    def _add_endpoint(self, name: str, kind: int, zone: int, capacity: EndpointCapacity) -> None:
        position = len(self.stores.by_name)
        endpoint = Endpoint(endpoint_number(name), zone, kind, position, EndpointState.READY, 4.0, 0)
        listed = ListedEndpoint(name, ("127.0.0.1", 1), endpoint)
        rand = random.Random(f"{self.form.seed} {name}")
        self.stores.by_name[name] = SimulatedEndpoint(listed, capacity, self.time, rand)

    def _document(self, number: int) -> Document:
        form = self.form
        here = form.routers // form.zones
        picture = {"aim-ms": 500, "aim-stretch": 1, "deadline-ms": 3000, "in-parts": True, "worth": 2}
        basket = {
            "aim-ms": 700,
            "deadline-ms": 3000,
            "effect": "keyed",
            "dedup-ms": 5000,
            "write": True,
            "worth": 3,
        }
        zones = {f"z{zone}": {"routers": here, "attached-to": "hub"} for zone in range(form.zones)}
        link = int(self.stores.links[1].kb_per_s)
        for zone in zones.values():
            zone["link-kb-per-s"] = link
        return load_data(
            {
                "name": f"r{number}",
                "listen": "127.0.0.1:1",
                "change-log": "127.0.0.1:2",
                "limits": {"memory-mb": 64, "sockets": 512},
                "zone": f"z{number % form.zones}",
                "zones": {"hub": {"routers": 0}} | zones,
                "routers": form.routers,
                "router-index": number,
                "client-kb-per-s": 10_000,
                "kinds": list(KINDS),
                "parent-kind": KINDS[1],
                "origin-kind": KINDS[2],
                "classes": {PICTURE: picture, BASKET: basket},
            }
        ).document

    def start(self, name: str) -> Router:
        """A process of this name, which knows nothing."""
        number = int(name[1:])
        document = self._document(number)
        settings = document.settings
        clock = RouterClock(self.time)
        seed = self.form.seed * 1000 + number
        back = SimulatedUpstream(self.stores, lambda: not clock.dead)
        engine = Engine(settings, seed, clock, back, names=document.names)
        router = self.routers[name] = Router(name, settings.zone, clock, engine)
        members = [store.listed for store in self.stores.by_name.values()]
        engine.list_changed(EndpointListKind.CACHED, 1, members)
        return router

    # --- what may happen

    def kill(self, name: str) -> None:
        """It dies with all it held; its clients notice, their front only after a while."""
        router = self.routers[name]
        router.clock.dead = True
        self.time.after(NOTICED_US, partial(setattr, router, "alive", False))

    def pause(self, name: str, for_us: int) -> None:
        self.routers[name].clock.asleep_until_us = self.time.now_us + for_us

    def fail(self, ident: str, state: EndpointCondition) -> None:
        """A store dies, falls silent, or is back, empty."""
        store = self.stores.by_name[ident]
        if state == EndpointCondition.RUNNING:
            store.cached.clear()
        store.condition = state

    # --- clients

    def _arrive(self) -> None:
        """One client asks, and the next is on its way."""
        self.time.after(float(self._draw.exponential(SECOND / self.rate)), self._arrive)
        zone = self.rand.randrange(self.form.zones) + 1
        cls = BASKET if self.rand.random() < self.form.writes else PICTURE
        key = f"{int(self._draw.zipf(self.form.skew)) % self.form.objects + 1:016x}"
        wish = Wish(cls, key, self.time.second, zone, self.time.now_us + 800_000)
        account = self.account()
        account.requests += 1
        account.by_class.setdefault(cls, ClassCounters()).requests += 1
        self._try(wish)

    def _router_for(self, zone: int) -> Router | None:
        there = [router for router in self.routers.values() if router.zone == zone and router.alive]
        return self.rand.choice(there) if there else None

    def _try(self, wish: Wish) -> None:
        router = self._router_for(wish.zone)
        if router is None or router.clock.dead:  # nobody answers there; the client notices soon
            self.time.after(100_000, lambda: self._again(wish, 0, ""))
            return
        self._idents += 1
        over = [False]
        asked_us = self.time.now_us

        def reply(answer: Response) -> None:
            if over[0]:
                self.seen.broken.append(f"two answers at {router.name}")
            over[0] = True
            self._answered(wish, router, answer)

        def given_up() -> None:
            if not over[0]:
                over[0] = True
                if not router.clock.dead and router.clock.asleep_until_us <= asked_us:  # it stood still
                    self.seen.broken.append(f"no answer from {router.name}")
                self._again(wish, 0, "")

        once = f"{self._idents:016x}" if wish.cls == BASKET else ""
        call = ClientRequest(
            f"{self._idents:016x}",
            router.engine.classes[wish.cls],
            wish.cls,
            wish.key,
            0,
            1,
            self.form.size_kb,
            3 * SECOND,
            wish.tries > 1,
            once,
            "",
            b"",
        )
        if self.time.now_us < router.clock.asleep_until_us:  # it lies in the socket until then
            self.time.at(router.clock.asleep_until_us, lambda: self._submit(router, call, reply, over))
        else:
            self._submit(router, call, reply, over)
        self.time.after(3.2 * SECOND, given_up)

    def _submit(
        self, router: Router, call: ClientRequest, reply: Callable[[Response], None], over: list[bool]
    ) -> None:
        if not router.clock.dead and not over[0]:
            router.engine.submit(call, lambda answer: None if over[0] else reply(answer))

    def _answered(self, wish: Wish, router: Router, answer: Response) -> None:
        if answer.verdict == Verdict.SERVED:
            account = self.seen.seconds[wish.second]
            if self.time.now_us <= wish.due_us:
                account.served_in_time += 1
                account.by_class[wish.cls].served_in_time += 1
            else:
                account.served_late += 1
            if wish.refused_at and wish.refused_at != router.name:
                self.seen.refused_then_served += 1
            return
        self.account().rejections += 1
        self.seen.refused_wishes += not wish.refused_at
        self._again(wish, answer.retry_after_us, router.name)

    def _again(self, wish: Wish, wait_us: int, refused_at: str) -> None:
        if wish.tries >= self.form.tries or self.time.now_us > wish.due_us + 2 * SECOND:
            self.account().abandoned += 1
            return
        wish.tries += 1
        wish.refused_at = refused_at or wish.refused_at
        told = wait_us if self.rand.random() < self.form.patient else 50_000

        def back() -> None:
            self.account().client_retries += 1
            self._try(wish)

        self.time.after(max(told, 1_000), back)

    # --- running

    def run(self, seconds: float) -> None:
        self.time.run(self.time.now_us + int(seconds * SECOND))
