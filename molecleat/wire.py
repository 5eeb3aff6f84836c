"""The codec: frames of the simulator's wire to the interface's types and back."""

from __future__ import annotations

import struct
from collections.abc import Callable
from typing import Any, TypeVar

from molecleat import interface as api

EVENT_SIZE, ACTION_SIZE, ENTRY_SIZE = 48, 32, 24
HEADER = struct.Struct("<II")
BODY = struct.Struct("<IQ")
T = TypeVar("T")
ALL_PEERS = 0xFFFFFFFF
EFFECTS = {"free": api.Effect.FREE, "guarded": api.Effect.KEYED, "single_shot": api.Effect.UNSAFE}
SCOPES = {"all": api.Scope.ALL, "zone": api.Scope.ZONE, "cell": api.Scope.CELL}


class WireError(Exception):
    """A frame that does not follow the wire; the text says where and why."""


class SettingsError(Exception):
    """A needed setting is missing or cannot be read."""


class Boot:
    """An instance starts; its settings are still text."""

    __slots__ = ("seed", "text")

    def __init__(self, seed: int, text: str) -> None:
        self.seed, self.text = seed, text


class Stop:
    """An instance was killed."""

    __slots__ = ()


Decoded = api.Event | Boot | Stop


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
        self.number, self.body = number, body
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
        begin, end = self.tail + start, self.tail + start + length * unit
        if end > len(self.body):
            raise ValueError(f"tail reference {start}+{length} lies outside the frame")
        return self.body[begin:end]


def _boot(frame: Frame, raw: bytes) -> Boot:
    return Boot(struct.unpack_from("<Q", raw, 5)[0], frame.slice(raw, 13).decode("utf-8"))


def _list(frame: Frame, raw: bytes) -> api.StoreList:
    entries = frame.slice(raw, 14, ENTRY_SIZE)
    return api.StoreList(
        kind=api.ListKind(raw[5]),
        version=struct.unpack_from("<Q", raw, 6)[0],
        entries=tuple(_entry(entries, at) for at in range(0, len(entries), ENTRY_SIZE)),
    )


def _entry(raw: bytes, at: int) -> api.Entry:
    zone, kind, cell, phase, weight, up = struct.unpack_from("<HBHBfQ", raw, at + 6)
    return api.Entry(store_in(raw, at), zone, kind, cell, api.Phase(phase), weight, up)


def _request(frame: Frame, raw: bytes) -> api.Request:
    ident, cls, tenant, key, left, size, group, part, marks = struct.unpack_from("<IBIQIfffH", raw, 5)
    return api.Request(
        ident, cls, tenant, key, left, size, int(group), int(part), bool(marks & 2), bool(marks & 4)
    )


def _begun(frame: Frame, raw: bytes) -> api.Begun:
    latency, leg = struct.unpack_from("<IH", raw, 15)
    return api.Begun(struct.unpack_from("<I", raw, 5)[0], store_in(raw, 9), latency, leg)


