"""The router's end of one control stream as a state machine: messages in, offers out, answers to send
back."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Mapping

from google.protobuf.message import DecodeError

from magpieshift.config_transaction import RunningSettings
from magpieshift.control import sexp
from magpieshift.control.content import Delta, Full
from magpieshift.control.sexp import Change, Unusable
from magpieshift.control.version_history import Answer, Offer, Reason, Record
from magpieshift.control.wire import control_pb2 as wire

MAX_MESSAGE_BYTES = 1 << 20  # of one message; a document of a thousand zones takes a tenth
MAX_CHANGES = 10_000
OFFER_SOURCE = "control"


def running_digests(running: Mapping[str, RunningSettings]) -> dict[str, str]:
    """Of each part's figures, a short digest that the control service can compare with what it expects."""
    return {
        part: hashlib.blake2b(json.dumps(figures, sort_keys=True).encode(), digest_size=8).hexdigest()
        for part, figures in running.items()
    }


class RouterSession:
    """One stream. It says hello first, and answers every message exactly once."""

    def __init__(self) -> None:
        self.received = 0
        self.answered = 0

    def hello(
        self,
        router: str,
        boot: str,
        in_force: Record,
        running: Mapping[str, RunningSettings],
        trouble: str = "",
    ) -> bytes:
        hello = wire.Hello(
            router=router,
            boot=boot,
            in_force=in_force.number,
            digest=in_force.digest,
            most_bytes=MAX_MESSAGE_BYTES,
            trouble=trouble,
            running=running_digests(running),
        )
        return bytes(wire.FromRouter(hello=hello).SerializeToString())

    def feed(self, data: bytes) -> Offer | Answer:
        """A message: a version that is offered, or the answer to what is none."""
        self.received += 1
        nothing = Offer(0, hashlib.blake2b(data, digest_size=16).hexdigest(), OFFER_SOURCE)
        try:
            message = wire.FromControl.FromString(data)
        except DecodeError as err:
            return Answer(nothing, False, Reason.MALFORMED, f"no message: {err}"[:200])
        if message.WhichOneof("said") != "version":
            return Answer(nothing, False, Reason.MALFORMED, "found an empty message, expected a version")
        version = message.version
        base: str | None = None
        payload: Full | Delta | None = None
        if version.WhichOneof("content") == "full":
            payload = Full(version.full)
        elif version.WhichOneof("content") == "delta":
            base = version.delta.base_digest
            try:
                payload = Delta(base, read_changes(version.delta))
            except Unusable as err:
                offer = Offer(version.number, version.digest, OFFER_SOURCE, version.nonce, base)
                return Answer(offer, False, Reason.MALFORMED, str(err)[:500])
        return Offer(version.number, version.digest, OFFER_SOURCE, version.nonce, base, payload)

    def answer(
        self,
        answer: Answer,
        in_force: Record,
        running: Mapping[str, RunningSettings],
        apply_us: int = 0,
        pause_us: int = 0,
    ) -> bytes:
        self.answered += 1
        offer = answer.offer
        said = wire.Answer(
            number=offer.number,
            digest=offer.digest,
            nonce=offer.nonce,
            accepted=answer.accepted,
            reason=int(answer.reason),
            detail=answer.detail,
            want_full=answer.want_full,
            in_force=in_force.number,
            in_force_digest=in_force.digest,
            running=running_digests(running),
            apply_us=min(apply_us, (1 << 32) - 1),
            pause_us=min(pause_us, (1 << 32) - 1),
        )
        return bytes(wire.FromRouter(answer=said).SerializeToString())


def read_changes(delta: wire.Delta) -> tuple[Change, ...]:
    """A delta's changes; ``Unusable`` where one cannot be read."""
    if len(delta.changes) > MAX_CHANGES:
        raise Unusable([sexp.Problem("delta", 0, f"{len(delta.changes)} changes", f"at most {MAX_CHANGES}")])
    found = []
    for change in delta.changes:
        path = tuple(change.path)
        if not path:
            raise Unusable([sexp.Problem("delta", 0, "a change without a path", "one")])
        value = None
        if change.HasField("value"):
            data = sexp.read(change.value, "change").data
            if list(data) != [path[-1]]:
                raise Unusable([sexp.Problem(" ".join(path), 0, sexp.shown(data), f"one entry, {path[-1]}")])
            value = data[path[-1]]
        found.append(Change(path, value))
    return tuple(found)


def write_changes(changes: list[Change]) -> list[wire.Change]:
    return [
        wire.Change(path=c.path)
        if c.value is None
        else wire.Change(path=c.path, value=sexp.write({c.path[-1]: c.value}))
        for c in changes
    ]
