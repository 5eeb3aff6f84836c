"""What routers of the proving ground have round them: stores, change logs, and a relay on each link there."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from magpieshift.lab.emulators import emulated, peers
from magpieshift.lab.emulators.protocol_checker import ProtocolChecker
from magpieshift.lab.fault_injection.network import CLIENTS, LOG, Network
from magpieshift.lab.fault_injection.places import Place
from magpieshift.lab.fault_injection.relay import Relay


class Surroundings:
    """Owner of the emulated stores, of a change log for each router, and of all relays."""

    def __init__(
        self, network: Network, rules: ProtocolChecker, boxes: int, hubs: int, rand: random.Random
    ) -> None:
        self._network = network
        self.stores = emulated.EmulatedInstallation(boxes, hubs, rules, rand, self._tell)
        self._logs: dict[str, peers.ChangeLog] = {}
        self._relays: dict[tuple[str, str], Relay] = {}

    async def start_log(self, name: str) -> None:
        """A change log for one router."""
        self._logs[name] = peers.ChangeLog()
        await self._logs[name].start()

    async def relay_to(self, place: Place) -> None:
        """A relay from a router to all that it speaks to, and one from its clients to it."""
        await self._relay(place.name, LOG, self._logs[place.name].port)
        for where, store in self.stores.places.items():
            await self._relay(place.name, where, store.port)
        place.clients = (await self._relay(CLIENTS, place.name, place.port)).port

    async def _relay(self, source: str, target: str, port: int) -> Relay:
        relay = self._relays[source, target] = Relay(self._network, source, target, port)
        await relay.start()
        return relay

    def log_port(self, name: str) -> int:
        """Where a router reaches its change log."""
        return self._relays[name, LOG].port

    def _tell(self, event: dict[str, Any]) -> None:
        """The change log speaks to each router by itself: to each a store is at the end of its own relay."""
        for name, log in self._logs.items():
            told = event
            if "fleet" in event:
                members = [
                    member | {"host_port": f"127.0.0.1:{self._relays[name, _where(member['id'])].port}"}
                    for member in event["fleet"]["members"]
                ]
                told = event | {"fleet": event["fleet"] | {"members": members}}
            log.publish(**told)

    async def close(self) -> None:
        for relay in self._relays.values():
            relay.close()
        for log in self._logs.values():
            log.stop()
        self.stores.stop()
        await asyncio.sleep(0)


def _where(ident: str) -> str:
    """The place of a store, by its id."""
    return ident.split("-")[1]
