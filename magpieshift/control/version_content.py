"""The content of a version: a complete settings text, or a delta to another version. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from magpieshift.config import Address, Document
from magpieshift.control import schema, sexp
from magpieshift.control.document_changes import Change, apply_changes, document_digest
from magpieshift.control.errors import ControlError, UnusableDocumentError
from magpieshift.control.schema import LoadedDocument
from magpieshift.control.version_records import SHOWN_DIGEST_LENGTH, RejectionReason, VersionOffer

MAX_DETAIL_LENGTH = 1000
"""Longest detail of a rejection, in characters: it is logged, and sent in a message of limited size."""


@dataclass(frozen=True)
class FullContent:
    """A complete document."""

    text: str
    """The text of its settings file."""


@dataclass(frozen=True)
class DeltaContent:
    """The changes that turn the base version into this version."""

    base_digest: str
    """Digest of the base version's content."""
    changes: tuple[Change, ...]
    """The changes, in the order in which they are applied."""


@dataclass(frozen=True)
class Overrides:
    """Settings from the environment or the command line, which take precedence over every document."""

    name: str = ""
    """Name of the router; empty to use the document's."""
    listen: Address | None = None
    """Address for clients; None to use the document's."""
    console: Address | None = None
    """Address of the admin server; None to use the document's."""

    def apply_to(self, document: Document) -> Document:
        """A copy of the document with these settings replaced."""
        return replace(
            document,
            name=self.name or document.name,
            listen=self.listen or document.listen,
            admin_address=self.console or document.admin_address,
        )


class ContentRejectedError(ControlError):
    """The content of an offer cannot be used; ``reason`` tells why."""

    def __init__(self, reason: RejectionReason, detail: str) -> None:
        """``detail`` is the error's message."""
        super().__init__(detail)
        self.reason = reason


def resolve_offer(offer: VersionOffer, data: Mapping[str, Any], digest: str) -> LoadedDocument:
    """The validated document of an offer.

    ``data`` and ``digest`` are those of the version in force, on which a delta must build. Raises
    ``ContentRejectedError`` if the offer cannot be used. Takes milliseconds, more for a large document, so it
    must not run on the event loop.
    """
    try:
        document = _read_content(offer.payload, data, digest)
    except UnusableDocumentError as err:
        raise ContentRejectedError(RejectionReason.MALFORMED, str(err)[:MAX_DETAIL_LENGTH]) from None
    found_digest = document_digest(without_version(document.data))
    if found_digest != offer.digest:
        found = found_digest[:SHOWN_DIGEST_LENGTH]
        announced = offer.digest[:SHOWN_DIGEST_LENGTH]
        detail = f"content has {found}, announced was {announced}"
        raise ContentRejectedError(RejectionReason.WRONG_DIGEST, detail)
    try:
        loaded = schema.load_data(document.data, document.lines)
    except UnusableDocumentError as err:
        raise ContentRejectedError(RejectionReason.INVALID, str(err)[:MAX_DETAIL_LENGTH]) from None
    if loaded.version not in (0, offer.number):
        detail = f"version: found {loaded.version}, expected {offer.number} or none"
        raise ContentRejectedError(RejectionReason.INVALID, detail)
    return loaded


def _read_content(content: object, data: Mapping[str, Any], digest: str) -> sexp.ParsedDocument:
    """Parse a complete document, or apply a delta to ``data``, the document in force."""
    match content:
        case FullContent(text):
            return sexp.parse(text)
        case DeltaContent(base_digest, changes):
            if base_digest != digest:
                base = base_digest[:SHOWN_DIGEST_LENGTH]
                detail = f"builds on {base}, and {digest[:SHOWN_DIGEST_LENGTH]} is in force"
                raise ContentRejectedError(RejectionReason.WRONG_BASE, detail)
            return sexp.ParsedDocument(apply_changes(data, changes), {})
    raise ContentRejectedError(RejectionReason.MALFORMED, "neither a document nor a delta")


def text_digest(text: str) -> str:
    """The digest of a text that cannot be parsed as a document."""
    return document_digest({"text": text})


def without_version(data: Mapping[str, Any]) -> dict[str, Any]:
    """The data without its version number, which the digest leaves out."""
    return {name: value for name, value in data.items() if name != "version"}
