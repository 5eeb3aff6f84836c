"""The emulated endpoints and change logs around a cluster's routers, and the relays on links to them."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from magpieshift.lab.emulators import emulated_installation, peers
from magpieshift.lab.emulators.protocol_checker import ProtocolChecker
from magpieshift.lab.fault_injection.link_faults import CHANGE_LOG, CLIENTS, Network
from magpieshift.lab.fault_injection.link_proxy import Relay
from magpieshift.lab.fault_injection.router_instance import RouterInstance


class Environment:
    """Owns the emulated endpoints, a change log for each router, and all relays."""

    def __init__(
        self, network: Network, rules: ProtocolChecker, boxes: int, hubs: int, rand: random.Random
    ) -> None:
        self._network = network
        self.endpoints = emulated_installation.EmulatedInstallation(boxes, hubs, rules, rand, self._publish)
        """The caches, parents and the origin."""
        self._logs: dict[str, peers.ChangeLog] = {}
        """Change logs by router."""
        self._relays: dict[tuple[str, str], Relay] = {}
        """Relays by source and target."""

    async def start_log(self, name: str) -> None:
        """Start the change log of one router."""
        self._logs[name] = peers.ChangeLog()
        await self._logs[name].start()

    async def relay_to(self, router: RouterInstance) -> None:
        """Start relays from a router to its change log and endpoints, and from its clients to the router."""
        await self._relay(router.name, CHANGE_LOG, self._logs[router.name].port)
        for place, endpoint in self.endpoints.places.items():
            await self._relay(router.name, place, endpoint.port)
        router.client_port = (await self._relay(CLIENTS, router.name, router.port)).port

    async def _relay(self, source: str, target: str, port: int) -> Relay:
        relay = Relay(self._network, source, target, port)
        self._relays[source, target] = relay
        await relay.start()
        return relay

    def log_port(self, name: str) -> int:
        """Return the port of the relay from a router to its change log."""
        return self._relays[name, CHANGE_LOG].port

    def _publish(self, event: dict[str, Any]) -> None:
        """Publish a change log event to each router, with the addresses of its relays to the endpoints."""
        for name, log in self._logs.items():
            routed = event
            if "fleet" in event:
                members = [
                    member | {"host_port": f"127.0.0.1:{self._relays[name, _place(member['id'])].port}"}
                    for member in event["fleet"]["members"]
                ]
                routed = event | {"fleet": event["fleet"] | {"members": members}}
            log.publish(**routed)

    async def close(self) -> None:
        """Stop relays, change logs and endpoints."""
        for relay in self._relays.values():
            relay.close()
        for log in self._logs.values():
            log.stop()
        self.endpoints.stop()
        await asyncio.sleep(0)


def _place(endpoint_id: str) -> str:
    """Return the place of an endpoint from its id."""
    return endpoint_id.split("-")[1]
