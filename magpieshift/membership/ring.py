"""The present members in the order of the ring, with digests by which two views are compared."""

from __future__ import annotations

import hashlib
from bisect import bisect_left, insort
from collections.abc import Iterator

from magpieshift.membership.member import Member, generation_hash, ring_position

DIGEST_BUCKETS = (
    16  # parts of a view with a digest each; more make synchronization finer and its datagram longer
)


class MemberRing:
    """Names of the present members, ordered by the hash of their names."""

    def __init__(self) -> None:
        self.positions: list[tuple[int, str]] = []  # sorted: position and name of each present member
        self.bucket_digests = [0] * DIGEST_BUCKETS  # XOR of the generations of the members in each bucket
        self._digest: int | None = None  # of all buckets; None: to be computed again

    def __len__(self) -> int:
        return len(self.positions)

    @property
    def digest(self) -> int:
        """Equal in two routers that agree on which processes are present."""
        if self._digest is None:
            buckets = b"".join(bucket.to_bytes(8, "big") for bucket in self.bucket_digests)
            self._digest = int.from_bytes(hashlib.blake2b(buckets, digest_size=8).digest(), "big")
        return self._digest

    def add(self, member: Member) -> None:
        """Enter a member that has become present."""
        insort(self.positions, (ring_position(member.name), member.name))
        self._toggle(member)

    def remove(self, member: Member) -> None:
        """Take out a member that is present no more."""
        self.positions.remove((ring_position(member.name), member.name))
        self._toggle(member)

    def replace(self, before: Member, after: Member) -> None:
        """Count another process of the same name in the digests."""
        self._toggle(before)
        self._toggle(after)

    def successors(self, name: str) -> Iterator[str]:
        """All other names, once round the ring, beginning behind this one."""
        start = bisect_left(self.positions, (ring_position(name), name))
        size = len(self.positions)
        for step in range(size):
            other = self.positions[(start + step) % size][1]
            if other != name:
                yield other

    def _toggle(self, member: Member) -> None:
        self.bucket_digests[ring_position(member.name) % DIGEST_BUCKETS] ^= generation_hash(member)
        self._digest = None
