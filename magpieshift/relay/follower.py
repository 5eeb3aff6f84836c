"""The following side of the fan-out, the same at a relay and a router: one process over many streams.

A driver sends what ``connect`` and ``progress`` yield, feeds each message of the current stream (never of an
earlier one) to ``receive`` and carries out the effects in order, whatever becomes of the stream meanwhile.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from magpieshift.relay.limits import (
    ACKNOWLEDGE_US,
    MOST_BATCH_ENTRIES,
    PAUSE_US,
    PROBE_US,
    SILENCE_US,
    STALE_US,
    WINDOW_BATCHES,
)
from magpieshift.relay.messages import (
    NO_EPOCH,
    Batch,
    ConfigurationChange,
    Entry,
    Epoch,
    Join,
    Progress,
    Snapshot,
    ToFollower,
)
from magpieshift.relay.report import Report
from magpieshift.relay.staleness_bound import StalenessBound


class Reason(Enum):
    """Why a follower ends a stream."""

    GAP = "entries are missing"
    STALE_EPOCH = "the epoch is over"
    NO_SNAPSHOT = "entries of an epoch without its snapshot"
    IMPOSSIBLE = "impossible message"
    SILENCE = "nothing was heard"
    STALE = "the relay tells nothing new of the source"


@dataclass(frozen=True, slots=True)
class Apply:
    """Apply the entries in order, in one turn; then tell ``Follower.applied_up_to(epoch, last)``."""

    epoch: Epoch
    first: int
    entries: tuple[Entry, ...]

    @property
    def last(self) -> int:
        """Sequence number of the last entry."""
        return self.first + len(self.entries) - 1


@dataclass(frozen=True, slots=True)
class TakeSnapshot:
    """Take over what the snapshot says, without forgetting purges; then tell
    ``Follower.applied_up_to(snapshot.epoch, snapshot.applied)``."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class TakeConfiguration:
    """A whole configuration that was asked for."""

    configuration: ConfigurationChange


@dataclass(frozen=True, slots=True)
class EndStream:
    """End the stream and try the next relay; no message of this stream is to be received after it."""

    reason: Reason
    detail: str = ""


Effect = Apply | TakeSnapshot | TakeConfiguration | EndStream


