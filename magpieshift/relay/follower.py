"""The following side of the fan-out, shared by relays and routers: one process over successive streams.

A state machine without I/O: messages in, instructions out. A driver sends the messages that ``connect`` and
``progress`` return, passes each message of the current stream (never of an earlier one) to ``receive``, and
carries out the instructions in order, even if the stream ends meanwhile.
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
    """One process's position in the log, its lease, and the messages due to the relay it follows. Times are
    of the monotonic clock."""

    def __init__(self, name: str, boot: str) -> None:
        """``name`` stays the same over restarts; ``boot`` is new with each start."""
        self.staleness = StalenessBound()
        """The process's staleness, and with it the lease."""
        self.epoch = NO_EPOCH
        """Epoch of ``applied``."""
        self.applied = 0
        """Sequence number up to which everything has been applied."""
        self.highest_epoch = NO_EPOCH
        """The highest epoch that this process knows of."""
        self.watermark = 0
        """The source's watermark in the epoch received last."""
        # the driver sets the next four attributes
        self.configuration_digest = ""
        """Digest of the configuration version in force."""
        self.rejected_version = 0
        """Number of a configuration version that was rejected; 0 if none."""
        self.rejection_reason = ""
        """Why that version was rejected."""
        self.wants_full = False
        """Whether a complete configuration is needed; reset when one is received."""
        self._name = name
        self._boot = boot
        # epoch and sequence number up to which instructions have been handed out
        self._handed_out = (NO_EPOCH, 0)
        # on the present stream: number and time of the last progress message sent, time of the last message
        # received
        self._last_probe = 0
        self._last_sent_us: int | None = None
        self._last_heard_us = 0
        self._last_check_us = 0
        # the staleness bound's ``synced_to_us`` at the last check
        self._last_synced_to_us: int | None = None
        # when newer data or a newer proof of the source last came, or when the process was last catching up
        self._last_advance_us = 0
        # batches with entries, and snapshots, received since the last progress message was sent
        self._unacknowledged_batches = 0
        # whether a proof was received on this stream; none comes before an acknowledgement
        self._has_proof = False
        self._lease_released = False

    # --- the present stream

    def connect(self, now_us: int) -> Join:
        """Begin a new stream; returns its first message. A progress message is due at once."""
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
        """Handle a message of the current stream; returns the instructions for the driver."""
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
        """Record that the instruction with this last sequence number was carried out, so that the next
        progress message acknowledges it. ``ValueError`` if the number was not handed out."""
        if (epoch, sequence) > self._handed_out:
            raise ValueError(f"entry {sequence} of term {epoch.term} was not handed out")
        if (epoch, sequence) > (self.epoch, self.applied):
            self.epoch = epoch
            self.applied = sequence
            self.staleness.record_applied(epoch, sequence)

    def next_progress_us(self) -> int:
        """When the next progress message is due; may be in the past."""
        if self._last_sent_us is None:
            return self._last_heard_us
        threshold = MAX_UNACKNOWLEDGED_BATCHES // 2 if self._has_proof else 1
        is_acknowledgement_urgent = self._unacknowledged_batches >= threshold
        return self._last_sent_us + (
            MIN_ACKNOWLEDGE_INTERVAL_US if is_acknowledgement_urgent else PROBE_INTERVAL_US
        )

    def progress(self, now_us: int, report: DownstreamReport | None = None) -> Progress | None:
        """The progress message to send now; None if it is not due. A relay passes its current report."""
        if self._lease_released or now_us < self.next_progress_us():
            return None
        return self._make_progress(now_us, report)

    def check(self, now_us: int) -> EndStream | None:
        """Check the silence and staleness time-outs; returns the instruction to end the stream if one has
        expired. To be called at least every ``PROBE_INTERVAL_US``. After a pause of this process itself, both
        time-outs start anew, so that it first reads what was received meanwhile."""
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
            return EndStream(EndReason.SILENCE, f"for {silent_us} us, limit {RELAY_SILENCE_TIMEOUT_US} us")
        if stale_us >= RELAY_STALE_TIMEOUT_US:
            return EndStream(EndReason.STALE, f"for {stale_us} us, limit {RELAY_STALE_TIMEOUT_US} us")
        return None

    # --- leases and epochs

    @property
    def lease_from_stream(self) -> bool:
        """Whether the lease comes from a proof of the present stream. The previous relay then need not wait
        for this process any more, and is sent a ``release_previous``."""
        return self.staleness.lease_from_stream

    def release_previous(self) -> Progress:
        """The last message on the previous stream, from which nothing more is received: releases the lease
        there once the present stream provides it. Not for a relay: its followers' leases may still depend on
        the previous stream."""
        if not self.lease_from_stream:
            raise ValueError("the lease may still come from an earlier stream")
        return Progress(
            self.epoch, self.applied, 0, self.applied, self.configuration_digest, lease_released=True
        )

    def release_lease(self, now_us: int, report: DownstreamReport | None = None) -> Progress:
        """Give up the lease for good because the process ends; returns the last message to send. From then on
        copies may be accepted only within the age limit of ``StalenessBound.copy_age_limit_us``. A relay
        whose followers may hold leases must not release its own."""
        self._lease_released = True
        self.staleness.release_lease()
        return self._make_progress(now_us, report)

    def learn_epoch(self, epoch: Epoch) -> None:
        """Record an epoch that another process knows; messages of lower epochs are rejected from now on."""
        self.highest_epoch = max(self.highest_epoch, epoch)

    # --- messages

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
        if defect := _batch_defect(batch):
            return [EndStream(EndReason.INVALID_MESSAGE, defect)]
        if batch.epoch < self.highest_epoch:
            return [EndStream(EndReason.STALE_EPOCH, f"term {batch.epoch.term}")]
        self.highest_epoch = batch.epoch
        if batch.snapshot_pending or len(batch.entries) == MAX_BATCH_ENTRIES:
            self._last_advance_us = now_us  # this process is catching up
        epoch, last = self._handed_out
        if batch.epoch != epoch:
            if batch.entries or batch.proof:
                return [EndStream(EndReason.NO_SNAPSHOT, f"term {batch.epoch.term}")]
            return []  # a heartbeat, while this follower waits for its snapshot slot
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
            return [EndStream(EndReason.INVALID_MESSAGE, f"snapshot after entry {snapshot.applied}")]
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
            return [
                EndStream(
                    EndReason.INVALID_MESSAGE, f"a delta to {change.base_digest[:16]}, expected no delta"
                )
            ]
        self.wants_full = False
        return [ApplyConfiguration(change)]


def _batch_defect(batch: Batch) -> str:
    """Describes why a batch is invalid in itself; empty if it is valid."""
    if batch.epoch == NO_EPOCH or batch.first < 1:
        return f"a batch from entry {batch.first} of term {batch.epoch.term}, expected entry 1 or later"
    if len(batch.entries) > MAX_BATCH_ENTRIES:
        return f"{len(batch.entries)} entries in a batch, at most {MAX_BATCH_ENTRIES} are expected"
    proof = batch.proof
    if proof is not None and min(proof.age_us, proof.head, proof.watermark, proof.source_age_us) < 0:
        return f"a proof with negative values: {proof}"
    return ""
