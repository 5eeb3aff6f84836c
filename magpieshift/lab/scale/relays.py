"""The fan-out tier of a run: a source, and relays in every region, each in a separate process."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import tempfile
import time
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from pathlib import Path

from magpieshift.lab.scale import messages as m
from magpieshift.lab.scale.processes import Child
from magpieshift.lab.scale.tier import LOG, PortLookup
from magpieshift.lab.scale.topology import Place, Topology
from magpieshift.relay import status
from magpieshift.relay.errors import RelayUnreachableError
from magpieshift.relay.limits import PURGE_RETENTION_US

SOURCE = "source"
LOOPBACK = "127.0.0.1"
RELAYS_PER_REGION = 2  # a region keeps its feed when one relay is lost
FIXED_PORT_RANGE = range(20_000, 32_000)  # below the kernel's ephemeral ports (ip_local_port_range)


def fixed_ports(count: int) -> list[int]:
    """Free loopback ports below the ephemeral range, so that no outgoing connection takes the port of a relay
    while it is down."""
    found: list[int] = []
    for port in random.sample(FIXED_PORT_RANGE, len(FIXED_PORT_RANGE)):
        with contextlib.suppress(OSError), socket.create_server((LOOPBACK, port)):
            found.append(port)
        if len(found) == count:
            return found
    raise OSError(f"free ports in {FIXED_PORT_RANGE}: found {len(found)}, expected {count}")


@dataclass
class RelayMachine:
    """A relay: its location, its port, and its process while it runs."""

    name: str
    region: str
    zone: str
    port: int
    child: Child | None = None
    killed_cpu_s: float = 0.0  # CPU seconds of its killed processes

    def cpu_s(self) -> float:
        """CPU seconds of this relay so far, including killed processes."""
        return self.killed_cpu_s + (self.child.cpu_s() if self.child is not None else 0.0)


def relay_machines(topology: Topology) -> list[RelayMachine]:
    """The relays of all regions that have routers; those of a region are spread over its zones in turn."""
    found = []
    regions = sorted({place.region for place in topology.places})
    ports = iter(fixed_ports(RELAYS_PER_REGION * len(regions)))
    for region in regions:
        zones = [zone for zone, of in topology.form.zones.items() if of == region]
        for number in range(RELAYS_PER_REGION):
            name = f"relay-{region}-{number}"
            found.append(RelayMachine(name, region, zones[number % len(zones)], next(ports)))
    return found


class RelayTier:
    """The fan-out tier: owner of the source, of all relays, and of the folder of version files."""

    def __init__(self, topology: Topology) -> None:
        self._machines = {machine.name: machine for machine in relay_machines(topology)}
        regions = [place.region for place in topology.places]
        self._largest_region = max(sorted(set(regions)), key=regions.count)
        self._folder = tempfile.TemporaryDirectory(prefix="scale-versions-")
        self._log: Child | None = None
        self._source: Child | None = None
        self._port_for: PortLookup = lambda path, target: self.targets[target]

    async def open(self, log: Child) -> None:
        """Start the source, which connects to the change log directly."""
        self._log = log
        start = m.StartSource(log_port=log.ports[LOG], versions=self._folder.name)
        self._source = await Child.start(SOURCE, "node", start)

    async def start_remaining(self, port_for: PortLookup) -> None:
        """Start all relays; each connects to the source by the network path of its zone."""
        self._port_for = port_for
        await asyncio.gather(*map(self._start, self._machines.values()))

    async def close(self) -> None:
        """Stop the source and all relays, and remove the folder of version files."""
        children = [self._source, *(machine.child for machine in self._machines.values())]
        await asyncio.gather(*(child.stop() for child in children if child is not None))
        self._folder.cleanup()

    async def _start(self, machine: RelayMachine) -> None:
        start = m.StartRelay(
            name=machine.name,
            region=machine.region,
            port=machine.port,
            source_port=self._port_for(machine.zone, SOURCE),
        )
        machine.child = await Child.start(machine.name, "node", start)

    @property
    def source(self) -> Child:
        """The source's process; only after ``open``."""
        assert self._source is not None
        return self._source

    @property
    def targets(self) -> Mapping[str, int]:
        """The ports of the source and of all relays, by name."""
        relays = {machine.name: machine.port for machine in self._machines.values()}
        return {SOURCE: self.source.ports["node"]} | relays

    @property
    def router_ports(self) -> list[int]:
        """The ports of all relays."""
        return [machine.port for machine in self._machines.values()]

    @property
    def processes(self) -> int:
        """The number of processes: the source and all relays."""
        return 1 + len(self._machines)

    def address_router(
        self, place: Place, path: str, port_for: PortLookup, keeps_region_connected: bool
    ) -> m.RouterAddresses:
        """The ports of all relays, on the router's network path. With ``keeps_region_connected``, the
        router connects directly to the relays of its region, so that a cut of the path does not affect these
        connections."""
        assert self._log is not None
        relays = [
            m.RelayTarget(
                name=machine.name,
                region=machine.region,
                port=(
                    machine.port
                    if keeps_region_connected and machine.region == place.region
                    else port_for(path, machine.name)
                ),
            )
            for machine in self._machines.values()
        ]
        return m.RouterAddresses(
            name=place.name, path=path, log_port=self._log.ports[LOG], region=place.region, relays=relays
        )

    async def publish(self, number: int, text: str) -> float:
        """Write the version to the source's folder; returns the time of writing on the monotonic clock."""
        path = Path(self._folder.name) / f"{number}.sexp"
        part = path.with_suffix(".part")
        part.write_text(text, encoding="utf-8")
        at_s = time.monotonic()
        part.rename(path)  # atomic, so that the source never reads a partly written file
        return at_s

    async def all_subscribed(self, routers: int) -> bool:
        """Always true: a router counts as connected once it has caught up with its relay, which also delivers
        versions."""
        return True

    async def has_received(self, events: int, excluded_zones: Collection[str]) -> bool:
        """Whether the source and all relays outside these zones have received the first ``events`` events of
        the change log."""
        ports = [m.port for m in self._machines.values() if m.zone not in excluded_zones]
        requests = (status.fetch_status(f"{LOOPBACK}:{port}") for port in [self.source.ports["node"], *ports])
        try:
            reports = await asyncio.gather(*requests)
        except RelayUnreachableError:  # a node that is busy with many events does not answer in time
            return False
        return all(report.head >= events for report in reports)

    @property
    def purge_retention_s(self) -> float:
        """How long relays retain a purge, in seconds."""
        return PURGE_RETENTION_US / 1e6

    async def interrupt(self, machines: int, seconds: float) -> None:
        """Kill this many relays of the largest region, and start them again on the same ports after
        ``seconds``."""
        killed = [machine for machine in self._machines.values() if machine.region == self._largest_region][
            :machines
        ]
        await asyncio.gather(*map(self._kill, killed))
        await asyncio.sleep(seconds)
        await asyncio.gather(*map(self._start, killed))

    async def kill_zone(self, zone: str) -> None:
        """Kill the relays of this zone, without starting them again."""
        killed = [machine for machine in self._machines.values() if machine.zone == zone]
        await asyncio.gather(*map(self._kill, killed))

    async def _kill(self, machine: RelayMachine) -> None:
        child = machine.child
        machine.child = None
        if child is not None:
            await child.kill()
            machine.killed_cpu_s += child.cpu_s()

    def cpu_s(self) -> dict[str, float]:
        """CPU seconds so far, by process, including killed processes."""
        relays = {machine.name: machine.cpu_s() for machine in self._machines.values()}
        return {SOURCE: self.source.cpu_s()} | relays
