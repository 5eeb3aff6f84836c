"""What a version holds: a complete settings text, or what differs from another version. No I/O."""

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
"""Characters of a reason; the log has no use for more, and the channel has bounds."""


@dataclass(frozen=True)
class FullContent:
    """The complete text."""

    text: str
    """Of a settings file."""


@dataclass(frozen=True)
class DeltaContent:
    """The changes to another version."""

    base_digest: str
    """Of that version's content."""
    changes: tuple[Change, ...]
    """In order."""


@dataclass(frozen=True)
class Overrides:
    """What the environment or the command line sets, whatever a document holds."""

    name: str = ""
    """Of the router; empty: the document's."""
    listen: Address | None = None
    """None: the document's."""
    console: Address | None = None
    """Of the admin server; None: the document's."""

    def apply_to(self, document: Document) -> Document:
        """The document with what is overridden."""
        return replace(
            document,
            name=self.name or document.name,
            listen=self.listen or document.listen,
            admin_address=self.console or document.admin_address,
        )


class ContentRejectedError(ControlError):
    """The content cannot be used."""

    def __init__(self, reason: RejectionReason, detail: str) -> None:
        """``detail`` is the text."""
        super().__init__(detail)
        self.reason = reason


def resolve_offer(offer: VersionOffer, data: Mapping[str, Any], digest: str) -> LoadedDocument:
    """The checked document of an offer, while ``data`` with this digest is in force;
    ``ContentRejectedError`` if it cannot be used.

    Takes milliseconds, and longer for what is large: not for the event loop."""
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
    """The document that a content gives while ``data`` is in force."""
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
    """The digest under which a text is announced that is no document."""
    return document_digest({"text": text})


def without_version(data: Mapping[str, Any]) -> dict[str, Any]:
    """Without the number, which is no part of the digest."""
    return {name: value for name, value in data.items() if name != "version"}
