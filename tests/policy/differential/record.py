"""Records the decisions of the policy of version 723f792 in a random simulation, for
``test_former_decisions``.

It runs in a checkout of that version, whose policy is the package ``molecleat``, and imports only from there:

    cd CHECKOUT && PYTHONPATH=. python THIS_FILE OUTPUT

The simulation is closed: each action of the policy leads to events, from endpoints that hit, miss, slow down,
reject, stop answering, break connections and restart. Each line of the output is one step, in JSON; events
and actions are written with the class names of that version and their fields in order:

- ``["boot", settings text, seed]``: a new instance;
- ``["batch", now_us, events, actions, CRC-32 of the simulator's reply frame]``;
- ``["reconfigure", settings text, numbers of fresh classes]``;
- ``["override", now_us, overrides]``;
- ``["state", BLAKE2b digest of a keyframe]``.
"""

from __future__ import annotations

import dataclasses
import hashlib
import heapq
import importlib
import json
import lzma
import random
import sys
import zlib
from collections import Counter
from pathlib import Path
from typing import Any

CACHE, PARENT, ORIGIN = 0, 1, 2
OWN_ZONE = 1
SECOND_US = 1_000_000
FIRST_US = 50 * SECOND_US
STATE_EVERY = 150
"""Batches between two digests of the state."""

COMMON = {
    "Balancers": "3",
    "Caps.Cancelling": "true",
    "Caps.ConnectTimeoutUs": "400000",
    "Caps.MaxAttempts": "6",
    "Caps.MaxRetryAfterUs": "500000",
    "Caps.PeerMessages": "true",
    "Caps.Probes": "true",
    "Caps.SecondCopies": "false",
    "Contract.AnswerSlackUs": "8000",
    "Contract.ColdFrom": "0.25",
    "Contract.ColdUs": "9000000",
    "Contract.DrainGraceUs": "250000",
    "Contract.FallMultiple": "2.0",
    "Contract.FallUs": "1000000",
    "Discovery": "pushed",
    "LoadInfo.Columns": "load_share,x0",
    "Locality": "1",
    "QuantumUs": "2000",
    "SelfIndex": "1",
    "Specifics.AttachedTo": "0,0,0",
    "Specifics.ClientKbPerS": "0.0",
    "Specifics.LinkInKbPerS": "0.0,0.0,0.0",
    "Specifics.MasterKind": "2",
    "Specifics.MayPassBy": "true",
    "Specifics.ParentBreaksAt": "2.0",
    "Specifics.ParentRampUs": "12000000",
    "Specifics.PurgeSlackUs": "300000",
    "Specifics.PurgeTakesUs": "2000000",
    "Specifics.Says": "all",
    "Specifics.SharesFills": "true",
    "Specifics.ShieldKind": "1",
    "Specifics.Siblings": "silent",
    "Specifics.UpperColdFrom": "0.1",
    "Specifics.ZoneBalancers": "0,2,1",
    "Weights": "nominal",
}


def request_class(**changes: object) -> dict[str, object]:
    """The settings of one request class, with changed values."""
    base: dict[str, object] = {
        "Effect": "free",
        "Group": "all",
        "DedupWindowUs": 2 * SECOND_US,
        "AimUs": 300_000,
        "AimStretch": 1.0,
        "GiveUpUs": 3 * SECOND_US,
        "Worth": 1.0,
        "LateWorth": 0.2,
        "Stream": "false",
        "ClassWrite": "false",
        "InPieces": "false",
        "MaxAgeUs": 0,
        "GraceForUs": 0,
        "StaleEarns": 1.0,
    }
    return base | changes


WRITE = {"ClassWrite": "true", "Effect": "guarded", "AimStretch": 0.0, "AimUs": 500_000}
LISTS = ("ClassWrite", "InPieces", "MaxAgeUs", "GraceForUs", "StaleEarns")


def settings_text(classes: list[dict[str, object]], **changes: str) -> str:
    """The settings of a deployment in the text form of the simulator."""
    values: dict[str, object] = dict(COMMON)
    values.update({key.replace("__", "."): value for key, value in changes.items()})
    values["Classes.count"] = len(classes)
    for key in LISTS:
        values[f"Specifics.{key}"] = ",".join(str(each[key]) for each in classes)
    for index, each in enumerate(classes):
        values.update({f"Classes.{index}.{key}": value for key, value in each.items() if key not in LISTS})
    return "".join(f"{key}={value}\n" for key, value in values.items())


