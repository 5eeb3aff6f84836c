"""The following side of the fan-out: which messages are applied, acknowledged and rejected."""

from __future__ import annotations

import unittest

from magpieshift.relay.follower import Follower
from magpieshift.relay.instructions import (
    ApplyConfiguration,
    ApplyEntries,
    EndReason,
    EndStream,
    RestoreSnapshot,
)
from magpieshift.relay.limits import (
    MAX_BATCH_ENTRIES,
    MAX_UNACKNOWLEDGED_BATCHES,
    MIN_ACKNOWLEDGE_INTERVAL_US,
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
    FreshnessProof,
    Snapshot,
)
from magpieshift.relay.report import DownstreamReport
from tests.relay.simulated_peers import EPOCH, LATER, MS, SECOND, purge


def batch(first: int, count: int, epoch: Epoch = EPOCH, proof: FreshnessProof | None = None) -> Batch:
    return Batch(epoch, first, tuple(purge(first + number) for number in range(count)), proof)


def snapshot(applied: int, epoch: Epoch = EPOCH) -> Snapshot:
    return Snapshot(epoch, applied, "", (), None)


class Following(unittest.TestCase):
    """A follower that has applied everything up to entry 10."""

    def setUp(self) -> None:
        self.follower = Follower("r", "b1")
        self.follower.connect(0)
        self.follower.receive(snapshot(10), 0)
        self.follower.acknowledge_applied(EPOCH, 10)
        self.follower.progress(0)

    def end_reason(self, message: DownstreamMessage) -> EndReason:
        (instruction,) = self.follower.receive(message, 0)
        assert isinstance(instruction, EndStream)
        return instruction.reason

    def test_entries_are_handed_out_once_and_in_order(self) -> None:
        self.assertEqual(
            self.follower.receive(batch(11, 2), 0), [ApplyEntries(EPOCH, 11, (purge(11), purge(12)))]
        )
        self.assertEqual(self.follower.receive(batch(11, 2), 0), [], "a duplicate batch is ignored")
        self.assertEqual(self.follower.receive(batch(3, 9), 0), [], "a batch of old entries is ignored")
        self.assertEqual(self.follower.receive(batch(12, 2), 0), [ApplyEntries(EPOCH, 13, (purge(13),))])
        self.assertEqual(self.end_reason(batch(15, 1)), EndReason.GAP)
        self.assertEqual(self.end_reason(batch(15, 0)), EndReason.GAP, "a heartbeat reveals the gap as well")

    def test_nothing_is_acknowledged_before_it_is_applied(self) -> None:
        self.follower.receive(batch(11, 2), 0)
        progress = self.follower.progress(SECOND)
        assert progress is not None
        self.assertEqual((progress.applied, progress.watermark), (10, 10))
        join = self.follower.connect(SECOND)
        self.assertEqual((join.applied, join.epoch), (10, EPOCH))
        self.assertEqual(
            self.follower.receive(batch(11, 2), SECOND),
            [],
            "entries that were handed out on the earlier stream are not repeated",
        )
        self.follower.acknowledge_applied(EPOCH, 12)
        later_progress = self.follower.progress(SECOND)
        assert later_progress is not None
        self.assertEqual((later_progress.applied, later_progress.probe), (12, 1))
        with self.assertRaises(ValueError):
            self.follower.acknowledge_applied(EPOCH, 13)

    def test_a_proof_takes_effect_once_its_head_is_applied(self) -> None:
        staleness = self.follower.staleness
        self.follower.receive(batch(11, 2, proof=FreshnessProof(1, 0, 12, 9)), 0)
        self.assertFalse(staleness.lease_held(0))
        self.follower.acknowledge_applied(EPOCH, 11)
        self.assertFalse(staleness.lease_held(0))
        self.follower.acknowledge_applied(EPOCH, 12)
        self.assertTrue(staleness.lease_held(0))
        self.assertEqual(self.follower.watermark, 9)

    def test_a_superseded_epoch_is_rejected_on_every_later_stream(self) -> None:
        self.assertEqual(self.follower.receive(Batch(LATER, 7, (), None, snapshot_pending=True), 0), [])
        self.assertEqual(self.end_reason(batch(11, 1)), EndReason.STALE_EPOCH)
        self.assertEqual(self.follower.connect(0).highest_epoch, LATER, "the join states the higher epoch")
        self.assertEqual(self.end_reason(batch(11, 1)), EndReason.STALE_EPOCH)
        self.assertEqual(self.end_reason(snapshot(99)), EndReason.STALE_EPOCH)

    def test_a_new_epoch_begins_with_its_snapshot_even_at_a_lower_number(self) -> None:
        self.assertEqual(self.end_reason(batch(11, 1, LATER)), EndReason.NO_SNAPSHOT)
        self.assertEqual(
            self.end_reason(batch(11, 0, LATER, FreshnessProof(1, 0, 0, 0))), EndReason.NO_SNAPSHOT
        )
        self.assertEqual(self.follower.receive(snapshot(4, LATER), 0), [RestoreSnapshot(snapshot(4, LATER))])
        progress = self.follower.progress(SECOND)
        assert progress is not None
        self.assertEqual((progress.epoch, progress.applied), (EPOCH, 10), "the snapshot is not applied yet")
        self.follower.acknowledge_applied(LATER, 4)
        self.follower.acknowledge_applied(EPOCH, 10)
        self.assertEqual((self.follower.epoch, self.follower.applied), (LATER, 4))
        self.assertEqual(self.follower.receive(batch(5, 1, LATER), 0), [ApplyEntries(LATER, 5, (purge(5),))])

    def test_a_snapshot_is_restored_only_if_it_is_newer(self) -> None:
        self.assertEqual(self.follower.receive(snapshot(10), 0), [])
        self.assertEqual(self.follower.receive(snapshot(12), 0), [RestoreSnapshot(snapshot(12))])
        self.assertEqual(self.follower.receive(snapshot(11), 0), [])

    def test_invalid_messages_end_the_stream(self) -> None:
        delta = ConfigurationChange(2, "d2", "d1", b"")
        for message in (
            batch(0, 1),
            batch(11, MAX_BATCH_ENTRIES + 1),
            batch(11, 1, NO_EPOCH),
            snapshot(-1),
            delta,
            batch(11, 0, proof=FreshnessProof(1, -1, 10, 0)),
        ):
            self.assertEqual(self.end_reason(message), EndReason.INVALID_MESSAGE)

    def test_a_full_configuration_is_requested_until_it_is_received(self) -> None:
        self.follower.wants_full = True
        full = ConfigurationChange(2, "d2", "", b"text")
        progress = self.follower.progress(SECOND)
        assert progress is not None and progress.wants_full
        self.assertEqual(self.follower.receive(full, 0), [ApplyConfiguration(full)])
        self.assertFalse(self.follower.wants_full)

    def test_a_relay_reports_the_watermark_of_its_followers_only_within_its_epoch(self) -> None:
        for epoch, reported, done in ((EPOCH, 7, 7), (EPOCH, 70, 10), (LATER, 9, 0)):
            self.follower.connect(0)
            progress = self.follower.progress(0, DownstreamReport(epoch, reported, ("a",), 3, 9))
            assert progress is not None
            self.assertEqual((progress.applied, progress.watermark, progress.follower_count), (10, done, 9))


