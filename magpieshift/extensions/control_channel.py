"""Following a control service, as a fitting of a router."""

from __future__ import annotations

import random
import secrets

from magpieshift.app import EdgeRouter
from magpieshift.control.client import ControlClient
from magpieshift.control.version_manager import VersionManager
from magpieshift.extensions.extension import BaseExtension
from magpieshift.lifecycle import State


class ControlChannel(BaseExtension):
    """Owner of the client of the control channel; it connects once the router serves."""

    name = "control"

    def __init__(self, router: EdgeRouter, manager: VersionManager, service: str, name: str) -> None:
        self._client = ControlClient(service, manager, name, secrets.token_hex(4), random.Random())
        self._started = False
        router.lifecycle.listeners.append(self._went)

    def _went(self, state: State) -> None:
        if state == State.SERVING and not self._started:  # it comes back to serving after a lame duck, too
            self._started = True
            self._client.start()

    async def stop(self) -> None:
        await self._client.stop()
