"""Case 8: at a planned restart the router ends while clients still read their answers."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import peers2

OPEN_REQUESTS = 32
"""The protocol page: up to 32 requests may be open on one connection."""
PART_BYTES = 240_000
"""The protocol page: an object holds at most 240,000 bytes."""
BYTES_PER_S = 500_000
"""The operation page: some clients read at most 1 MB a second. With and without the disruption."""
CLIENTS = 3
SEND_S = 0.77
"""How long a cache takes to send such a part, at the 310,000 bytes a second of the configuration."""
SIZE_KB = "4300"
"""The size of such a part as the simulator counts it: what 0.77 s take at 5,600 KB a second."""
WAIT_MS = 5000
"""How long a client waits for the whole answer. A connection that ends later is not judged."""
TERM_AFTER_S = 0.8
KILL_AFTER_S = 40.0
"""The protocol page: no sooner than the longest deadline (3 s where it is longer) and 0.7 s after SIGTERM."""


async def case(record: peers2.Record) -> bool:
    """Slow clients wait for 32 answers each; with the disruption the router gets SIGTERM meanwhile."""
    ledger = peers2.Ledger()
    dice = random.Random(8)
    caches = [
        peers2.Cache(record, ledger, f"s-box{number}", cell=number, size=PART_BYTES, delay_s=SEND_S)
        for number in range(4)
    ]
    origin = peers2.Cache(record, ledger, "s-origin", "origin", 9, PART_BYTES, SEND_S)
    log = peers2.ChangeLog(record)
    router = peers2.Router(record)
    clients: list[peers2.Client] = []
    requests: list[peers2.Request] = []
    keys = [f"{dice.getrandbits(52):016x}" for _ in range(CLIENTS)]
    try:
        for cache in [*caches, origin]:
            await cache.start()
            cache.kept |= {(key, str(part)) for key in keys for part in range(OPEN_REQUESTS)}
        await log.start()
        members = [cache.entry(size=50) for cache in [*caches, origin]]
        log.add(fleet={"revision": 1, "complete": True, "members": members})
        router.write_config(log.port, log.events, peers2.settings())
        await router.start()
        for number, key in enumerate(keys):
            client = peers2.Client(record, f"client {number}", router.port, BYTES_PER_S, PART_BYTES)
            await client.connect()
            clients.append(client)
            requests += [
                await client.send("media", WAIT_MS, key, part, m=SIZE_KB) for part in range(OPEN_REQUESTS)
            ]
        await asyncio.sleep(TERM_AFTER_S)
        term_s = time.time()
        ended_s = 0.0
        if peers2.trouble():
            router.send_signal(signal.SIGTERM)
        while time.time() < term_s + KILL_AFTER_S and not all(each.done.is_set() for each in requests):
            if not ended_s and not router.is_running:
                ended_s = time.time()
                record.say(f"the router ended by itself {ended_s - term_s:.2f} s after SIGTERM")
            await asyncio.sleep(0.05)
        return judge(record, requests, ended_s)
    finally:
        for client in clients:
            client.close()
        await router.end()
        for cache in [*caches, origin]:
            cache.stop()
        log.stop()


def judge(record: peers2.Record, requests: list[peers2.Request], router_ended_s: float) -> bool:
    """Lost is a request that was taken before SIGTERM, and whose connection the router ended with no answer.

    One of which the answer had begun to come is not counted, as the page excuses it, nor one whose time had
    run out when the router ended. A slow client comes to the end of its connection later than that.
    """
    if not all(each.done.is_set() for each in requests):
        raise peers2.CannotRunError("requests still open at the end of the case")
    served = sum(each.answer == "served" for each in requests)
    begun = [each for each in requests if not each.answer and each.bytes_begun]
    ended = [each for each in requests if not each.answer and not each.bytes_begun]
    lost = [each for each in ended if router_ended_s < each.written_s + WAIT_MS / 1000]
    record.say(f"SIGTERM: {router_ended_s > 0}, served: {served} of {len(requests)}")
    record.say(f"ended inside the answer, which is excused: {len(begun)}; lost: {len(lost)}")
    return not lost


if __name__ == "__main__":
    peers2.main(case, __file__)
