"""What a capture tells people: what the module knew at a moment, and what happened to one request."""

from __future__ import annotations

import datetime
from collections.abc import Callable, Iterable
from typing import Any

from magpieshift.capture.codec import RecordedAction
from magpieshift.capture.replay import Difference, Player, Replay, Result
from magpieshift.capture.segments import Missing
from magpieshift.capture.wire import capture_pb2 as wire
from magpieshift.policy.admission import concurrency_limit
from magpieshift.policy.latency import slowdown
from magpieshift.policy.state import FILL, LOOKUP, WRITE

Records = Callable[[], Iterable[wire.Record | Missing]]
LANES = (("fills", FILL), ("looks", LOOKUP), ("writes", WRITE))
MOST_SHOWN = 12  # stores, or examples of a kind of difference


def clock(us: int) -> str:
    return datetime.datetime.fromtimestamp(us / 1e6, datetime.UTC).strftime("%H:%M:%S.%f")


class Names:
    """Ids for people in place of the module's numbers."""

    def __init__(self, names: dict[int, str]) -> None:
        self._names = names

    def __call__(self, number: int) -> str:
        return self._names.get(number, f"#{number:x}" if number > 1 << 32 else f"#{number}")

    def action(self, action: RecordedAction) -> str:
        name, *rest = action
        match name:
            case "Send":
                return f"ask {self(rest[1])} for what it holds, {rest[2] / 1000:.1f} ms"
            case "Get":
                source = self(rest[3])
                return (
                    f"get from {self(rest[1])} filled by {source}, {rest[2] / 1000:.1f} ms, age {rest[5]} us"
                )
            case "Refuse":
                return f"refuse, come back after {rest[1] / 1000:.0f} ms"
            case "Fail":
                return "fail"
            case "Cancel":
                return f"cancel attempt {rest[1]}"
            case "SetTimer":
                return f"timer in {rest[0] / 1000:.1f} ms"
        return " ".join([name, *map(str, rest)])

    def actions(self, actions: Iterable[RecordedAction]) -> str:
        return "; ".join(map(self.action, actions)) or "nothing"


def stores(player: Player, names: Names) -> list[str]:
    """The stores as the module sees them, the busiest first."""
    router = player.router
    now = player.router.now_us
    rows = []
    busy = sorted(router.endpoints.values(), key=lambda s: (-s.in_flight, -s.failure_rate, s.entry.number))
    for store in busy[:MOST_SHOWN]:
        entry = store.entry
        role = "cache"
        if entry.number in router.parents:
            role = "parent"
        elif entry.number in router.origins:
            role = "origin"
        words = [
            f"{names(entry.number)} ({role}, {entry.state.name.lower()})",
            f"in flight {store.in_flight}",
        ]
        if any(store.in_flight_by_kind) or role != "cache":
            lanes = (
                f"{what} {store.in_flight_by_kind[at]} of {concurrency_limit(router, store, at)}"
                for what, at in LANES
            )
            words.append(f"{', '.join(lanes)}, waiting {len(store.queue)}")
        if store.failure_rate > 0.005:
            words.append(f"failures {store.failure_rate:.2f}")
        if store.ejected_until_us > now:
            words.append(f"passed over for {(store.ejected_until_us - now) / 1000:.0f} ms more")
        if slowdown(store) > 0.05:
            words.append(f"slower by {slowdown(store):.2f}")
        if store.next_warming_us > now:
            words.append(f"cold, next in {(store.next_warming_us - now) / 1000:.0f} ms")
        rows.append(", ".join(words))
    if len(busy) > MOST_SHOWN:
        rows.append(f"and {len(busy) - MOST_SHOWN} more")
    return rows


def job(player: Player, request: int, names: Names) -> str:
    """What the module keeps of a request."""
    found = player.router.requests.get(request)
    if found is None:
        return "not open"
    words = [
        f"attempts {found.attempts_started}",
        f"{(found.answer_by_us - player.router.now_us) / 1000:.1f} ms left",
    ]
    if found.attempt_in_flight >= 0:
        words.append(f"attempt {found.attempt_in_flight} is out")
    if found.missed_cache is not None:
        words.append(f"missed at {names(found.missed_cache.entry.number)}")
    if found.failed_endpoints:
        words.append("failed at " + " ".join(map(names, sorted(found.failed_endpoints))))
    if found.queued_source is not None:
        words.append(f"waits for {names(found.queued_source.entry.number)}")
    return ", ".join(words)


