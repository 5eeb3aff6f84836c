"""Fan-out tier: the cost of a snapshot by the number of purges in it. It also contains the target fleet's
endpoint list."""

from __future__ import annotations

import json
import random

from magpieshift.control import sexp
from magpieshift.lab.capacity import fleet
from magpieshift.lab.capacity.documents import settings
from magpieshift.lab.capacity.processor import count_processor_time
from magpieshift.lab.capacity.role import Budget, Resource, Sample
from magpieshift.lab.capacity.roles.changelog import NETWORK_BYTES_PER_S
from magpieshift.relay.decoding import decode_downstream
from magpieshift.relay.encoding import encode_downstream
from magpieshift.relay.limits import MAX_SNAPSHOTS_PER_S, PURGE_RETENTION_US, SNAPSHOT_REUSE_US
from magpieshift.relay.messages import ConfigurationChange, Epoch, Purge, Snapshot

REPETITIONS = 3  # a measurement is the mean of this many runs
PURGE_RETENTION_S = PURGE_RETENTION_US / 1e6
SNAPSHOT_REUSE_S = SNAPSHOT_REUSE_US / 1e6
NOW_US = 1_764_576_000_000_000  # a fixed Unix time, so that the same seed always gives the same bytes


def snapshot(purges: int, rng: random.Random) -> Snapshot:
    """A snapshot with ``purges`` purges, the target fleet's list of caches and one full version."""
    created_us = sorted(NOW_US - rng.randrange(PURGE_RETENTION_US) // 1000 * 1000 for _ in range(purges))
    members = [
        {
            "id": f"s-{number}",
            "host_port": f"10.0.{number // 256}.{number % 256}:7000",
            "locality": f"zone-{number % fleet.ZONES}",
            "flavor": "box",
            "cell": number,
            "phase": "SERVING",
            "size": 4,
            "up_since_ms": 0,
        }
        for number in range(fleet.CACHES)
    ]
    text = sexp.format_document(settings(fleet.ZONES))
    return Snapshot(
        Epoch(NOW_US // 1000, 1),
        purges,
        json.dumps({"revision": 1, "complete": True, "members": members}),
        tuple(Purge(f"{rng.getrandbits(64):016x}", 0, at_us) for at_us in created_us),
        ConfigurationChange(1, "0" * 64, "", text.encode()),
    )


class Snapshots:
    """One snapshot, encoded by a relay and decoded by a router."""

    name = "fan-out: snapshot"
    quantity = "purges in it"
    target = fleet.PURGES_PER_S * PURGE_RETENTION_S
    sizes = (206.0, 412.0, 825.0, 1650.0, 3300.0, 6600.0, 13200.0)
    quick_sizes = (206.0, 412.0, 825.0, 1650.0)
    repeats = 2
    simulated = False
    resources = (
        Resource(
            "written", "ms of processor", Budget(500 * SNAPSHOT_REUSE_S, "half of a core at one each second")
        ),
        Resource("read", "ms of processor"),
        Resource(
            "bytes",
            "bytes",
            Budget(
                NETWORK_BYTES_PER_S / MAX_SNAPSHOTS_PER_S, f"{MAX_SNAPSHOTS_PER_S} a second in half a gigabit"
            ),
        ),
    )

    def measure(self, size: float, seed: int, duration_s: float) -> Sample:
        """Encode and decode a snapshot with ``size`` purges."""
        full_snapshot = snapshot(int(size), random.Random(seed))
        with count_processor_time() as written:
            for _ in range(REPETITIONS):
                data = encode_downstream(full_snapshot)
        with count_processor_time() as read:
            for _ in range(REPETITIONS):
                decode_downstream(data)
        return Sample(
            size,
            {
                "written": 1e3 * written.seconds / REPETITIONS,
                "read": 1e3 * read.seconds / REPETITIONS,
                "bytes": len(data),
            },
        )
