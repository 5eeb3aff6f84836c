"""What is said of failing stores: who saw it, and how long ago. A state machine told words and the time; no
I/O.

Ages go along in place of times, so no clocks are compared; each router counts on from where it was told.
Only a witness renews its own word, and words that nobody renews are forgotten: stale news is no news."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

HOLDS_US = 3_000_000  # after its witness saw it, a word counts for so long
RENEW_US = 1_000_000  # a witness says again what still is so
MOST_STORES = 64  # of which anything is kept: names from the network must not fill the memory
MOST_WITNESSES = 8  # of one store; the latest
MOST_TOLD = 24  # words in one digest, which goes along in one datagram
MOST_NAME = 64  # characters


@dataclass(frozen=True, slots=True)
class Word:
    """That a router saw a store fail, or be well again, so long ago."""

    store: str
    witness: str
    failing: bool
    age_us: int


@dataclass(frozen=True, slots=True)
class Said:
    """A word as it is kept: when it was seen, on the clock of who keeps it."""

    failing: bool
    seen_us: int


class News:
    """All that one router has seen and heard of failing stores."""

    def __init__(self, own: str) -> None:
        self.own = own
        self.dropped = 0  # words for which there was no room, or that make no sense
        self._by_store: dict[str, dict[str, Said]] = {}

    # --- what becomes known

    def saw(self, store: str, failing: bool, ago_us: int | None, now_us: int) -> bool:
        """What this router saw of a store last, and how long ago (None: nothing); whether that is news. That
        a store is well is none, where nobody says otherwise."""
        said = self._by_store.get(store, {})
        told_of = any(each.failing and now_us - each.seen_us < HOLDS_US for each in said.values())
        if ago_us is None or ago_us >= HOLDS_US or not (failing or told_of):
            return False  # that it is well is told while some say otherwise, or it would be told for ever
        before, seen_us = said.get(self.own), now_us - ago_us
        if before is not None and before.failing == failing and seen_us - before.seen_us < RENEW_US:
            return False
        return self._keep(store, self.own, Said(failing, seen_us))

    def take(self, words: Iterable[Word], now_us: int) -> bool:
        """What another says; whether any of it was new. What is said in this router's own name it knows
        better."""
        new = False
        for word in list(words)[: 2 * MOST_TOLD]:
            sound = 0 < len(word.store) <= MOST_NAME and 0 < len(word.witness) <= MOST_NAME
            if not sound or not word.age_us >= 0:
                self.dropped += 1
                continue
            if word.witness == self.own or word.age_us >= HOLDS_US:
                continue
            said = Said(word.failing, now_us - word.age_us)
            before = self._by_store.get(word.store, {}).get(word.witness)
            # by what it counts as new: the ways between two routers differ by less than a renewal
            if before is None or said.seen_us >= before.seen_us + RENEW_US // 2 or (
                before.failing != said.failing and said.seen_us > before.seen_us
            ):  # fmt: skip
                new = self._keep(word.store, word.witness, said) or new
        return new

    def _keep(self, store: str, witness: str, said: Said) -> bool:
        words = self._by_store.get(store)
        if words is None:
            if len(self._by_store) >= MOST_STORES:
                self.dropped += 1
                return False
            words = self._by_store[store] = {}
        words[witness] = said
        if len(words) > MOST_WITNESSES:
            others = [who for who in words if who != self.own]
            del words[min(others, key=lambda who: words[who].seen_us)]
        return witness in words

    def forget(self, now_us: int) -> None:
        """Drop what counts no more."""
        for store, words in list(self._by_store.items()):
            for witness in [who for who, said in words.items() if now_us - said.seen_us >= HOLDS_US]:
                del words[witness]
            if not words:
                del self._by_store[store]

    # --- what can be asked

    def stores(self) -> Iterable[str]:
        """Of which anything is known."""
        return self._by_store.keys()

    def failing(self, store: str, now_us: int) -> frozenset[str]:
        """Who says that this store fails, and has seen so since anybody saw it well."""
        words = self._fresh(store, now_us)
        well = max((said.seen_us for said in words.values() if not said.failing), default=-1)
        return frozenset(who for who, said in words.items() if said.failing and said.seen_us > well)

    def well(self, store: str, now_us: int) -> bool:
        """Whether the last that was seen of it, by anybody, is that it is well."""
        return bool(self._fresh(store, now_us)) and not self.failing(store, now_us)

    def _fresh(self, store: str, now_us: int) -> Mapping[str, Said]:
        words = self._by_store.get(store, {})
        return {who: said for who, said in words.items() if now_us - said.seen_us < HOLDS_US}

    def told(self, now_us: int) -> tuple[Word, ...]:
        """What to say to another: the youngest words."""
        every = [
            Word(store, who, said.failing, max(0, now_us - said.seen_us))
            for store in self._by_store for who, said in self._fresh(store, now_us).items()
        ]  # fmt: skip
        return tuple(sorted(every, key=lambda word: (word.age_us, word.store, word.witness))[:MOST_TOLD])
