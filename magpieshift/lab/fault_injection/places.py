"""Where one router of the proving ground is, and what runs there."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass


@dataclass
class Place:
    """One router's name, addresses and the process that runs under it."""

    name: str
    port: int
    console: int
    doors: tuple[int, int]  # of a process and of one that takes over from it; ``console`` is in use
    members: int  # its private port
    public: int  # where the others reach it
    clients: int = 0  # where its clients reach it
    process: asyncio.subprocess.Process | None = None
    paused: bool = False
    killed: bool = False
    starts: int = 0

    @property
    def alive(self) -> bool:
        return self.process is not None and self.process.returncode is None
