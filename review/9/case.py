"""Case 9: an attempt that waits for its connection does not heed a purge told meanwhile."""

from __future__ import annotations

import asyncio
import random
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import peers2

OBJECTS = 12
MOST_LATE = 1 / 3
"""The standing test: a third of the connections to caches come up late."""
CONNECT_TIMEOUT_US = 1_500_000
"""The settings' time for a connection; the standing test: connections come up late, up to 1.5 s."""
PURGE_AFTER_S = 0.2
"""From the requests to the purges of their objects."""
ACCEPT_AFTER_S = 0.8
"""From the requests until the late cache has room again; the system tries again 1 s after its first try."""
GRACE_S = 0.5
"""``PurgeSlackUs`` of the settings."""
END_AFTER_S = 4.0
"""From the requests; ``PurgeTakesUs`` is 6 s, so a cache may still hold a copy that was purged."""


class KeepingCache(peers2.Cache):
    """A cache that knows when each copy left the origin, and heeds ``fresh``."""

    def __init__(self, record: peers2.Record, ledger: peers2.Ledger, name: str, cell: int) -> None:
        super().__init__(record, ledger, name, cell=cell)
        self.minted_s: dict[str, float] = {}
        """When the copy of each object left the origin."""
        self.used: list[tuple[peers2.Attempt, float]] = []
        """Each answer from a copy, with when that left the origin."""
        self._full: socket.socket | None = None
        self._fillers: list[socket.socket] = []

    def give(
        self, connection: peers2.CacheConnection, attempt: peers2.Attempt, is_held: bool, how: str
    ) -> None:
        """Answer from the copy where it is there and young enough, or as filled just now."""
        key = attempt.fields["key"]
        fresh_s = int(attempt.fields.get("fresh", "0")) / 1000
        now_s = time.time()
        minted_s = self.minted_s.get(key)
        if minted_s is not None and (not fresh_s or now_s - minted_s <= fresh_s):
            self.used.append((attempt, minted_s))
            super().give(connection, attempt, True, "warm")
        else:
            super().give(connection, attempt, "via" in attempt.fields, "fill")

    def listen_full(self) -> None:
        """Listen with no room for a further connection, so that one does not come up for now."""
        self._full = socket.socket()
        self._full.bind(("127.0.0.1", 0))
        self._full.listen(0)
        self.port = self._full.getsockname()[1]
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self._fillers.append(filler)

    async def make_room(self) -> None:
        """Accept what waits, and whatever comes from now on."""
        for filler in self._fillers:
            filler.close()
        if self._full is not None:
            self._server = await asyncio.start_server(self._serve, sock=self._full)


async def case(record: peers2.Record) -> bool:
    """Objects are asked for and purged; with the disruption one cache's connection comes up 1 s late."""
    ledger = peers2.Ledger()
    dice = random.Random(9)
    boxes = [KeepingCache(record, ledger, f"s-box{number}", number) for number in range(3)]
    late, *others = boxes
    origin = peers2.Cache(record, ledger, "s-origin", "origin", 9)
    log = peers2.ChangeLog(record)
    router = peers2.Router(record)
    client: peers2.Client | None = None
    keys = [f"{dice.getrandbits(52):016x}" for _ in range(OBJECTS)]
    try:
        for cache in [*others, origin]:
            await cache.start()
        if peers2.trouble():
            late.listen_full()
        else:
            await late.start()
        for cache in boxes:
            cache.minted_s = dict.fromkeys(keys, time.time() - 5.0)
        await log.start()
        members = [cache.entry() for cache in [*boxes, origin]]
        log.add(fleet={"revision": 1, "complete": True, "members": members})
        site = peers2.settings(ConnectTimeoutUs=CONNECT_TIMEOUT_US)
        router.write_config(log.port, log.events, site)
        await router.start()
        client = peers2.Client(record, "client", router.port)
        await client.connect()
        began_s = time.time()
        for key in keys:
            await client.send("media", 5000, key)
        await asyncio.sleep(began_s + PURGE_AFTER_S - time.time())
        purged: dict[str, tuple[float, float]] = {}
        for key in keys:
            time_ms = int(time.time() * 1000)
            number = log.add(invalidate={"object": key, "time": time_ms})
            purged[key] = (time_ms / 1000, log.told_s[number])
        await asyncio.sleep(began_s + ACCEPT_AFTER_S - time.time())
        await late.make_room()
        await asyncio.sleep(END_AFTER_S - ACCEPT_AFTER_S)
        check_lateness(record, ledger, late, began_s)
        return judge(record, boxes, purged)
    finally:
        if client is not None:
            client.close()
        await router.end()
        for cache in [*boxes, origin]:
            cache.stop()
        log.stop()


def check_lateness(record: peers2.Record, ledger: peers2.Ledger, late: KeepingCache, began_s: float) -> None:
    """The case can't run where no connection came up late, or more of them than the page names."""
    came_s = [each.came_s - began_s for each in ledger.attempts if each.cache is late]
    used = {each.connection for each in ledger.attempts}
    share = len({each.connection for each in ledger.attempts if each.cache is late}) / max(1, len(used))
    record.say(f"the late cache got {len(came_s)} attempts, the first after {min(came_s, default=0):.3f} s")
    record.say(f"connections to caches: {len(used)}, share to the late cache: {share:.2f}")
    if not peers2.trouble():
        return
    if not came_s or min(came_s) < ACCEPT_AFTER_S:
        raise peers2.CannotRunError("no connection of the cache came up late")
    if share > MOST_LATE:
        raise peers2.CannotRunError("more than a third of the connections came up late")


def judge(record: peers2.Record, boxes: list[KeepingCache], purged: dict[str, tuple[float, float]]) -> bool:
    """Broken where an attempt that was sent after the grace was answered from a copy older than the purge."""
    broken = 0
    for attempt, minted_s in [each for box in boxes for each in box.used]:
        purge_s, told_s = purged[attempt.fields["key"]]
        sent_after_s = attempt.came_s - told_s
        if minted_s < purge_s and sent_after_s > GRACE_S + peers2.SOCKET_SLACK_S:
            broken += 1
            record.say(f"purged copy, sent {sent_after_s:.3f} s after the purge was told: {attempt.text()}")
    record.say(f"answers from copies: {sum(len(box.used) for box in boxes)}, from purged ones: {broken}")
    return not broken


if __name__ == "__main__":
    peers2.main(case, __file__)
