"""Who counts for the watermark, and how far everyone who counts has come.

A process counts from the first proof that is sent to it until no proof sent to it can still hold its lease,
also when its stream is gone. Places are kept per process (name and boot), not per name: a follower that was
killed holds no lease, but a paused one wakes with the lease it had while another runs under its name, and
from here they look alike. And the place of a relay that was killed stands for its followers, which still hold
leases by its proofs. Only a process that gives up its lease (``Progress.released``) stops counting at once.
"""

from __future__ import annotations

from dataclasses import dataclass

from magpieshift.relay.messages import Progress


@dataclass(slots=True, eq=False)
class Place:
    """One process that follows, on whatever stream."""

    name: str
    boot: str
    heard_us: int
    stream: int | None = None
    applied: int = 0  # what it has acknowledged in this epoch
    done: int = 0  # the same of it and all that follow it: up to here it counts
    counts_until_us: int | None = None  # by then its lease has surely lapsed; None: it has none
    last: Progress | None = None
    disbelieved: int = 0  # acknowledgements of what it had not been sent

    def counts(self, now_us: int) -> bool:
        """Whether a proof sent to it may still hold."""
        return self.counts_until_us is not None and now_us < self.counts_until_us


class Watermark:
    """The places of all processes that follow or followed lately."""

    def __init__(self) -> None:
        self.places: dict[tuple[str, str], Place] = {}
        self._done = 0

    def place(self, name: str, boot: str, now_us: int) -> Place:
        """The place of a process, which may be new."""
        known = self.places.get((name, boot))
        if known is None:
            known = self.places[name, boot] = Place(name, boot, now_us)
        known.heard_us = now_us
        return known

    def restart(self) -> None:
        """A new epoch begins: nobody has anything of it, and who holds a lease goes on counting."""
        self._done = 0
        for place in self.places.values():
            place.applied = 0
            place.done = 0

    def acknowledged(self, place: Place, applied: int, done: int) -> None:
        """A process acknowledged so much of this epoch, for itself and for all that follow it."""
        place.applied = max(place.applied, applied)
        place.done = max(place.done, min(applied, done))

    def proof_sent(self, place: Place, until_us: int) -> None:
        """A proof is sent that holds until ``until_us`` at the latest."""
        place.counts_until_us = max(until_us, place.counts_until_us or until_us)

    def released(self, place: Place) -> None:
        """The process holds no lease by what was sent to it until now."""
        place.counts_until_us = None

    def done(self, own_applied: int, now_us: int) -> int:
        """The lowest of those who count and of this process's own; never goes back within an epoch. Who
        counts later holds no lease before it has come as far as this process was then."""
        values = [place.done for place in self.places.values() if place.counts(now_us)]
        self._done = max(self._done, min([own_applied, *values]))
        return self._done

    def expire(self, now_us: int) -> None:
        """Forget those that have gone and count no more."""
        gone = [at for at, place in self.places.items() if place.stream is None and not place.counts(now_us)]
        for at in gone:
            del self.places[at]
