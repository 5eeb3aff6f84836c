"""One router of the testbed: its addresses and the process that runs under its name."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass


@dataclass
class RouterInstance:
    """A router's name, its ports on loopback and its current process."""

    name: str
    port: int
    """Where the process itself listens for clients."""
    admin_port: int
    """The one of ``admin_ports`` that is in use."""
    admin_ports: tuple[int, int]
    """Ports for a process and for the one that takes over from it."""
    private_port: int
    """Port that the process binds for membership datagrams."""
    public_port: int
    """Port of the switch where other routers reach it with datagrams."""
    client_port: int = 0
    """Port of the relay where its clients reach it."""
    process: asyncio.subprocess.Process | None = None
    """The process started last."""
    paused: bool = False
    """Whether the process is stopped by SIGSTOP."""
    killed: bool = False
    """Whether the testbed killed the process."""
    starts: int = 0
    """How many processes were started; the number of the current one."""

    @property
    def alive(self) -> bool:
        """Whether its process has not ended."""
        return self.process is not None and self.process.returncode is None