SHOPS = [
    request_class(),
    request_class(**WRITE),
    request_class(Effect="guarded", Group="zone", DedupWindowUs=1_500_000),
    request_class(Effect="guarded", Group="cell", MaxAgeUs=4 * SECOND_US),
]
QUOTES = [
    request_class(AimUs=150_000, AimStretch=1.5, InPieces="true", MaxAgeUs=3 * SECOND_US),
    request_class(Effect="single_shot", ClassWrite="true", AimUs=400_000),
    request_class(Stream="true", AimUs=250_000, GiveUpUs=5 * SECOND_US),
    request_class(Effect="guarded", Group="all", DedupWindowUs=800_000),
]
RADIO = [
    request_class(AimUs=200_000, AimStretch=2.0),
    request_class(Effect="single_shot"),
    request_class(**WRITE, Group="cell"),
]
DEPLOYMENTS: dict[str, tuple[list[dict[str, object]], dict[str, str], float]] = {
    # name: request classes, changed settings, requests per second
    "shops": (SHOPS, {}, 260.0),
    "quotes": (
        QUOTES,
        {
            "Specifics__ClientKbPerS": "900.0",
            "Specifics__LinkInKbPerS": "0.0,24000.0,0.0",
            "Balancers": "2",
            "Specifics__Siblings": "location",
        },
        240.0,
    ),
    "radio": (
        RADIO,
        {
            "Weights": "live",
            "Discovery": "on_request",
            "Specifics__Says": "none",
            "Specifics__SharesFills": "false",
            "Caps__MaxAttempts": "3",
            "Balancers": "4",
        },
        300.0,
    ),
    "behind-caches": (SHOPS[:3], {"Specifics__MayPassBy": "false", "Caps__Cancelling": "false"}, 160.0),
}

OK, ERROR, OVERLOADED, TIMEOUT, CONNECT_FAILED, RESET, CANCELLED, SUPERSEDED, MISS = range(1, 10)
HIT, FILLED, FILLED_BY_ORIGIN, COALESCED, STALE = range(1, 6)
SOURCE_REJECTED, SOURCE_LOST, SOURCE_MISS, NO_CAPACITY, ORIGIN_FAILED = range(6, 11)
CONDITIONS = ("well", "slow", "errors", "silent", "refuses", "unreachable", "breaks", "loses", "no room")


def plain(value: Any) -> Any:
    """Convert a value of an event or action for JSON; an object becomes a list of its class name and
    fields."""
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        fields = [plain(getattr(value, field.name)) for field in dataclasses.fields(value)]
        return [type(value).__name__, *fields]
    if isinstance(value, tuple):
        return [plain(item) for item in value]
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, int) and not isinstance(value, bool):
        return int(value)
    return value


