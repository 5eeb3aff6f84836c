"""Tests of the simulator adapter: request and reply frames, and error messages for invalid input."""

from __future__ import annotations

import struct
import subprocess
import sys

import pytest

from magpieshift.policy import simulator
from magpieshift.policy.errors import SettingsError
from magpieshift.policy.events import AttemptEnded
from magpieshift.policy.outcomes import Outcome
from magpieshift.policy.router_policy import RouterPolicy
from magpieshift.policy.settings import DeduplicationScope, Idempotency
from magpieshift.policy.simulator_codec import EventFrame
from magpieshift.policy.simulator_settings import parse_settings

SETTINGS = """Balancers=2
Caps.Cancelling=true
Caps.ConnectTimeoutUs=400000
Caps.MaxAttempts=6
Caps.MaxRetryAfterUs=500000
Caps.PeerMessages=false
Caps.Probes=true
Caps.SecondCopies=false
Classes.count=1
Classes.0.AimStretch=1.6
Classes.0.AimUs=600000
Classes.0.DedupWindowUs=5000000
Classes.0.Effect=guarded
Classes.0.GiveUpUs=5000000
Classes.0.Group=cell
Classes.0.LateWorth=0.15
Classes.0.Stream=false
Classes.0.Worth=2.0
Contract.AnswerSlackUs=8000
Contract.ColdFrom=0.27
Contract.ColdUs=14000000
Contract.DrainGraceUs=250000
Contract.FallMultiple=2.5
Contract.FallUs=1000000
Discovery=pushed
LoadInfo.Columns=load_share,x0
Locality=1
QuantumUs=2000
SelfIndex=0
Some.NewKey=7
Specifics.AttachedTo=0,0
Specifics.ClassWrite=false
Specifics.ClientKbPerS=10800.0
Specifics.GraceForUs=0
Specifics.InPieces=true
Specifics.LinkInKbPerS=0.0,0.0
Specifics.MasterKind=2
Specifics.MaxAgeUs=20000000
Specifics.MayPassBy=true
Specifics.ParentBreaksAt=2.0
Specifics.ParentRampUs=21000000
Specifics.PurgeSlackUs=500000
Specifics.PurgeTakesUs=6000000
Specifics.Says=all
Specifics.SharesFills=true
Specifics.ShieldKind=1
Specifics.Siblings=location
Specifics.StaleEarns=0.7
Specifics.UpperColdFrom=0.069
Specifics.ZoneBalancers=0,2
Weights=nominal
"""


def frame(records: list[bytes], tail: bytes = b"", now: int = 1_000_000) -> bytes:
    body = struct.pack("<IQ", len(records), now) + b"".join(r.ljust(48, b"\0") for r in records) + tail
    return struct.pack("<II", 9, len(body)) + body


def boot(text: str) -> tuple[bytes, bytes]:
    raw = text.encode()
    return struct.pack("<BIQII", 0, 4, 77, 0, len(raw)), raw


def run(data: bytes) -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(
        [sys.executable, "-m", "magpieshift.policy.simulator"], input=data, capture_output=True
    )


def test_settings_are_read_and_unknown_keys_skipped() -> None:
    read = parse_settings(SETTINGS)
    (request_class,) = read.classes
    assert (request_class.idempotency, request_class.deduplication_scope, request_class.max_age_us) == (
        Idempotency.WITH_KEY,
        DeduplicationScope.CELL,
        20_000_000,
    )
    assert read.zone_router_counts == (0, 2) and read.siblings and read.weights_are_sizes


@pytest.mark.parametrize("key", ["Locality", "Classes.0.Effect", "Specifics.MaxAgeUs"])
def test_a_missing_setting_is_named(key: str) -> None:
    text = "\n".join(line for line in SETTINGS.splitlines() if not line.startswith(key + "="))
    record, tail = boot(text)
    finished = run(frame([record], tail))
    assert finished.returncode == 0 and key.encode() in finished.stdout and finished.stdout[12] == 9


def test_an_exception_in_the_policy_is_reported_for_its_instance(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    def fail(self: object, now_us: int, events: object) -> None:
        raise IndexError("no such endpoint")

    monkeypatch.setattr(RouterPolicy, "handle", fail)
    record, tail = boot(SETTINGS)
    reply = simulator.Simulator().answer(EventFrame(9, frame([record], tail)[8:]))
    assert reply[12:17] == b"\x09\x04\0\0\0" and reply.endswith(b"IndexError: no such endpoint")
    assert "Traceback" in capsys.readouterr().err


def test_an_unreadable_setting_is_named() -> None:
    with pytest.raises(SettingsError, match="Contract.ColdUs"):
        parse_settings(SETTINGS.replace("ColdUs=14000000", "ColdUs=soon"))


def test_a_request_is_answered_with_an_attempt_at_its_cache() -> None:
    record, tail = boot(SETTINGS)
    cache = struct.pack("<4sHHBHBfQ", b"\x0a\x12\x4a\x07", 8080, 1, 0, 0, 0, 5.0, 0)
    endpoint_list = struct.pack("<BIBQII", 1, 4, 2, 41, len(tail), 1)
    request = struct.pack("<BIIBIQIfffH", 2, 4, 0x5D3A91C4, 0, 0, 99, 240_000, 640.0, 11.0, 3.0, 0)
    finished = run(frame([record, endpoint_list, request], tail + cache))
    number, _, count = struct.unpack_from("<III", finished.stdout)
    code, instance, request_id, endpoint, port = struct.unpack_from("<BII4sH", finished.stdout, 12)
    assert (number, count) == (9, 2)
    assert (code, instance, request_id, endpoint, port) == (12, 4, 0x5D3A91C4, b"\x0a\x12\x4a\x07", 8080)


def test_the_documented_outcome_is_decoded() -> None:
    raw = bytes.fromhex(
        "0403000000c4913a5d0144480000b824000001020000000a124a07931f00000352b81e3fcdcccc3e0000a03f00000000"
    )
    body = struct.pack("<IQ", 1, 5) + raw.ljust(48, b"\0")
    ((instance, event),) = EventFrame(1, body).events()
    assert instance == 3 and isinstance(event, AttemptEnded)
    assert (event.outcome, event.request_closed, event.cache_status) == (Outcome.OK, True, 2)
    assert (event.latency_us, event.fill_wait_us, len(event.load)) == (18500, 9400, 3)


def test_end_of_input_between_frames_is_clean() -> None:
    finished = run(frame([]))
    assert (finished.returncode, finished.stderr, len(finished.stdout)) == (0, b"", 12)


@pytest.mark.parametrize(
    "data, message",
    [
        (frame([])[:5], b"header"),
        (frame([])[:-3], b"ends inside"),
        (frame([b"\x63"]), b"unknown event code 99"),
        (frame([struct.pack("<BIBQII", 1, 4, 2, 1, 0, 9)]), b"outside the frame"),
        (struct.pack("<IIIQ", 9, 12, 5, 0), b"do not fit"),
    ],
)
def test_an_invalid_frame_gives_a_single_error_line(data: bytes, message: bytes) -> None:
    finished = run(data)
    assert finished.returncode == 1 and message in finished.stderr
    assert finished.stderr.count(b"\n") == 1 and b"Traceback" not in finished.stderr
