"""A running decision module heeds what other routers say of stores: it leaves one alone for longer, or
tries one sooner, than its own pauses have it. What it saw itself stays, and so does each rule on how a
store that failed is tried. No I/O, and it cannot fail."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from magpieshift.policy.router_policy import SHUN_AT, RouterPolicy


@dataclass(frozen=True, slots=True)
class Eject:
    """Ask nothing of this store for so long."""

    number: int
    for_us: int


@dataclass(frozen=True, slots=True)
class Readmit:
    """Ask of this store again in so long, and not sooner than ``pause_us`` after its last failure here."""

    number: int
    in_us: int
    pause_us: int = 0


HealthOverride = Eject | Readmit


def endpoint_health(router: RouterPolicy) -> Iterator[tuple[int, bool, int, int]]:
    """Of each store that may be asked: its number, whether this router passes it over for its failures,
    and when it last failed and was last of use (microseconds of the module's clock; -1: never). A cache
    that answers with errors is heard, and of no use; a source counts as heard by good answers alone."""
    cfg = router.settings
    for number, store in router.endpoints.items():
        source = store.endpoint.kind in (cfg.parent_kind, cfg.origin_kind)
        good_us = max(store.last_hit_us or -1, store.last_heard_us if source else -1)
        yield number, store.failure_rate > SHUN_AT, store.last_failure_us, good_us


def apply_overrides(router: RouterPolicy, now_us: int, acts: Iterable[HealthOverride]) -> None:
    """Let these count from now on, on the module's clock. Of a store that is not listed nothing is kept."""
    for act in acts:
        store = router.endpoints.get(act.number)
        match act:
            case Eject(for_us=for_us) if store is not None:
                store.ejected_until_us = max(store.ejected_until_us, now_us + for_us)
            case Readmit(in_us=in_us, pause_us=pause_us) if store is not None:
                store.ejected_until_us = min(
                    store.ejected_until_us, max(now_us + in_us, store.last_failure_us + pause_us)
                )