class Follower:
    """One process's place in the log, its lease and what it owes to the relay it follows."""

    def __init__(self, name: str, boot: str) -> None:
        self.currency = StalenessBound()
        # up to where everything was applied
        self.epoch = NO_EPOCH
        self.applied = 0
        self.heard = NO_EPOCH  # the highest epoch heard of
        self.done = 0  # what the source has called done, of the epoch taken last
        self.configuration = ""  # digest of the version in force; the driver sets these four
        self.refused = 0
        self.refusal = ""
        self.want_whole = False  # until a whole configuration is received
        self._name = name
        self._boot = boot
        self._taken = (NO_EPOCH, 0)  # up to where effects were handed out
        self._probe = 0
        self._sent_us: int | None = None  # the last progress on this stream
        self._heard_us = 0
        self._checked_us = 0
        self._linked_to_us: int | None = None  # when it was checked last
        self._helped_us = 0  # when the relay last told newer things of the source, or was busy to
        self._unacknowledged = 0  # batches handed out since then
        self._proven = False  # whether a proof came on this stream: none does before an acknowledgement
        self._released = False

    def connect(self, now_us: int) -> Join:
        """A new stream begins: its first message. A progress is due at once."""
        self.currency.new_stream()
        self._probe = 0
        self._sent_us = None
        self._unacknowledged = 0
        self._proven = False
        self._heard_us = self._checked_us = self._helped_us = now_us
        return Join(self._name, self._boot, self.epoch, self.applied, self.configuration, self.heard)

    def receive(self, message: ToFollower, now_us: int) -> list[Effect]:
        """A message of the current stream, and what is to be done."""
        self._heard_us = now_us
        match message:
            case Batch():
                return self._batch(message, now_us)
            case Snapshot():
                self._helped_us = now_us
                return self._snapshot(message)
            case ConfigurationChange():
                return self._whole(message)

    def applied_up_to(self, epoch: Epoch, sequence: int) -> None:
        """The effect with this last number was carried out; only now is it acknowledged. ``ValueError`` where
        that was not handed out."""
        if (epoch, sequence) > self._taken:
            raise ValueError(f"entry {sequence} was not handed out")
        if (epoch, sequence) > (self.epoch, self.applied):
            self.epoch = epoch
            self.applied = sequence
            self.currency.applied(epoch, sequence)

    @property
    def rests_on_stream(self) -> bool:
        """Whether the lease is by a proof of the present stream: then the relay followed before need not
        count this process any more, and gets a ``farewell``."""
        return self.currency.rests_on_stream

    def farewell(self) -> Progress:
        """The last message on an earlier stream of which nothing more is received, once the lease rests on
        the present one. Not for a relay: its followers' leases may still be by what it learned there."""
        if not self.rests_on_stream:
            raise ValueError("the lease may still be by an earlier stream")
        return Progress(self.epoch, self.applied, 0, self.applied, self.configuration, released=True)

    def heard_of(self, epoch: Epoch) -> None:
        """Another process knows of this epoch: nothing of a lower one is taken from now on."""
        self.heard = max(self.heard, epoch)

    def due_us(self) -> int:
        """When the next progress is due; may be past."""
        if self._sent_us is None:
            return self._heard_us
        hurry = self._unacknowledged >= (WINDOW_BATCHES // 2 if self._proven else 1)
        return self._sent_us + (ACKNOWLEDGE_US if hurry else PROBE_US)

    def progress(self, now_us: int, report: Report | None = None) -> Progress | None:
        """The message to send now; None where it is not due. A relay gives its report, fresh."""
        if self._released or now_us < self.due_us():
            return None
        return self._progress(now_us, report)

    def release(self, now_us: int, report: Report | None = None) -> Progress:
        """Give up the lease for good, as the process ends: the last message to send. No copy may be
        accepted after it but with the bound of ``StalenessBound.copy_age_limit``. A relay whose
        followers may hold leases does not release."""
        self._released = True
        self.currency.release()
        return self._progress(now_us, report)

    def check(self, now_us: int) -> EndStream | None:
        """Whether the stream has been silent, or of no help, for too long; to be called at every turn, at
        least each ``PROBE_US``. A process that was paused itself reads first what has come meanwhile."""
        if now_us - self._checked_us >= PAUSE_US:
            self._heard_us = self._helped_us = now_us
        if self.currency.linked_to_us != self._linked_to_us:
            self._linked_to_us = self.currency.linked_to_us
            self._helped_us = now_us
        self._checked_us = now_us
        silent_us = now_us - self._heard_us
        stale_us = now_us - self._helped_us
        if silent_us >= SILENCE_US:
            return EndStream(Reason.SILENCE, f"for {silent_us} us")
        if stale_us >= STALE_US:
            return EndStream(Reason.STALE, f"for {stale_us} us")
        return None

    def _progress(self, now_us: int, report: Report | None) -> Progress:
        self._probe += 1
        self._sent_us = now_us
        self._unacknowledged = 0
        self.currency.probe_sent(self._probe, now_us)
        done = self.applied
        if report is not None:
            done = min(self.applied, report.done) if report.epoch == self.epoch else 0
        return Progress(
            epoch=self.epoch,
            applied=self.applied,
            probe=self._probe,
            done=done,
            configuration=self.configuration,
            refused=self.refused,
            refusal=self.refusal,
            want_whole=self.want_whole,
            behind=report.behind if report else (),
            behind_count=report.behind_count if report else 0,
            followers=report.followers if report else 0,
            released=self._released,
        )

    def _batch(self, batch: Batch, now_us: int) -> list[Effect]:
        if wrong := _impossible(batch):
            return [EndStream(Reason.IMPOSSIBLE, wrong)]
        if batch.epoch < self.heard:
            return [EndStream(Reason.STALE_EPOCH, f"term {batch.epoch.term}")]
        self.heard = batch.epoch
        if batch.waiting or len(batch.entries) == MOST_BATCH_ENTRIES:
            self._helped_us = now_us  # it is catching up
        epoch, taken = self._taken
        if batch.epoch != epoch:
            if batch.entries or batch.proof:
                return [EndStream(Reason.NO_SNAPSHOT, f"term {batch.epoch.term}")]
            return []  # a heartbeat while the snapshot waits for its turn
        if batch.first > taken + 1:
            return [EndStream(Reason.GAP, f"entry {taken + 1} is missing before {batch.first}")]
        effects: list[Effect] = []
        fresh = batch.entries[taken + 1 - batch.first :]
        if fresh:
            effects.append(Apply(epoch, taken + 1, fresh))
            self._taken = epoch, batch.last
        self._unacknowledged += 1 if batch.entries else 0
        if batch.proof is not None:
            self._proven = True
            self.done = max(self.done, batch.proof.done)
            self.currency.proven(epoch, batch.proof)
        return effects

    def _snapshot(self, snapshot: Snapshot) -> list[Effect]:
        if snapshot.applied < 0 or snapshot.epoch == NO_EPOCH:
            return [EndStream(Reason.IMPOSSIBLE, f"snapshot after entry {snapshot.applied}")]
        if snapshot.epoch < self.heard:
            return [EndStream(Reason.STALE_EPOCH, f"term {snapshot.epoch.term}")]
        self.heard = snapshot.epoch
        if (snapshot.epoch, snapshot.applied) <= self._taken:
            return []
        if snapshot.epoch != self._taken[0]:
            self.done = 0
        self._taken = snapshot.epoch, snapshot.applied
        self._unacknowledged += 1
        return [TakeSnapshot(snapshot)]

    def _whole(self, change: ConfigurationChange) -> list[Effect]:
        if change.base_digest:
            return [EndStream(Reason.IMPOSSIBLE, f"a delta to {change.base_digest[:16]} alone")]
        self.want_whole = False
        return [TakeConfiguration(change)]


def _impossible(batch: Batch) -> str:
    """What is wrong with a batch in itself; empty if nothing is."""
    if batch.epoch == NO_EPOCH or batch.first < 1:
        return f"a batch from entry {batch.first} of term {batch.epoch.term}"
    if len(batch.entries) > MOST_BATCH_ENTRIES:
        return f"{len(batch.entries)} entries in a batch, at most {MOST_BATCH_ENTRIES} are expected"
    proof = batch.proof
    if proof is not None and min(proof.age_us, proof.head, proof.done, proof.source_age_us) < 0:
        return "a proof with negative figures"
    return ""
