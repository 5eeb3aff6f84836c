"""Feeds a capture to the policy at full speed and compares its decisions with the recorded ones.

The policy of this checkout must decide exactly as recorded. Another policy (``against``) can run beside it.
As long as both decide the same, each keeps its own state. When they differ, the difference is noted and the
other policy takes over the state of the first. So every difference is a decision that the other policy makes
in the same state, and none is merely a consequence of an earlier difference.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

from magpieshift.capture import state
from magpieshift.capture.codec import Codec, RecordedAction
from magpieshift.capture.difference import Difference, compare, compare_errors
from magpieshift.capture.policy import Policy, own_policy
from magpieshift.capture.segments import Missing
from magpieshift.capture.wire import capture_pb2 as wire

MAX_EXAMPLES = 1000
"""Maximum number of differences kept in full, to limit memory; all are counted."""
MAX_NAMES = 100_000
"""Maximum number of ids of requests and endpoints kept, to limit memory; the newest are kept."""
MAX_IDLE_US = 5_000_000
"""Maximum time between two batches that counts as replayed; a longer interval is taken for a gap."""


@dataclass
class ReplayResult:
    """The counts and differences of a replay."""

    batches: int = 0
    events: int = 0
    decisions: int = 0
    requests: int = 0
    keyframes: int = 0
    reconfigurations: int = 0
    raised: int = 0
    """Number of batches in which the policy raised an error."""
    first_us: int = 0
    """Unix time of the first batch replayed; 0 for none."""
    last_us: int = 0
    span_us: int = 0
    """Time covered by the replayed batches, see ``MAX_IDLE_US``."""
    differences: int = 0
    subsequent_differences: int = 0
    """Further differences in batches after the policy of this checkout diverged from the recording."""
    kinds: Counter[str] = field(default_factory=Counter)
    """Number of differences by kind."""
    examples: list[Difference] = field(default_factory=list)
    missing: list[str] = field(default_factory=list)
    """Descriptions of the missing parts of the capture."""
    skipped_batches: int = 0
    """Number of batches not replayed because no state was known: from a gap up to the next keyframe."""
    policy_digests: set[str] = field(default_factory=set)
    """Digests of the policies that were running when the capture was recorded."""

    def figures(self) -> dict[str, Any]:
        """The counts under their names in reports."""
        return {
            "batches": self.batches,
            "events": self.events,
            "decisions": self.decisions,
            "requests": self.requests,
            "differences": self.differences,
            "followed": self.subsequent_differences,
            "kinds": dict(self.kinds),
            "keyframes": self.keyframes,
            "retunes": self.reconfigurations,
            "raised": self.raised,
            "missing": len(self.missing),
            "skipped": self.skipped_batches,
            "seconds": round(self.span_us / 1e6, 3),
        }

    def count_batch(self, record: wire.Batch) -> None:
        """Count a replayed batch and its recorded events and actions."""
        self.batches += 1
        self.events += len(record.events)
        self.requests += sum(1 for event in record.events if event.HasField("Request"))
        self.decisions += len(record.actions)
        if not self.first_us:
            self.first_us = record.now_us
        if self.last_us:
            self.span_us += max(0, min(record.now_us - self.last_us, MAX_IDLE_US))
        self.last_us = record.now_us

    def add(self, differences: list[Difference]) -> None:
        """Count differences, and keep the first ``MAX_EXAMPLES`` of them."""
        self.differences += len(differences)
        self.kinds.update(difference.kind for difference in differences)
        self.examples += differences[: MAX_EXAMPLES - len(self.examples)]


class Player:
    """Runs one policy on the records of a capture."""

    def __init__(self, policy: Policy, is_strict: bool = False) -> None:
        """``is_strict``: whether a keyframe with classes or fields unknown to this policy is an error."""
        self.policy = policy
        self.codec = Codec(policy)
        self.router: Any = None
        """The instance of the policy; None before the first keyframe."""
        self._is_strict = is_strict

    def restore_state(self, data: bytes) -> None:
        """Continue from the state of a keyframe; ``StateError`` if it cannot be restored."""
        self.router = state.restore(data, self.policy, self._is_strict)

    def reconfigure(self, record: wire.Retune) -> None:
        """Put recorded settings in force."""
        settings = state.restore_record(record.settings, self.policy, self._is_strict)
        self.policy.reconfigure(self.router, settings, frozenset(record.fresh))

    def apply_overrides(self, record: wire.Heed) -> None:
        """Apply recorded health overrides."""
        policy = self.policy
        overrides = [
            policy.eject(act.store, act.us) if act.leave else policy.readmit(act.store, act.us, act.pause_us)
            for act in record.acts
        ]
        policy.apply_overrides(self.router, record.now_us, overrides)

    def handle(self, record: wire.Batch) -> tuple[list[RecordedAction], str]:
        """Pass a recorded batch to the policy; returns its actions and the name of its error, or ""."""
        events = [self.codec.read_event(message) for message in record.events]
        error = ""
        try:
            actions = self.router.handle(record.now_us, events)
        except Exception as err:  # the recorded policy may have raised too: the names are compared
            error = type(err).__name__
            actions = self.router.actions
        return [self.codec.convert_action(action) for action in actions], error

    def state(self) -> bytes:
        """The policy's state in the form of a keyframe."""
        return state.encode(state.snapshot(self.router))


