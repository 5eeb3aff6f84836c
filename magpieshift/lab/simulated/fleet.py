"""A fleet of routers with their clients and endpoints on one fake clock.

Routers run the real engine and policy. The load balancer of a zone detects a killed router after
``FAILOVER_DELAY_US`` and sends its clients to the other routers of the zone. Times are microseconds.
"""

from __future__ import annotations

import random
from functools import partial

from magpieshift.engine.engine import Engine
from magpieshift.engine.model import ListedEndpoint, endpoint_number
from magpieshift.lab.simulated.endpoints import (
    EndpointCapacity,
    EndpointCondition,
    SimulatedEndpoint,
    ZoneLink,
)
from magpieshift.lab.simulated.fleet_clients import SimulatedClients
from magpieshift.lab.simulated.fleet_settings import router_document
from magpieshift.lab.simulated.fleet_state import SECOND_US, FleetRecord, FleetSize, SimulatedRouter
from magpieshift.lab.simulated.second_counters import SecondCounters
from magpieshift.lab.simulated.time import RouterClock, SimulatedTime
from magpieshift.lab.simulated.upstreams import SimulatedUpstream, SimulatedUpstreams
from magpieshift.policy.events import Endpoint, EndpointListKind, EndpointState

FAILOVER_DELAY_US = 500_000  # time until a load balancer takes a killed router out of rotation
CACHE_MISS_RATIO = 0.55  # approximate miss ratio of caches of this size with the Zipf-distributed keys


class Fleet:
    """A simulated fleet: its clock, endpoints, routers and clients."""

    def __init__(self, size: FleetSize) -> None:
        self.size = size
        self.time = SimulatedTime()
        self.rand = random.Random(size.seed)
        self.record = FleetRecord()
        self.upstreams = SimulatedUpstreams(self.time, self.counters)
        self.rate = size.design_rate * size.load_factor
        self.routers: dict[str, SimulatedRouter] = {}
        self._build_endpoints()
        for number in range(size.routers):
            self.start(f"r{number}")
        clients = SimulatedClients(size, self.time, self.rand, self.record, self.routers, lambda: self.rate)
        self.time.after(0, clients.next_client)

    def counters(self) -> SecondCounters:
        """The counters of the current second."""
        return self.record.counters(self.time)

    # --- endpoints and routers

    def _build_endpoints(self) -> None:
        """Create the caches of each zone, the parents and the origin, sized for the design load."""
        size = self.size
        kb_per_s = size.design_rate * size.size_kb
        misses_per_s = CACHE_MISS_RATIO * size.design_rate
        writes_per_s = size.write_share * size.design_rate
        caches = size.zones * size.caches_per_zone
        cache = EndpointCapacity(
            slots=max(2, round(size.capacity_factor * kb_per_s / 10_000 / caches * 4)),
            us_per_kb=100.0,
            max_objects=max(20, int(size.objects * 0.4 / size.caches_per_zone)),
        )
        parent = EndpointCapacity(
            slots=max(2, round(size.capacity_factor * misses_per_s * 0.02 / size.parents * 2)),
            min_service_us=20_000.0,
            max_objects=max(20, int(size.objects * 0.8 / size.parents)),
        )
        origin = EndpointCapacity(
            slots=max(3, round(size.capacity_factor * misses_per_s * 0.7 * 0.05 + writes_per_s * 0.05)),
            min_service_us=50_000.0,
            max_queued=32,
            max_objects=0,
        )
        for zone in range(size.zones):
            link_kb_per_s = size.capacity_factor * misses_per_s * size.size_kb / size.zones
            self.upstreams.links[zone + 1] = ZoneLink(self.time, link_kb_per_s)
            for number in range(size.caches_per_zone):
                self._add_endpoint(f"box-{zone}-{number}", 0, zone + 1, cache)
        for number in range(size.parents):
            self._add_endpoint(f"hub-{number}", 1, 0, parent)
        self._add_endpoint("origin", 2, 0, origin)

    def _add_endpoint(self, name: str, kind: int, zone: int, capacity: EndpointCapacity) -> None:
        position = len(self.upstreams.by_name)
        endpoint = Endpoint(endpoint_number(name), zone, kind, position, EndpointState.READY, 4.0, 0)
        listed = ListedEndpoint(name, ("127.0.0.1", 1), endpoint)
        rand = random.Random(f"{self.size.seed} {name}")
        self.upstreams.by_name[name] = SimulatedEndpoint(listed, capacity, self.time, rand)

    def start(self, name: str) -> SimulatedRouter:
        """Start a new process of this router; it keeps no state of an earlier one."""
        number = int(name[1:])
        document = router_document(self.size, number, int(self.upstreams.links[1].kb_per_s))
        settings = document.settings
        clock = RouterClock(self.time)
        seed = self.size.seed * 1000 + number
        upstream = SimulatedUpstream(self.upstreams, lambda: not clock.is_killed)
        engine = Engine(settings, seed, clock, upstream, names=document.names)
        router = SimulatedRouter(name, settings.zone, clock, engine)
        self.routers[name] = router
        members = [endpoint.listed for endpoint in self.upstreams.by_name.values()]
        engine.list_changed(EndpointListKind.CACHED, 1, members)
        return router

    # --- faults

    def kill(self, name: str) -> None:
        """Kill a router with all its requests; the load balancer notices after ``FAILOVER_DELAY_US``."""
        router = self.routers[name]
        router.clock.is_killed = True
        self.time.after(FAILOVER_DELAY_US, partial(setattr, router, "in_rotation", False))

    def pause(self, name: str, for_us: int) -> None:
        """Pause a router; its calls scheduled for that time run at the end of the pause."""
        self.routers[name].clock.paused_until_us = self.time.now_us + for_us

    def set_condition(self, name: str, condition: EndpointCondition) -> None:
        """Make an endpoint crash, become unresponsive, or run again with an empty cache."""
        endpoint = self.upstreams.by_name[name]
        if condition == EndpointCondition.RUNNING:
            endpoint.cached.clear()
        endpoint.condition = condition

    # --- running

    def run(self, seconds: float) -> None:
        """Run the simulation for this many seconds."""
        self.time.run(self.time.now_us + int(seconds * SECOND_US))
