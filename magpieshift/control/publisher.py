"""The protocol logic of a control service, without I/O: selects the version to send to each router, and
interprets the routers' answers.

A hello is answered with the newest version: as a delta if the service knows the version that the router has
in force, in full otherwise. Answers are matched to messages by nonce. An answer to an earlier nonce tells
nothing about the message sent last, and is only counted. A version that a router rejected is not sent to it
again before its next hello, unless the router asked for it in full.
"""

from __future__ import annotations

import re
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from google.protobuf.message import DecodeError

from magpieshift.control import sexp
from magpieshift.control.document_changes import differences, document_digest
from magpieshift.control.errors import (
    UnreadableMessageError,
    UnusableDocumentError,
    VersionNumberError,
)
from magpieshift.control.router_session import write_changes
from magpieshift.control.version_content import text_digest, without_version
from magpieshift.control.version_records import RejectionReason
from magpieshift.control.wire import control_pb2 as wire

MAX_PUBLISHED = 256
"""Versions that are retained as bases of deltas; a router with an older version gets a full one."""
VERSION_FILE = re.compile(r"(\d{1,18})\.sexp")
"""File names in a folder of versions; the number is that of the version."""


@dataclass(frozen=True)
class PublishedVersion:
    """A version that the service publishes."""

    number: int
    """Version number, from 1."""
    text: str
    """The text of its settings file."""
    digest: str
    """Digest of its content."""
    data: Mapping[str, Any] | None
    """Its entries without the version number; None if its text cannot be parsed."""

    @classmethod
    def parse(cls, number: int, text: str) -> PublishedVersion:
        """A version with this text, even if the text cannot be parsed."""
        try:
            data = without_version(sexp.parse(text).data)
        except UnusableDocumentError:
            return cls(number, text, text_digest(text), None)
        return cls(number, text, document_digest(data), data)


@dataclass(frozen=True)
class Rejection:
    """A version that a router rejected."""

    number: int
    """Number of the version."""
    reason: RejectionReason
    """Why it was rejected."""
    detail: str
    """The reason as text, with details."""


@dataclass
class RouterSubscription:
    """The state of a subscribed router, as reported by its own messages."""

    router: str = ""
    """The router's name; empty before its hello."""
    boot: str = ""
    """An identifier that is new with each start of the router."""
    in_force: int = 0
    """Number of the version in force at the router."""
    digest: str = ""
    """Digest of that version."""
    running_digests: dict[str, str] = field(default_factory=dict)
    """By part of the router, a digest of the settings that the part runs on."""
    nonce: str = ""
    """Nonce of the last message sent to the router; empty once it is answered."""
    sent_number: int = 0
    """Number of the version last sent to the router."""
    answer_count: int = 0
    """Answers received so far."""
    stale_answers: int = 0
    """Answers with the nonce of an earlier message."""
    rejection: Rejection | None = None
    """The last version that the router rejected."""
    last_failure: str = ""
    """Why the router's previous stream ended, as its hello reports it."""


class Publisher:
    """Holds the published versions and encodes the messages to subscribed routers."""

    def __init__(self) -> None:
        self.versions: dict[int, PublishedVersion] = {}
        """The published versions by number."""
        # versions by digest, without those that cannot be parsed
        self._by_digest: dict[str, PublishedVersion] = {}
        # count of encoded messages; part of each nonce
        self._sent = 0

    @property
    def newest(self) -> PublishedVersion | None:
        """The version with the highest number."""
        return self.versions[max(self.versions)] if self.versions else None

    def publish(self, version: PublishedVersion) -> None:
        """Add a version; ``VersionNumberError`` if its number is not higher than all published ones."""
        if (newest := self.newest) is not None and version.number <= newest.number:
            raise VersionNumberError(f"version {version.number} is not higher than version {newest.number}")
        self.versions[version.number] = version
        if version.data is not None:
            self._by_digest[version.digest] = version
        while len(self.versions) > MAX_PUBLISHED:
            oldest = self.versions.pop(min(self.versions))
            if self._by_digest.get(oldest.digest) is oldest:
                del self._by_digest[oldest.digest]

    def receive(self, router: RouterSubscription, data: bytes) -> bytes | None:
        """Handle a message of a router. Returns the message to send back, or None.

        Raises ``UnreadableMessageError`` if the message cannot be decoded or is empty.
        """
        try:
            message = wire.FromRouter.FromString(data)
        except DecodeError as err:
            raise UnreadableMessageError(f"router message cannot be decoded: {err}") from None
        match message.WhichOneof("said"):
            case "hello":
                hello = message.hello
                router.router = hello.router
                router.boot = hello.boot
                router.last_failure = hello.trouble
                router.in_force = hello.in_force
                router.digest = hello.digest
                router.running_digests = dict(hello.running)
                return self.next_message(router)
            case "answer":
                return self._receive_answer(router, message.answer)
        raise UnreadableMessageError("router message is empty, expected a hello or an answer")

    def _receive_answer(self, router: RouterSubscription, answer: wire.Answer) -> bytes | None:
        router.answer_count += 1
        router.in_force = answer.in_force
        router.digest = answer.in_force_digest
        router.running_digests = dict(answer.running)
        if answer.nonce != router.nonce:
            router.stale_answers += 1
            return None
        sent_number = router.sent_number
        router.nonce = ""
        if answer.accepted:
            return self.next_message(router)
        router.rejection = Rejection(answer.number, RejectionReason(answer.reason), answer.detail)
        if answer.want_full and sent_number in self.versions:
            return self.encode_version(router, self.versions[sent_number], full=True)
        return None

    def next_message(self, router: RouterSubscription) -> bytes | None:
        """A message with the newest version; None if the router has it already, or has a higher one.

        A router has a higher version if the service has lost versions, for example. Version numbers never
        decrease, so nothing is sent to it until the operator publishes a higher number.
        """
        newest = self.newest
        if newest is None or newest.digest == router.digest or newest.number < router.in_force:
            return None
        return self.encode_version(router, newest)

    def encode_version(
        self, router: RouterSubscription, version: PublishedVersion, full: bool = False
    ) -> bytes:
        """Encode a message with this version and a new nonce; ``full`` rules out a delta."""
        self._sent += 1
        router.nonce = f"{version.number}-{self._sent}"
        router.sent_number = version.number
        message = wire.Version(number=version.number, digest=version.digest, nonce=router.nonce)
        base = self._by_digest.get(router.digest)
        if full or base is None or base.data is None or version.data is None:
            message.full = version.text
        else:
            message.delta.base = base.number
            message.delta.base_digest = base.digest
            message.delta.changes.extend(write_changes(differences(base.data, version.data)))
        return bytes(wire.FromControl(version=message).SerializeToString())


def read_version_folder(
    folder: str | Path, above: int = -1, known: Collection[int] = ()
) -> list[PublishedVersion]:
    """Read the versions in a folder's files ``NUMBER.sexp``, in ascending order.

    Skips numbers up to ``above``, numbers in ``known``, and files with other names.
    """
    versions = []
    for path in Path(folder).iterdir():
        match = VERSION_FILE.fullmatch(path.name)
        if match is None or (number := int(match[1])) <= above or number in known:
            continue
        if path.is_file():
            text = path.read_text(encoding="utf-8", errors="replace")
            versions.append(PublishedVersion.parse(number, text))
    return sorted(versions, key=lambda version: version.number)
