"""The present members in ring order, with digests for comparing two views."""

from __future__ import annotations

import hashlib
from bisect import bisect_left, insort
from collections.abc import Iterator

from magpieshift.membership.member import Member, generation_hash, ring_position

# Buckets into which a view is divided, each with a digest. More buckets narrow down differences further and
# make the synchronization datagram longer.
DIGEST_BUCKETS = 16


class MemberRing:
    """Names of the present members, ordered by the hash of their names."""

    def __init__(self) -> None:
        self.positions: list[tuple[int, str]] = []  # position and name of each present member, sorted
        self.bucket_digests = [0] * DIGEST_BUCKETS  # XOR of the members' generation hashes in each bucket
        self._digest: int | None = None  # digest of all buckets; None: has to be recomputed

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
        """Add a member that has become present."""
        insort(self.positions, (ring_position(member.name), member.name))
        self._toggle(member)

    def remove(self, member: Member) -> None:
        """Remove a member that is no longer present."""
        self.positions.remove((ring_position(member.name), member.name))
        self._toggle(member)

    def replace(self, before: Member, after: Member) -> None:
        """Replace the process of a name by another one in the digests."""
        self._toggle(before)
        self._toggle(after)

    def successors(self, name: str) -> Iterator[str]:
        """All other names in ring order, beginning with the successor of this one."""
        start = bisect_left(self.positions, (ring_position(name), name))
        size = len(self.positions)
        for step in range(size):
            other = self.positions[(start + step) % size][1]
            if other != name:
                yield other

    def _toggle(self, member: Member) -> None:
        self.bucket_digests[ring_position(member.name) % DIGEST_BUCKETS] ^= generation_hash(member)
        self._digest = None
