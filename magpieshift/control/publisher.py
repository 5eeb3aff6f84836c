"""What a control service does, without I/O: which version each router is sent, and what its answers mean.

A router that says hello is sent the newest version, as a delta where the service knows what the router has in
force, whole otherwise. Answers are matched by nonce: one to an older nonce says nothing of what was sent
since, and is only counted. A version that a router turns down is not sent to it again until the next hello,
but whole where it asked for that.
"""

from __future__ import annotations

import re
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from google.protobuf.message import DecodeError

from magpieshift.control import sexp
from magpieshift.control.content import data_digest
from magpieshift.control.session import write_changes
from magpieshift.control.sexp import Unusable
from magpieshift.control.version_history import Reason
from magpieshift.control.wire import control_pb2 as wire

MOST_KEPT = 256  # versions that deltas can build on
VERSION_FILE = re.compile(r"(\d{1,18})\.sexp")


@dataclass(frozen=True)
class Published:
    """A version as the service has it; ``data`` is None where its text is no document."""

    number: int
    text: str
    digest: str
    data: Mapping[str, Any] | None

    @classmethod
    def of(cls, number: int, text: str) -> Published:
        try:
            tree = sexp.read(text).data
        except Unusable:
            return cls(number, text, data_digest(lambda: sexp.read(text).data, text), None)
        data = {name: value for name, value in tree.items() if name != "version"}
        return cls(number, text, sexp.digest(data), data)


@dataclass
class Subscriber:
    """A router, as the service knows it from its own words."""

    router: str = ""
    boot: str = ""
    in_force: int = 0
    digest: str = ""
    running: dict[str, str] = field(default_factory=dict)
    nonce: str = ""  # of what was last sent, until it is answered
    sent: int = 0  # the number of that
    answers: int = 0
    stale: int = 0  # answers to an old nonce
    refused: tuple[int, Reason, str] | None = None  # the newest version it turned down, and why
    trouble: str = ""


class Publisher:
    """The versions, and the routers that follow them."""

    def __init__(self) -> None:
        self.versions: dict[int, Published] = {}
        self._by_digest: dict[str, Published] = {}
        self._nonces = 0

    @property
    def newest(self) -> Published | None:
        return self.versions[max(self.versions)] if self.versions else None

    def publish(self, version: Published) -> None:
        """Add a version; ``ValueError`` where its number is not above all others."""
        if (newest := self.newest) is not None and version.number <= newest.number:
            raise ValueError(f"version {version.number} is not above {newest.number}")
        self.versions[version.number] = version
        if version.data is not None:
            self._by_digest[version.digest] = version
        while len(self.versions) > MOST_KEPT:
            old = self.versions.pop(min(self.versions))
            if self._by_digest.get(old.digest) is old:
                del self._by_digest[old.digest]

    def heard(self, to: Subscriber, data: bytes) -> bytes | None:
        """A router's message, and what to send it now; ``ValueError`` where it is none."""
        try:
            message = wire.FromRouter.FromString(data)
        except DecodeError as err:
            raise ValueError(f"no message: {err}") from None
        match message.WhichOneof("said"):
            case "hello":
                hello = message.hello
                to.router = hello.router
                to.boot = hello.boot
                to.trouble = hello.trouble
                to.in_force = hello.in_force
                to.digest = hello.digest
                to.running = dict(hello.running)
                return self.next_for(to)
            case "answer":
                return self._answer(to, message.answer)
        raise ValueError("an empty message")

    def _answer(self, to: Subscriber, answer: wire.Answer) -> bytes | None:
        to.answers += 1
        to.in_force = answer.in_force
        to.digest = answer.in_force_digest
        to.running = dict(answer.running)
        if answer.nonce != to.nonce:
            to.stale += 1
            return None
        sent = to.sent
        to.nonce = ""
        if answer.accepted:
            return self.next_for(to)
        to.refused = (answer.number, Reason(answer.reason), answer.detail)
        if answer.want_full and sent in self.versions:
            return self.send(to, self.versions[sent], whole=True)
        return None

    def next_for(self, to: Subscriber) -> bytes | None:
        """The newest version, if the router does not have it. One that is ahead of us, after we lost versions
        say, is left as it is: numbers only rise, and it is the operator who must publish a higher one."""
        newest = self.newest
        if newest is None or newest.digest == to.digest or newest.number < to.in_force:
            return None
        return self.send(to, newest)

    def send(self, to: Subscriber, version: Published, whole: bool = False) -> bytes:
        """A message with this version, under a nonce of its own."""
        self._nonces += 1
        to.nonce = f"{version.number}-{self._nonces}"
        to.sent = version.number
        message = wire.Version(number=version.number, digest=version.digest, nonce=to.nonce)
        base = self._by_digest.get(to.digest)
        if whole or base is None or base.data is None or version.data is None:
            message.full = version.text
        else:
            message.delta.base = base.number
            message.delta.base_digest = base.digest
            message.delta.changes.extend(write_changes(sexp.differences(base.data, version.data)))
        return bytes(wire.FromControl(version=message).SerializeToString())


def read_folder(folder: str | Path, above: int = -1, known: Collection[int] = ()) -> list[Published]:
    """The versions in a folder's files ``NUMBER.sexp`` with numbers above one and not known, in order; other
    files are not read."""
    found = []
    for path in Path(folder).iterdir():
        match = VERSION_FILE.fullmatch(path.name)
        if match is None or (number := int(match[1])) <= above or number in known:
            continue
        if path.is_file():
            found.append(Published.of(number, path.read_text(encoding="utf-8", errors="replace")))
    return sorted(found, key=lambda version: version.number)
