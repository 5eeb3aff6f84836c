"""The codec: frames of the simulator's wire to the interface's types and back."""

from __future__ import annotations

import struct
from collections.abc import Callable
from typing import Any, TypeVar

from magpieshift.policy.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    FetchEndpointList,
    RejectRequest,
    SendCacheRequest,
    SendPeerMessage,
    SendPlainRequest,
    SetTimer,
    StartHealthCheck,
    SubscribeToEndpointList,
    WriteLog,
)
from magpieshift.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    Endpoint,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    Event,
    HealthCheckEnded,
    PeerMessageReceived,
    PurgeReceived,
    RequestReceived,
    ResponseStarted,
    TimerFired,
)
from magpieshift.policy.outcomes import Outcome
from magpieshift.policy.settings import DeduplicationScope, Idempotency, RequestClass, Settings

EVENT_SIZE = 48
ACTION_SIZE = 32
ENTRY_SIZE = 24
HEADER = struct.Struct("<II")
BODY = struct.Struct("<IQ")
T = TypeVar("T")
ALL_PEERS = 0xFFFFFFFF
EFFECTS = {
    "free": Idempotency.IDEMPOTENT,
    "guarded": Idempotency.WITH_KEY,
    "single_shot": Idempotency.NOT_IDEMPOTENT,
}
SCOPES = {"all": DeduplicationScope.ALL, "zone": DeduplicationScope.ZONE, "cell": DeduplicationScope.CELL}


class WireError(Exception):
    """A frame that does not follow the wire; the text says where and why."""


class SettingsError(Exception):
    """A needed setting is missing or cannot be read."""


class Boot:
    """An instance starts; its settings are still text."""

    __slots__ = ("seed", "text")

    def __init__(self, seed: int, text: str) -> None:
        self.seed = seed
        self.text = text


class Stop:
    """An instance was killed."""

    __slots__ = ()


Decoded = Event | Boot | Stop


def store_in(raw: bytes, at: int) -> int:
    """A store's address and port as one number."""
    return int.from_bytes(raw[at : at + 6], "big")


def store_out(store: int) -> bytes:
    return store.to_bytes(6, "big")


class Frame:
    """One batch's records and their shared tail."""

    def __init__(self, number: int, body: bytes) -> None:
        if len(body) < BODY.size:
            raise WireError(f"batch {number}: offset 8: header cut short at {len(body)} bytes")
        self.number = number
        self.body = body
        self.count, self.now_us = BODY.unpack_from(body)
        self.tail = BODY.size + self.count * EVENT_SIZE
        if self.tail > len(body):
            raise WireError(f"batch {number}: offset 8: {self.count} records do not fit in {len(body)} bytes")

    def events(self) -> list[tuple[int, Decoded]]:
        return [self._event(BODY.size + i * EVENT_SIZE) for i in range(self.count)]

    def _event(self, at: int) -> tuple[int, Decoded]:
        raw = self.body[at : at + EVENT_SIZE]
        decode = DECODERS.get(raw[0])
        if decode is None:
            raise WireError(f"batch {self.number}: offset {at + 8}: unknown event code {raw[0]}")
        try:
            return struct.unpack_from("<I", raw, 1)[0], decode(self, raw)
        except (ValueError, struct.error) as err:
            raise WireError(f"batch {self.number}: offset {at + 8}: event code {raw[0]}: {err}") from err

    def slice(self, raw: bytes, at: int, unit: int = 1) -> bytes:
        """What a record keeps in the tail."""
        start, length = struct.unpack_from("<II", raw, at)
        begin = self.tail + start
        end = self.tail + start + length * unit
        if end > len(self.body):
            raise ValueError(f"tail reference {start}+{length} lies outside the frame")
        return self.body[begin:end]


def _boot(frame: Frame, raw: bytes) -> Boot:
    return Boot(struct.unpack_from("<Q", raw, 5)[0], frame.slice(raw, 13).decode("utf-8"))


def _list(frame: Frame, raw: bytes) -> EndpointListReceived:
    entries = frame.slice(raw, 14, ENTRY_SIZE)
    return EndpointListReceived(
        kind=EndpointListKind(raw[5]),
        version=struct.unpack_from("<Q", raw, 6)[0],
        endpoints=tuple(_entry(entries, at) for at in range(0, len(entries), ENTRY_SIZE)),
    )


def _entry(raw: bytes, at: int) -> Endpoint:
    zone, kind, cell, phase, weight, up = struct.unpack_from("<HBHBfQ", raw, at + 6)
    return Endpoint(store_in(raw, at), zone, kind, cell, EndpointState(phase), weight, up)


