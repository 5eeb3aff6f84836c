"""What stands between the change log and the routers of a run, and how versions come to them."""

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
"""The port at which those on a path reach a target by its name, through a network or straight."""


class Tier(Protocol):
    """Owner of the processes of control, except the change log."""

    async def open(self, log: Child) -> None:
        """Start what connects to the change log, and learn all ports."""
        ...

    async def start_remaining(self, reach: PortLookup) -> None:
        """Start the rest, once the network is there."""
        ...

    async def close(self) -> None:
        """End all processes."""
        ...

    @property
    def targets(self) -> Mapping[str, int]:
        """The ports that networks carry streams to, by name."""
        ...

    @property
    def router_ports(self) -> list[int]:
        """The ports at which routers are served."""
        ...

    @property
    def processes(self) -> int:
        """How many processes the tier has."""
        ...

    def address_router(self, place: Place, path: str, reach: PortLookup, inside: bool) -> m.Place:
        """The ports by which a router is fed; ``inside``: a cut of its path leaves what is in its region."""
        ...

    async def publish(self, number: int, text: str) -> float:
        """Publish a version, once that can be; when it was taken in, by the monotonic clock."""
        ...

    async def follow_all(self, routers: int) -> bool:
        """Whether so many routers receive versions."""
        ...

    async def digested(self, events: int, without: Collection[str]) -> bool:
        """Whether so many events of the change log have come to all who stand outside these zones."""
        ...

    @property
    def forgets_after_s(self) -> float:
        """How long a purge is retained after its arrival, in seconds: a simulated hour is over once those
        that came in it have expired."""
        ...

    async def interrupt(self, machines: int, seconds: float) -> None:
        """So many machines are gone for so long."""
        ...

    async def lose_zone(self, zone: str) -> None:
        """What stands in this zone is gone."""
        ...

    def cpu_s(self) -> dict[str, float]:
        """Processor time so far, by process."""
        ...


class DirectTier:
    """Nothing between: routers follow the change log itself, and one control service."""

    def __init__(self) -> None:
        self._log: Child | None = None
        self._control: Child | None = None
        self._control_lock = asyncio.Lock()  # held while the control service is away
        self._killed_cpu_s = 0.0  # processor time of those that were killed
        self._newest: m.Publish | None = None

    async def open(self, log: Child) -> None:
        """Start the control service."""
        self._log = log
        self._control = await Child.start("control service", "control", m.StartControl())

    async def start_remaining(self, reach: PortLookup) -> None:
        """Nothing more is to be started."""

    async def close(self) -> None:
        """End the control service."""
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
        """The same ports: routers connect to both."""
        return list(self.targets.values())

    @property
    def processes(self) -> int:
        """The control service alone."""
        return 1

    def address_router(self, place: Place, path: str, reach: PortLookup, inside: bool) -> m.Place:
        """A router that connects to both by its network path."""
        return m.Place(
            name=place.name, path=path, log_port=reach(path, LOG), control_port=reach(path, CONTROL)
        )

    async def publish(self, number: int, text: str) -> float:
        """Publish by the control service, after any outage of it."""
        async with self._control_lock:
            self._newest = m.Publish(number=number, text=text)
            return (await self.control.request(self._newest, m.PublishedAt)).at_s

    async def follow_all(self, routers: int) -> bool:
        """Whether so many routers are connected to the control service."""
        return await self.followers() >= routers

    async def digested(self, events: int, without: Collection[str]) -> bool:
        """There is no tier between."""
        return True

    @property
    def forgets_after_s(self) -> float:
        """Only the change log retains purges, and it retains all."""
        return 0.0

    async def followers(self) -> int:
        """How many routers are connected to the control service."""
        return (await self.control.request(m.FollowerCountRequest(), m.Count)).count

    async def interrupt(self, machines: int, seconds: float) -> None:
        """The change log cannot be reached; with two machines the control service is killed besides."""
        lost = [self._lose_log(seconds), self._lose_control(seconds)]
        for beyond in lost[machines:]:
            beyond.close()
        await asyncio.gather(*lost[:machines])

    async def _lose_log(self, seconds: float) -> None:
        await self.log.send(m.PauseChangeLog(seconds=seconds))
        await asyncio.sleep(seconds)

    async def _lose_control(self, seconds: float) -> None:
        """Another service starts at its port, and knows the newest version alone."""
        async with self._control_lock:
            port = self.control.ports[CONTROL]
            await self.control.kill()
            self._killed_cpu_s += self.control.cpu_s()
            await asyncio.sleep(seconds)
            self._control = await Child.start("control service", "control", m.StartControl(port=port))
            if self._newest is not None:
                await self.control.request(self._newest, m.PublishedAt)

    async def lose_zone(self, zone: str) -> None:
        """Nothing stands in a zone."""

    def cpu_s(self) -> dict[str, float]:
        """Processor seconds of the control service so far, killed processes included."""
        return {"control service": self.control.cpu_s() + self._killed_cpu_s}
