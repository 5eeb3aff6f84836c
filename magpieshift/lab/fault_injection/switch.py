"""A switch for datagrams on loopback: each process has a public port here, and every direction between two of
them its own faults."""

from __future__ import annotations

import asyncio
import random

from magpieshift.lab.fault_injection.network import Network


class _Port(asyncio.DatagramProtocol):
    def __init__(self, switch: Switch, name: str) -> None:
        self._switch = switch
        self._name = name
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]  # asyncio's own is no subclass of its interface

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._switch.carry(addr[1], self._name, data)

    def error_received(self, exc: Exception) -> None:
        pass  # nobody listens at the private port right now: the process is down


class Switch:
    """Owner of the public ports. A datagram's sender is known by the private port it comes from."""

    def __init__(self, seed: int, network: Network | None = None) -> None:
        self._random = random.Random(seed)
        self.network = network or Network()
        self._ports: dict[str, _Port] = {}
        self._private: dict[str, int] = {}
        self._names: dict[int, str] = {}
        self.carried = 0
        self.dropped = 0

    async def add(self, name: str, private: int, public: int) -> None:
        """A public port for the process that binds ``private``."""
        loop = asyncio.get_running_loop()
        _, port = await loop.create_datagram_endpoint(
            lambda: _Port(self, name), local_addr=("127.0.0.1", public)
        )
        self._ports[name] = port
        self._private[name] = private
        self._names[private] = name

    def close(self) -> None:
        for port in self._ports.values():
            if port.transport is not None:
                port.transport.close()

    def carry(self, private: int, target: str, data: bytes) -> None:
        source = self._names.get(private)
        if source is None:
            return
        faults = self.network.on(source, target)
        kept = 1.0
        delay_ms = 0.0
        copies = 1
        for fault in faults:
            kept *= 0.0 if fault.cut else 1.0 - fault.lose
            delay_ms += fault.delay_ms + fault.jitter_ms * self._random.random()
            copies += self._random.random() < fault.double
        if self._random.random() >= kept:
            self.dropped += 1
            return
        for _ in range(copies):
            self.carried += 1
            if delay_ms:
                asyncio.get_running_loop().call_later(delay_ms / 1e3, self._deliver, source, target, data)
            else:
                self._deliver(source, target, data)

    def _deliver(self, source: str, target: str, data: bytes) -> None:
        transport = self._ports[source].transport  # so that it comes from where its sender is known
        if transport is not None and not transport.is_closing():
            transport.sendto(data, ("127.0.0.1", self._private[target]))
