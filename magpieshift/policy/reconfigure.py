"""A running decision module goes over to other settings. What it has learned stays; open requests keep the
figures they were taken under, which each carries with it (``records.Job.cls``). No I/O, and it cannot fail:
all is checked before (``Engine.prepare``)."""

from __future__ import annotations

from collections.abc import Set

from magpieshift.policy.router_policy import RouterPolicy
from magpieshift.policy.settings import Settings


def reconfigure(router: RouterPolicy, settings: Settings, fresh: Set[int]) -> None:
    """Put ``settings`` in force. ``fresh`` are the class numbers of which nothing that was learned holds."""
    start = RouterPolicy(
        settings, 0
    )  # what a module that starts now knows of its classes: nothing but their figures
    count = len(settings.classes)
    for name in ("service_times_us", "fill_times_us"):
        learned = getattr(router, name)
        new = getattr(start, name)
        learned[:] = [new[i] if i in fresh or i >= len(learned) else learned[i] for i in range(count)]
    for store in router.endpoints.values() if fresh or count < len(router.settings.classes) else ():
        for key in [key for key in store.answer_times if key[0] in fresh or key[0] >= count]:
            del store.answer_times[key]
    router.settings = settings
    router.us_per_kb = start.us_per_kb
