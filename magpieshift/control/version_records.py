"""Versions, what was offered, and what became of it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum

SHOWN_DIGEST_LENGTH = 12
"""Characters of a digest in texts for people."""


class RejectionReason(IntEnum):
    """Why a version was rejected. The numbers go over the control channel and to the disk."""

    NONE = 0
    MALFORMED = 1
    """No document at all."""
    INVALID = 2
    """A document that does not fit the schema."""
    NEEDS_RESTART = 3
    """It changes what only a restart can change."""
    PART_UNABLE = 4
    """A part of the router cannot go over to it now."""
    PART_TIMED_OUT = 5
    """A part was not ready in time."""
    PART_FAILED = 6
    """A part failed."""
    OUT_OF_ORDER = 7
    """Its number is below one in force, being prepared or used up."""
    CONFLICT = 8
    """Its number is known with other content."""
    WRONG_DIGEST = 9
    """Its content does not have its digest."""
    WRONG_BASE = 10
    """A delta against another version than that in force; a full one is wanted."""
    SUPERSEDED = 11
    """A newer one came before it was taken up."""
    NOT_STORED = 12
    """The disk did not take it."""
    STOPPING = 13
    """The router ends."""
    INVALID_NUMBER = 14
    """No version can have this number."""

    @property
    def word(self) -> str:
        """The word for it in logs, reports of relays and ``--json`` output."""
        return _REASON_WORDS.get(self, self.name.lower())


_REASON_WORDS = {
    RejectionReason.NEEDS_RESTART: "at_start",
    RejectionReason.PART_UNABLE: "part",
    RejectionReason.PART_TIMED_OUT: "late",
    RejectionReason.PART_FAILED: "raised",
    RejectionReason.OUT_OF_ORDER: "backward",
    RejectionReason.NOT_STORED: "not_kept",
    RejectionReason.INVALID_NUMBER: "number",
}
"""Words that readers of logs and ``--json`` output know, where the names differ."""

TRANSIENT_REASONS = frozenset(
    {
        RejectionReason.PART_UNABLE,
        RejectionReason.PART_TIMED_OUT,
        RejectionReason.PART_FAILED,
        RejectionReason.WRONG_BASE,
        RejectionReason.SUPERSEDED,
        RejectionReason.NOT_STORED,
        RejectionReason.STOPPING,
    }
)
"""Reasons that say nothing against the version itself: offered again, it is judged anew."""

NUMBER_REASONS = frozenset(
    {RejectionReason.CONFLICT, RejectionReason.OUT_OF_ORDER, RejectionReason.INVALID_NUMBER}
)
"""Reasons that follow from the number alone, and are found again without being remembered."""


class VersionState(Enum):
    """What became of a version; the value is its word on disk and for people."""

    PREPARING = "preparing"
    IN_FORCE = "in force"
    REPLACED = "replaced"
    REJECTED = "turned down"


@dataclass(frozen=True)
class VersionOffer:
    """A version as it was offered."""

    number: int
    """From 1."""
    digest: str
    """Of its content."""
    source: str
    """Where the offer came from, for people."""
    nonce: str = ""
    """By which a control service knows the answer."""
    base: str | None = None
    """Digest of the version that a delta builds on; None for a full one."""
    payload: object = None
    """The content, at which the history does not look."""

    def is_same_version(self, other: VersionOffer) -> bool:
        """Whether both offer the same content under the same number."""
        return (self.number, self.digest) == (other.number, other.digest)


@dataclass(frozen=True)
class VersionRecord:
    """A version, and what became of it."""

    number: int
    """From 1; 0 for settings without a number."""
    digest: str
    """Of its content."""
    source: str
    """Where the offer came from, for people."""
    state: VersionState
    """What became of it."""
    since_us: int
    """Unix time of when it came into force, or was rejected."""
    reason: RejectionReason = RejectionReason.NONE
    """Why it was rejected."""
    detail: str = ""
    """The same in words, with what was found and expected."""
    skipped_numbers: int = 0
    """Numbers between the version before it and this one."""


@dataclass(frozen=True)
class OfferOutcome:
    """The answer to an offer."""

    offer: VersionOffer
    """What was offered."""
    accepted: bool
    """Whether the version is in force."""
    reason: RejectionReason = RejectionReason.NONE
    """Why it was rejected."""
    detail: str = ""
    """The same in words."""

    @property
    def wants_full(self) -> bool:
        """Whether the version may be offered again in full, as its delta did not fit."""
        mismatched = self.reason in (RejectionReason.WRONG_BASE, RejectionReason.WRONG_DIGEST)
        return mismatched and self.offer.base is not None
