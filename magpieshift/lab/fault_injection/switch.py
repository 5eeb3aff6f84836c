"""A switch that forwards datagrams between processes on loopback, through a public port for each process,
and applies the faults of each direction between two processes."""

from __future__ import annotations

import asyncio
import random

from magpieshift.lab.fault_injection.link_faults import LinkFault, Network


class _Port(asyncio.DatagramProtocol):
    """The public port of one process."""

    def __init__(self, switch: Switch, name: str) -> None:
        self._switch = switch
        self._name = name
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, which sends datagrams."""
        self.transport = transport  # type: ignore[assignment]  # asyncio's own is no subclass of its interface

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Forward a datagram that another process sent to this one."""
        self._switch.forward(addr[1], self._name, data)

    def error_received(self, exc: Exception) -> None:
        """Ignore the error: the process is down and does not listen on its private port."""


class Switch:
    """Owns the public ports. The sender of a datagram is identified by its private port."""

    def __init__(self, seed: int, network: Network | None = None) -> None:
        self._random = random.Random(seed)
        self.network = network or Network()
        """The active faults."""
        self._ports: dict[str, _Port] = {}
        self._private_ports: dict[str, int] = {}
        self._names: dict[int, str] = {}
        """Names of processes by their private ports."""
        self.forwarded = 0
        """Datagrams forwarded, duplicates included."""
        self.dropped = 0
        """Datagrams dropped by faults."""

    async def add(self, name: str, private: int, public: int) -> None:
        """Open the port ``public`` for the process that binds the port ``private``."""
        loop = asyncio.get_running_loop()
        _, port = await loop.create_datagram_endpoint(
            lambda: _Port(self, name), local_addr=("127.0.0.1", public)
        )
        self._ports[name] = port
        self._private_ports[name] = private
        self._names[private] = name

    def close(self) -> None:
        """Close all public ports."""
        for port in self._ports.values():
            if port.transport is not None:
                port.transport.close()

    def forward(self, private: int, target: str, data: bytes) -> None:
        """Forward a datagram from the process with this private port, with the faults of its direction."""
        source = self._names.get(private)
        if source is None:
            return
        pass_probability, delay_ms, copies = self._effect(self.network.faults_on(source, target))
        if self._random.random() >= pass_probability:
            self.dropped += 1
            return
        for _ in range(copies):
            self.forwarded += 1
            if delay_ms:
                asyncio.get_running_loop().call_later(delay_ms / 1e3, self._deliver, source, target, data)
            else:
                self._deliver(source, target, data)

    def _effect(self, faults: list[LinkFault]) -> tuple[float, float, int]:
        """Return a datagram's probability of passing, its delay in milliseconds, and the number of copies."""
        pass_probability = 1.0
        delay_ms = 0.0
        copies = 1
        for fault in faults:
            pass_probability *= 0.0 if fault.cut else 1.0 - fault.loss_fraction
            delay_ms += fault.delay_ms + fault.jitter_ms * self._random.random()
            copies += self._random.random() < fault.duplicate_fraction
        return pass_probability, delay_ms, copies

    def _deliver(self, source: str, target: str, data: bytes) -> None:
        transport = self._ports[source].transport  # receivers identify the sender by its public port
        if transport is not None and not transport.is_closing():
            transport.sendto(data, ("127.0.0.1", self._private_ports[target]))