def state_at(records: Records, difference: Difference) -> list[str]:
    """What the module of this checkout knew right before a difference."""
    told: list[str] = []

    def before(number: int, record: wire.Batch, player: Player) -> None:
        if number == difference.batch and player.router is not None:
            names = Names(replay.names)
            told.extend(stores(player, names))
            if difference.request:
                told.append(f"request {difference.request}: {job(player, difference.request, names)}")

    replay = Replay(before=before)
    for record in records():
        replay.take(record)
        if told:
            break
    return told


def report(result: Result, names: Names, records: Records | None = None) -> list[str]:
    """The differences of a replay for a person to read."""
    if not result.differences:
        return ["no differences"]
    lines = [f"{result.differences} differences in {result.batches} batches, by kind:"]
    for kind, count in result.kinds.most_common():
        lines.append(f"  {count:6}  {kind}")
    if result.followed:
        lines.append(f"  and {result.followed} more that followed, until the next keyframe")
    first = result.kept[0]
    lines.append(
        f"the first, at {clock(first.now_us)}, batch {first.batch}, request {first.request}: {first.kind}"
    )
    lines.append(f"  recorded: {names.actions(first.recorded)}")
    lines.append(f"  replayed: {names.actions(first.replayed)}")
    if records is not None and (told := state_at(records, first)):
        lines.append("what the module knew right before:")
        lines += [f"  {line}" for line in told]
    seen = {first.kind}
    for difference in result.kept[1:]:  # one of each other kind
        if difference.kind not in seen and len(seen) < MOST_SHOWN:
            seen.add(difference.kind)
            lines.append(f"{difference.kind}, at {clock(difference.now_us)}, request {difference.request}:")
            lines.append(f"  recorded: {names.actions(difference.recorded)}")
            lines.append(f"  replayed: {names.actions(difference.replayed)}")
    return lines


def find_request(records: Records, word: str) -> int:
    """The module's number of a request, given that or the id in the log; ``LookupError`` where it is none."""
    for record in records():
        if isinstance(record, wire.Record) and record.HasField("batch"):
            for name in record.batch.names:
                if name.ident == word:
                    return int(name.id)
            for event in record.batch.events:
                if event.HasField("Request") and str(event.Request.id) == word:
                    return int(event.Request.id)
    raise LookupError(f"no request {word} in this capture")


def _told(message: wire.Event, names: Names) -> str:
    name = message.WhichOneof("what")
    found = getattr(message, name)
    match name:
        case "Request":
            return (
                f"asked for object {found.key:016x} part {found.part}, class {found.cls}, "
                f"{found.patience_us / 1000:.0f} ms to live" + (", a repeat" if found.repeat else "")
            )
        case "Ended":
            from magpieshift.policy.outcomes import CacheStatus, Outcome

            note = f", {CacheStatus(found.note).name.lower()}" if found.note else ""
            return (
                f"attempt {found.attempt} at {names(found.store)} ended: "
                f"{Outcome(found.outcome).name.lower()}{note} after {found.latency_us / 1000:.1f} ms"
            )
        case "Hangup":
            return "the client left, or was answered without the module"
    return str(name)


def why(records: Records, request: int) -> list[str]:
    """One request explained: what the module was told of it, what it knew then, and what it said."""
    lines: list[str] = []
    events: list[Any] = []
    open_ = [False]

    def before(number: int, record: wire.Batch, player: Player) -> None:
        events[:] = [
            e for e in record.events if getattr(getattr(e, str(e.WhichOneof("what"))), "id", 0) == request
        ]
        names = Names(replay.names)
        said = [
            a
            for a in map(player.codec.recorded, record.actions)
            if a[0] != "SetTimer" and a[1:2] == (request,)
        ]
        if not events and not said:
            return
        open_[0] = True
        lines.append(f"{clock(record.now_us)}  batch {number}, {len(record.events)} events")
        lines.extend(f"  told: {_told(event, names)}" for event in events)
        known = job(player, request, names)
        if known != "not open":
            lines.append(f"  knew: {known}")
        if said and said[0][0] in ("Send", "Get", "Refuse", "Fail"):
            lines.extend(f"    {line}" for line in stores(player, names))
        lines.append(f"  said: {names.actions(said)}")

    replay = Replay(before=before)
    for record in records():
        replay.take(record)
        if replay.result.missing and not lines:
            lines = []
    if not lines:
        raise LookupError(f"request {request} is not in this capture, or in a part that cannot be replayed")
    if replay.result.differences:
        lines.append(
            "(this checkout's module decides otherwise in places: what it knew may differ from then)"
        )
    return lines
