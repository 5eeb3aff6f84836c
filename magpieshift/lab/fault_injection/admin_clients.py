"""Asking the routers of the proving ground at their doors, and waiting for what they say."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from magpieshift.lab.fault_injection.places import Place

UP_S = 30.0  # generous: a verdict must not hang on the machine's speed
CALL_S = 2.0


class Doors:
    """The doors of routers, by name."""

    def __init__(self) -> None:
        self.places: dict[str, Place] = {}

    async def call(self, name: str, word: str) -> str | None:
        """A line from a router's door; None where nobody answers soon."""
        try:
            async with asyncio.timeout(CALL_S):
                door = self.places[name].console
                reader, writer = await asyncio.open_connection("127.0.0.1", door, limit=1 << 20)
                writer.write(f"{word}\n".encode())
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError, ValueError):
            return None
        return line.decode().rstrip("\n") or None

    async def view(self, name: str) -> dict[str, Any] | None:
        """What a router says of its members."""
        line = await self.call(name, "MEMBERS")
        if line is None or not line.startswith("OK "):
            return None
        found: dict[str, Any] = json.loads(line[3:])
        return found

    async def talk(self, name: str) -> dict[str, Any] | None:
        """What a router says of failing stores, and of handing over."""
        line = await self.call(name, "TALK")
        if line is None or not line.startswith("OK "):
            return None
        found: dict[str, Any] = json.loads(line[3:])
        return found

    async def views(self, names: Iterable[str] | None = None) -> dict[str, dict[str, Any]]:
        """The views of all who live and run."""
        running = [p.name for p in self.places.values() if p.alive and not p.paused]
        wanted = running if names is None else list(names)
        found = await asyncio.gather(*(self.view(name) for name in wanted))
        return {name: view for name, view in zip(wanted, found, strict=True) if view is not None}

    @staticmethod
    def here(view: dict[str, Any]) -> list[str]:
        return [row["name"] for row in view["members"] if row["standing"] in ("alive", "suspected")]

    @staticmethod
    def standing(view: dict[str, Any], name: str) -> str:
        return next((row["standing"] for row in view["members"] if row["name"] == name), "unknown")

    async def agreed(self, names: Iterable[str] | None = None) -> bool:
        """Whether all who live have one view, of exactly those who live."""
        living = sorted(p.name for p in self.places.values() if p.alive)
        wanted = sorted(names) if names is not None else living
        views = await self.views([name for name in wanted if not self.places[name].paused])
        if len(views) < len([name for name in wanted if not self.places[name].paused]):
            return False
        return len({view["digest"] for view in views.values()}) == 1 and all(
            sorted(self.here(view)) == living for view in views.values()
        )

    async def until(self, true: Callable[[], Awaitable[bool]], what: str, within_s: float = UP_S) -> float:
        """Wait for something to come true; how long it took. ``AssertionError`` where it does not."""
        began = time.monotonic()
        while not await true():
            if time.monotonic() - began > within_s:
                raise AssertionError(f"not within {within_s:g} s: {what}")
            await asyncio.sleep(0.1)
        return time.monotonic() - began
