"""Replaces the settings of a running policy.

Statistics are kept, and pending requests keep the class with which they arrived
(``PendingRequest.request_class``). It does no I/O and cannot fail: the settings were validated before
(``magpieshift.config_transaction``).
"""

from __future__ import annotations

from collections.abc import Set

from magpieshift.policy.settings import Settings
from magpieshift.policy.state import RouterState, initial_service_times_us, us_per_kb


def reconfigure(router: RouterState, settings: Settings, fresh: Set[int]) -> None:
    """Put ``settings`` in force; ``fresh`` has the numbers of the classes whose statistics are reset."""
    count = len(settings.classes)
    _reset_statistics(router.service_times_us, initial_service_times_us(settings), fresh)
    _reset_statistics(router.fill_times_us, [0.0] * count, fresh)
    if fresh or count < len(router.settings.classes):
        for endpoint in router.endpoints.values():
            for key in [key for key in endpoint.answer_times if key[0] in fresh or key[0] >= count]:
                del endpoint.answer_times[key]
    router.settings = settings
    router.us_per_kb = us_per_kb(settings)


def _reset_statistics(learned: list[float], initial: list[float], fresh: Set[int]) -> None:
    """Set the values of fresh and new classes to the initial ones, and drop those of removed classes."""
    learned[:] = [
        value if index in fresh or index >= len(learned) else learned[index]
        for index, value in enumerate(initial)
    ]