def _ended(frame: Frame, raw: bytes) -> api.Ended:
    ident, outcome, latency, waited, closed, note = struct.unpack_from("<IBIIBI", raw, 5)
    return api.Ended(
        ident,
        api.Outcome(outcome),
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


def _probed(frame: Frame, raw: bytes) -> api.Probed:
    latency = struct.unpack_from("<I", raw, 12)[0]
    return api.Probed(store_in(raw, 5), api.Outcome(raw[11]), latency, _load(raw, 16))


def _message(frame: Frame, raw: bytes) -> api.Message:
    return api.Message(struct.unpack_from("<H", raw, 5)[0], frame.slice(raw, 7))


DECODERS: dict[int, Callable[[Frame, bytes], Decoded]] = {
    0: _boot,
    1: _list,
    2: _request,
    3: _begun,
    4: _ended,
    5: lambda frame, raw: api.Hangup(struct.unpack_from("<I", raw, 5)[0]),
    6: lambda frame, raw: api.Elapsed(struct.unpack_from("<Q", raw, 5)[0]),
    7: _probed,
    8: _message,
    9: lambda frame, raw: Stop(),
    10: lambda frame, raw: api.Purged(*struct.unpack_from("<QHI", raw, 5)),
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

    def add(self, who: int, action: api.Action) -> None:
        code, encode = ENCODERS[type(action)]
        self._record(code, who, encode(self, action))

    def _record(self, code: int, who: int, fields: bytes) -> None:
        self.records.append((bytes((code,)) + struct.pack("<I", who) + fields).ljust(ACTION_SIZE, b"\0"))

    def frame(self) -> bytes:
        body = b"".join(self.records) + bytes(self.tail)
        return struct.pack("<III", self.number, len(body) + 4, len(self.records)) + body


def _get(a: api.Get) -> bytes:
    head = struct.pack("<I", a.id) + store_out(a.store) + struct.pack("<i", a.timeout_us)
    return head + store_out(a.source) + struct.pack("<BIB", a.keep, a.age_us, a.mode)


def _send(a: api.Send) -> bytes:
    return struct.pack("<I", a.id) + store_out(a.store) + struct.pack("<i", a.timeout_us)


def _tell(reply: Reply, a: api.Tell) -> bytes:
    return struct.pack("<I", ALL_PEERS if a.peer is None else a.peer) + reply.keep(a.body)


Encoder = Callable[[Reply, Any], bytes]
ENCODERS: dict[type, tuple[int, Encoder]] = {
    api.Send: (0, lambda r, a: _send(a)),
    api.Refuse: (1, lambda r, a: struct.pack("<II", a.id, a.retry_after_us)),
    api.Fail: (2, lambda r, a: struct.pack("<I", a.id)),
    api.Cancel: (3, lambda r, a: struct.pack("<IH", a.id, a.attempt)),
    api.SetTimer: (4, lambda r, a: struct.pack("<IQ", a.delay_us, a.token)),
    api.Probe: (5, lambda r, a: store_out(a.store)),
    api.Close: (6, lambda r, a: store_out(a.store)),
    api.Tell: (7, _tell),
    api.Log: (8, lambda r, a: r.keep(a.text.encode())),
    api.Subscribe: (10, lambda r, a: bytes((a.on,))),
    api.FetchList: (11, lambda r, a: b""),
    api.Get: (12, lambda r, a: _get(a)),
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


def parse_settings(text: str) -> api.Settings:
    """The settings of a boot event; unknown keys are skipped."""
    pairs = _Pairs(text)
    read, many = pairs.read, pairs.many
    return api.Settings(
        classes=tuple(_class(pairs, i) for i in range(read("Classes.count", int))),
        zone=read("Locality", int),
        routers=read("Balancers", int),
        self_index=read("SelfIndex", int),
        zone_hub=many("Specifics.AttachedTo", int),
        zone_routers=many("Specifics.ZoneBalancers", int),
        zone_link_kb_per_s=many("Specifics.LinkInKbPerS", float),
        parent_kind=read("Specifics.ShieldKind", int),
        origin_kind=read("Specifics.MasterKind", int),
        tick_us=read("QuantumUs", _whole),
        flow_kb_per_s=read("Specifics.ClientKbPerS", float),
        weights_are_sizes=read("Weights", str) in ("nominal", "rough"),
        answer_slack_us=read("Contract.AnswerSlackUs", _whole),
        drain_grace_us=read("Contract.DrainGraceUs", _whole),
        cold_from=read("Contract.ColdFrom", float),
        cold_us=read("Contract.ColdUs", _whole),
        fall_multiple=read("Contract.FallMultiple", float),
        fall_us=read("Contract.FallUs", _whole),
        parent_cold_from=read("Specifics.UpperColdFrom", float),
        parent_cold_us=read("Specifics.ParentRampUs", _whole),
        parent_fall_multiple=read("Specifics.ParentBreaksAt", float),
        purge_grace_us=read("Specifics.PurgeSlackUs", _whole),
        purge_done_us=read("Specifics.PurgeTakesUs", _whole),
        connect_timeout_us=read("Caps.ConnectTimeoutUs", _whole),
        max_attempts=read("Caps.MaxAttempts", int),
        max_retry_after_us=read("Caps.MaxRetryAfterUs", _whole),
        may_cancel=read("Caps.Cancelling", _flag),
        may_probe=read("Caps.Probes", _flag),
        may_message=read("Caps.PeerMessages", _flag),
        may_pass_by=read("Specifics.MayPassBy", _flag),
        second_copies=read("Caps.SecondCopies", _flag),
        joins_fills=read("Specifics.SharesFills", _flag),
        siblings=read("Specifics.Siblings", str) != "silent",
        notes=read("Specifics.Says", str) == "all",
        must_subscribe=read("Discovery", str) == "on_request",
        report_columns=many("LoadInfo.Columns", str),
    )


def _class(pairs: _Pairs, i: int) -> api.RequestClass:
    read, many = pairs.read, pairs.many
    at = f"Classes.{i}."
    stretch = at + "AimStretch" in pairs.values
    return api.RequestClass(
        effect=read(at + "Effect", EFFECTS.__getitem__),
        scope=read(at + "Group", SCOPES.__getitem__),
        dedup_us=read(at + "DedupWindowUs", _whole),
        aim_us=read(at + "AimUs", _whole),
        aim_stretch=read(at + "AimStretch", float) if stretch else 0.0,
        deadline_us=read(at + "GiveUpUs", _whole),
        worth=read(at + "Worth", float),
        late_worth=read(at + "LateWorth", float),
        stream=read(at + "Stream", _flag),
        write=many("Specifics.ClassWrite", _flag)[i],
        in_parts=many("Specifics.InPieces", _flag)[i],
        fresh_us=many("Specifics.MaxAgeUs", _whole)[i],
        grace_us=many("Specifics.GraceForUs", _whole)[i],
        stale_worth=many("Specifics.StaleEarns", float)[i],
    )
