"""A running decision module heeds what other routers say of stores: it leaves one alone for longer, or
tries one sooner, than its own pauses have it. What it saw itself stays, and so does each rule on how a
store that failed is tried. No I/O, and it cannot fail."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from molecleat.control import SHUN_AT, Router


@dataclass(frozen=True, slots=True)
class Leave:
    """Ask nothing of this store for so long."""

    number: int
    for_us: int


@dataclass(frozen=True, slots=True)
class Allow:
    """Ask of this store again in so long, and not sooner than ``pause_us`` after its last failure here."""

    number: int
    in_us: int
    pause_us: int = 0


Act = Leave | Allow


def health(router: Router) -> Iterator[tuple[int, bool, int, int]]:
    """Of each store that may be asked: its number, whether this router passes it over for its failures,
    and when it last failed and was last of use (microseconds of the module's clock; -1: never). A cache
    that answers with errors is heard, and of no use; a source counts as heard by good answers alone."""
    cfg = router.cfg
    for number, store in router.stores.items():
        source = store.entry.kind in (cfg.parent_kind, cfg.origin_kind)
        good_us = max(store.hit_us or -1, store.heard_us if source else -1)
        yield number, store.bad > SHUN_AT, store.blamed_us, good_us


def heed(router: Router, now_us: int, acts: Iterable[Act]) -> None:
    """Let these count from now on, on the module's clock. Of a store that is not listed nothing is kept."""
    for act in acts:
        store = router.stores.get(act.number)
        match act:
            case Leave(for_us=for_us) if store is not None:
                store.shun_until = max(store.shun_until, now_us + for_us)
            case Allow(in_us=in_us, pause_us=pause_us) if store is not None:
                store.shun_until = min(store.shun_until, max(now_us + in_us, store.blamed_us + pause_us))
