"""The following side of the fan-out, the same at a relay and a router: one process over many streams.

A state machine without I/O: messages in, instructions out. A driver sends what ``connect`` and ``progress``
yield, feeds each message of the current stream (never of an earlier one) to ``receive`` and carries out the
instructions in order, whatever becomes of the stream meanwhile.
"""

from __future__ import annotations

from magpieshift.relay.instructions import (
    ApplyConfiguration,
    ApplyEntries,
    EndReason,
    EndStream,
    Instruction,
    RestoreSnapshot,
)
from magpieshift.relay.limits import (
    MAX_BATCH_ENTRIES,
    MAX_UNACKNOWLEDGED_BATCHES,
    MIN_ACKNOWLEDGE_INTERVAL_US,
    MIN_PROCESS_PAUSE_US,
    PROBE_INTERVAL_US,
    RELAY_SILENCE_TIMEOUT_US,
    RELAY_STALE_TIMEOUT_US,
)
from magpieshift.relay.messages import (
    NO_EPOCH,
    Batch,
    ConfigurationChange,
    DownstreamMessage,
    Epoch,
    Join,
    Progress,
    Snapshot,
)
from magpieshift.relay.report import DownstreamReport
from magpieshift.relay.staleness_bound import StalenessBound


class Follower:
    """One process's position in the log, its lease and what it owes to the relay it follows. Times are of the
    monotonic clock."""

    def __init__(self, name: str, boot: str) -> None:
        """``name`` stays the same over restarts, ``boot`` is new with each."""
        self.staleness = StalenessBound()
        """The lease."""
        self.epoch = NO_EPOCH
        """Of ``applied``."""
        self.applied = 0
        """Sequence number up to which everything was applied."""
        self.highest_epoch = NO_EPOCH
        """The highest epoch heard of."""
        self.watermark = 0
        """The source's watermark, of the epoch received last."""
        # the driver sets these four
        self.configuration_digest = ""
        """Of the version in force."""
        self.rejected_version = 0
        """Number of a version that was rejected; 0 if none."""
        self.rejection_reason = ""
        """Why it was."""
        self.wants_full = False
        """Whether a complete configuration is needed; until one is received."""
        self._name = name
        self._boot = boot
        # epoch and sequence number up to which instructions were handed out
        self._handed_out = (NO_EPOCH, 0)
        # of the present stream: number and time of the last progress sent, time of the last message
        self._last_probe = 0
        self._last_sent_us: int | None = None
        self._last_heard_us = 0
        self._last_check_us = 0
        # the staleness bound's ``synced_to_us`` at the last check
        self._last_synced_to_us: int | None = None
        # when the relay last brought something newer of the source, or was busy doing so
        self._last_advance_us = 0
        # batches handed out since the last progress
        self._unacknowledged_batches = 0
        # whether a proof came on this stream: none does before an acknowledgement
        self._has_proof = False
        self._lease_released = False

    # --- the present stream

    def connect(self, now_us: int) -> Join:
        """A new stream begins: its first message. A progress is due at once."""
        self.staleness.begin_stream()
        self._last_probe = 0
        self._last_sent_us = None
        self._unacknowledged_batches = 0
        self._has_proof = False
        self._last_heard_us = now_us
        self._last_check_us = now_us
        self._last_advance_us = now_us
        return Join(
            self._name, self._boot, self.epoch, self.applied, self.configuration_digest, self.highest_epoch
        )

    def receive(self, message: DownstreamMessage, now_us: int) -> list[Instruction]:
        """A message of the current stream, and what is to be done."""
        self._last_heard_us = now_us
        match message:
            case Batch():
                return self._receive_batch(message, now_us)
            case Snapshot():
                self._last_advance_us = now_us
                return self._receive_snapshot(message)
            case ConfigurationChange():
                return self._receive_full_configuration(message)

    def acknowledge_applied(self, epoch: Epoch, sequence: int) -> None:
        """The instruction with this last number was carried out; only now is it acknowledged. ``ValueError``
        if that was not handed out."""
        if (epoch, sequence) > self._handed_out:
            raise ValueError(f"entry {sequence} was not handed out")
        if (epoch, sequence) > (self.epoch, self.applied):
            self.epoch = epoch
            self.applied = sequence
            self.staleness.record_applied(epoch, sequence)

    def next_progress_us(self) -> int:
        """When the next progress is due; may be past."""
        if self._last_sent_us is None:
            return self._last_heard_us
        threshold = MAX_UNACKNOWLEDGED_BATCHES // 2 if self._has_proof else 1
        must_hurry = self._unacknowledged_batches >= threshold
        return self._last_sent_us + (MIN_ACKNOWLEDGE_INTERVAL_US if must_hurry else PROBE_INTERVAL_US)

    def progress(self, now_us: int, report: DownstreamReport | None = None) -> Progress | None:
        """The message to send now; None if it is not due. A relay gives its report, fresh."""
        if self._lease_released or now_us < self.next_progress_us():
            return None
        return self._make_progress(now_us, report)

    def check(self, now_us: int) -> EndStream | None:
        """Whether the stream has been silent, or of no use, for too long; to be called at every turn, at
        least each ``PROBE_INTERVAL_US``. A process that was paused itself reads first what has come
        meanwhile."""
        if now_us - self._last_check_us >= MIN_PROCESS_PAUSE_US:
            self._last_heard_us = now_us
            self._last_advance_us = now_us
        if self.staleness.synced_to_us != self._last_synced_to_us:
            self._last_synced_to_us = self.staleness.synced_to_us
            self._last_advance_us = now_us
        self._last_check_us = now_us
        silent_us = now_us - self._last_heard_us
        stale_us = now_us - self._last_advance_us
        if silent_us >= RELAY_SILENCE_TIMEOUT_US:
            return EndStream(EndReason.SILENCE, f"for {silent_us} us")
        if stale_us >= RELAY_STALE_TIMEOUT_US:
            return EndStream(EndReason.STALE, f"for {stale_us} us")
        return None

    # --- leases and epochs

    @property
    def lease_from_stream(self) -> bool:
        """Whether the lease is by a proof of the present stream: then the relay followed before need not
        wait for this process any more, and gets a ``farewell``."""
        return self.staleness.lease_from_stream

    def farewell(self) -> Progress:
        """The last message on an earlier stream of which nothing more is received, once the lease is by the
        present one. Not for a relay: its followers' leases may still be by what it learned there."""
        if not self.lease_from_stream:
            raise ValueError("the lease may still be by an earlier stream")
        return Progress(
            self.epoch, self.applied, 0, self.applied, self.configuration_digest, lease_released=True
        )

    def release_lease(self, now_us: int, report: DownstreamReport | None = None) -> Progress:
        """Give up the lease for good, as the process ends: the last message to send. No copy may be
        accepted after it but with the bound of ``StalenessBound.copy_age_limit_us``. A relay whose
        followers may hold leases does not release."""
        self._lease_released = True
        self.staleness.release_lease()
        return self._make_progress(now_us, report)

    def learn_epoch(self, epoch: Epoch) -> None:
        """Another process knows of this epoch: nothing of a lower one is taken from now on."""
        self.highest_epoch = max(self.highest_epoch, epoch)

    # --- inside

    def _make_progress(self, now_us: int, report: DownstreamReport | None) -> Progress:
        self._last_probe += 1
        self._last_sent_us = now_us
        self._unacknowledged_batches = 0
        self.staleness.record_probe(self._last_probe, now_us)
        watermark = self.applied
        if report is not None:
            watermark = min(self.applied, report.watermark) if report.epoch == self.epoch else 0
        return Progress(
            epoch=self.epoch,
            applied=self.applied,
            probe=self._last_probe,
            watermark=watermark,
            configuration_digest=self.configuration_digest,
            rejected_version=self.rejected_version,
            rejection_reason=self.rejection_reason,
            wants_full=self.wants_full,
            lagging_names=report.lagging_names if report else (),
            lagging_count=report.lagging_count if report else 0,
            follower_count=report.follower_count if report else 0,
            lease_released=self._lease_released,
        )

    def _receive_batch(self, batch: Batch, now_us: int) -> list[Instruction]:
        if contradiction := _contradiction(batch):
            return [EndStream(EndReason.IMPOSSIBLE, contradiction)]
        if batch.epoch < self.highest_epoch:
            return [EndStream(EndReason.STALE_EPOCH, f"term {batch.epoch.term}")]
        self.highest_epoch = batch.epoch
        if batch.snapshot_pending or len(batch.entries) == MAX_BATCH_ENTRIES:
            self._last_advance_us = now_us  # this process is catching up
        epoch, last = self._handed_out
        if batch.epoch != epoch:
            if batch.entries or batch.proof:
                return [EndStream(EndReason.NO_SNAPSHOT, f"term {batch.epoch.term}")]
            return []  # a heartbeat while the snapshot waits for its slot
        if batch.first > last + 1:
            return [EndStream(EndReason.GAP, f"entry {last + 1} is missing before {batch.first}")]
        instructions: list[Instruction] = []
        fresh = batch.entries[last + 1 - batch.first :]
        if fresh:
            instructions.append(ApplyEntries(epoch, last + 1, fresh))
            self._handed_out = (epoch, batch.last)
        self._unacknowledged_batches += 1 if batch.entries else 0
        if batch.proof is not None:
            self._has_proof = True
            self.watermark = max(self.watermark, batch.proof.watermark)
            self.staleness.add_proof(epoch, batch.proof)
        return instructions

    def _receive_snapshot(self, snapshot: Snapshot) -> list[Instruction]:
        if snapshot.applied < 0 or snapshot.epoch == NO_EPOCH:
            return [EndStream(EndReason.IMPOSSIBLE, f"snapshot after entry {snapshot.applied}")]
        if snapshot.epoch < self.highest_epoch:
            return [EndStream(EndReason.STALE_EPOCH, f"term {snapshot.epoch.term}")]
        self.highest_epoch = snapshot.epoch
        if (snapshot.epoch, snapshot.applied) <= self._handed_out:
            return []
        if snapshot.epoch != self._handed_out[0]:
            self.watermark = 0
        self._handed_out = (snapshot.epoch, snapshot.applied)
        self._unacknowledged_batches += 1
        return [RestoreSnapshot(snapshot)]

    def _receive_full_configuration(self, change: ConfigurationChange) -> list[Instruction]:
        if change.base_digest:
            return [EndStream(EndReason.IMPOSSIBLE, f"a delta to {change.base_digest[:16]} alone")]
        self.wants_full = False
        return [ApplyConfiguration(change)]


def _contradiction(batch: Batch) -> str:
    """What is wrong with a batch in itself; empty if nothing is."""
    if batch.epoch == NO_EPOCH or batch.first < 1:
        return f"a batch from entry {batch.first} of term {batch.epoch.term}"
    if len(batch.entries) > MAX_BATCH_ENTRIES:
        return f"{len(batch.entries)} entries in a batch, at most {MAX_BATCH_ENTRIES} are expected"
    proof = batch.proof
    if proof is not None and min(proof.age_us, proof.head, proof.watermark, proof.source_age_us) < 0:
        return "a proof with negative figures"
    return ""
