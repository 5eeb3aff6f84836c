"""The history of versions: what was offered, is being prepared, is in force, or was turned down and why.

It is the one truth that log, command line and control service read. No I/O and no clock: it is told the time.
The rules of numbers, each tested:

- a number above that in force is taken; those left out between are a gap, noted and allowed: a control
service that publishes faster than routers apply may skip some;
- the number in force with the same content is a repeat: acknowledged again, nothing is done; with other
content it is a conflict, and turned down;
- a number below that in force is a step back, and turned down: a roll-back is a new version with old content;
- a number that was turned down gets the same answer again, unless the reason was of that moment
(``PASSING``), and a conflict if its content differs now;
- of what comes while another is prepared, the newest waits, and what it takes the place of is turned down.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum, IntEnum

MOST_HISTORY = 64
MOST_REFUSED = 256  # numbers above that in force, each remembered to be answered alike
MOST_NUMBER = (1 << 63) - 1


class Reason(IntEnum):
    """Why a version was turned down. The numbers go over the control channel."""

    NONE = 0
    MALFORMED = 1  # no document at all
    INVALID = 2  # a document that does not fit the schema
    AT_START = 3  # it changes what only a restart can change
    PART = 4  # a part of the router cannot go over to it now
    LATE = 5  # a part was not ready in time
    RAISED = 6  # a part failed
    BACKWARD = 7
    CONFLICT = 8
    WRONG_DIGEST = 9  # its content is not what its digest says
    WRONG_BASE = 10  # a delta against another version than that in force; a full one is wanted
    SUPERSEDED = 11  # a newer one came before it was taken up
    NOT_KEPT = 12  # the disk did not take it
    STOPPING = 13  # the router ends
    NUMBER = 14  # no version can have this number


PASSING = frozenset(
    {
        Reason.PART,
        Reason.LATE,
        Reason.RAISED,
        Reason.WRONG_BASE,
        Reason.SUPERSEDED,
        Reason.NOT_KEPT,
        Reason.STOPPING,
    }
)
"""Reasons that say nothing against the version itself: offered again, it is looked at anew."""


class State(Enum):
    PREPARING = "preparing"
    IN_FORCE = "in force"
    REPLACED = "replaced"
    TURNED_DOWN = "turned down"


@dataclass(frozen=True)
class Offer:
    """A version as it was offered. ``base`` is the digest of the version that a delta builds on, if it is
    one."""

    number: int
    digest: str
    source: str  # who offered it, for people
    nonce: str = ""
    base: str | None = None
    payload: object = None  # the history does not look at it


@dataclass(frozen=True)
class Record:
    """A version, and what became of it."""

    number: int
    digest: str
    source: str
    state: State
    at_us: int  # Unix time of when it came into force, or was turned down
    reason: Reason = Reason.NONE
    detail: str = ""
    skipped: int = 0  # numbers left out before it


@dataclass(frozen=True)
class Answer:
    """What is said to whoever offered a version."""

    offer: Offer
    accepted: bool
    reason: Reason = Reason.NONE
    detail: str = ""

    @property
    def want_full(self) -> bool:
        return self.reason in (Reason.WRONG_BASE, Reason.WRONG_DIGEST) and self.offer.base is not None


class VersionHistory:
    """The state of all versions at one router. What ``offer``, ``accept`` and ``turn_down`` return must be
    sent."""

    def __init__(self, in_force: Record) -> None:
        self.in_force = in_force
        self.history: deque[Record] = deque([in_force], maxlen=MOST_HISTORY)
        self.preparing: Offer | None = None
        self.waiting: Offer | None = None
        self._refused: OrderedDict[int, Record] = OrderedDict()
        self._forgotten_to = 0  # refused numbers up to here may have been forgotten

    @classmethod
    def restored(cls, records: Iterable[Record], start: Record) -> VersionHistory:
        """The history as kept records tell it; the start's own record where none was in force."""
        kept = list(records)
        forces = [r for r in kept if r.state in (State.IN_FORCE, State.REPLACED)]
        versions = cls(replace(forces[-1], state=State.IN_FORCE) if forces else start)
        versions.history.clear()
        for record in kept:
            if record.state is not State.TURNED_DOWN and record.number != versions.in_force.number:
                record = replace(record, state=State.REPLACED)
            versions.history.append(
                versions.in_force if record.number == versions.in_force.number else record
            )
            if record.state is State.TURNED_DOWN and record.number > versions.in_force.number:
                versions._remember(record)
        if not forces:
            versions.history.appendleft(start)
        return versions

    def offer(self, offer: Offer, now_us: int) -> list[Answer]:
        """Take in a version. No answer for it yet means that it is to be taken up with ``take``."""
        settled = self._settled(offer)
        if settled is not None:
            self._note(settled, now_us)
            return [settled]
        answers = []
        if self.preparing is not None and same_version(self.preparing, offer):
            self.preparing = offer  # sent once more, on a new connection: the answer goes to the newest nonce
            return []
        if self.waiting is not None:
            late = self.waiting if offer.number >= self.waiting.number else offer
            if not same_version(self.waiting, offer):
                answers.append(
                    Answer(
                        late,
                        False,
                        Reason.SUPERSEDED,
                        f"version {max(offer.number, self.waiting.number)} came",
                    )
                )
            if late is offer and not same_version(self.waiting, offer):
                return answers
        self.waiting = offer
        return answers

    def _settled(self, offer: Offer) -> Answer | None:
        """The answer that the numbers alone decide."""
        now = self.in_force
        if not 0 < offer.number <= MOST_NUMBER:
            return Answer(offer, False, Reason.NUMBER, f"found {offer.number}, expected 1 to {MOST_NUMBER}")
        if offer.number == now.number and offer.digest == now.digest:
            return Answer(offer, True)
        if offer.number == now.number:
            return self._conflict(offer, now.digest)
        if offer.number < now.number:
            return Answer(
                offer,
                False,
                Reason.BACKWARD,
                f"version {now.number} is in force; a roll-back is a new version",
            )
        if self.preparing is not None and offer.number == self.preparing.number:
            if offer.digest != self.preparing.digest:
                return self._conflict(offer, self.preparing.digest)
            return None
        if self.preparing is not None and offer.number < self.preparing.number:
            return Answer(offer, False, Reason.BACKWARD, f"version {self.preparing.number} is being prepared")
        if (known := self._refused.get(offer.number)) is not None:
            if offer.digest != known.digest:
                return self._conflict(offer, known.digest)
            return Answer(offer, False, known.reason, known.detail)
        if offer.number <= self._forgotten_to:
            return Answer(offer, False, Reason.BACKWARD, f"numbers up to {self._forgotten_to} are used up")
        return None

    def _conflict(self, offer: Offer, digest: str) -> Answer:
        detail = (
            f"version {offer.number} is known with other content ({digest[:12]}, not {offer.digest[:12]})"
        )
        return Answer(offer, False, Reason.CONFLICT, detail)

    def take(self) -> Offer | None:
        """The version to prepare next, if none is being prepared."""
        if self.preparing is not None or self.waiting is None:
            return None
        self.preparing = self.waiting
        self.waiting = None
        return self.preparing

    def accept(self, now_us: int) -> tuple[Record, Answer]:
        """The version being prepared is in force from now on."""
        offer = self._prepared()
        old = self.in_force
        skipped = offer.number - old.number - 1
        self.in_force = Record(
            offer.number, offer.digest, offer.source, State.IN_FORCE, now_us, skipped=skipped
        )
        if self.history and self.history[-1] is old:
            self.history[-1] = replace(old, state=State.REPLACED)
        else:
            self._replace_in_history(old)
        self.history.append(self.in_force)
        for number in [number for number in self._refused if number <= offer.number]:
            del self._refused[number]
        return self.in_force, Answer(offer, True)

    def _replace_in_history(self, old: Record) -> None:
        for index, record in enumerate(self.history):
            if record is old:
                self.history[index] = replace(old, state=State.REPLACED)

    def turn_down(self, reason: Reason, detail: str, now_us: int) -> Answer:
        """The version being prepared cannot be used; what is in force stays."""
        answer = Answer(self._prepared(), False, reason, detail)
        self._note(answer, now_us)
        return answer

    def _prepared(self) -> Offer:
        if self.preparing is None:
            raise RuntimeError("no version is being prepared")
        offer = self.preparing
        self.preparing = None
        return offer

    def _note(self, answer: Answer, now_us: int) -> None:
        """Remember a version that was turned down; a repeated answer is no news."""
        offer = answer.offer
        if answer.accepted or (offer.number in self._refused and answer.reason not in PASSING):
            return
        record = Record(
            offer.number, offer.digest, offer.source, State.TURNED_DOWN, now_us, answer.reason, answer.detail
        )
        self.history.append(record)
        if answer.reason not in PASSING and offer.number > self.in_force.number:
            self._remember(record)
        if self.in_force not in self.history:  # a flood of bad versions must not push out what is in force
            self.history[0] = self.in_force

    def _remember(self, record: Record) -> None:
        if record.reason in PASSING or record.reason in (Reason.CONFLICT, Reason.BACKWARD, Reason.NUMBER):
            return
        self._refused[record.number] = record
        while len(self._refused) > MOST_REFUSED:
            number, _ = self._refused.popitem(last=False)
            self._forgotten_to = max(self._forgotten_to, number)


def same_version(one: Offer, other: Offer) -> bool:
    return (one.number, one.digest) == (other.number, other.digest)
