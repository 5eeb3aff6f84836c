"""Describes captures as text: the policy's state before a batch, the course of one request, differences."""

from __future__ import annotations

import datetime
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from magpieshift.capture.codec import RecordedAction
from magpieshift.capture.difference import Difference
from magpieshift.capture.replay import Player, Replay, ReplayResult
from magpieshift.capture.segments import Missing
from magpieshift.capture.wire import capture_pb2 as wire
from magpieshift.policy.admission import concurrency_limit
from magpieshift.policy.latency import slowdown
from magpieshift.policy.outcomes import CacheStatus, Outcome
from magpieshift.policy.state import FILL, LOOKUP, WRITE, EndpointRecord, PendingRequest

Records = Callable[[], Iterable[wire.Record | Missing]]
"""Reads the records of a capture from its beginning at each call."""
WORK_KIND_NAMES = {FILL: "fills", LOOKUP: "lookups", WRITE: "writes"}
MAX_SHOWN = 12
"""Maximum number of endpoints, or of kinds of difference with an example, shown on one screen."""
MIN_FAILURE_RATE = 0.005
"""Smaller failure rates are not shown."""
MIN_SLOWDOWN = 0.05
"""Smaller slowdowns (multiples of the service time) are not shown."""
MIN_ENDPOINT_NUMBER = 1 << 32
"""Larger numbers are those of endpoints, and shown in hexadecimal."""
ATTEMPT_AND_ANSWER_ACTIONS = ("Send", "Get", "Refuse", "Fail")
"""Recorded names of the actions that start an attempt or give the final answer of a request."""


def time_of_day(us: int) -> str:
    """Format a Unix time in microseconds as the time of day in UTC."""
    return datetime.datetime.fromtimestamp(us / 1e6, datetime.UTC).strftime("%H:%M:%S.%f")


class LogIds:
    """Shows requests and endpoints by their ids in the log instead of the policy's numbers, also in the
    descriptions of actions."""

    def __init__(self, names: dict[int, str]) -> None:
        self._names = names

    def __call__(self, number: int) -> str:
        """The id of a request or an endpoint, or its number where the capture has no id."""
        shown = f"#{number:x}" if number > MIN_ENDPOINT_NUMBER else f"#{number}"
        return self._names.get(number, shown)

    def action_text(self, action: RecordedAction) -> str:
        """Describe one action."""
        fields = action.fields
        match action.name:
            case "Send" | "Get":
                return self._attempt_text(fields)
            case "Refuse":
                return f"reject, retry after {fields['retry_after_us'] / 1000:.0f} ms"
            case "Fail":
                return "fail"
            case "Cancel":
                return f"cancel attempt {fields['attempt']}"
            case "SetTimer":
                return f"timer in {fields['delay_us'] / 1000:.1f} ms"
        return " ".join([action.name, *map(str, fields.values())])

    def _attempt_text(self, fields: Mapping[str, Any]) -> str:
        endpoint = self(fields["store"])
        timeout = f"{fields['timeout_us'] / 1000:.1f} ms"
        if "source" not in fields:
            return f"send to {endpoint}, time-out {timeout}"
        source = self(fields["source"])
        return (
            f"get from {endpoint} filled by {source}, time-out {timeout}, maximum age {fields['age_us']} us"
        )

    def actions_text(self, actions: Iterable[RecordedAction]) -> str:
        """Describe several actions."""
        return "; ".join(map(self.action_text, actions)) or "nothing"


def endpoint_lines(player: Player, names: LogIds) -> list[str]:
    """Describe the policy's state of the endpoints, those with the most attempts in flight first."""
    endpoints = sorted(
        player.router.endpoints.values(),
        key=lambda each: (-each.in_flight, -each.failure_rate, each.entry.number),
    )
    lines = [_endpoint_line(player.router, each, names) for each in endpoints[:MAX_SHOWN]]
    if len(endpoints) > MAX_SHOWN:
        lines.append(f"and {len(endpoints) - MAX_SHOWN} more")
    return lines


def _endpoint_line(router: Any, endpoint: EndpointRecord, names: LogIds) -> str:
    entry = endpoint.entry
    role = "cache"
    if entry.number in router.parents:
        role = "parent"
    elif entry.number in router.origins:
        role = "origin"
    parts = [
        f"{names(entry.number)} ({role}, {entry.state.name.lower()})",
        f"in flight {endpoint.in_flight}",
    ]
    if any(endpoint.in_flight_by_kind) or role != "cache":
        kinds = ", ".join(
            f"{name} {endpoint.in_flight_by_kind[kind]} of {concurrency_limit(router, endpoint, kind)}"
            for kind, name in WORK_KIND_NAMES.items()
        )
        parts.append(f"{kinds}, waiting {len(endpoint.queue)}")
    if endpoint.failure_rate > MIN_FAILURE_RATE:
        parts.append(f"failure rate {endpoint.failure_rate:.2f}")
    if endpoint.ejected_until_us > router.now_us:
        parts.append(f"ejected for {(endpoint.ejected_until_us - router.now_us) / 1000:.0f} ms more")
    if slowdown(endpoint) > MIN_SLOWDOWN:
        parts.append(f"slower by {slowdown(endpoint):.2f} service times")
    if endpoint.next_warming_us > router.now_us:
        wait_ms = (endpoint.next_warming_us - router.now_us) / 1000
        parts.append(f"warming up, next attempt in {wait_ms:.0f} ms")
    return ", ".join(parts)


