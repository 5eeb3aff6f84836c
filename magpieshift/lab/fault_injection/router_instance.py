"""One router of a cluster: its addresses and its current process."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass


@dataclass
class RouterInstance:
    """A router's name, its ports on loopback and its current process."""

    name: str
    port: int
    """Port on which the process listens for clients."""
    admin_port: int
    """Port of the current process's admin server."""
    admin_ports: tuple[int, int]
    """Admin ports for a process and for its successor in a rollout."""
    private_port: int
    """Port that the process binds for datagrams of the membership protocol."""
    public_port: int
    """Port of the switch to which other routers send datagrams for this router."""
    client_port: int = 0
    """Port of the proxy through which clients connect to it."""
    process: asyncio.subprocess.Process | None = None
    """The most recently started process."""
    paused: bool = False
    """Whether the process is stopped by SIGSTOP."""
    killed: bool = False
    """Whether the process was killed deliberately."""
    starts: int = 0
    """Number of processes started, which is also the number of the current one."""

    @property
    def alive(self) -> bool:
        """Return whether its process was started and has not ended."""
        return self.process is not None and self.process.returncode is None
