"""The processes between the change log and the routers of a run, and the way versions reach the routers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Mapping
from typing import Protocol

from magpieshift.lab.scale import messages as m
from magpieshift.lab.scale.processes import Child
from magpieshift.lab.scale.topology import Place

LOG = "log"
CONTROL = "control"

PortLookup = Callable[[str, str], int]
"""Returns the port on which the routers on a path connect to a named target, through a network process or
directly."""


class Tier(Protocol):
    """Owner of all control processes except the change log."""

    async def open(self, log: Child) -> None:
        """Start the processes that connect to the change log; afterwards all ports are known."""
        ...

    async def start_remaining(self, port_for: PortLookup) -> None:
        """Start the remaining processes, once the network processes are running."""
        ...

    async def close(self) -> None:
        """Stop all processes."""
        ...

    @property
    def targets(self) -> Mapping[str, int]:
        """The ports that network processes forward streams to, by name."""
        ...

    @property
    def router_ports(self) -> list[int]:
        """The ports that accept connections from routers."""
        ...

    @property
    def processes(self) -> int:
        """The number of processes of the tier."""
        ...

    def address_router(
        self, place: Place, path: str, port_for: PortLookup, keeps_region_connected: bool
    ) -> m.RouterAddresses:
        """The ports that a router connects to. With ``keeps_region_connected``, a cut of its path does not
        affect its connections within its region."""
        ...

    async def publish(self, number: int, text: str) -> float:
        """Publish a version, after any outage in progress; returns the time at which it was accepted, on the
        monotonic clock."""
        ...

    async def all_subscribed(self, routers: int) -> bool:
        """Whether at least this many routers are subscribed to versions."""
        ...

    async def has_received(self, events: int, excluded_zones: Collection[str]) -> bool:
        """Whether all processes of the tier outside these zones have received the first ``events`` events of
        the change log."""
        ...

    @property
    def purge_retention_s(self) -> float:
        """How long the tier retains a purge after its arrival, in seconds. A simulated hour has ended once
        the purges that arrived in it have expired."""
        ...

    async def interrupt(self, machines: int, seconds: float) -> None:
        """Take this many control machines down for ``seconds``."""
        ...

    async def kill_zone(self, zone: str) -> None:
        """Take down, for the rest of the run, the processes of the tier that are in this zone."""
        ...

    def cpu_s(self) -> dict[str, float]:
        """CPU seconds so far, by process."""
        ...


class DirectTier:
    """No fan-out tier: routers connect to the change log itself, and to one control service."""

    def __init__(self) -> None:
        self._log: Child | None = None
        self._control: Child | None = None
        self._control_lock = asyncio.Lock()  # held while the control service is down
        self._killed_cpu_s = 0.0  # CPU seconds of killed control services
        self._newest: m.Publish | None = None

    async def open(self, log: Child) -> None:
        """Start the control service."""
        self._log = log
        self._control = await Child.start("control service", "control", m.StartControl())

    async def start_remaining(self, port_for: PortLookup) -> None:
        """Does nothing: ``open`` starts the only process."""

    async def close(self) -> None:
        """Stop the control service."""
        if self._control is not None:
            await self._control.stop()

    @property
    def control(self) -> Child:
        """The control service's process; only after ``open``."""
        assert self._control is not None
        return self._control

    @property
    def log(self) -> Child:
        """The change log's process; only after ``open``."""
        assert self._log is not None
        return self._log

    @property
    def targets(self) -> Mapping[str, int]:
        """The ports of the change log and of the control service."""
        return {LOG: self.log.ports[LOG], CONTROL: self.control.ports[CONTROL]}

    @property
    def router_ports(self) -> list[int]:
        """The ports of the change log and of the control service, as routers connect to both."""
        return list(self.targets.values())

    @property
    def processes(self) -> int:
        """One: the control service."""
        return 1

    def address_router(
        self, place: Place, path: str, port_for: PortLookup, keeps_region_connected: bool
    ) -> m.RouterAddresses:
        """The ports of change log and control service on the router's network path."""
        return m.RouterAddresses(
            name=place.name, path=path, log_port=port_for(path, LOG), control_port=port_for(path, CONTROL)
        )

    async def publish(self, number: int, text: str) -> float:
        """Publish through the control service, after any outage of it."""
        async with self._control_lock:
            self._newest = m.Publish(number=number, text=text)
            return (await self.control.request(self._newest, m.PublishedAt)).at_s

    async def all_subscribed(self, routers: int) -> bool:
        """Whether at least this many routers are connected to the control service."""
        return await self.followers() >= routers

    async def has_received(self, events: int, excluded_zones: Collection[str]) -> bool:
        """Always true: there are no processes between the change log and the routers."""
        return True

    @property
    def purge_retention_s(self) -> float:
        """Zero: only the change log retains purges, and it retains all of them."""
        return 0.0

    async def followers(self) -> int:
        """The number of routers connected to the control service."""
        return (await self.control.request(m.FollowerCountRequest(), m.Count)).count

    async def interrupt(self, machines: int, seconds: float) -> None:
        """Make the change log unreachable; with two machines, also kill the control service."""
        outages = [self._interrupt_log(seconds), self._interrupt_control(seconds)]
        for unused in outages[machines:]:
            unused.close()
        await asyncio.gather(*outages[:machines])

    async def _interrupt_log(self, seconds: float) -> None:
        await self.log.send(m.PauseChangeLog(seconds=seconds))
        await asyncio.sleep(seconds)

    async def _interrupt_control(self, seconds: float) -> None:
        """Kill the control service, then start another on its port that has only the newest version."""
        async with self._control_lock:
            port = self.control.ports[CONTROL]
            await self.control.kill()
            self._killed_cpu_s += self.control.cpu_s()
            await asyncio.sleep(seconds)
            self._control = await Child.start("control service", "control", m.StartControl(port=port))
            if self._newest is not None:
                await self.control.request(self._newest, m.PublishedAt)

    async def kill_zone(self, zone: str) -> None:
        """Does nothing: the control service belongs to no zone."""

    def cpu_s(self) -> dict[str, float]:
        """CPU seconds of the control service so far, including killed processes."""
        return {"control service": self.control.cpu_s() + self._killed_cpu_s}
