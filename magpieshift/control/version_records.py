"""Records of configuration versions: offers, their outcomes, and the states of versions."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum

SHOWN_DIGEST_LENGTH = 12
"""Length of a digest in log lines and other texts for operators, in characters."""


class RejectionReason(IntEnum):
    """Why a version was rejected. The numeric values are sent over the control channel and stored on disk."""

    NONE = 0
    MALFORMED = 1
    """The content cannot be parsed as a document."""
    INVALID = 2
    """The document violates the schema."""
    NEEDS_RESTART = 3
    """It changes a setting that only a restart can change."""
    PART_UNABLE = 4
    """A part of the router cannot apply it while it runs."""
    PART_TIMED_OUT = 5
    """A part of the router did not prepare it in time."""
    PART_FAILED = 6
    """A part of the router, or the manager itself, failed with an exception."""
    OUT_OF_ORDER = 7
    """Its number is below the one in force or being prepared, or among rejected numbers that are
    forgotten."""
    CONFLICT = 8
    """Its number is already known with different content."""
    WRONG_DIGEST = 9
    """Its content does not match its digest."""
    WRONG_BASE = 10
    """Its delta builds on a version other than the one in force; the full version is requested."""
    SUPERSEDED = 11
    """A newer version was offered before it was prepared."""
    NOT_STORED = 12
    """It could not be written to disk."""
    STOPPING = 13
    """The router is shutting down."""
    INVALID_NUMBER = 14
    """Its number is outside the valid range."""

    @property
    def shown_name(self) -> str:
        """The name of the reason in logs, reports of relays and ``--json`` output."""
        return _SHOWN_REASONS.get(self, self.name.lower())


_SHOWN_REASONS = {
    RejectionReason.NEEDS_RESTART: "at_start",
    RejectionReason.PART_UNABLE: "part",
    RejectionReason.PART_TIMED_OUT: "late",
    RejectionReason.PART_FAILED: "raised",
    RejectionReason.OUT_OF_ORDER: "backward",
    RejectionReason.NOT_STORED: "not_kept",
    RejectionReason.INVALID_NUMBER: "number",
}
"""Established names in logs and ``--json`` output, where they differ from the member's name."""

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
"""Reasons that do not lie in the version itself: if it is offered again, it is prepared again."""

NUMBER_REASONS = frozenset(
    {RejectionReason.CONFLICT, RejectionReason.OUT_OF_ORDER, RejectionReason.INVALID_NUMBER}
)
"""Reasons that follow from number and digest; they are determined anew for each offer, not remembered."""


class VersionState(Enum):
    """The state of a version; the values are stored on disk and shown to operators."""

    PREPARING = "preparing"
    IN_FORCE = "in force"
    REPLACED = "replaced"
    REJECTED = "turned down"


@dataclass(frozen=True)
class VersionOffer:
    """An offered version."""

    number: int
    """Version number, from 1."""
    digest: str
    """Digest of its content."""
    source: str
    """Source of the offer, as shown to operators."""
    nonce: str = ""
    """Identifies the offer in the answer to the control service."""
    base: str | None = None
    """Digest of the version that a delta builds on; None for a full one."""
    payload: object = None
    """The content; opaque to the version history."""

    def is_same_version(self, other: VersionOffer) -> bool:
        """Whether both offer the same content under the same number."""
        return (self.number, self.digest) == (other.number, other.digest)


@dataclass(frozen=True)
class VersionRecord:
    """A version and its state."""

    number: int
    """Version number, from 1; 0 for settings without a number."""
    digest: str
    """Digest of its content."""
    source: str
    """Source of the offer, as shown to operators."""
    state: VersionState
    """State of the version."""
    since_us: int
    """When it came into force or was rejected, as Unix time in microseconds."""
    reason: RejectionReason = RejectionReason.NONE
    """Why it was rejected."""
    detail: str = ""
    """Details of the rejection: what was found and what was expected."""
    skipped_numbers: int = 0
    """Count of numbers skipped between the version in force before it and this one."""


@dataclass(frozen=True)
class OfferOutcome:
    """The answer to an offer."""

    offer: VersionOffer
    """The offer that is answered."""
    accepted: bool
    """Whether the version is in force."""
    reason: RejectionReason = RejectionReason.NONE
    """Why it was rejected."""
    detail: str = ""
    """Details of the rejection."""

    @property
    def wants_full(self) -> bool:
        """Whether the full version is requested, since the delta's base or digest did not match."""
        mismatched = self.reason in (RejectionReason.WRONG_BASE, RejectionReason.WRONG_DIGEST)
        return mismatched and self.offer.base is not None
