"""A running decision module goes over to other settings. What it has learned stays; open requests keep the
figures they were taken under, which each carries with it (``records.Job.cls``). No I/O, and it cannot fail:
all is checked before (``Engine.prepare``)."""

from __future__ import annotations

from collections.abc import Callable, Set
from dataclasses import replace

from molecleat.control import Router
from molecleat.interface import Settings


def retune(
    router: Router,
    settings: Settings,
    fresh: Set[int],
    zone: Callable[[int], int],
    kind: Callable[[int], int],
) -> None:
    """Put ``settings`` in force. ``fresh`` are the class numbers of which nothing learned holds; ``zone`` and
    ``kind`` give a store's new numbers of either for its old, since they count by the settings' order."""
    start = Router(
        settings, 0
    )  # what a module that starts now knows of its classes: nothing but their figures
    count = len(settings.classes)
    for name in ("work_us", "best_us", "hits", "fill_us"):
        learned, new = getattr(router, name), getattr(start, name)
        learned[:] = [new[i] if i in fresh or i >= len(learned) else learned[i] for i in range(count)]
    for store in router.stores.values():
        # entries are shared with whoever listed them: changed by replacement only
        store.entry = replace(store.entry, zone=zone(store.entry.zone), kind=kind(store.entry.kind))
        for key in [key for key in store.paces if key[0] in fresh or key[0] >= count]:
            del store.paces[key]
    router.cfg, router.us_per_kb = settings, start.us_per_kb
