"""The control extension: a router receives versions of its configuration from a control service."""

from __future__ import annotations

import random
import secrets

from magpieshift.app import EdgeRouter
from magpieshift.control.client import ControlClient
from magpieshift.control.version_manager import VersionManager
from magpieshift.extensions.extension import BaseExtension
from magpieshift.lifecycle import State

INSTANCE_ID_BYTES = 4  # random at each start: lets the service distinguish two processes of the same name


class ControlChannel(BaseExtension):
    """Owns the control channel's client, which connects once the router is serving."""

    name = "control"

    def __init__(self, router: EdgeRouter, manager: VersionManager, service: str, name: str) -> None:
        """``service`` is the address of the control service (host:port); ``name`` is the router's name."""
        instance_id = secrets.token_hex(INSTANCE_ID_BYTES)
        self._client = ControlClient(service, manager, name, instance_id, random.Random())
        self._started = False
        router.lifecycle.listeners.append(self._on_lifecycle_state)

    def _on_lifecycle_state(self, state: State) -> None:
        if state == State.SERVING and not self._started:  # SERVING also follows LAME_DUCK
            self._started = True
            self._client.start()

    async def stop(self) -> None:
        """Close the channel."""
        await self._client.stop()
