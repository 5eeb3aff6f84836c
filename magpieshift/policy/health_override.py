"""What other routers report of endpoints' health, applied to a running policy.

An override ejects an endpoint for longer, or readmits it sooner, than its own failures have it. What this
router saw itself stays, and so does the rule that an endpoint that failed gets one attempt at a time. No
I/O, and it cannot fail.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from magpieshift.policy.outlier_detection import EJECTION_FAILURE_RATE
from magpieshift.policy.state import RouterState


@dataclass(frozen=True, slots=True)
class Eject:
    """Send the endpoint nothing for ``duration_us``."""

    endpoint: int
    duration_us: int


@dataclass(frozen=True, slots=True)
class Readmit:
    """Send the endpoint attempts again after ``delay_us``, and no sooner than ``min_pause_us`` after its last
    failure at this router."""

    endpoint: int
    delay_us: int
    min_pause_us: int = 0


HealthOverride = Eject | Readmit


def endpoint_health(router: RouterState) -> Iterator[tuple[int, bool, int, int]]:
    """Of each listed endpoint: its number, whether its failure rate is above the ejection threshold, and when
    it last failed and last was of use (microseconds on the policy's clock; -1: never).

    A cache that answers with errors is heard, and of no use; a source is heard in good answers alone.
    """
    settings = router.settings
    for number, endpoint in router.endpoints.items():
        is_source = endpoint.entry.kind in (settings.parent_kind, settings.origin_kind)
        last_good_us = max(endpoint.last_hit_us or -1, endpoint.last_heard_us if is_source else -1)
        is_failing = endpoint.failure_rate > EJECTION_FAILURE_RATE
        yield number, is_failing, endpoint.last_failure_us, last_good_us


def apply_overrides(router: RouterState, now_us: int, overrides: Iterable[HealthOverride]) -> None:
    """Let overrides count from ``now_us`` on, on the policy's clock; those of endpoints that are not listed
    are dropped."""
    for override in overrides:
        endpoint = router.endpoints.get(override.endpoint)
        if endpoint is None:
            continue
        if isinstance(override, Eject):
            until_us = now_us + override.duration_us
            endpoint.ejected_until_us = max(endpoint.ejected_until_us, until_us)
        else:
            until_us = max(now_us + override.delay_us, endpoint.last_failure_us + override.min_pause_us)
            endpoint.ejected_until_us = min(endpoint.ejected_until_us, until_us)