class Simulation:
    """An instance of the former policy, with simulated clients and endpoints."""

    def __init__(self, name: str, seed: int) -> None:
        self.classes, changes, self.rate = DEPLOYMENTS[name]
        self.changes = dict(changes)
        self.random = random.Random(f"{name} {seed}")
        self.interface = importlib.import_module("molecleat.interface")
        self.wire = importlib.import_module("molecleat.wire")
        self.heed = importlib.import_module("molecleat.heed")
        self.retune = importlib.import_module("molecleat.retune")
        self.state = importlib.import_module("magpieshift.capture.state")
        control = importlib.import_module("molecleat.control")
        text = settings_text(self.classes, **self.changes)
        self.lines: list[str] = []
        self.write("boot", text, seed)
        self.router = control.Router(self.wire.parse_settings(text), seed)
        self.sized = "Specifics__ClientKbPerS" in changes
        self.now_us = FIRST_US
        self.scheduled: list[tuple[int, int, Any]] = []  # future events, by time and sequence number
        self.sequence = 0
        self.last_request = 0
        self.open: dict[int, Any] = {}
        self.attempts: dict[int, int] = {}
        self.in_flight: dict[tuple[int, int], int] = {}
        self.endpoints: dict[int, Any] = {}
        self.conditions: dict[int, str] = {}
        self.copies: set[tuple[int, int]] = set()  # copies, as pairs of endpoint number and object key
        self.batches = 0
        self.seen: Counter[str] = Counter()
        for number in (*range(11, 17), 18, 19, 21, 22, 23, 31):
            kind = CACHE if number < 20 else PARENT if number < 30 else ORIGIN
            zone = 2 if number in (18, 19) else OWN_ZONE if kind == CACHE else 0
            weight = self.random.choice([4.0, 10.0, 16.0])
            phase = self.interface.Phase.READY
            self.endpoints[number] = self.interface.Entry(number, zone, kind, number % 3, phase, weight, 0)
            self.conditions[number] = "well"

    def write(self, *step: Any) -> None:
        self.lines.append(json.dumps(step, separators=(",", ":")))

    def schedule(self, delay_us: float, event: Any) -> None:
        self.sequence += 1
        heapq.heappush(self.scheduled, (self.now_us + max(1, int(delay_us)), self.sequence, event))

    def run(self, batches: int) -> None:
        """Run the simulation for a number of batches."""
        self.list_all(self.interface.ListKind.CACHED)
        self.new_request()
        self.schedule(SECOND_US / 20, lambda: self.change_randomly())
        while self.batches < batches and self.scheduled:
            tick_us = self.scheduled[0][0] // 2000 * 2000 + 2000
            self.now_us = max(self.now_us + 1, tick_us - self.random.randrange(3))
            events: list[Any] = []
            while self.scheduled and self.scheduled[0][0] <= self.now_us and len(events) < 12:
                happened = heapq.heappop(self.scheduled)[2]
                event = happened() if callable(happened) else happened
                if event is not None:
                    events.append(event)
            if events:
                self.batch(events)
                if self.batches % STATE_EVERY == 0:
                    self.write_state()

    def write_state(self) -> None:
        data = self.state.encode(self.state.snapshot(self.router))
        self.write("state", hashlib.blake2b(data, digest_size=12).hexdigest())

    def batch(self, events: list[Any]) -> None:
        self.batches += 1
        for event in events:
            self.seen[type(event).__name__] += 1
        actions = list(self.router.handle(self.now_us, events))
        reply = self.wire.Reply(self.batches)
        for action in actions:
            self.seen[type(action).__name__] += 1
            reply.add(4, action)
        self.write(
            "batch", self.now_us, plain(tuple(events)), plain(tuple(actions)), zlib.crc32(reply.frame())
        )
        self.seen["queued"] += any(store.queue for store in self.router.stores.values())
        self.seen["ejected"] += any(s.shun_until > self.now_us for s in self.router.stores.values())
        self.seen["warming"] += any(s.next_cold_us > self.now_us for s in self.router.stores.values())
        for action in actions:
            self.perform(action)

    def perform(self, action: Any) -> None:
        """Perform an action of the policy."""
        match type(action).__name__:
            case "SetTimer":
                self.schedule(action.delay_us, self.interface.Elapsed(action.token))
            case "Send" | "Get":
                self.send(action)
            case "Refuse":
                left = self.open.pop(action.id, None)
                if left is not None and self.random.random() < 0.3:
                    self.schedule(action.retry_after_us, lambda: self.request(left))
            case "Fail":
                self.open.pop(action.id, None)
            case "Cancel":
                endpoint = self.in_flight.pop((action.id, action.attempt), 0)
                if endpoint:
                    event = self.ended(action.id, CANCELLED, 0, endpoint, action.attempt, 5000)
                    self.schedule(500, event)

    def ended(
        self, request_id: int, outcome: int, note: int, endpoint: int, attempt: int, latency_us: int
    ) -> Any:
        of = self.interface
        closed = outcome == OK or request_id not in self.open
        load = (0.5, 1.25) if self.random.random() < 0.05 else ()
        waited_us = latency_us // 2 if note in (FILLED, FILLED_BY_ORIGIN, COALESCED) else 0
        return of.Ended(
            request_id, of.Outcome(outcome), latency_us, waited_us, closed, note, endpoint, attempt, load
        )

    def send(self, action: Any) -> None:
        """Start an attempt, and choose its outcome and duration."""
        attempt = self.attempts.get(action.id, 0)
        self.attempts[action.id] = attempt + 1
        self.in_flight[action.id, attempt] = action.store
        request = self.open[action.id]
        is_get = type(action).__name__ == "Get"
        source = action.source if is_get and action.source != action.store else 0
        outcome, note, latency_us = self.answer(
            request, action.store, source, is_get and bool(action.mode & 2)
        )
        if outcome == TIMEOUT or latency_us >= action.timeout_us:
            # sometimes the timeout is late, so that the policy's own timer fires first
            late_us = 8000 if self.random.random() < 0.1 else 0
            outcome, note, latency_us = TIMEOUT, 0, action.timeout_us + late_us
        stream = self.classes[request.cls]["Stream"] == "true"
        if outcome == OK and stream:
            begun = self.interface.Begun(action.id, action.store, latency_us // 2, attempt)
            self.schedule(latency_us / 2, lambda: begun if (action.id, attempt) in self.in_flight else None)
            latency_us += self.random.randrange(2 * SECOND_US)

        def end() -> Any:
            endpoint = self.in_flight.pop((action.id, attempt), 0)
            if not endpoint:
                return None
            known = self.open.get(action.id)
            now_outcome = SUPERSEDED if known is None and self.random.random() < 0.3 else outcome
            if now_outcome == OK:
                self.open.pop(action.id, None)
            return self.ended(action.id, now_outcome, note, endpoint, attempt, latency_us)

        self.schedule(latency_us, end)

    def answer(self, request: Any, endpoint: int, source: int, cached_only: bool) -> tuple[int, int, int]:
        """Outcome, cache status and duration of one attempt."""
        draw = self.random.random()
        latency_us = int(self.random.expovariate(1 / 60_000)) + 2_000
        if request.size_kb:
            latency_us = int(request.size_kb / 900 * 1e6 * (1 + 0.4 * draw)) + 2000
        for number in (endpoint, source):
            condition = self.conditions.get(number, "well")
            if condition == "slow":
                latency_us *= 4
            elif condition == "silent" or (condition == "loses" and draw < 0.2):
                return TIMEOUT, 0, latency_us
            elif number == source and condition in ("errors", "refuses", "unreachable", "breaks"):
                return ERROR, self.random.choice([SOURCE_LOST, SOURCE_REJECTED, ORIGIN_FAILED]), latency_us
            elif condition == "errors" and draw < 0.8:
                return ERROR, 0, latency_us
            elif condition == "refuses":
                return OVERLOADED, self.random.choice([0, SOURCE_REJECTED]), 1500
            elif condition == "unreachable":
                return CONNECT_FAILED, 0, 1000
            elif condition == "breaks" and draw < 0.7:
                return RESET, 0, latency_us // 3
            elif condition == "no room" and source:
                return OVERLOADED, NO_CAPACITY, 1500
        if draw > 0.995:
            return (
                self.random.choice([ERROR, RESET, TIMEOUT, OVERLOADED]),
                self.random.randrange(12),
                latency_us,
            )
        is_held = (endpoint, request.key) in self.copies
        if endpoint == 31 or (is_held and draw < 0.97):
            return OK, self.random.choice([HIT, HIT, HIT, 0, STALE]) if endpoint != 31 else 0, latency_us
        if not source and endpoint < 20:
            return MISS, COALESCED if draw < 0.1 else 0, 1500
        if cached_only and (source or endpoint, request.key) not in self.copies and draw < 0.5:
            return MISS, SOURCE_MISS, 3000
        self.copies.add((endpoint, request.key))
        if source:
            self.copies.add((source, request.key))
        return OK, FILLED if draw < 0.5 else FILLED_BY_ORIGIN, int(latency_us * 1.5)

    def new_request(self) -> Any:
        """A new request, which also schedules the next one; the request rate varies, with peaks."""
        second = (self.now_us - FIRST_US) / 1e6
        rate = self.rate * (2.5 if second % 5 > 4 else 0.6 + 0.4 * (second % 3))
        self.schedule(self.random.expovariate(rate) * 1e6, self.new_request)
        return self.request(None)

    def request(self, retried: Any) -> Any:
        draw = self.random
        self.last_request += 1
        request_id = self.last_request
        if retried is not None:
            request = dataclasses.replace(
                retried, id=request_id, patience_us=retried.patience_us // 2, repeat=True
            )
        else:
            cls = min(draw.randrange(2 * len(self.classes)), len(self.classes) - 1)
            cls = draw.randrange(len(self.classes)) if cls == len(self.classes) - 1 else cls
            key = min(draw.getrandbits(6), draw.getrandbits(6)) * 0x9E3779B97F4A7C15 % (1 << 64)
            # multiples of 1/8, which the protocol's 32-bit floats represent exactly
            size = round(8 * draw.expovariate(1 / 40) + 8) / 8 if self.sized else 0.0
            patience = draw.choice([40_000, 300_000, 1_000_000, int(str(self.classes[cls]["GiveUpUs"]))])
            write = self.classes[cls]["ClassWrite"] == "true"
            part = draw.randrange(3) if self.classes[cls]["InPieces"] == "true" else 0
            request = self.interface.Request(
                request_id, cls, draw.randrange(3), key, patience, size, key % 5, part, False, write
            )
        self.open[request_id] = request
        leaves = request.patience_us * (draw.random() if draw.random() < 0.05 else 1.0)
        self.schedule(leaves, lambda: self.leave(request_id))
        return request

    def leave(self, request_id: int) -> Any:
        return self.interface.Hangup(request_id) if self.open.pop(request_id, None) is not None else None

    def list_all(self, kind: Any) -> None:
        entries = tuple(self.endpoints.values())
        self.schedule(1, self.interface.StoreList(kind, self.sequence, entries))

    def change_randomly(self) -> None:
        """Make a random change to the simulated system, about twenty times per second."""
        self.schedule(self.random.expovariate(20) * SECOND_US, lambda: self.change_randomly())
        draw = self.random.random()
        number = self.random.choice(list(self.endpoints))
        of = self.interface
        if draw < 0.3:
            self.conditions[number] = self.random.choice(CONDITIONS if number != 31 else CONDITIONS[:2])
        elif draw < 0.5:
            for other in self.random.sample(list(self.endpoints), 4):
                self.conditions[other] = "well"
        elif draw < 0.62:
            self.restart(number)
        elif draw < 0.68:
            entry = self.endpoints[number]
            phase = of.Phase(self.random.choice([0, 0, 1, 2])) if number != 31 else of.Phase(0)
            entry = self.endpoints[number] = dataclasses.replace(entry, phase=phase)
            self.schedule(1, of.StoreList(of.ListKind.DELTA, self.sequence, (entry,)))
        elif draw < 0.76:
            kind = self.random.choice([1, 2])
            for other, entry in self.endpoints.items():
                if self.random.random() < 0.8:
                    self.endpoints[other] = dataclasses.replace(entry, phase=of.Phase.READY)
            self.list_all(of.ListKind(kind))
        elif draw < 0.78:
            self.schedule(1, of.StoreList(of.ListKind.FAILED, 0, ()))
        elif draw < 0.86:
            key = self.random.getrandbits(6) * 0x9E3779B97F4A7C15 % (1 << 64)
            whole_group = self.random.random() < 0.3
            age_us = self.random.randrange(400_000)
            self.schedule(1, of.Purged(0 if whole_group else key, key % 5, age_us))
        elif draw < 0.9:
            self.schedule(1, of.Probed(number, of.Outcome(self.random.choice([1, 4])), 900, (0.25,)))
        elif draw < 0.93:
            self.schedule(1, of.Message(2, b"from a peer"))
        elif draw < 0.97:
            self.override()
        else:
            self.reconfigure()

    def restart(self, number: int) -> None:
        """Restart an endpoint: it loses all copies and warms up."""
        of = self.interface
        self.copies = {copy for copy in self.copies if copy[0] != number}
        started_us = self.now_us - self.random.randrange(500_000)
        entry = dataclasses.replace(self.endpoints[number], up_since_us=started_us, phase=of.Phase.READY)
        self.endpoints[number] = entry
        self.conditions[number] = "well"
        self.schedule(1, of.StoreList(of.ListKind.DELTA, self.sequence, (entry,)))

    def override(self) -> None:
        acts = []
        for number in self.random.sample([*self.endpoints, 99], 2):
            time_us = self.random.randrange(2 * SECOND_US)
            if self.random.random() < 0.5:
                acts.append(self.heed.Leave(number, time_us))
            else:
                acts.append(self.heed.Allow(number, time_us // 4, self.random.choice([0, 300_000])))
        self.heed.heed(self.router, self.now_us, acts)
        self.write("override", self.now_us, plain(tuple(acts)))
        self.seen["override"] += 1

    def reconfigure(self) -> None:
        """Change the settings; sometimes the statistics of a class are reset."""
        self.changes["Caps__MaxRetryAfterUs"] = str(self.random.choice([300_000, 500_000]))
        self.changes["Specifics__ZoneBalancers"] = self.random.choice(["0,2,1", "0,3,1"])
        fresh = [self.random.randrange(len(self.classes))] if self.random.random() < 0.5 else []
        for index in fresh:
            aim_us = self.random.choice([200_000, 350_000])
            self.classes = list(self.classes)
            self.classes[index] = self.classes[index] | {"AimUs": aim_us}
        text = settings_text(self.classes, **self.changes)
        self.retune.retune(self.router, self.wire.parse_settings(text), frozenset(fresh))
        self.write("reconfigure", text, fresh)
        self.seen["reconfigure"] += 1


def main() -> None:
    """Record every deployment and print how often each kind of event occurred."""
    lines: list[str] = []
    for name in DEPLOYMENTS:
        simulation = Simulation(name, 7)
        simulation.run(4500)
        simulation.write_state()
        lines += simulation.lines
        print(name, dict(sorted(simulation.seen.items())))
    data = "".join(line + "\n" for line in lines).encode()
    packed = lzma.compress(data, preset=9 | lzma.PRESET_EXTREME)
    Path(sys.argv[1]).write_bytes(packed)
    print(len(lines), "steps,", len(data), "bytes,", len(packed), "packed")


if __name__ == "__main__":
    main()
