"""Applies health information about endpoints from other routers to a running policy.

An override ejects an endpoint for longer, or readmits it sooner, than the failures seen by this router would.
It does not change the failure rate observed by this router, nor the rule that an endpoint above the ejection
threshold gets one attempt at a time. It does no I/O and cannot fail.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from magpieshift.policy.outlier_detection import EJECTION_FAILURE_RATE
from magpieshift.policy.state import RouterState


@dataclass(frozen=True, slots=True)
class Eject:
    """Send no attempts to the endpoint for ``duration_us``."""

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
    """The number of each listed endpoint, whether its failure rate is above the ejection threshold, and the
    times of its last failure and last success (microseconds on the policy's clock; -1: never).

    The last success of a cache is its last hit, because ``last_heard_us`` includes errors. A parent or
    origin, as a source, is heard only in successful answers, so its ``last_heard_us`` counts too.
    """
    settings = router.settings
    for number, endpoint in router.endpoints.items():
        is_source = endpoint.entry.kind in (settings.parent_kind, settings.origin_kind)
        last_success_us = max(endpoint.last_hit_us or -1, endpoint.last_heard_us if is_source else -1)
        is_failing = endpoint.failure_rate > EJECTION_FAILURE_RATE
        yield number, is_failing, endpoint.last_failure_us, last_success_us


def apply_overrides(router: RouterState, now_us: int, overrides: Iterable[HealthOverride]) -> None:
    """Apply overrides as of ``now_us`` on the policy's clock; those for endpoints that are not listed are
    ignored."""
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