def request_line(player: Player, request_id: int, names: LogIds) -> str:
    """Describe the policy's state of a pending request; "" if it is not pending."""
    pending: PendingRequest | None = player.router.requests.get(request_id)
    if pending is None:
        return ""
    left_ms = (pending.answer_by_us - player.router.now_us) / 1000
    parts = [f"attempts {pending.attempts_started}", f"{left_ms:.1f} ms left"]
    if pending.attempt_in_flight >= 0:
        parts.append(f"attempt {pending.attempt_in_flight} in flight")
    if pending.missed_cache is not None:
        parts.append(f"missed at {names(pending.missed_cache.entry.number)}")
    if pending.failed_endpoints:
        parts.append("failed at " + " ".join(map(names, sorted(pending.failed_endpoints))))
    if pending.queued_source is not None:
        parts.append(f"queued for {names(pending.queued_source.entry.number)}")
    return ", ".join(parts)


def state_lines_before(records: Records, difference: Difference) -> list[str]:
    """Describe the state of this checkout's policy right before a difference, by replaying the capture up to
    there."""
    lines: list[str] = []

    def before(number: int, record: wire.Batch, player: Player) -> None:
        if number == difference.batch and player.router is not None:
            names = LogIds(replay.names)
            lines.extend(endpoint_lines(player, names))
            if difference.request_id:
                known = request_line(player, difference.request_id, names) or "not pending"
                lines.append(f"request {difference.request_id}: {known}")

    replay = Replay(before=before)
    for record in records():
        replay.feed(record)
        if lines:
            break
    return lines


def difference_report(result: ReplayResult, names: LogIds, records: Records | None = None) -> list[str]:
    """Describe the differences of a replay: counts by kind, the first one, and one of each other kind."""
    if not result.differences:
        return ["no differences"]
    lines = [f"{result.differences} differences in {result.batches} batches, by kind:"]
    lines += [f"  {count:6}  {kind}" for kind, count in result.kinds.most_common()]
    if result.subsequent_differences:
        lines.append(
            f"  and {result.subsequent_differences} more after the policy had diverged, "
            "until the next keyframe"
        )
    first = result.examples[0]
    when = time_of_day(first.now_us)
    lines.append(f"the first, at {when}, batch {first.batch}, request {first.request_id}: {first.kind}")
    lines += _actions_lines(first, names)
    if records is not None and (known := state_lines_before(records, first)):
        lines.append("the policy's state right before:")
        lines += [f"  {line}" for line in known]
    shown = {first.kind}
    for difference in result.examples[1:]:
        if difference.kind not in shown and len(shown) < MAX_SHOWN:
            shown.add(difference.kind)
            when = time_of_day(difference.now_us)
            lines.append(f"{difference.kind}, at {when}, request {difference.request_id}:")
            lines += _actions_lines(difference, names)
    return lines


def _actions_lines(difference: Difference, names: LogIds) -> list[str]:
    return [
        f"  recorded: {names.actions_text(difference.recorded)}",
        f"  replayed: {names.actions_text(difference.replayed)}",
    ]


def find_request(records: Records, request: str) -> int:
    """The policy's number of a request, given by number or by id in the log; ``LookupError`` if not found."""
    for record in records():
        if isinstance(record, wire.Record) and record.HasField("batch"):
            for name in record.batch.names:
                if name.ident == request:
                    return int(name.id)
            for event in record.batch.events:
                if event.HasField("Request") and str(event.Request.id) == request:
                    return int(event.Request.id)
    raise LookupError(f"no request {request} in this capture")


def _event_text(message: wire.Event, names: LogIds) -> str:
    """Describe one event of a request."""
    name = str(message.WhichOneof("what"))
    found = getattr(message, name)
    match name:
        case "Request":
            return (
                f"request for object {found.key:016x} part {found.part}, class {found.cls}, "
                f"{found.patience_us / 1000:.0f} ms until the client gives up"
                + (", a retry of the client" if found.repeat else "")
            )
        case "Ended":
            status = f", {CacheStatus(found.note).name.lower()}" if found.note else ""
            return (
                f"attempt {found.attempt} at {names(found.store)} ended: "
                f"{Outcome(found.outcome).name.lower()}{status} after {found.latency_us / 1000:.1f} ms"
            )
        case "Hangup":
            return "the client disconnected, or was answered without the policy"
    return name


def _request_of(message: wire.Event) -> int:
    """Number of the request that an event belongs to; 0 for none."""
    return int(getattr(getattr(message, str(message.WhichOneof("what"))), "id", 0))


def explain_request(records: Records, request_id: int) -> list[str]:
    """Describe the course of one request: its events, the policy's state at each, and the decisions.

    Raises ``LookupError`` if the request is not in a part of the capture that can be replayed.
    """
    lines: list[str] = []

    def before(number: int, record: wire.Batch, player: Player) -> None:
        events = [event for event in record.events if _request_of(event) == request_id]
        decided = [
            action
            for action in map(player.codec.read_action, record.actions)
            if action.name != "SetTimer" and action.request_id == request_id
        ]
        if not events and not decided:
            return
        names = LogIds(replay.names)
        lines.append(f"{time_of_day(record.now_us)}  batch {number}, {len(record.events)} events")
        lines.extend(f"  event: {_event_text(event, names)}" for event in events)
        known = request_line(player, request_id, names)
        if known:
            lines.append(f"  state: {known}")
        if decided and decided[0].name in ATTEMPT_AND_ANSWER_ACTIONS:
            lines.extend(f"    {line}" for line in endpoint_lines(player, names))
        lines.append(f"  decided: {names.actions_text(decided)}")

    replay = Replay(before=before)
    for record in records():
        replay.feed(record)
    if not lines:
        raise LookupError(
            f"request {request_id} is not in this capture, or only in a part that cannot be replayed"
        )
    if replay.result.differences:
        lines.append(
            "(this checkout's policy decides differently in places: states may differ from the recorded ones)"
        )
    return lines
