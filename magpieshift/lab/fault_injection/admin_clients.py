"""Clients of the admin servers of a cluster's routers, and waiting until their answers agree."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from magpieshift.admin.answer import AdminAnswer
from magpieshift.admin.client import send_admin_command
from magpieshift.lab.fault_injection.router_instance import RouterInstance

STARTUP_TIMEOUT_S = 30.0
"""Default time-out in seconds; long, so that the verdict does not depend on the machine's speed."""
POLL_INTERVAL_S = 0.1
"""Polling interval in seconds for conditions that are awaited."""


class AdminClients:
    """Clients of the admin servers of all routers, by the router's name."""

    def __init__(self) -> None:
        self.routers: dict[str, RouterInstance] = {}
        """All routers of the cluster, by name."""

    async def call(self, name: str, command: str) -> AdminAnswer:
        """Return a router's answer to an admin command."""
        return await send_admin_command(("127.0.0.1", self.routers[name].admin_port), command)

    async def membership_view(self, name: str) -> dict[str, Any] | None:
        """Return a router's answer to MEMBERS: its membership view."""
        return await self._json_answer(name, "MEMBERS")

    async def overload_view(self, name: str) -> dict[str, Any] | None:
        """Return a router's answer to TALK: its information about failing endpoints and handovers."""
        return await self._json_answer(name, "TALK")

    async def _json_answer(self, name: str, command: str) -> dict[str, Any] | None:
        answer = await self.call(name, command)
        if not answer.succeeded:
            return None
        data: dict[str, Any] = json.loads(answer.text)
        return data

    async def membership_views(self, names: Iterable[str] | None = None) -> dict[str, dict[str, Any]]:
        """Return the membership views of these routers (default: all running ones), of those that answer."""
        running = [router.name for router in self.routers.values() if router.alive and not router.paused]
        wanted = running if names is None else list(names)
        views = await asyncio.gather(*(self.membership_view(name) for name in wanted))
        return {name: view for name, view in zip(wanted, views, strict=True) if view is not None}

    @staticmethod
    def present_members(view: dict[str, Any]) -> list[str]:
        """Return the names of the members that are alive or suspected in a view."""
        return [row["name"] for row in view["members"] if row["standing"] in ("alive", "suspected")]

    @staticmethod
    def member_state(view: dict[str, Any], name: str) -> str:
        """Return the state of a member in a view, ``unknown`` if it is not in the view."""
        return next((row["standing"] for row in view["members"] if row["name"] == name), "unknown")

    async def views_agree(self, names: Iterable[str] | None = None) -> bool:
        """Return whether these routers (default: all living ones) have the same view, of all living routers.

        Paused routers are not queried.
        """
        living = sorted(router.name for router in self.routers.values() if router.alive)
        wanted = sorted(names) if names is not None else living
        answering = [name for name in wanted if not self.routers[name].paused]
        views = await self.membership_views(answering)
        if len(views) < len(answering):
            return False
        return len({view["digest"] for view in views.values()}) == 1 and all(
            sorted(self.present_members(view)) == living for view in views.values()
        )

    async def wait_until(
        self,
        condition: Callable[[], Awaitable[bool]],
        description: str,
        timeout_s: float = STARTUP_TIMEOUT_S,
    ) -> float:
        """Wait until a condition holds; return the time this took, in seconds.

        Raises ``AssertionError`` with the description if it takes longer than ``timeout_s``.
        """
        started_s = time.monotonic()
        while not await condition():
            if time.monotonic() - started_s > timeout_s:
                raise AssertionError(f"not within {timeout_s:g} s: {description}")
            await asyncio.sleep(POLL_INTERVAL_S)
        return time.monotonic() - started_s
