"""The leader's table of grants: what each holder may use of the pool, and until when.

A grant is entered before it is sent, and shrinks only when its holder has confirmed that it uses less, or
when it has expired by the slowest clock. So the sum of the grants of a scope never exceeds the pool.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

HolderId = tuple[str, int]
"""Name and boot id: one start of one router."""


@dataclass(slots=True)
class Grant:
    """What one holder may use; quotas by scope, each a part of the pool from 0 to 1."""

    quotas: dict[str, float]  # reserved: the larger of what it had and what it was offered
    expires_us: int
    request_id: int = 0
    offered_quotas: dict[str, float] | None = None  # until the holder has accepted them


class GrantTable:
    """The grants of one leader, of one term."""

    def __init__(self) -> None:
        self.by_holder: dict[HolderId, Grant] = {}

    def clear(self) -> None:
        """Begin a term."""
        self.by_holder.clear()

    def expire(self, now_us: int) -> None:
        """Drop the grants that have run out."""
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
        """Grant a holder its fair quotas, or less where others hold more; the quotas offered."""
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
        """A holder uses no more than what it was offered: the rest is free for others."""
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
