"""The control extension: a router follows a control service."""

from __future__ import annotations

import random
import secrets

from magpieshift.app import EdgeRouter
from magpieshift.control.client import ControlClient
from magpieshift.control.version_manager import VersionManager
from magpieshift.extensions.extension import BaseExtension
from magpieshift.lifecycle import State

INSTANCE_ID_BYTES = 4  # drawn at each start, so that the service tells two processes of one name apart


class ControlChannel(BaseExtension):
    """Owner of the client of the control channel, which connects once the router serves."""

    name = "control"

    def __init__(self, router: EdgeRouter, manager: VersionManager, service: str, name: str) -> None:
        """``service`` is the service's host and port, ``name`` the router's."""
        instance_id = secrets.token_hex(INSTANCE_ID_BYTES)
        self._client = ControlClient(service, manager, name, instance_id, random.Random())
        self._started = False
        router.lifecycle.listeners.append(self._on_lifecycle_state)

    def _on_lifecycle_state(self, state: State) -> None:
        if state == State.SERVING and not self._started:  # a router also returns to serving from a lame duck
            self._started = True
            self._client.start()

    async def stop(self) -> None:
        """Close the channel."""
        await self._client.stop()