class Timing(unittest.TestCase):
    def setUp(self) -> None:
        self.follower = Follower("r", "b1")
        self.follower.connect(0)

    def test_progress_is_due_at_once_then_regularly_and_sooner_when_half_the_window_is_used(self) -> None:
        self.assertIsNotNone(self.follower.progress(0))
        self.assertIsNone(self.follower.progress(PROBE_INTERVAL_US - 1))
        self.assertIsNotNone(self.follower.progress(PROBE_INTERVAL_US))
        self.follower.receive(snapshot(0), PROBE_INTERVAL_US)
        self.assertEqual(
            self.follower.next_progress_us(),
            PROBE_INTERVAL_US + MIN_ACKNOWLEDGE_INTERVAL_US,
            "no proof comes before an acknowledgement, which is therefore urgent",
        )
        self.assertIsNotNone(self.follower.progress(PROBE_INTERVAL_US + MIN_ACKNOWLEDGE_INTERVAL_US))
        self.follower.receive(batch(1, 0, proof=FreshnessProof(1, 0, 0, 0)), PROBE_INTERVAL_US)
        for number in range(1, MAX_UNACKNOWLEDGED_BATCHES // 2):
            self.follower.receive(batch(number, 1), PROBE_INTERVAL_US)
            self.assertEqual(
                self.follower.next_progress_us(), 2 * PROBE_INTERVAL_US + MIN_ACKNOWLEDGE_INTERVAL_US
            )
        self.follower.receive(batch(MAX_UNACKNOWLEDGED_BATCHES // 2, 1), PROBE_INTERVAL_US)
        self.assertEqual(
            self.follower.next_progress_us(), PROBE_INTERVAL_US + 2 * MIN_ACKNOWLEDGE_INTERVAL_US
        )

    def check_until(self, until_us: int, message: DownstreamMessage | None) -> EndStream | None:
        """Run turns of 100 ms, each with ``message`` if given; returns the first instruction to end the
        stream."""
        for now_us in range(0, until_us, 100 * MS):
            if message is not None:
                self.follower.receive(message, now_us)
            if found := self.follower.check(now_us):
                return found
        return None

    def test_silence_ends_the_stream(self) -> None:
        self.assertIsNone(self.check_until(RELAY_SILENCE_TIMEOUT_US, None))
        self.assertEqual(
            getattr(self.follower.check(RELAY_SILENCE_TIMEOUT_US), "reason", None), EndReason.SILENCE
        )

    def test_a_pause_of_the_process_itself_does_not_count_as_silence(self) -> None:
        self.assertIsNone(self.follower.check(10 * SECOND))
        self.assertIsNone(self.follower.check(10 * SECOND + RELAY_SILENCE_TIMEOUT_US // 2 - 1))

    def test_a_stream_without_newer_proofs_is_ended(self) -> None:
        self.follower.receive(snapshot(0), 0)
        end_reason = self.check_until(2 * RELAY_STALE_TIMEOUT_US, batch(1, 0))
        self.assertEqual(getattr(end_reason, "reason", None), EndReason.STALE)

    def test_waiting_for_a_snapshot_does_not_end_the_stream(self) -> None:
        self.assertIsNone(
            self.check_until(10 * RELAY_STALE_TIMEOUT_US, Batch(EPOCH, 1, (), None, snapshot_pending=True))
        )


if __name__ == "__main__":
    unittest.main()
