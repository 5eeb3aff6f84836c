"""What a version holds: a whole settings text, or what differs from another version. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import Any

from magpieshift.config import Address, Document
from magpieshift.control import schema, sexp
from magpieshift.control.schema import Loaded
from magpieshift.control.sexp import Change, Unusable
from magpieshift.control.version_history import Offer, Reason


@dataclass(frozen=True)
class Full:
    """The whole text."""

    text: str


@dataclass(frozen=True)
class Delta:
    """The changes to the version whose content has this digest."""

    base_digest: str
    changes: tuple[Change, ...]


@dataclass(frozen=True)
class Overrides:
    """What the environment or the command line says, whatever a document does."""

    name: str = ""
    listen: Address | None = None
    console: Address | None = None

    def on(self, document: Document) -> Document:
        return replace(
            document,
            name=self.name or document.name,
            listen=self.listen or document.listen,
            admin_address=self.console or document.admin_address,
        )


class Refused(Exception):
    """The content cannot be used."""

    def __init__(self, reason: Reason, detail: str) -> None:
        super().__init__(detail)
        self.reason = reason


MOST_DETAIL = 1000  # characters of a reason; the log has no use for more, and the channel has bounds


def resolve(offer: Offer, data: Mapping[str, Any], digest: str) -> Loaded:
    """The checked document of an offer, while ``data`` with this digest is in force; ``Refused`` with why
    not.

    Takes milliseconds, and longer for what is large: not for the event loop."""
    content = offer.payload
    try:
        if isinstance(content, Delta):
            if content.base_digest != digest:
                detail = f"builds on {content.base_digest[:12]}, and {digest[:12]} is in force"
                raise Refused(Reason.WRONG_BASE, detail)
            found = sexp.apply(data, content.changes)
            lines = None
        elif isinstance(content, Full):
            tree = sexp.read(content.text)
            found = tree.data
            lines = tree.lines
        else:
            raise Refused(Reason.MALFORMED, "neither a document nor a delta")
    except Unusable as err:
        raise Refused(Reason.MALFORMED, str(err)[:MOST_DETAIL]) from None
    bare = {name: value for name, value in found.items() if name != "version"}
    if (made := sexp.digest(bare)) != offer.digest:
        raise Refused(Reason.WRONG_DIGEST, f"content has {made[:12]}, announced was {offer.digest[:12]}")
    try:
        loaded = schema.load_data(found, lines)
    except Unusable as err:
        raise Refused(Reason.INVALID, str(err)[:MOST_DETAIL]) from None
    if loaded.version not in (0, offer.number):
        raise Refused(Reason.INVALID, f"version: found {loaded.version}, expected {offer.number} or none")
    return loaded


def content_digest(text: str) -> str:
    """The digest under which a text is announced; of its characters where it is no document."""
    return data_digest(lambda: sexp.read(text).data, text)


def data_digest(read: Callable[[], Mapping[str, Any]], text: str) -> str:
    try:
        data = read()
    except Unusable:
        return sexp.digest({"text": text})
    return sexp.digest({name: value for name, value in data.items() if name != "version"})