def _request(frame: Frame, raw: bytes) -> RequestReceived:
    ident, cls, tenant, key, left, size, group, part, marks = struct.unpack_from("<IBIQIfffH", raw, 5)
    return RequestReceived(
        ident, cls, tenant, key, left, size, int(group), int(part), bool(marks & 2), bool(marks & 4)
    )


def _begun(frame: Frame, raw: bytes) -> ResponseStarted:
    latency, leg = struct.unpack_from("<IH", raw, 15)
    return ResponseStarted(struct.unpack_from("<I", raw, 5)[0], store_in(raw, 9), latency, leg)


def _ended(frame: Frame, raw: bytes) -> AttemptEnded:
    ident, outcome, latency, waited, closed, note = struct.unpack_from("<IBIIBI", raw, 5)
    return AttemptEnded(
        ident,
        Outcome(outcome),
        latency,
        waited,
        bool(closed),
        note,
        store_in(raw, 23),
        struct.unpack_from("<H", raw, 29)[0],
        _load(raw, 31),
    )


def _load(raw: bytes, at: int) -> tuple[float, ...]:
    if raw[at] > 4:
        raise ValueError(f"load report of {raw[at]} values")
    values: tuple[float, ...] = struct.unpack_from(f"<{raw[at]}f", raw, at + 1)
    return values


def _probed(frame: Frame, raw: bytes) -> HealthCheckEnded:
    latency = struct.unpack_from("<I", raw, 12)[0]
    return HealthCheckEnded(store_in(raw, 5), Outcome(raw[11]), latency, _load(raw, 16))


def _message(frame: Frame, raw: bytes) -> PeerMessageReceived:
    return PeerMessageReceived(struct.unpack_from("<H", raw, 5)[0], frame.slice(raw, 7))


DECODERS: dict[int, Callable[[Frame, bytes], Decoded]] = {
    0: _boot,
    1: _list,
    2: _request,
    3: _begun,
    4: _ended,
    5: lambda frame, raw: ClientDisconnected(struct.unpack_from("<I", raw, 5)[0]),
    6: lambda frame, raw: TimerFired(struct.unpack_from("<Q", raw, 5)[0]),
    7: _probed,
    8: _message,
    9: lambda frame, raw: Stop(),
    10: lambda frame, raw: PurgeReceived(*struct.unpack_from("<QHI", raw, 5)),
}


