"""A feed for hollow routers from the relays of the fan-out tier, through the extension of real routers."""

from __future__ import annotations

from collections.abc import Sequence
from typing import cast

from magpieshift.app import EdgeRouter
from magpieshift.extensions.relay_subscription import RelayChangeSource, RelaySubscription
from magpieshift.lab.scale.hollow_router import HollowRouter
from magpieshift.relay.selection import RelayAddress


class RelayFeed:
    """A subscription to a relay of the fan-out tier, which delivers purges, endpoint lists and versions."""

    def __init__(self, router: HollowRouter, relays: Sequence[RelayAddress], region: str) -> None:
        """Attach the relay extension to the router. The casts are safe: the extension uses only those members
        of a router that a hollow router has as well."""
        self._router = router
        self._subscription = RelaySubscription(
            cast(EdgeRouter, router), router.manager, relays, region, router.name
        )
        self._client = cast(RelayChangeSource, router.change_source).client

    @property
    def connected(self) -> bool:
        """Whether the relay subscription has caught up."""
        return self._client.caught_up.is_set()

    @property
    def holds_lease(self) -> bool:
        """Whether the router holds a lease: the engine then accepts copies of any age."""
        limit = self._router.engine.copy_age_limit
        return limit is not None and limit() == 0

    def start(self) -> None:
        """Connect to a relay, and mark the start as completed in the router's lifecycle."""
        self._router.change_source.start()
        self._router.lifecycle.start_completed()

    async def crash(self) -> None:
        """Close the stream without a graceful shutdown, as a killed process does."""
        await self._client.close()
