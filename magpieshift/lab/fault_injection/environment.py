"""The emulated endpoints and change logs around a cluster's routers, and the proxies on links to them."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from magpieshift.lab.emulators import emulated_installation, peers
from magpieshift.lab.emulators.protocol_checker import ProtocolChecker
from magpieshift.lab.fault_injection.link_faults import CHANGE_LOG, CLIENTS, Network
from magpieshift.lab.fault_injection.link_proxy import LinkProxy
from magpieshift.lab.fault_injection.router_instance import RouterInstance


class Environment:
    """Owns the emulated endpoints, a change log for each router, and all proxies."""

    def __init__(
        self, network: Network, rules: ProtocolChecker, boxes: int, hubs: int, rand: random.Random
    ) -> None:
        self._network = network
        self.endpoints = emulated_installation.EmulatedInstallation(boxes, hubs, rules, rand, self._publish)
        """The caches, parents and the origin."""
        self._logs: dict[str, peers.ChangeLog] = {}
        """Change logs by router."""
        self._proxies: dict[tuple[str, str], LinkProxy] = {}
        """Proxies by source and target."""

    async def start_log(self, name: str) -> None:
        """Start the change log of one router."""
        self._logs[name] = peers.ChangeLog()
        await self._logs[name].start()

    async def start_proxies(self, router: RouterInstance) -> None:
        """Start proxies from a router to its change log and endpoints, and from its clients to the router."""
        await self._start_proxy(router.name, CHANGE_LOG, self._logs[router.name].port)
        for place, endpoint in self.endpoints.places.items():
            await self._start_proxy(router.name, place, endpoint.port)
        router.client_port = (await self._start_proxy(CLIENTS, router.name, router.port)).port

    async def _start_proxy(self, source: str, target: str, port: int) -> LinkProxy:
        proxy = LinkProxy(self._network, source, target, port)
        self._proxies[source, target] = proxy
        await proxy.start()
        return proxy

    def log_port(self, name: str) -> int:
        """Return the port of the proxy from a router to its change log."""
        return self._proxies[name, CHANGE_LOG].port

    def _publish(self, event: dict[str, Any]) -> None:
        """Publish a change log event to each router, with the addresses of its proxies to the endpoints."""
        for name, log in self._logs.items():
            routed = event
            if "fleet" in event:
                members = [
                    member | {"host_port": f"127.0.0.1:{self._proxies[name, _place(member['id'])].port}"}
                    for member in event["fleet"]["members"]
                ]
                routed = event | {"fleet": event["fleet"] | {"members": members}}
            log.publish(**routed)

    async def close(self) -> None:
        """Stop proxies, change logs and endpoints."""
        for proxy in self._proxies.values():
            proxy.close()
        for log in self._logs.values():
            log.stop()
        self.endpoints.stop()
        await asyncio.sleep(0)


def _place(endpoint_id: str) -> str:
    """Return the place of an endpoint from its id."""
    return endpoint_id.split("-")[1]
