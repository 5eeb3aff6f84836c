"""What passes between a front, the core and a back. Nothing here belongs to one protocol."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from molecleat import interface as api


def store_number(ident: str) -> int:
    """The module's number for a store: from the text of its id alone, so that all routers, in every run,
    agree on it. Its address will not do, since a new store may reuse it; nor the order of arrival."""
    return int.from_bytes(hashlib.blake2b(ident.encode(), digest_size=8).digest(), "big")


def object_number(hexadecimal: str) -> int:
    """The module's number for an object; it takes zero for 'none', so that one becomes another number."""
    return int(hexadecimal, 16) or 1 << 64


@dataclass(slots=True)
class Call:
    """A client's request."""

    ident: str
    cls: int
    class_name: str
    key: str
    part: int
    group: int
    size_kb: float
    patience_us: int
    repeat: bool
    once: str
    known: str
    body: bytes  # let go once the request is over


class Verdict(Enum):
    """The final answer to a request."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(slots=True)
class Answer:
    """The final answer, with the bytes of the copy or the word that the client's own is current."""

    verdict: Verdict
    body: bytes | bytearray = b""
    current: bool = False
    retry_after_us: int = 0


@dataclass(slots=True)
class Member:
    """A store as the list names it."""

    ident: str
    address: tuple[str, int]
    entry: api.Entry


@dataclass(slots=True)
class Order:
    """What one attempt asks of a store."""

    call: Call
    target: Member
    source: Member | None
    keep: int
    age_us: int
    mode: int
    deadline_us: int
    once: bool  # running it twice does harm
    barred: Callable[[], api.Outcome | None]
    """Asked right before it is written: how it ends unwritten, or None where it may go."""
    oldest_copy: Callable[[], int] | None = None
    """Asked right before it is written, where copies may be bounded between the decision and the write: the
    largest age that will do by then, in place of ``age_us``."""

    def copy_age_us(self) -> int:
        """The largest age of a copy that will do now, in microseconds; 0 for the class's own bound."""
        return self.age_us if self.oldest_copy is None else self.oldest_copy()


@dataclass(slots=True)
class Result:
    """How an attempt ended, as far as the back can tell."""

    outcome: api.Outcome
    note: int = 0
    fill_wait_us: int = 0
    load: tuple[float, ...] = ()
    body: bytes | bytearray = b""
    current: bool = False
