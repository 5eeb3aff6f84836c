"""Reports of failing stores: who saw it, and how long ago. A state machine told reports and the time; no I/O.

Ages go along in place of times, so no clocks are compared; each router counts on from where it was told.
Only a witness renews its own report, and reports that nobody renews are forgotten."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

HOLDS_US = 3_000_000  # after its witness saw it, a report counts for so long
RENEW_US = 1_000_000  # a witness says again what still is so
MOST_STORES = 64  # of which anything is kept: names from the network must not fill the memory
MOST_WITNESSES = 8  # of one store; the latest
MOST_TOLD = 24  # reports in one digest, which goes along in one datagram
MOST_NAME = 64  # characters


@dataclass(frozen=True, slots=True)
class FailureReport:
    """That a router saw a store fail, or be well again, so long ago."""

    store: str
    witness: str
    failing: bool
    age_us: int


@dataclass(frozen=True, slots=True)
class Sighting:
    """A report as it is kept: when it was seen, on the clock of who keeps it."""

    failing: bool
    seen_us: int


class FailureReports:
    """All that one router has seen and heard of failing stores."""

    def __init__(self, own: str) -> None:
        self.own = own
        self.dropped = 0  # reports for which there was no room, or that make no sense
        self._by_store: dict[str, dict[str, Sighting]] = {}

    # --- what becomes known

    def saw(self, store: str, failing: bool, ago_us: int | None, now_us: int) -> bool:
        """What this router saw of a store last, and how long ago (None: nothing); whether that is new. That
        a store is well is not, where nobody says otherwise."""
        held = self._by_store.get(store, {})
        told_of = any(each.failing and now_us - each.seen_us < HOLDS_US for each in held.values())
        if ago_us is None or ago_us >= HOLDS_US or not (failing or told_of):
            return False  # that it is well is told while some say otherwise, or it would be told for ever
        before = held.get(self.own)
        seen_us = now_us - ago_us
        if before is not None and before.failing == failing and seen_us - before.seen_us < RENEW_US:
            return False
        return self._keep(store, self.own, Sighting(failing, seen_us))

    def take(self, reports: Iterable[FailureReport], now_us: int) -> bool:
        """What another says; whether any of it was new. What is said in this router's own name it knows
        better."""
        new = False
        for report in list(reports)[: 2 * MOST_TOLD]:
            sound = 0 < len(report.store) <= MOST_NAME and 0 < len(report.witness) <= MOST_NAME
            if not sound or not report.age_us >= 0:
                self.dropped += 1
                continue
            if report.witness == self.own or report.age_us >= HOLDS_US:
                continue
            sighting = Sighting(report.failing, now_us - report.age_us)
            before = self._by_store.get(report.store, {}).get(report.witness)
            # by what it counts as new: the ways between two routers differ by less than a renewal
            if (
                before is None
                or sighting.seen_us >= before.seen_us + RENEW_US // 2
                or (before.failing != sighting.failing and sighting.seen_us > before.seen_us)
            ):
                new = self._keep(report.store, report.witness, sighting) or new
        return new

    def _keep(self, store: str, witness: str, sighting: Sighting) -> bool:
        sightings = self._by_store.get(store)
        if sightings is None:
            if len(self._by_store) >= MOST_STORES:
                self.dropped += 1
                return False
            sightings = self._by_store[store] = {}
        sightings[witness] = sighting
        if len(sightings) > MOST_WITNESSES:
            others = [who for who in sightings if who != self.own]
            del sightings[min(others, key=lambda who: sightings[who].seen_us)]
        return witness in sightings

    def forget(self, now_us: int) -> None:
        """Drop what counts no more."""
        for store, sightings in list(self._by_store.items()):
            for witness in [
                who for who, sighting in sightings.items() if now_us - sighting.seen_us >= HOLDS_US
            ]:
                del sightings[witness]
            if not sightings:
                del self._by_store[store]

    # --- what can be asked

    def stores(self) -> Iterable[str]:
        """Of which anything is known."""
        return self._by_store.keys()

    def failing(self, store: str, now_us: int) -> frozenset[str]:
        """Who says that this store fails, and has seen so since anybody saw it well."""
        sightings = self._fresh(store, now_us)
        well = max((sighting.seen_us for sighting in sightings.values() if not sighting.failing), default=-1)
        return frozenset(
            who for who, sighting in sightings.items() if sighting.failing and sighting.seen_us > well
        )

    def well(self, store: str, now_us: int) -> bool:
        """Whether the last that was seen of it, by anybody, is that it is well."""
        return bool(self._fresh(store, now_us)) and not self.failing(store, now_us)

    def _fresh(self, store: str, now_us: int) -> Mapping[str, Sighting]:
        sightings = self._by_store.get(store, {})
        return {who: sighting for who, sighting in sightings.items() if now_us - sighting.seen_us < HOLDS_US}

    def told(self, now_us: int) -> tuple[FailureReport, ...]:
        """What to tell another: the youngest reports."""
        every = [
            FailureReport(store, who, sighting.failing, max(0, now_us - sighting.seen_us))
            for store in self._by_store
            for who, sighting in self._fresh(store, now_us).items()
        ]
        return tuple(
            sorted(every, key=lambda report: (report.age_us, report.store, report.witness))[:MOST_TOLD]
        )
