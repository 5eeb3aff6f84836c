"""One connection to a store as a state machine: which orders are open on it, and what their answers mean.

It owns the ids in use on its connection. An id is taken in ``ask`` and given back in ``_release``.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import NamedTuple

from magpieshift.engine.model import AttemptResult, UpstreamRequest
from magpieshift.log import fields
from magpieshift.policy.outcomes import Outcome
from magpieshift.upstream import lines

log = logging.getLogger(__name__)

Done = Callable[[AttemptResult], None]
# A client that holds no copy cannot be told that it is current: it would be served nothing at all.
NOTHING_KNOWN = {word: outcome for word, outcome in lines.WORDS.items() if word != "unchanged"}
MOST_QUIT = 1024  # ids given up, each remembered: an answer may come late, and twice; then it takes no more
MOST_ANSWERED = 64  # ids answered last: a second answer may come some milliseconds late


def order_fields(order: UpstreamRequest, now_us: int) -> dict[str, str]:
    """An order in the words of the protocol; what is absent or zero is left out."""
    call = order.request
    age_us = order.max_age_now_us()
    values: dict[str, str | int] = {
        "class": call.class_name,
        "key": call.object_key,
        "part": call.part,
        "wait": max(1, (order.deadline_us - now_us) // 1000),
        "once": call.idempotency_key,
        "via": order.source.name if order.source is not None else "",
        "tier": order.retention_rank,
        "fresh": -(-age_us // 1000) if age_us < 1000 else age_us // 1000,
        "opts": lines.options(order.flags),
        "known": call.known_version,
    }
    kept = ("class", "key", "part", "wait")
    return {name: str(value) for name, value in values.items() if value or name in kept}


class _Asked(NamedTuple):
    """What is open under an id."""

    done: Done
    words: Mapping[str, Outcome]  # those that answer it


class Link:
    """The protocol of one connection to a store."""

    def __init__(self, report: Sequence[str]) -> None:
        self.report = report  # the names of a load report's figures, in the settings' order
        self._parser = lines.ReplyParser()
        self._open: dict[str, _Asked] = {}
        self._quit: set[str] = set()  # given up, and an answer to them may still be on its way
        self._answered: dict[str, None] = {}  # in the order in which they were
        self._probes = 0

    def __len__(self) -> int:
        return len(self._open)

    def takes(self, ident: str, once: bool = False) -> bool:
        """Whether an answer under this id would be taken for that of the new order, and no other. For an
        order that must run ``once`` at most, also not if the id was answered here: a second answer that comes
        late would pass for that of the new order, and let a third go out."""
        used = ident in self._open or ident in self._quit or (once and ident in self._answered)
        return not used and len(self._quit) < MOST_QUIT

    def stuck_with(self, ident: str) -> bool:
        """Whether an answer under this id has begun and not ended: all others wait behind it."""
        return self._parser.within == ident

    def ask(self, order: UpstreamRequest, now_us: int, done: Done) -> tuple[bytes, ...]:
        """What to write for an order."""
        call = order.request
        words = lines.WORDS if call.known_version else NOTHING_KNOWN
        self._open[call.request_id] = _Asked(done, words)
        head = lines.ask(call.request_id, order_fields(order, now_us), len(call.body))
        return (head, call.body, lines.END) if call.body else (head + lines.END,)

    def probe(self, with_report: bool, done: Done) -> tuple[str, bytes]:
        """The tag of a probe, and what to write for it."""
        self._probes += 1
        tag = f"p{self._probes}"
        self._open[tag] = _Asked(done, lines.PROBE_WORDS)
        return tag, lines.probe(tag, with_report)

    def give_up(self, ident: str, is_probe: bool = False) -> bytes:
        """What to write to give an order up; its answer, should one come, is passed over."""
        if ident not in self._open:
            return b""
        self._release(ident)
        self._quit.add(ident)
        return b"" if is_probe else lines.quit_(ident)

    def _release(self, ident: str) -> _Asked:
        return self._open.pop(ident)

    def feed(self, data: bytes) -> Iterator[tuple[Done, AttemptResult]]:
        """The orders that these bytes end; ``LineError`` where the connection cannot go on."""
        for reply in self._parser.feed(data):
            if reply.ident in self._open:
                self._answered[reply.ident] = None
                if len(self._answered) > MOST_ANSWERED:
                    del self._answered[next(iter(self._answered))]
                if (outcome := self._open[reply.ident].words.get(reply.word)) is None:
                    raise lines.LineError(f"{reply.word} does not answer {reply.ident}")
                yield self._release(reply.ident).done, self._result(reply, outcome)
            elif reply.ident not in self._quit:
                log.warning("answer to nothing asked", extra=fields(id=reply.ident[:40]))

    def lost(self) -> list[Done]:
        """The connection is gone: all that was open on it."""
        return [self._release(ident).done for ident in list(self._open)]

    def _result(self, reply: lines.Reply, outcome: Outcome) -> AttemptResult:
        return AttemptResult(
            outcome=outcome,
            cache_status=lines.note_number(reply.fields.get("how", "")),
            fill_wait_us=int(_number(reply.fields.get("lag", "")) * 1000),
            load=self._load(reply.fields.get("stats", "")),
            body=reply.body,
            not_modified=reply.word == "unchanged",
        )

    def _load(self, text: str) -> tuple[float, ...]:
        """A load report in the order of the settings; none if it is not whole."""
        values = dict(item.partition(":")[::2] for item in text.split(";") if ":" in item)
        found = [values.get(name) or values.get(lines.REPORT_WORDS.get(name, "")) for name in self.report]
        return () if None in found else tuple(_number(value or "") for value in found)


def _number(text: str) -> float:
    try:
        value = float(text) if text else 0.0
    except ValueError:
        log.warning("unreadable number", extra=fields(text=text[:40]))
        return 0.0
    return value if 0 <= value < 1e12 else 0.0
