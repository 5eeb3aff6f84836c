"""A capture fed to a module as fast as it goes, and what that decides otherwise.

The module of this checkout must do exactly what was recorded. Another one (``against``) runs beside it: as
long as they agree each keeps its own state, and where they differ the difference is noted and the other takes
over the state of the first. So every difference is what the other would have done in the place of the first,
and none is a mere consequence of one before.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

from magpieshift.capture import state
from magpieshift.capture.codec import Codec, RecordedAction
from magpieshift.capture.policy import Policy, own
from magpieshift.capture.segments import Missing
from magpieshift.capture.wire import capture_pb2 as wire

MOST_DIFFERENCES = 1000  # kept in full; all are counted
MOST_NAMES = 100_000
ATTEMPTS = ("Send", "Get")
MUTE = ("SetTimer", "Log", "Subscribe", "FetchList")  # not about one request


@dataclass(frozen=True)
class Difference:
    """One decision that came out otherwise."""

    batch: int  # from 0, over all the capture
    now_us: int
    request: int  # 0 where it is about none
    kind: str
    recorded: tuple[RecordedAction, ...]
    replayed: tuple[RecordedAction, ...]


@dataclass
class Result:
    """What a replay found."""

    batches: int = 0
    events: int = 0
    decisions: int = 0
    requests: int = 0
    keyframes: int = 0
    retunes: int = 0
    raised: int = 0
    first_us: int = 0
    last_us: int = 0
    span_us: int = 0  # of what could be replayed, gaps left out
    differences: int = 0
    followed: int = 0  # more, after the module of this checkout had left the recorded way
    kinds: Counter[str] = field(default_factory=Counter)
    kept: list[Difference] = field(default_factory=list)
    missing: list[str] = field(default_factory=list)
    skipped: int = 0  # batches after something was missing, until the next keyframe
    policies: set[str] = field(default_factory=set)  # digests of those that recorded

    def figures(self) -> dict[str, Any]:
        return {
            "batches": self.batches,
            "events": self.events,
            "decisions": self.decisions,
            "requests": self.requests,
            "differences": self.differences,
            "followed": self.followed,
            "kinds": dict(self.kinds),
            "keyframes": self.keyframes,
            "retunes": self.retunes,
            "raised": self.raised,
            "missing": len(self.missing),
            "skipped": self.skipped,
            "seconds": round(self.span_us / 1e6, 3),
        }


class Player:
    """One module being fed a capture."""

    def __init__(self, policy: Policy) -> None:
        self.policy = policy
        self.codec = Codec(policy)
        self.router: Any = None

    def keyframe(self, data: bytes) -> None:
        self.router = state.restore(data, self.policy)

    def reconfigure(self, record: wire.Retune) -> None:
        settings = state.restore_record(record.settings, self.policy)
        self.policy.reconfigure(self.router, settings, frozenset(record.fresh))

    def apply_overrides(self, record: wire.Heed) -> None:
        policy = self.policy
        overrides = [
            policy.eject(act.store, act.us) if act.leave else policy.readmit(act.store, act.us, act.pause_us)
            for act in record.acts
        ]
        policy.apply_overrides(self.router, record.now_us, overrides)

    def batch(self, record: wire.Batch) -> tuple[list[RecordedAction], str]:
        """What the module does, and what it raised."""
        event = self.codec.event
        plain = self.codec.plain
        events = [event(message) for message in record.events]
        raised = ""
        try:
            actions = self.router.handle(record.now_us, events)
        except Exception as err:  # the recorded one may have raised as well
            raised = type(err).__name__
            actions = self.router.actions
        return [plain(action) for action in actions], raised

    def state(self) -> bytes:
        return state.encode(state.snapshot(self.router))


def subject(action: RecordedAction) -> int:
    """The request that an action is about; 0 for none."""
    return 0 if action[0] in MUTE or len(action) < 2 or not isinstance(action[1], int) else action[1]


def kind_of(recorded: tuple[RecordedAction, ...], replayed: tuple[RecordedAction, ...]) -> str:
    """What sort of difference it is, in words for people."""
    if sorted(recorded, key=repr) == sorted(replayed, key=repr):
        return "other order"
    old = recorded[-1] if recorded else ("nothing",)
    new = replayed[-1] if replayed else ("nothing",)
    if old[0] in ATTEMPTS and new[0] in ATTEMPTS:
        if old[2] != new[2]:
            return "other store"
        if old[0] != new[0] or (old[0] == "Get" and old[4] != new[4]):
            return "other source"
        if old[3] != new[3]:
            return "other time-out"
        return "other age, rank or mode"
    words = {
        "Send": "sent",
        "Get": "sent",
        "Refuse": "refused",
        "Fail": "failed",
        "nothing": "kept waiting",
        "Cancel": "cancelled",
        "SetTimer": "timer",
    }
    a = words.get(old[0], old[0].lower())
    b = words.get(new[0], new[0].lower())
    return f"other {a}" if a == b else f"{b} instead of {a}"


def compare(
    number: int, now_us: int, old: list[RecordedAction], new: list[RecordedAction]
) -> list[Difference]:
    """The differences of one batch, one a request."""
    if old == new:
        return []
    found = []
    for request in dict.fromkeys([subject(action) for action in [*old, *new]]):
        was = tuple(action for action in old if subject(action) == request)
        now = tuple(action for action in new if subject(action) == request)
        if was != now:
            found.append(Difference(number, now_us, request, kind_of(was, now), was, now))
    if not found:
        found.append(Difference(number, now_us, 0, "other order", tuple(old), tuple(new)))
    return found


Watcher = Callable[[int, wire.Batch, Player], None]


class Replay:
    """Feeds records to a module and compares; ``against`` is another version of it."""

    def __init__(
        self,
        policy: Policy | None = None,
        against: Policy | None = None,
        before: Watcher | None = None,
        after: Watcher | None = None,
    ) -> None:
        self.result = Result()
        self._own = Player(policy or own())
        self._other = Player(against) if against is not None else None
        self._before = before
        self._after = after
        self._usable = False
        self._strayed = False
        self._number = -1
        self.names: dict[int, str] = {}  # of stores and requests; ``most_names`` of them

    def run(self, records: Iterable[wire.Record | Missing]) -> Result:
        """Go through a capture once."""
        for record in records:
            self.take(record)
        return self.result

    def take(self, record: wire.Record | Missing) -> None:
        result = self.result
        if isinstance(record, Missing):
            result.missing.append(str(record))
            self._usable = False
            return
        match record.WhichOneof("what"):
            case "header":
                result.policies.add(record.header.policy_digest)
            case "keyframe":
                self._name(record.keyframe.stores)
                self._keyframe(record.keyframe.state)
            case "retune" if self._usable:
                result.retunes += 1
                for player in self._players():
                    player.reconfigure(record.retune)
            case "heed" if self._usable:
                for player in self._players():
                    player.apply_overrides(record.heed)
            case "gap":
                gap = record.gap
                result.missing.append(f"{gap.batches} batches dropped when recording: {gap.reason}")
            case "batch":
                self._number += 1
                self._name(record.batch.names)
                if self._usable:
                    self._batch(record.batch)
                else:
                    result.skipped += 1

    def _name(self, names: Iterable[wire.Name]) -> None:
        self.names.update((name.id, name.ident) for name in names)
        while len(self.names) > MOST_NAMES:
            del self.names[next(iter(self.names))]

    def _players(self) -> Iterator[Player]:
        yield self._own
        if self._other is not None:
            yield self._other

    def _keyframe(self, data: bytes) -> None:
        self.result.keyframes += 1
        anew = self._strayed or not self._usable
        if not anew and self._own.state() != data:
            # decided alike until here, and would not for ever: something the decisions have yet to rest on
            self._note(
                [Difference(self._number, self.result.last_us, 0, "other state at a keyframe", (), ())]
            )
            anew = True
        if anew:
            for player in self._players():
                player.keyframe(data)
        self._usable = True
        self._strayed = False

    def _batch(self, record: wire.Batch) -> None:
        result = self.result
        result.batches += 1
        result.events += len(record.events)
        result.requests += sum(1 for event in record.events if event.HasField("Request"))
        if not result.first_us:
            result.first_us = record.now_us
        result.span_us += max(0, min(record.now_us - result.last_us, 5_000_000)) if result.last_us else 0
        result.last_us = record.now_us
        if self._before is not None:
            self._before(self._number, record, self._own)
        recorded = [self._own.codec.recorded(action) for action in record.actions]
        result.decisions += len(recorded)
        done, raised = self._own.batch(record)
        result.raised += bool(raised)
        found = compare(self._number, record.now_us, recorded, done)
        if raised != record.raised:
            found.append(
                Difference(
                    self._number, record.now_us, 0, "raised otherwise", ((record.raised,),), ((raised,),)
                )
            )
        if found:
            if self._strayed:
                result.followed += len(found)
                return
            self._strayed = True
        elif self._other is not None:
            theirs, error = self._other.batch(record)
            found = compare(self._number, record.now_us, done, theirs)
            if error != raised:
                found.append(
                    Difference(self._number, record.now_us, 0, "raised otherwise", ((raised,),), ((error,),))
                )
            if found:
                self._other.keyframe(self._own.state())
        if self._strayed and self._other is not None:  # it was not asked: there is nothing to compare with
            self._other.keyframe(self._own.state())
        if self._after is not None:
            self._after(self._number, record, self._own)
        self._note(found)

    def _note(self, found: list[Difference]) -> None:
        result = self.result
        result.differences += len(found)
        for difference in found:
            result.kinds[difference.kind] += 1
        result.kept += found[: MOST_DIFFERENCES - len(result.kept)]


def find_state(
    records: Iterable[wire.Record | Missing],
    difference: Difference,
    describe: Callable[[Player, Difference], str],
) -> str:
    """What the module of this checkout knew right before a difference: the capture is gone through once more,
    up to there."""
    told = ""

    def before(number: int, record: wire.Batch, player: Player) -> None:
        nonlocal told
        if number == difference.batch:
            told = describe(player, difference)

    replay = Replay(before=before)
    for record in records:
        replay.take(record)
        if told:
            break
    return told
