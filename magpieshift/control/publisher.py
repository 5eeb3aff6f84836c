"""What a control service does, without I/O: which version each router is sent, and what its answers mean.

A router that sends a hello is sent the newest version, as a delta if the service knows what the router has in
force, in full otherwise. Answers are matched by nonce: one to an older nonce says nothing of what was sent
since, and is only counted. A version that a router rejects is not sent to it again until the next hello, but
in full if it asked for that.
"""

from __future__ import annotations

import re
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from google.protobuf.message import DecodeError

from magpieshift.control import sexp
from magpieshift.control.content import text_digest, without_version
from magpieshift.control.document_changes import differences, document_digest
from magpieshift.control.errors import (
    UnreadableMessageError,
    UnusableDocumentError,
    VersionNumberError,
)
from magpieshift.control.session import write_changes
from magpieshift.control.version_records import RejectionReason
from magpieshift.control.wire import control_pb2 as wire

MAX_PUBLISHED = 256
"""Versions that deltas can build on: a router that is further behind gets a full one."""
VERSION_FILE = re.compile(r"(\d{1,18})\.sexp")
"""Names of the files in a folder of versions."""


@dataclass(frozen=True)
class PublishedVersion:
    """A version as the service has it."""

    number: int
    """From 1."""
    text: str
    """Of its settings file."""
    digest: str
    """Of its content."""
    data: Mapping[str, Any] | None
    """Its entries without the number; None if its text is no document."""

    @classmethod
    def parse(cls, number: int, text: str) -> PublishedVersion:
        """The version of a text, which may be no document."""
        try:
            data = without_version(sexp.parse(text).data)
        except UnusableDocumentError:
            return cls(number, text, text_digest(text), None)
        return cls(number, text, document_digest(data), data)


@dataclass(frozen=True)
class Rejection:
    """A version that a router rejected."""

    number: int
    """Of the version."""
    reason: RejectionReason
    """Why."""
    detail: str
    """The same in words."""


@dataclass
class RouterSubscription:
    """A router, as its own messages describe it."""

    router: str = ""
    """Its name; empty before its hello."""
    boot: str = ""
    """New with each of its starts."""
    in_force: int = 0
    """Number of the version in force there."""
    digest: str = ""
    """Of that version."""
    running_digests: dict[str, str] = field(default_factory=dict)
    """Of the figures that each of its parts runs on."""
    nonce: str = ""
    """Of what was last sent, until it is answered."""
    sent_number: int = 0
    """Of the version last sent."""
    answer_count: int = 0
    """Answers so far."""
    stale_answers: int = 0
    """Answers to an old nonce."""
    rejection: Rejection | None = None
    """The newest version that it rejected."""
    last_failure: str = ""
    """Why its stream before this one ended."""


class Publisher:
    """The versions, and what routers that follow them are sent."""

    def __init__(self) -> None:
        self.versions: dict[int, PublishedVersion] = {}
        """By number."""
        # of those that are documents
        self._by_digest: dict[str, PublishedVersion] = {}
        # how many messages were sent
        self._sent = 0

    @property
    def newest(self) -> PublishedVersion | None:
        """The version with the highest number."""
        return self.versions[max(self.versions)] if self.versions else None

    def publish(self, version: PublishedVersion) -> None:
        """Add a version; ``VersionNumberError`` if its number is not above all others."""
        if (newest := self.newest) is not None and version.number <= newest.number:
            raise VersionNumberError(f"version {version.number} is not above {newest.number}")
        self.versions[version.number] = version
        if version.data is not None:
            self._by_digest[version.digest] = version
        while len(self.versions) > MAX_PUBLISHED:
            oldest = self.versions.pop(min(self.versions))
            if self._by_digest.get(oldest.digest) is oldest:
                del self._by_digest[oldest.digest]

    def receive(self, router: RouterSubscription, data: bytes) -> bytes | None:
        """A router's message, and what to send it now; ``UnreadableMessageError`` if it is none."""
        try:
            message = wire.FromRouter.FromString(data)
        except DecodeError as err:
            raise UnreadableMessageError(f"no message: {err}") from None
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
        raise UnreadableMessageError("an empty message")

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
        """The newest version, if the router does not have it. One that is ahead of the service, after it lost
        versions say, is left as it is: numbers only rise, and the operator must publish a higher one."""
        newest = self.newest
        if newest is None or newest.digest == router.digest or newest.number < router.in_force:
            return None
        return self.encode_version(router, newest)

    def encode_version(
        self, router: RouterSubscription, version: PublishedVersion, full: bool = False
    ) -> bytes:
        """A message with this version, under a nonce of its own; ``full``: not as a delta."""
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
    """The versions in a folder's files ``NUMBER.sexp`` with numbers above one and not known, in order; other
    files are not read."""
    versions = []
    for path in Path(folder).iterdir():
        match = VERSION_FILE.fullmatch(path.name)
        if match is None or (number := int(match[1])) <= above or number in known:
            continue
        if path.is_file():
            text = path.read_text(encoding="utf-8", errors="replace")
            versions.append(PublishedVersion.parse(number, text))
    return sorted(versions, key=lambda version: version.number)
