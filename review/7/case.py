"""Case 7: with a change log that answers slowly the router never hears of a drain."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import peers2

SECONDS = 25.0
INTERVAL_S = 0.05
ANSWER_AFTER_S = 3.0
"""How long a call waits in turn; the brief's box list runs 4.8 to 9.9 s behind for up to 29 s."""
DRAIN_AFTER_S = 2.0
TOLD_AFTER_S = 7.0
"""The protocol page: what the change log has to tell counts as told 7 s later at the latest."""
GRACE_S = 0.25
"""``DrainGraceUs`` of the settings."""
STAND_IN_LATENESS_S = 0.5
"""Not counted, as the stand-in may read what was sent in time this much later on a busy machine."""


async def case(record: peers2.Record) -> bool:
    """A cache begins to drain; with the disruption the change log needs 3 s to answer a call."""
    ledger = peers2.Ledger()
    dice = random.Random(7)
    caches = [peers2.Cache(record, ledger, f"s-box{number}", cell=number) for number in range(3)]
    origin = peers2.Cache(record, ledger, "s-origin", "origin", 9)
    log = peers2.ChangeLog(record)
    router = peers2.Router(record)
    client: peers2.Client | None = None
    drained = caches[0]
    try:
        for cache in [*caches, origin]:
            await cache.start()
        await log.start()
        members = [cache.entry() for cache in [*caches, origin]]
        log.add(fleet={"revision": 1, "complete": True, "members": members})
        log.answer_after_s = ANSWER_AFTER_S if peers2.trouble() else 0.0
        router.write_config(log.port, log.events, peers2.settings())
        await router.start()
        client = peers2.Client(record, "client", router.port)
        await client.connect()
        began_s = time.time()
        told = 0
        while time.time() < began_s + SECONDS:
            await client.send("media", 5000, f"{dice.getrandbits(52):016x}")
            await asyncio.sleep(INTERVAL_S)
            if not told and time.time() > began_s + DRAIN_AFTER_S:
                change = {"revision": 2, "complete": False, "members": [drained.entry("DRAINING")]}
                told = log.add(fleet=change)
        record.say(f"calls of the router to the change log: {log.calls}")
        return judge(record, ledger, drained.name, log.told_s[told])
    finally:
        if client is not None:
            client.close()
        await router.end()
        for cache in [*caches, origin]:
            cache.stop()
        log.stop()


def judge(record: peers2.Record, ledger: peers2.Ledger, drained: str, event_s: float) -> bool:
    """Broken where the draining cache was sent a request, or named as a source, after the time to heed it."""
    limit_s = event_s + TOLD_AFTER_S + GRACE_S + 2 * peers2.SOCKET_SLACK_S + STAND_IN_LATENESS_S
    late = [
        each
        for each in ledger.attempts
        if each.came_s > limit_s and drained in (each.cache.name, each.fields.get("via"))
    ]
    for each in late:
        record.write("case", f"sent {each.came_s - event_s:.3f} s after the drain: {each.text()}")
    record.say(
        f"attempts: {len(ledger.attempts)}, at the draining cache after it counted as told: {len(late)}"
    )
    if late:
        record.say(f"the last of them came {late[-1].came_s - event_s:.1f} s after the drain")
    return not late


if __name__ == "__main__":
    peers2.main(case, __file__)
