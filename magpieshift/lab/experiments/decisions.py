"""What the decisions alone cost, by the size of the zone: ``Router.handle`` with one hit, or one miss and its
fill, a request, no sockets. Times are of the processor; the runs of the sizes take turns."""

from __future__ import annotations

import gc
import random
import statistics
import time
from collections.abc import Sequence
from typing import Any

from molecleat import interface as api
from molecleat.control import Router

SECOND = 1_000_000
OPEN = 40  # requests under way at once
PARENTS = 4


def settings() -> api.Settings:
    """An installation with caches in zone 1, parents and the origin in zone 0."""
    picture = api.RequestClass(
        api.Effect.FREE,
        api.Scope.ALL,
        0,
        SECOND // 2,
        2.0,
        4 * SECOND,
        1.0,
        0.1,
        False,
        False,
        True,
        0,
        0,
        0.7,
    )
    return api.Settings(
        classes=(picture,), zone=1, routers=1, self_index=0, zone_hub=(0, 0), zone_routers=(0, 1),
        zone_link_kb_per_s=(0.0, 90_000.0), parent_kind=1, origin_kind=2, tick_us=2000, flow_kb_per_s=5000.0,
        weights_are_sizes=True, answer_slack_us=8000, drain_grace_us=250_000, cold_from=0.2,
        cold_us=18 * SECOND, fall_multiple=2.5, fall_us=SECOND, parent_cold_from=0.1,
        parent_cold_us=19 * SECOND, parent_fall_multiple=2.0, purge_grace_us=SECOND // 2,
        purge_done_us=6 * SECOND, connect_timeout_us=400_000, max_attempts=8, max_retry_after_us=900_000,
        may_cancel=True, may_probe=True, may_message=False, may_pass_by=True, second_copies=False,
        joins_fills=False, siblings=True, notes=True, must_subscribe=False, report_columns=(),
    )  # fmt: skip


class Run:
    """A module with so many caches, and requests that come and end."""

    def __init__(self, caches: int, seed: int) -> None:
        self.router, self._random = Router(settings(), seed), random.Random(seed)
        self.now, self._ids = 1_764_576_000 * SECOND, 0
        self._out: list[api.Send | api.Get] = []
        self._legs: dict[int, int] = {}
        entries = [self._entry(100 + i, 1, 0) for i in range(caches)]
        entries += [self._entry(10 + i, 0, 1) for i in range(PARENTS)] + [self._entry(1, 0, 2)]
        self._feed(api.StoreList(api.ListKind.FULL, 1, tuple(entries)))

    @staticmethod
    def _entry(store: int, zone: int, kind: int) -> api.Entry:
        # numbers as far apart as hashes of ids are
        return api.Entry(store * 0x9E3779B97F4A7C15 % (1 << 64), zone, kind, store, api.Phase.READY, 4.0, 0)

    def _feed(self, event: api.Event) -> None:
        for action in self.router.handle(self.now, (event,)):
            if isinstance(action, api.Send | api.Get):
                self._out.append(action)

    def request(self) -> None:
        """One comes, and older ones go on until as many are open as before."""
        self._ids += 1
        self._legs[self._ids] = 0
        key = int(self._random.paretovariate(0.8)) % 5000 + 1
        self._feed(api.Request(self._ids, 0, 0, key, 4 * SECOND, 30.0, key % 256, 0, False, False))
        self.now += 500
        while len(self._out) > OPEN:
            sent = self._out.pop(0)
            leg = self._legs[sent.id]
            self._legs[sent.id] = leg + 1
            held = isinstance(sent, api.Get) and sent.source != sent.store
            ok = held or self._random.random() < 0.7
            outcome = api.Outcome.OK if ok else api.Outcome.MISS
            note = api.Note.FILLED if held else api.Note.HIT if ok else api.Note.NONE
            if ok:
                del self._legs[sent.id]
            self._feed(api.Ended(sent.id, outcome, 9_000, 0, ok, note, sent.store, leg, ()))


def measure(sizes: Sequence[int], requests: int, rounds: int, budget_s: float = 20.0) -> list[dict[str, Any]]:
    """Microseconds a request at each size: median and spread of the rounds. A size whose requests take very
    long gets fewer of them, so that it stays within the budget."""
    found: dict[int, list[float]] = {size: [] for size in sizes}
    counted: dict[int, int] = dict.fromkeys(sizes, 0)
    for round_ in range(rounds):
        for size in sizes:
            run = Run(size, seed=round_)
            done = 0
            gc.collect()
            gc.disable()
            try:
                for _ in range(2 * OPEN):
                    run.request()
                began = time.process_time()
                while done < requests and time.process_time() - began < budget_s / rounds:
                    run.request()
                    done += 1
                spent = time.process_time() - began
            finally:
                gc.enable()
            found[size].append(1e6 * spent / done)
            counted[size] += done
    return [
        {
            "caches": size, "us a request": round(statistics.median(times), 1), "from": round(min(times), 1),
            "to": round(max(times), 1), "requests": counted[size],
        }
        for size, times in found.items()
    ]  # fmt: skip