class Reply:
    """Collects the actions of one batch."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.records: list[bytes] = []
        self.tail = bytearray()

    def keep(self, data: bytes) -> bytes:
        ref = struct.pack("<II", len(self.tail), len(data))
        self.tail += data
        return ref

    def fault(self, who: int, text: str) -> None:
        self._record(9, who, self.keep(text.encode()))

    def add(self, who: int, action: Action) -> None:
        code, encode = ENCODERS[type(action)]
        self._record(code, who, encode(self, action))

    def _record(self, code: int, who: int, fields: bytes) -> None:
        self.records.append((bytes((code,)) + struct.pack("<I", who) + fields).ljust(ACTION_SIZE, b"\0"))

    def frame(self) -> bytes:
        body = b"".join(self.records) + bytes(self.tail)
        return struct.pack("<III", self.number, len(body) + 4, len(self.records)) + body


def _get(a: SendCacheRequest) -> bytes:
    head = struct.pack("<I", a.request_id) + store_out(a.endpoint) + struct.pack("<i", a.timeout_us)
    return head + store_out(a.source) + struct.pack("<BIB", a.retention_rank, a.max_age_us, a.flags)


def _send(a: SendPlainRequest) -> bytes:
    return struct.pack("<I", a.request_id) + store_out(a.endpoint) + struct.pack("<i", a.timeout_us)


def _tell(reply: Reply, a: SendPeerMessage) -> bytes:
    return struct.pack("<I", ALL_PEERS if a.peer is None else a.peer) + reply.keep(a.body)


Encoder = Callable[[Reply, Any], bytes]
ENCODERS: dict[type, tuple[int, Encoder]] = {
    SendPlainRequest: (0, lambda r, a: _send(a)),
    RejectRequest: (1, lambda r, a: struct.pack("<II", a.request_id, a.retry_after_us)),
    FailRequest: (2, lambda r, a: struct.pack("<I", a.request_id)),
    CancelAttempt: (3, lambda r, a: struct.pack("<IH", a.request_id, a.attempt)),
    SetTimer: (4, lambda r, a: struct.pack("<IQ", a.delay_us, a.token)),
    StartHealthCheck: (5, lambda r, a: store_out(a.endpoint)),
    CloseIdleConnections: (6, lambda r, a: store_out(a.endpoint)),
    SendPeerMessage: (7, _tell),
    WriteLog: (8, lambda r, a: r.keep(a.text.encode())),
    SubscribeToEndpointList: (10, lambda r, a: bytes((a.enabled,))),
    FetchEndpointList: (11, lambda r, a: b""),
    SendCacheRequest: (12, lambda r, a: _get(a)),
}


class _Pairs:
    """Settings text, read by path; the first unreadable one is named."""

    def __init__(self, text: str) -> None:
        self.values = dict(line.split("=", 1) for line in text.splitlines() if "=" in line)

    def read(self, path: str, convert: Callable[[str], T]) -> T:
        if path not in self.values:
            raise SettingsError(f"setting {path} is missing")
        try:
            return convert(self.values[path])
        except (ValueError, KeyError) as err:
            raise SettingsError(f"setting {path} cannot be read: {self.values[path]!r}") from err

    def many(self, path: str, convert: Callable[[str], T]) -> tuple[T, ...]:
        """A list of plain values; an empty text is an empty list."""
        return self.read(path, lambda text: tuple(convert(v) for v in text.split(",")) if text else ())


def _flag(text: str) -> bool:
    return {"true": True, "false": False}[text]


def _whole(text: str) -> int:
    return int(float(text))


def parse_settings(text: str) -> Settings:
    """The settings of a boot event; unknown keys are skipped."""
    pairs = _Pairs(text)
    read = pairs.read
    many = pairs.many
    return Settings(
        classes=tuple(_class(pairs, i) for i in range(read("Classes.count", int))),
        zone=read("Locality", int),
        router_count=read("Balancers", int),
        router_index=read("SelfIndex", int),
        zone_hub=many("Specifics.AttachedTo", int),
        zone_router_counts=many("Specifics.ZoneBalancers", int),
        zone_link_kb_per_s=many("Specifics.LinkInKbPerS", float),
        parent_kind=read("Specifics.ShieldKind", int),
        origin_kind=read("Specifics.MasterKind", int),
        tick_us=read("QuantumUs", _whole),
        client_kb_per_s=read("Specifics.ClientKbPerS", float),
        weights_are_sizes=read("Weights", str) in ("nominal", "rough"),
        answer_slack_us=read("Contract.AnswerSlackUs", _whole),
        drain_grace_us=read("Contract.DrainGraceUs", _whole),
        slow_start_fraction=read("Contract.ColdFrom", float),
        slow_start_us=read("Contract.ColdUs", _whole),
        overload_multiple=read("Contract.FallMultiple", float),
        overload_window_us=read("Contract.FallUs", _whole),
        parent_slow_start_fraction=read("Specifics.UpperColdFrom", float),
        parent_slow_start_us=read("Specifics.ParentRampUs", _whole),
        parent_overload_multiple=read("Specifics.ParentBreaksAt", float),
        purge_grace_us=read("Specifics.PurgeSlackUs", _whole),
        purge_propagation_us=read("Specifics.PurgeTakesUs", _whole),
        connect_timeout_us=read("Caps.ConnectTimeoutUs", _whole),
        max_attempts=read("Caps.MaxAttempts", int),
        max_retry_after_us=read("Caps.MaxRetryAfterUs", _whole),
        can_cancel_attempts=read("Caps.Cancelling", _flag),
        can_check_health=read("Caps.Probes", _flag),
        can_message_peers=read("Caps.PeerMessages", _flag),
        may_bypass_caches=read("Specifics.MayPassBy", _flag),
        hedged_requests=read("Caps.SecondCopies", _flag),
        coalesces_fills=read("Specifics.SharesFills", _flag),
        siblings=read("Specifics.Siblings", str) != "silent",
        reports_cache_status=read("Specifics.Says", str) == "all",
        must_subscribe=read("Discovery", str) == "on_request",
        load_report_columns=many("LoadInfo.Columns", str),
    )


def _class(pairs: _Pairs, i: int) -> RequestClass:
    read = pairs.read
    many = pairs.many
    at = f"Classes.{i}."
    stretch = at + "AimStretch" in pairs.values
    return RequestClass(
        idempotency=read(at + "Effect", EFFECTS.__getitem__),
        deduplication_scope=read(at + "Group", SCOPES.__getitem__),
        deduplication_us=read(at + "DedupWindowUs", _whole),
        latency_objective_us=read(at + "AimUs", _whole),
        latency_objective_stretch=read(at + "AimStretch", float) if stretch else 0.0,
        deadline_us=read(at + "GiveUpUs", _whole),
        priority_weight=read(at + "Worth", float),
        late_priority_weight=read(at + "LateWorth", float),
        is_stream=read(at + "Stream", _flag),
        is_write=many("Specifics.ClassWrite", _flag)[i],
        in_parts=many("Specifics.InPieces", _flag)[i],
        max_age_us=many("Specifics.MaxAgeUs", _whole)[i],
        stale_grace_us=many("Specifics.GraceForUs", _whole)[i],
        stale_priority_weight=many("Specifics.StaleEarns", float)[i],
    )