Observer = Callable[[int, wire.Batch, Player], None]
"""Called with the number of a batch, its record, and the player of this checkout's policy."""


class Replay:
    """Feeds records to a policy and compares its decisions with the recorded ones."""

    def __init__(
        self,
        policy: Policy | None = None,
        against: Policy | None = None,
        before: Observer | None = None,
        after: Observer | None = None,
    ) -> None:
        """``policy`` defaults to this checkout's; ``against`` is another version to compare with it.

        ``before`` and ``after`` are called before and after each batch that is replayed.
        """
        self.result = ReplayResult()
        self.names: dict[int, str] = {}
        """The ids of requests and endpoints in the log, by number; the newest ``MAX_NAMES``."""
        self._own = Player(policy or own_policy(), is_strict=True)
        self._other = Player(against) if against is not None else None
        self._before = before
        self._after = after
        self._has_state = False
        """Whether the state is known: there was a keyframe, and nothing is missing since."""
        self._has_diverged = False
        """Whether the policy of this checkout has diverged from the recording since that keyframe."""
        self._batch_number = -1

    def run(self, records: Iterable[wire.Record | Missing]) -> ReplayResult:
        """Replay all records of a capture."""
        for record in records:
            self.feed(record)
        return self.result

    def feed(self, record: wire.Record | Missing) -> None:
        """Process the next record, or the mark of a missing part."""
        if isinstance(record, Missing):
            self.result.missing.append(str(record))
            self._has_state = False
            return
        match record.WhichOneof("what"):
            case "header":
                self.result.policy_digests.add(record.header.policy_digest)
            case "keyframe":
                self._register_names(record.keyframe.stores)
                self._keyframe(record.keyframe.state)
            case "retune" if self._has_state:
                self.result.reconfigurations += 1
                for player in self._players():
                    player.reconfigure(record.retune)
            case "heed" if self._has_state:
                for player in self._players():
                    player.apply_overrides(record.heed)
            case "gap":
                gap = record.gap
                self.result.missing.append(f"{gap.batches} batches dropped when recording: {gap.reason}")
            case "batch":
                self._batch_number += 1
                self._register_names(record.batch.names)
                if self._has_state:
                    self._batch(record.batch)
                else:
                    self.result.skipped_batches += 1

    def _register_names(self, names: Iterable[wire.Name]) -> None:
        self.names.update((name.id, name.ident) for name in names)
        while len(self.names) > MAX_NAMES:
            del self.names[next(iter(self.names))]

    def _players(self) -> Iterator[Player]:
        yield self._own
        if self._other is not None:
            yield self._other

    def _keyframe(self, data: bytes) -> None:
        """Compare the state with the keyframe; take over the keyframe if they differ or no state is known."""
        self.result.keyframes += 1
        must_take_over = self._has_diverged or not self._has_state
        if not must_take_over and self._own.state() != data:
            # no decision has depended on the differing part of the state yet, but later ones would
            kind = "other state at a keyframe"
            self.result.add([Difference(self._batch_number, self.result.last_us, 0, kind, (), ())])
            must_take_over = True
        if must_take_over:
            for player in self._players():
                player.restore_state(data)
        self._has_state = True
        self._has_diverged = False

    def _batch(self, record: wire.Batch) -> None:
        self.result.count_batch(record)
        if self._before is not None:
            self._before(self._batch_number, record, self._own)
        recorded = [self._own.codec.read_action(action) for action in record.actions]
        decided, error = self._own.handle(record)
        self.result.raised += bool(error)
        differences = self._compare(record, recorded, record.raised, decided, error)
        if differences and self._has_diverged:
            self.result.subsequent_differences += len(differences)
            return
        if differences:
            self._has_diverged = True
        elif self._other is not None:
            differences = self._compare(record, decided, error, *self._other.handle(record))
        if self._other is not None and (differences or self._has_diverged):
            self._other.restore_state(self._own.state())
        if self._after is not None:
            self._after(self._batch_number, record, self._own)
        self.result.add(differences)

    def _compare(
        self,
        record: wire.Batch,
        old: list[RecordedAction],
        old_error: str,
        new: list[RecordedAction],
        new_error: str,
    ) -> list[Difference]:
        return compare(self._batch_number, record.now_us, old, new) + compare_errors(
            self._batch_number, record.now_us, old_error, new_error
        )
