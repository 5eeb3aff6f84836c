"""Checks that the policy makes the same decisions as version 723f792, event by event.

The policy was split into one module per rule after that version. This guards against a changed rule, for
example one that draws an additional random number or has a changed comparison, so that a router under load
sends a request elsewhere than the routers of the former version do.

``decisions.jsonl.xz`` was recorded from the policy of 723f792 (package ``molecleat``) by ``record.py``, run
in a checkout of that version; the format is described there. It holds 18,000 batches of four deployments in
a random simulation, with queues, ejections, warming endpoints, restarts, reconfigurations and health
overrides.
"""

from __future__ import annotations

import dataclasses
import hashlib
import json
import lzma
import struct
import zlib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from magpieshift.capture import state
from magpieshift.capture.policy import own_policy
from magpieshift.policy.health_override import Eject, HealthOverride, Readmit, apply_overrides
from magpieshift.policy.outcomes import Outcome
from magpieshift.policy.reconfigure import reconfigure
from magpieshift.policy.router_policy import RouterPolicy
from magpieshift.policy.simulator import Simulator
from magpieshift.policy.simulator_codec import EVENT_BYTES, EventFrame
from magpieshift.policy.simulator_reply import ReplyFrame
from magpieshift.policy.simulator_settings import parse_settings

FIXTURE = Path(__file__).with_name("decisions.jsonl.xz")
POLICY = own_policy()
INSTANCE = 4
"""The instance number in the recorded reply frames."""


def recorded_steps() -> Iterator[list[Any]]:
    """All recorded steps in order."""
    with lzma.open(FIXTURE, "rt", encoding="utf-8") as lines:
        for line in lines:
            yield json.loads(line)


def endpoint(recorded: list[Any]) -> Any:
    """Convert an entry of a recorded endpoint list to this version's class."""
    _, number, zone, kind, cell, state_number, weight, started_us = recorded
    phase = POLICY.class_named("Phase")(state_number)
    return POLICY.class_named("Entry")(number, zone, kind, cell, phase, weight, started_us)


def to_event(recorded: list[Any]) -> Any:
    """Convert a recorded event to this version's class."""
    name, *values = recorded
    match name:
        case "StoreList":
            values[0] = POLICY.class_named("ListKind")(values[0])
            values[2] = tuple(endpoint(entry) for entry in values[2])
        case "Ended" | "Probed":
            values[1] = Outcome(values[1])
            values[-1] = tuple(values[-1])
        case "Message":
            values[1] = bytes.fromhex(values[1])
    return POLICY.class_named(name)(*values)


def to_recorded(action: Any) -> list[Any]:
    """Convert an action to the recorded form."""
    name = POLICY.names.recorded_class(type(action).__name__)
    return [name, *(getattr(action, field.name) for field in dataclasses.fields(action))]


def to_override(recorded: list[Any]) -> HealthOverride:
    """Convert a recorded health override to this version's class."""
    name, *values = recorded
    return Eject(*values) if name == "Leave" else Readmit(*values)


def test_every_batch_gives_the_same_actions_and_every_keyframe_the_same_bytes() -> None:
    """Compares the actions and the simulator's reply frame of each batch, and the complete state at
    intervals."""
    router: RouterPolicy | None = None
    batch = 0
    states = 0
    for kind, *step in recorded_steps():
        if kind == "boot":
            text, seed = step
            router = RouterPolicy(parse_settings(text), seed)
            batch = 0
            continue
        assert router is not None
        if kind == "batch":
            batch += 1
            now_us, events, actions, checksum = step
            found = router.handle(now_us, [to_event(each) for each in events])
            assert [to_recorded(action) for action in found] == actions, f"batch {batch}"
            reply = ReplyFrame(batch)
            for action in found:
                reply.add(INSTANCE, action)
            assert zlib.crc32(reply.encode()) == checksum, f"batch {batch}"
        elif kind == "reconfigure":
            text, fresh = step
            reconfigure(router, parse_settings(text), frozenset(fresh))
        elif kind == "override":
            now_us, overrides = step
            apply_overrides(router, now_us, [to_override(each) for each in overrides])
        elif kind == "state":
            states += 1
            data = state.encode(state.snapshot(router))
            assert hashlib.blake2b(data, digest_size=12).hexdigest() == step[0], f"state after batch {batch}"
        else:
            raise AssertionError(f"found step {kind!r}, expected one of those described in record.py")
    assert states > 100


def encode_address(endpoint: int) -> bytes:
    """Encode an endpoint as its address and port."""
    return endpoint.to_bytes(6, "big")


