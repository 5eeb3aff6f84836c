"""Case 6: clients that read slowly lose requests that the router has taken."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import peers2

CLIENTS = 16
SLOW_CLIENTS = 12
COMES_AFTER_S = 0.15
"""Between two clients."""
OPEN_REQUESTS = 32
"""The protocol page: up to 32 requests may be open on one connection."""
PART_BYTES = 240_000
"""The protocol page: an object holds at most 240,000 bytes."""
SLOW_BYTES_PER_S = 1_000_000
"""The operation page: some clients read at most 1 MB a second."""
MEMORY_MB = 96
"""As in the project's own deploy/magpieshift.sexp; the deployment page allows at most 192."""
SOCKETS = 512
SEND_S = 0.77
"""How long a cache takes to send such a part, at the 310,000 bytes a second of the configuration."""
SIZE_KB = "4300"
"""The size of such a part as the simulator counts it: what 0.77 s take at 5,600 KB a second."""
WAIT_MS = 5000
"""How long a client waits for the whole answer. A connection that ends later is not judged."""
PATIENCE_S = 60.0


async def case(record: peers2.Record) -> bool:
    """Sixteen clients, each with 32 requests open; with the disruption twelve of them read slowly."""
    ledger = peers2.Ledger()
    dice = random.Random(6)
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
    parts = {(key, str(part)) for key in keys for part in range(OPEN_REQUESTS)}
    try:
        for cache in [*caches, origin]:
            await cache.start()
            cache.kept |= parts
        await log.start()
        members = [cache.entry(size=50) for cache in [*caches, origin]]
        log.add(fleet={"revision": 1, "complete": True, "members": members})
        router.write_config(log.port, log.events, peers2.settings(), MEMORY_MB, SOCKETS)
        await router.start()
        for number in range(CLIENTS):
            rate = SLOW_BYTES_PER_S if peers2.trouble() and number < SLOW_CLIENTS else 0
            client = peers2.Client(record, f"client {number}", router.port, rate, PART_BYTES)
            await client.connect()
            clients.append(client)
            requests += [
                await client.send("media", WAIT_MS, keys[number], part, m=SIZE_KB)
                for part in range(OPEN_REQUESTS)
            ]
            await asyncio.sleep(COMES_AFTER_S)
        until_s = time.time() + PATIENCE_S
        memory_mb = 0.0
        while time.time() < until_s and not all(each.done.is_set() for each in requests):
            memory_mb = max(memory_mb, router.memory_mb())
            await asyncio.sleep(0.1)
        return judge(record, router, clients, requests, memory_mb)
    finally:
        for client in clients:
            client.close()
        await router.end()
        for cache in [*caches, origin]:
            cache.stop()
        log.stop()


def judge(
    record: peers2.Record,
    router: peers2.Router,
    clients: list[peers2.Client],
    requests: list[peers2.Request],
    memory_mb: float,
) -> bool:
    """Lost is a request whose connection the router ended with no whole answer.

    One of which the answer had begun to come is not counted, as the page excuses it, nor one whose time had
    run out.
    """
    for answer in ("served", "refused", "failed"):
        record.say(f"{answer}: {sum(each.answer == answer for each in requests)} of {len(requests)}")
    record.say(f"connections ended by the router: {sum(client.ended_s > 0 for client in clients)}")
    record.say(f"router's memory: {memory_mb:.0f} MB of {MEMORY_MB}, running: {router.is_running}")
    begun = [each for each in requests if not each.answer and each.bytes_begun]
    ended = [
        each for each in requests if not each.answer and each.connection_ended_s and not each.bytes_begun
    ]
    lost = [each for each in ended if each.connection_ended_s < each.written_s + WAIT_MS / 1000]
    record.say(f"ended inside the answer, which is excused: {len(begun)}; lost: {len(lost)}")
    for each in lost:
        age_s = each.connection_ended_s - each.written_s
        record.write("case", f"lost {each.request_id}, {age_s:.3f} s after it was written")
    if not all(each.done.is_set() for each in requests):
        raise peers2.CannotRunError("requests still open at the end of the case")
    return not lost and router.is_running


if __name__ == "__main__":
    peers2.main(case, __file__)
