"""The router's end of one control stream, without I/O: decodes messages to offers, and encodes the hello and
the answers.

Only this module and ``publisher`` know the field names of the control channel's messages.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Mapping

from google.protobuf.message import DecodeError

from magpieshift.config_transaction import RunningSettings
from magpieshift.control import sexp
from magpieshift.control.document_changes import Change
from magpieshift.control.errors import Problem, UnusableDocumentError
from magpieshift.control.version_content import DeltaContent, FullContent
from magpieshift.control.version_records import OfferOutcome, RejectionReason, VersionOffer, VersionRecord
from magpieshift.control.wire import control_pb2 as wire

MAX_MESSAGE_BYTES = 1 << 20
"""Largest message, in bytes; ten times the size of a document with 1000 zones."""
MAX_CHANGES = 10_000
"""Most changes in one delta; a document with 1000 zones has half as many entries."""
MAX_UINT32 = (1 << 32) - 1
"""Largest duration that the answer's uint32 fields can hold, in microseconds."""
MAX_DETAIL_LENGTH = 500
"""Longest reason for rejecting a delta, in characters."""
MAX_ERROR_LENGTH = 200
"""Longest reported protobuf decoding error, in characters."""
OFFER_SOURCE = "control"
"""Source that the version history shows for offers of the control service."""


def running_digests(running: Mapping[str, RunningSettings]) -> dict[str, str]:
    """By part of the router, a short digest of its running settings, for comparison at the control
    service."""
    return {
        part: hashlib.blake2b(json.dumps(figures, sort_keys=True).encode(), digest_size=8).hexdigest()
        for part, figures in running.items()
    }


class RouterSession:
    """The session of one stream: the router sends a hello first, then answers every message exactly once."""

    def __init__(self) -> None:
        self.received = 0
        """Messages received so far."""
        self.answered = 0
        """Answers encoded so far."""

    def encode_hello(
        self,
        router: str,
        boot: str,
        in_force: VersionRecord,
        running: Mapping[str, RunningSettings],
        last_failure: str = "",
    ) -> bytes:
        """Encode the first message of the stream: the router, its version in force, its running settings, and
        why its previous stream ended."""
        hello = wire.Hello(
            router=router,
            boot=boot,
            in_force=in_force.number,
            digest=in_force.digest,
            most_bytes=MAX_MESSAGE_BYTES,
            trouble=last_failure,
            running=running_digests(running),
        )
        return bytes(wire.FromRouter(hello=hello).SerializeToString())

    def receive(self, data: bytes) -> VersionOffer | OfferOutcome:
        """Decode a message: the version that it offers, or the rejection to answer if it holds none."""
        self.received += 1
        unknown = VersionOffer(0, hashlib.blake2b(data, digest_size=16).hexdigest(), OFFER_SOURCE)
        try:
            message = wire.FromControl.FromString(data)
        except DecodeError as err:
            return _malformed(unknown, f"no message: {err}"[:MAX_ERROR_LENGTH])
        if message.WhichOneof("said") != "version":
            return _malformed(unknown, "found an empty message, expected a version")
        return _read_version(message.version)

    def encode_answer(
        self,
        outcome: OfferOutcome,
        in_force: VersionRecord,
        running: Mapping[str, RunningSettings],
        apply_us: int = 0,
        pause_us: int = 0,
    ) -> bytes:
        """Encode the answer to an offer.

        ``apply_us`` is the time from its arrival until it was in force, ``pause_us`` the longest time for
        which applying it blocked the event loop.
        """
        self.answered += 1
        offer = outcome.offer
        answer = wire.Answer(
            number=offer.number,
            digest=offer.digest,
            nonce=offer.nonce,
            accepted=outcome.accepted,
            reason=int(outcome.reason),
            detail=outcome.detail,
            want_full=outcome.wants_full,
            in_force=in_force.number,
            in_force_digest=in_force.digest,
            running=running_digests(running),
            apply_us=min(apply_us, MAX_UINT32),
            pause_us=min(pause_us, MAX_UINT32),
        )
        return bytes(wire.FromRouter(answer=answer).SerializeToString())


def _read_version(version: wire.Version) -> VersionOffer | OfferOutcome:
    base: str | None = None
    payload: FullContent | DeltaContent | None = None
    if version.WhichOneof("content") == "full":
        payload = FullContent(version.full)
    elif version.WhichOneof("content") == "delta":
        base = version.delta.base_digest
        try:
            payload = DeltaContent(base, read_changes(version.delta))
        except UnusableDocumentError as err:
            offer = VersionOffer(version.number, version.digest, OFFER_SOURCE, version.nonce, base)
            return _malformed(offer, str(err)[:MAX_DETAIL_LENGTH])
    return VersionOffer(version.number, version.digest, OFFER_SOURCE, version.nonce, base, payload)


def _malformed(offer: VersionOffer, detail: str) -> OfferOutcome:
    return OfferOutcome(offer, False, RejectionReason.MALFORMED, detail)


def read_changes(delta: wire.Delta) -> tuple[Change, ...]:
    """Decode a delta's changes; ``UnusableDocumentError`` if one is invalid or there are too many."""
    if len(delta.changes) > MAX_CHANGES:
        raise _unusable("delta", f"{len(delta.changes)} changes", f"at most {MAX_CHANGES}")
    changes = []
    for change in delta.changes:
        path = tuple(change.path)
        if not path:
            raise _unusable("delta", "a change without a path", "one")
        value = None
        if change.HasField("value"):
            data = sexp.parse(change.value, "change").data
            if list(data) != [path[-1]]:
                raise _unusable(" ".join(path), sexp.shorten(data), f"one entry, {path[-1]}")
            value = data[path[-1]]
        changes.append(Change(path, value))
    return tuple(changes)


def _unusable(where: str, found: str, expected: str) -> UnusableDocumentError:
    return UnusableDocumentError([Problem(where, 0, found, expected)])


def write_changes(changes: list[Change]) -> list[wire.Change]:
    """Encode changes for a delta."""
    return [
        wire.Change(path=change.path)
        if change.value is None
        else wire.Change(path=change.path, value=sexp.format_document({change.path[-1]: change.value}))
        for change in changes
    ]