def encode_event(recorded: list[Any], tail: bytearray) -> bytes:
    """Encode a recorded event as the simulator does; data of variable length is appended to the tail."""
    name, *values = recorded
    match name:
        case "StoreList":
            kind, version, entries = values
            start = len(tail)
            for _, number, zone, entry_kind, cell, state_number, weight, started_us in entries:
                tail += encode_address(number)
                tail += struct.pack("<HBHBfQ", zone, entry_kind, cell, state_number, weight, started_us)
            return struct.pack("<BIBQII", 1, INSTANCE, kind, version, start, len(entries))
        case "Request":
            request_id, class_index, tenant, key, time_left_us, size_kb, group, part, is_repeat, is_write = (
                values
            )
            marks = 2 * is_repeat + 4 * is_write
            request_fields = (request_id, class_index, tenant, key, time_left_us, size_kb, group, part, marks)
            return struct.pack("<BIIBIQIfffH", 2, INSTANCE, *request_fields)
        case "Begun":
            request_id, number, latency_us, attempt = values
            head = struct.pack("<BII", 3, INSTANCE, request_id) + encode_address(number)
            return head + struct.pack("<IH", latency_us, attempt)
        case "Ended":
            request_id, outcome, latency_us, wait_us, is_closed, status, number, attempt, load = values
            fields = (request_id, outcome, latency_us, wait_us, is_closed, status)
            head = struct.pack("<BIIBIIBI", 4, INSTANCE, *fields) + encode_address(number)
            return head + struct.pack(f"<HB{len(load)}f", attempt, len(load), *load)
        case "Hangup":
            return struct.pack("<BII", 5, INSTANCE, *values)
        case "Elapsed":
            return struct.pack("<BIQ", 6, INSTANCE, *values)
        case "Probed":
            number, outcome, latency_us, load = values
            head = struct.pack("<BI", 7, INSTANCE) + encode_address(number)
            return head + struct.pack(f"<BIB{len(load)}f", outcome, latency_us, len(load), *load)
        case "Message":
            body = bytes.fromhex(values[1])
            tail += body
            return struct.pack("<BIHII", 8, INSTANCE, values[0], len(tail) - len(body), len(body))
        case "Purged":
            return struct.pack("<BIQHI", 10, INSTANCE, *values)
    raise AssertionError(f"found event {name!r}, expected one that the simulator can send")


def encode_batch(number: int, now_us: int, records: list[bytes], tail: bytes) -> EventFrame:
    """A batch as the simulator sends it, without the frame header."""
    packed = b"".join(record.ljust(EVENT_BYTES, b"\0") for record in records)
    return EventFrame(number, struct.pack("<IQ", len(records), now_us) + packed + tail)


def test_the_simulator_is_answered_with_the_same_bytes() -> None:
    """Sends the same events through the simulator adapter; its reply frames must be those of 723f792."""
    simulator = Simulator()
    batch = 0
    tail = bytearray()
    records: list[bytes] = []
    for kind, *step in recorded_steps():
        if kind == "boot":
            text, seed = step
            tail += text.encode()
            records.append(struct.pack("<BIQII", 0, INSTANCE, seed, 0, len(tail)))
            batch = 0
        elif kind == "batch":
            batch += 1
            now_us, events, _, checksum = step
            records += [encode_event(each, tail) for each in events]
            reply = simulator.answer(encode_batch(batch, now_us, records, bytes(tail)))
            assert zlib.crc32(reply) == checksum, f"batch {batch}"
            records.clear()
            tail.clear()
        elif kind == "reconfigure":
            text, fresh = step
            reconfigure(simulator.routers[INSTANCE], parse_settings(text), frozenset(fresh))
        elif kind == "override":
            now_us, overrides = step
            apply_overrides(simulator.routers[INSTANCE], now_us, [to_override(each) for each in overrides])


def test_the_recording_holds_every_kind_of_event_and_of_outcome() -> None:
    """Ensures that the comparison covers all cases: what is not in the recording is not compared."""
    events: set[str] = set()
    outcomes: set[int] = set()
    lists: set[int] = set()
    actions: set[str] = set()
    kinds: set[str] = set()
    cache_statuses: set[int] = set()
    for kind, *step in recorded_steps():
        kinds.add(kind)
        if kind != "batch":
            continue
        for name, *values in step[1]:
            events.add(name)
            if name == "Ended":
                outcomes.add(values[1])
                cache_statuses.add(values[5])
            elif name == "StoreList":
                lists.add(values[0])
        actions |= {action[0] for action in step[2]}
    assert kinds == {"boot", "batch", "reconfigure", "override", "state"}
    assert events == {
        *("StoreList", "Request", "Begun", "Ended", "Hangup", "Elapsed", "Probed", "Message", "Purged"),
    }
    assert outcomes == {int(outcome) for outcome in Outcome}
    assert cache_statuses >= set(range(11))
    assert lists == {0, 1, 2, 3}
    assert actions == {"Get", "Send", "Refuse", "Fail", "Cancel", "SetTimer", "Subscribe"}
