"""The leader's table of grants: the quotas of the pool that each holder may use, and their expiry.

A grant is recorded before it is sent. It is reduced only when its holder has confirmed that it uses less, and
removed when it has expired by the slowest clock. So the sum of a scope's grants never exceeds the pool.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

HolderId = tuple[str, int]
"""Name and boot id, which identify one process of a router."""


@dataclass(slots=True)
class Grant:
    """The quotas of one holder by scope, each a fraction of the pool from 0 to 1."""

    quotas: dict[str, float]  # reserved quotas: the larger of the holder's previous and its offered quotas
    expires_us: int
    request_id: int = 0
    offered_quotas: dict[str, float] | None = None  # None once the holder has accepted them


class GrantTable:
    """The grants that one leader has made in its term."""

    def __init__(self) -> None:
        self.by_holder: dict[HolderId, Grant] = {}

    def clear(self) -> None:
        """Remove all grants, at the beginning of a term."""
        self.by_holder.clear()

    def expire(self, now_us: int) -> None:
        """Remove the expired grants."""
        self.by_holder = {
            holder: grant for holder, grant in self.by_holder.items() if now_us < grant.expires_us
        }

    def offer(
        self,
        now_us: int,
        holder: HolderId,
        fair_quotas: Mapping[str, float],
        expires_us: int,
        request_id: int,
    ) -> dict[str, float]:
        """Grant a holder its fair quotas, or what of them is not granted to others; returns the offer."""
        before = self.by_holder.get(holder)
        held = before.quotas if before is not None and now_us < before.expires_us else {}
        offered = {
            scope: max(0.0, min(fair, 1.0 - self._granted_to_others(now_us, holder, scope)))
            for scope, fair in fair_quotas.items()
        }
        reserved = {scope: max(held.get(scope, 0.0), quota) for scope, quota in offered.items()}
        self.by_holder[holder] = Grant(reserved, expires_us, request_id, offered)
        return offered

    def accept(self, holder: HolderId, request_id: int) -> None:
        """Release the quotas beyond the offer, once the holder has confirmed that it uses no more."""
        grant = self.by_holder.get(holder)
        if grant is not None and grant.offered_quotas is not None and grant.request_id == request_id:
            grant.quotas = grant.offered_quotas
            grant.offered_quotas = None

    def _granted_to_others(self, now_us: int, holder: HolderId, scope: str) -> float:
        return sum(
            grant.quotas.get(scope, 0.0)
            for other, grant in self.by_holder.items()
            if other != holder and now_us < grant.expires_us
        )
