"""The serving side of the fan-out: messages sent, the watermark, and failures of followers."""

from __future__ import annotations

import unittest
from dataclasses import replace

from magpieshift.relay.errors import EpochSupersededError, UnknownStreamError, UpstreamStaleError
from magpieshift.relay.instructions import EndReason
from magpieshift.relay.limits import (
    BATCH_INTERVAL_US,
    FRESHNESS_LEASE_US,
    HEARTBEAT_INTERVAL_US,
    MAX_ACKNOWLEDGE_DELAY_US,
    MAX_BATCH_ENTRIES,
    MAX_SERVING_SYNC_AGE_US,
    MAX_SNAPSHOTS_PER_S,
    MAX_UNACKNOWLEDGED_BATCHES,
    MIN_FULL_CONFIGURATION_INTERVAL_US,
    RELAY_STALE_TIMEOUT_US,
    lease_lapse_us,
)
from magpieshift.relay.messages import (
    NO_EPOCH,
    Batch,
    ConfigurationChange,
    Epoch,
    Join,
    Progress,
    Snapshot,
)
from tests.relay.simulated_peers import (
    EPOCH,
    LATER,
    MS,
    SECOND,
    Client,
    Server,
    exchange,
    proofs,
    purge,
    run,
)


def joined(name: str = "r", applied: int = 0, epoch: Epoch = EPOCH, boot: str = "b1") -> Join:
    return Join(name, boot, epoch, applied, "")


def acknowledged(applied: int, probe: int, epoch: Epoch = EPOCH, watermark: int | None = None) -> Progress:
    return Progress(epoch, applied, probe, applied if watermark is None else watermark, "")


class Sending(unittest.TestCase):
    def setUp(self) -> None:
        self.server, self.client = Server(), Client()
        self.server.add(3)
        self.client.join(self.server, 1, 0)

    def test_a_new_follower_gets_a_snapshot_and_then_entries_in_order(self) -> None:
        run(self.server, {1: self.client}, 0, SECOND)
        for number in range(4, 40):
            self.server.add()
            run(self.server, {1: self.client}, number * SECOND, SECOND)
        self.assertEqual(self.client.applied, [purge(number) for number in range(1, 40)])
        self.assertEqual(self.server.fanout.watermark(40 * SECOND), 39)
        self.assertTrue(self.client.holds_lease(40 * SECOND))

    def test_entries_wait_no_longer_than_the_batch_interval(self) -> None:
        now_us = run(self.server, {1: self.client}, 0, SECOND)
        self.server.add()
        self.assertLessEqual(
            self.server.fanout.next_send_us(1), now_us, "the first entry after a pause is sent at once"
        )
        exchange(self.server, 1, self.client, now_us)
        self.server.add(5)
        self.assertEqual(self.server.fanout.next_send_us(1), now_us + BATCH_INTERVAL_US)
        self.assertEqual(self.server.fanout.messages_to_send(1, now_us + BATCH_INTERVAL_US - 1), [])
        sent = self.server.fanout.messages_to_send(1, now_us + BATCH_INTERVAL_US)
        self.assertEqual([len(batch.entries) for batch in sent if isinstance(batch, Batch)], [5])

    def test_a_probe_is_answered_within_the_batch_interval_and_heartbeats_are_regular(self) -> None:
        now_us = run(self.server, {1: self.client}, 0, SECOND)
        sent_us = [
            t
            for t in range(now_us, now_us + 5 * SECOND, MS)
            if exchange(self.server, 1, self.client, t, up=False)
        ]
        gaps = [later - earlier for earlier, later in zip(sent_us, sent_us[1:], strict=False)]
        self.assertEqual(set(gaps), {HEARTBEAT_INTERVAL_US})
        at_us = sent_us[-1] + 10 * MS
        self.server.fanout.receive_progress(1, acknowledged(3, 99), at_us)
        self.assertEqual(self.server.fanout.next_send_us(1), sent_us[-1] + BATCH_INTERVAL_US)
        self.assertEqual(
            [
                proof.probe
                for proof in proofs(self.server.fanout.messages_to_send(1, at_us + BATCH_INTERVAL_US))
            ],
            [99],
        )

    def test_no_proof_before_a_probe_or_while_entries_remain_to_be_sent(self) -> None:
        server = Server(max_entries=10 * MAX_UNACKNOWLEDGED_BATCHES * MAX_BATCH_ENTRIES)
        server.add(3 * MAX_UNACKNOWLEDGED_BATCHES * MAX_BATCH_ENTRIES)
        server.fanout.join(1, joined(), 0)
        first = server.fanout.messages_to_send(1, 0)
        self.assertEqual(
            [len(b.entries) for b in first if isinstance(b, Batch)],
            [MAX_BATCH_ENTRIES] * MAX_UNACKNOWLEDGED_BATCHES,
        )
        server.fanout.receive_progress(1, acknowledged(0, 1), 0)
        self.assertEqual(proofs(server.fanout.messages_to_send(1, HEARTBEAT_INTERVAL_US)), [])
        for applied in range(MAX_BATCH_ENTRIES, server.log.head, MAX_BATCH_ENTRIES):
            server.fanout.receive_progress(1, acknowledged(applied, 2), SECOND)
            self.assertEqual(proofs(server.fanout.messages_to_send(1, SECOND)), [])
            self.assertEqual(
                server.fanout.watermark(SECOND),
                server.log.head,
                "the follower does not hold back the watermark yet",
            )
        server.fanout.receive_progress(1, acknowledged(server.log.head, 3), SECOND)
        found = proofs(server.fanout.messages_to_send(1, SECOND + BATCH_INTERVAL_US))
        self.assertEqual([(proof.probe, proof.head) for proof in found], [(3, server.log.head)])

    def test_a_proof_states_the_age_of_the_process_and_the_lag_of_the_source(self) -> None:
        now_us = run(self.server, {1: self.client}, 0, SECOND)
        self.server.age_us, self.server.sync_age_us = 3 * SECOND, SECOND
        self.server.fanout.receive_progress(1, acknowledged(3, 50), now_us)
        (proof,) = proofs(self.server.fanout.messages_to_send(1, now_us + SECOND))
        self.assertAlmostEqual(proof.age_us, 3 * SECOND, delta=1)
        self.assertEqual(proof.source_age_us, 2 * SECOND)
        self.server.sync_age_us = None
        self.server.fanout.receive_progress(1, acknowledged(3, 51), now_us + SECOND)
        sent = self.server.fanout.messages_to_send(1, now_us + 2 * SECOND)
        self.assertEqual(
            (len(sent), proofs(sent)), (1, []), "a relay without contact to its source gives no proof"
        )

    def test_a_source_without_its_change_log_is_followed_without_a_lease(self) -> None:
        end_us = 0
        for self.server.age_us in (None, FRESHNESS_LEASE_US):
            client = Client()
            client.join(self.server, 2, end_us)
            end_us = run(self.server, {2: client}, end_us, 4 * RELAY_STALE_TIMEOUT_US)
            self.assertIsNone(client.ended, "the follower stays, as configurations still come")
            self.assertFalse(client.holds_lease(end_us))
            self.server.add()
            self.assertEqual(
                self.server.fanout.watermark(end_us + BATCH_INTERVAL_US),
                self.server.log.head,
                "the follower does not hold back the watermark",
            )
            self.server.fanout.close_stream(2, end_us)

    def test_entries_not_yet_visible_raise_the_age_of_a_proof(self) -> None:
        now_us = run(self.server, {1: self.client}, 0, 2 * SECOND)
        self.server.add()
        self.server.fanout.messages_to_send(1, now_us)
        self.server.add()
        self.server.fanout.receive_progress(1, acknowledged(4, 50), now_us + 100 * MS)
        self.assertEqual(
            self.server.fanout.messages_to_send(1, now_us + BATCH_INTERVAL_US - 1),
            [],
            "the next batch is not due",
        )
        # makes a message due before the entry becomes visible
        self.server.fanout._streams[1].last_sent_us = 0
        (proof,) = proofs(self.server.fanout.messages_to_send(1, now_us + 200 * MS))
        self.assertEqual(proof.head, 4)
        self.assertGreaterEqual(proof.age_us, 200 * MS)

    def test_a_full_configuration_is_sent_on_request_once_it_is_known(self) -> None:
        now_us = run(self.server, {1: self.client}, 0, SECOND)
        self.server.append(ConfigurationChange(2, "d2", "d1", b"delta"))
        self.client.follower.wants_full = True
        now_us = run(self.server, {1: self.client}, now_us, SECOND)
        self.assertTrue(
            self.client.follower.wants_full, "the server does not have the complete version either"
        )
        full = ConfigurationChange(2, "d2", "", b"whole")
        self.server.state.apply_full_configuration(full)
        self.assertEqual(self.server.fanout.messages_to_send(1, now_us), [full])
        self.server.fanout.receive_progress(1, replace(acknowledged(4, 99), wants_full=True), now_us)
        self.assertNotIn(
            full,
            self.server.fanout.messages_to_send(1, now_us + BATCH_INTERVAL_US),
            "the complete version has just been sent",
        )
        self.server.fanout.receive_progress(
            1, replace(acknowledged(4, 100), wants_full=True), now_us + MIN_FULL_CONFIGURATION_INTERVAL_US
        )
        self.assertIn(
            full, self.server.fanout.messages_to_send(1, now_us + MIN_FULL_CONFIGURATION_INTERVAL_US)
        )


class Windows(unittest.TestCase):
    def test_a_slow_follower_is_sent_one_window_and_does_not_delay_others(self) -> None:
        server, slow, quick = Server(max_entries=2_000), Client("slow"), Client("quick")
        for stream, client in ((1, slow), (2, quick)):
            client.join(server, stream, 0)
        now_us = run(server, {1: slow, 2: quick}, 0, SECOND)
        batches = 0
        for _ in range(300):
            now_us += BATCH_INTERVAL_US
            server.add(20, now_us)
            exchange(server, 2, quick, now_us)
            if now_us < 4 * SECOND:  # silent from then on
                server.fanout.receive_progress(1, acknowledged(0, now_us), now_us)
            sent = server.fanout.messages_to_send(1, now_us)
            batches += sum(1 for message in sent if isinstance(message, Batch) and message.entries)
        self.assertEqual(batches, MAX_UNACKNOWLEDGED_BATCHES)
        self.assertEqual(quick.applied, [purge(number) for number in range(1, server.log.head + 1)])
        self.assertGreater(
            server.fanout.watermark(now_us),
            server.log.head - 100,
            "the slow follower no longer holds back the watermark",
        )
        self.assertIn(1, server.fanout.silent_streams(now_us))
        self.assertNotIn(2, server.fanout.silent_streams(now_us))

    def test_dropped_entries_are_replaced_by_a_snapshot(self) -> None:
        server, client = Server(max_entries=50), Client()
        client.join(server, 1, 0)
        now_us = run(server, {1: client}, 0, SECOND)
        server.fanout.close_stream(1, now_us)
        server.add(1_000, now_us)
        client.join(server, 2, now_us)
        sent = exchange(server, 2, client, now_us)
        self.assertEqual([type(message) for message in sent], [Snapshot])
        self.assertEqual(client.applied, [purge(number) for number in range(1, 1_001)])
        run(server, {2: client}, now_us, SECOND)
        self.assertEqual(client.follower.applied, 1_000)
        self.assertTrue(client.holds_lease(now_us + SECOND))

    def test_snapshots_have_a_limited_rate_and_a_blocked_follower_does_not_delay_others(self) -> None:
        server = Server()
        server.add(5)
        count = 3 * MAX_SNAPSHOTS_PER_S
        for stream in range(count):
            server.fanout.join(stream, joined(f"r{stream}", epoch=NO_EPOCH), 0)
        times: dict[int, int] = {}
        for now_us in range(0, 5 * SECOND, MS):
            for stream in server.fanout.due_streams(now_us):
                if stream % 10:  # every tenth follower does not read
                    sent = server.fanout.messages_to_send(stream, now_us)
                    waiting = [message.snapshot_pending for message in sent if isinstance(message, Batch)]
                    if any(isinstance(message, Snapshot) for message in sent):
                        self.assertNotIn(stream, times)
                        times[stream] = now_us
                    elif now_us < times.get(stream, 5 * SECOND):
                        self.assertTrue(all(waiting))
        self.assertEqual(len(times), count * 9 // 10)
        for from_us in times.values():
            within = [at for at in times.values() if from_us <= at < from_us + SECOND]
            self.assertLessEqual(len(within), MAX_SNAPSHOTS_PER_S + 1)
        self.assertLessEqual(max(times.values()), 4 * SECOND)

    def test_a_resumed_relay_does_not_send_all_snapshots_at_once(self) -> None:
        server = Server()
        for stream in range(200):
            server.fanout.join(stream, joined(f"r{stream}", epoch=NO_EPOCH), 0)
            server.fanout.messages_to_send(stream, 0)  # sends the snapshot, or reserves a slot for it
        sent = [
            message
            for stream in range(200)
            for message in server.fanout.messages_to_send(stream, 20 * SECOND)
        ]
        self.assertLessEqual(sum(1 for message in sent if isinstance(message, Snapshot)), 1)

    def test_a_follower_with_a_snapshot_without_the_newest_configuration_gets_it_once_it_is_known(
        self,
    ) -> None:
        server, client = Server(), Client()
        server.append(ConfigurationChange(2, "d2", "d1", b"delta"))
        client.join(server, 1, 0)
        now_us = run(server, {1: client}, 0, SECOND)
        self.assertEqual(client.follower.applied, 1)
        full = ConfigurationChange(2, "d2", "", b"whole")
        server.state.apply_full_configuration(full)
        self.assertIn(full, server.fanout.messages_to_send(1, now_us))


class Watermarks(unittest.TestCase):
    """The watermark. The follower ``r`` has applied all 3 entries and holds a lease at ``self.now_us``."""

    def setUp(self) -> None:
        self.server, self.client = Server(), Client()
        self.server.add(3)
        self.client.join(self.server, 1, 0)
        self.now_us = run(self.server, {1: self.client}, 0, 2 * SECOND)
        self.assertEqual(self.watermark(), 3)

    def watermark(self, after_us: int = 0) -> int:
        return self.server.fanout.watermark(self.now_us + after_us)

    def test_lost_acknowledgements_hold_the_watermark_until_the_lease_has_lapsed(self) -> None:
        self.server.add()
        now_us = self.now_us
        while self.server.fanout.watermark(now_us) < 4:
            exchange(self.server, 1, self.client, now_us, up=False)
            now_us += 10 * MS
        self.assertEqual(self.client.follower.applied, 4, "the follower receives the entry")
        self.assertFalse(self.client.holds_lease(now_us), "answers to old probes do not extend the lease")
        self.assertLessEqual(now_us, self.now_us + lease_lapse_us() + 10 * MS)

    def test_a_follower_that_receives_nothing_holds_the_watermark_until_its_lease_has_lapsed(self) -> None:
        self.server.add()
        now_us = run(self.server, {1: self.client}, self.now_us, 3 * SECOND, down=False)
        self.assertEqual((self.server.fanout.watermark(now_us), self.client.follower.applied), (3, 3))
        self.assertEqual(self.client.ended and self.client.ended.reason, EndReason.SILENCE)
        self.server.fanout.close_stream(1, now_us)
        self.assertTrue(self.client.holds_lease(now_us))
        self.assertEqual(
            self.server.fanout.watermark(now_us), 3, "it holds back the watermark without a stream"
        )
        while self.client.holds_lease(now_us):
            self.assertEqual(self.server.fanout.watermark(now_us), 3)
            now_us += 10 * MS
        self.assertEqual(self.server.fanout.watermark(now_us + lease_lapse_us()), 4)

    def test_an_acknowledgement_of_entries_that_were_not_sent_is_ignored(self) -> None:
        self.server.add(5)
        self.server.fanout.receive_progress(1, acknowledged(8, 90), self.now_us)
        self.assertEqual(self.watermark(), 3)
        self.server.fanout.receive_progress(1, acknowledged(8, 91, epoch=Epoch(0, 9)), self.now_us)
        self.assertEqual(self.watermark(), 3)
        (status,) = self.server.fanout.status(self.now_us)
        self.assertEqual(
            (status.applied, status.lag_entries, status.may_hold_lease, status.invalid_acknowledgements),
            (3, 5, True, 1),
        )

    def test_the_record_of_a_restarted_follower_remains_until_its_lease_has_lapsed(
        self,
    ) -> None:
        self.server.fanout.close_stream(1, self.now_us)
        self.server.add()
        restarted = Client(boot="b2")
        restarted.join(self.server, 2, self.now_us)
        run(self.server, {2: restarted}, self.now_us, 2 * SECOND)
        self.assertEqual((restarted.follower.applied, self.watermark(2 * SECOND)), (4, 3))
        self.assertTrue(
            self.client.holds_lease(self.now_us + 2 * SECOND),
            "the old process may be paused instead of killed",
        )
        self.assertEqual(self.watermark(lease_lapse_us()), 4)

    def test_a_restarted_follower_does_not_inherit_acknowledgements(
        self,
    ) -> None:
        self.server.fanout.close_stream(1, self.now_us)
        restarted = Client(boot="b2")
        restarted.join(self.server, 2, self.now_us)
        exchange(self.server, 2, restarted, self.now_us, down=False)
        self.assertEqual(self.server.fanout.status(self.now_us)[1].applied, 0)

    def test_a_new_follower_gets_no_proof_and_holds_back_nothing_before_acknowledging_the_head(
        self,
    ) -> None:
        self.server.add(100)
        now_us, other = self.now_us, Client("other")
        other.join(self.server, 2, now_us)
        run(self.server, {1: self.client}, now_us, SECOND)
        exchange(self.server, 2, other, now_us + SECOND)
        sent = exchange(self.server, 2, other, now_us + SECOND + BATCH_INTERVAL_US, up=False)
        self.assertEqual((len(sent), proofs(sent)), (1, []))
        self.assertEqual((self.watermark(SECOND), other.follower.applied), (103, 103))
        exchange(self.server, 2, other, now_us + 2 * SECOND)
        self.assertTrue(self.server.fanout.status(now_us + 2 * SECOND)[0].may_hold_lease)

    def test_no_proof_is_sent_while_the_window_is_full(self) -> None:
        self.server.add(MAX_UNACKNOWLEDGED_BATCHES * MAX_BATCH_ENTRIES + 1)
        sent = self.server.fanout.messages_to_send(1, self.now_us)
        self.assertEqual((len(sent), proofs(sent)), (MAX_UNACKNOWLEDGED_BATCHES, []))
        self.server.fanout.receive_progress(1, acknowledged(3 + MAX_BATCH_ENTRIES, 90), self.now_us)
        sent = self.server.fanout.messages_to_send(1, self.now_us)
        self.assertEqual([proof.head for proof in proofs(sent)], [self.server.log.head])

    def test_the_watermark_covers_only_entries_that_later_lease_holders_have_applied(self) -> None:
        server = Server()
        server.add()
        server.fanout.join(1, joined(applied=1), 0)
        server.fanout.receive_progress(1, acknowledged(1, 1), 0)
        server.add()
        self.assertEqual(
            server.fanout.watermark(300 * MS), 2, "the follower does not hold back the watermark yet"
        )
        server.add()  # becomes visible with the next cut, after the first proof
        watermark = server.fanout.watermark(320 * MS)
        (proof,) = proofs(server.fanout.messages_to_send(1, 330 * MS))
        self.assertEqual(proof.head, 2)
        self.assertLessEqual(watermark, proof.head)

    def test_a_follower_that_receives_nothing_and_keeps_rejoining_does_not_block_the_watermark(
        self,
    ) -> None:
        for second in range(12):
            self.server.add(100)
            now_us = run(self.server, {1: self.client}, self.now_us + second * SECOND, SECOND, down=False)
            self.server.fanout.close_stream(1, now_us)
            self.client.join(self.server, 1, now_us)
        self.assertFalse(self.client.holds_lease(now_us))
        self.assertEqual(self.server.fanout.watermark(now_us), self.server.log.head)

    def test_a_follower_with_late_acknowledgements_gets_no_proof_until_it_catches_up(self) -> None:
        self.server.add()
        self.server.fanout.messages_to_send(1, self.now_us)
        for lag_us, proven in ((MAX_ACKNOWLEDGE_DELAY_US, 1), (MAX_ACKNOWLEDGE_DELAY_US + SECOND, 0)):
            self.server.fanout.receive_progress(1, acknowledged(3, 90 + lag_us), self.now_us + lag_us)
            self.assertEqual(
                len(proofs(self.server.fanout.messages_to_send(1, self.now_us + lag_us))), proven
            )
        self.server.fanout.receive_progress(1, acknowledged(4, 10**9), self.now_us + 4 * SECOND)
        self.assertEqual(len(proofs(self.server.fanout.messages_to_send(1, self.now_us + 5 * SECOND))), 1)

    def test_the_same_process_on_another_stream_keeps_its_record(self) -> None:
        self.server.add()
        join = self.client.follower.connect(self.now_us)
        self.assertEqual(
            self.server.fanout.join(2, join, self.now_us), 1, "the earlier stream has to be ended"
        )
        with self.assertRaises(UnknownStreamError):
            self.server.fanout.receive_progress(1, acknowledged(4, 99), self.now_us)
        self.assertEqual(self.watermark(), 3)
        run(self.server, {2: self.client}, self.now_us, SECOND)
        self.assertEqual((self.watermark(SECOND), len(self.server.fanout.status(self.now_us))), (4, 1))

    def test_a_follower_that_released_its_lease_gets_no_proof_and_holds_back_nothing(self) -> None:
        self.server.add()
        self.server.fanout.receive_progress(1, self.client.follower.release_lease(self.now_us), self.now_us)
        self.assertEqual(self.watermark(), 4)
        self.assertEqual(
            proofs(self.server.fanout.messages_to_send(1, self.now_us + HEARTBEAT_INTERVAL_US)), []
        )
        self.assertEqual(self.watermark(HEARTBEAT_INTERVAL_US), 4)

    def test_a_planned_change_of_relay_does_not_hold_back_the_previous_watermark(self) -> None:
        better = Server()
        better.add(3)
        self.client.join(better, 7, self.now_us)
        self.server.add()
        with self.assertRaises(ValueError):
            self.client.follower.release_previous()
        now_us = run(better, {7: self.client}, self.now_us, SECOND)
        self.assertEqual(self.server.fanout.watermark(now_us), 3)
        self.server.fanout.receive_progress(1, self.client.follower.release_previous(), now_us)
        self.assertEqual(self.server.fanout.watermark(now_us), 4)
        better.add()
        self.assertEqual(better.fanout.watermark(now_us), 3, "the follower holds back the watermark there")

    def test_a_relay_holds_back_the_watermark_for_all_its_followers(self) -> None:
        self.server.fanout.join(5, joined("relay", applied=3), self.now_us)
        self.server.fanout.receive_progress(5, acknowledged(3, 1, watermark=2), self.now_us)
        self.server.add()
        self.server.fanout.messages_to_send(5, self.now_us)
        run(self.server, {1: self.client}, self.now_us, 2 * SECOND)
        self.server.fanout.receive_progress(5, acknowledged(4, 2, watermark=2), self.now_us)
        self.assertEqual(self.watermark(2 * SECOND), 3, "the watermark never decreases")
        self.server.fanout.receive_progress(5, acknowledged(4, 3, watermark=4), self.now_us)
        self.assertEqual(self.watermark(2 * SECOND), 4)

    def test_after_a_restart_the_watermark_is_0_while_leases_of_the_previous_source_may_hold(self) -> None:
        new = Server(LATER, watermark_from_us=self.now_us + lease_lapse_us())
        new.add(2)
        self.assertEqual(new.fanout.watermark(self.now_us + lease_lapse_us() - 1), 0)
        self.assertFalse(self.client.holds_lease(self.now_us + lease_lapse_us()))
        self.assertEqual(new.fanout.watermark(self.now_us + lease_lapse_us()), 2)

    def test_followers_of_the_previous_epoch_hold_back_the_watermark_of_the_new_one(self) -> None:
        self.server.log.restart(LATER, 1)  # the new source has lost the last two entries
        self.assertEqual(self.watermark(), 0)
        self.server.fanout.receive_progress(1, acknowledged(3, 0), self.now_us)
        self.assertEqual(self.watermark(), 0, "an acknowledgement of the previous epoch is ignored")
        now_us = run(self.server, {1: self.client}, self.now_us, SECOND)
        self.assertEqual((self.client.follower.epoch, self.client.follower.applied), (LATER, 1))
        self.assertEqual(self.server.fanout.watermark(now_us), 1)
        self.assertTrue(
            self.client.holds_lease(run(self.server, {1: self.client}, now_us, 2 * FRESHNESS_LEASE_US))
        )

    def test_records_of_many_restarts_are_removed(self) -> None:
        for run_number in range(200):
            self.server.fanout.join(100 + run_number, joined("other", boot=f"x{run_number}"), self.now_us)
            self.server.fanout.receive_progress(100 + run_number, acknowledged(0, 1), self.now_us)
            self.server.fanout.messages_to_send(100 + run_number, self.now_us)
            self.server.fanout.close_stream(100 + run_number, self.now_us)
        self.assertEqual(self.watermark(lease_lapse_us()), 3)
        self.assertLessEqual(len(self.server.fanout.status(self.now_us + lease_lapse_us())), 1)


class Rejections(unittest.TestCase):
    def test_a_server_with_a_lower_epoch_learns_the_higher_one(self) -> None:
        server = Server()
        for join in (joined(epoch=LATER), Join("r", "b", EPOCH, 0, "", highest_epoch=LATER)):
            with self.assertRaises(EpochSupersededError) as raised:
                server.fanout.join(1, join, 0)
            self.assertEqual(raised.exception.epoch, LATER)
        server.fanout.join(1, joined(), 0)
        with self.assertRaises(EpochSupersededError):
            server.fanout.receive_progress(1, acknowledged(0, 1, epoch=LATER), 0)

    def test_a_relay_that_lost_its_source_sends_followers_elsewhere(self) -> None:
        server = Server()
        for server.sync_age_us in (None, MAX_SERVING_SYNC_AGE_US):
            self.assertFalse(server.fanout.is_fresh(0))
            with self.assertRaises(UpstreamStaleError):
                server.fanout.join(1, joined(), 0)

    def test_messages_delayed_by_a_pause_of_the_relay_prove_nothing_newer(self) -> None:
        server, client = Server(), Client()
        server.add(3)
        client.join(server, 1, 0)
        now_us = run(server, {1: client}, 0, SECOND)
        before_us = client.follower.staleness.current_to_us
        delayed = server.fanout.messages_to_send(1, now_us + HEARTBEAT_INTERVAL_US)  # delivered 5 s later
        now_us += 5 * SECOND
        client.receive(delayed, now_us)
        self.assertEqual(client.follower.staleness.current_to_us, before_us)
        server.age_us = 5 * SECOND  # after its pause, its own last probe is 5 s old
        exchange(server, 1, client, now_us)
        age_us = client.follower.staleness.age_us(now_us)
        assert age_us is not None
        self.assertGreaterEqual(age_us, 5 * SECOND)


class Reports(unittest.TestCase):
    def test_lagging_followers_are_listed_by_name_over_all_relays(self) -> None:
        source = Server()
        source.append(ConfigurationChange(1, "d1", "", b"whole"))
        for stream, (name, digest) in enumerate([("a", "d1"), ("b", "d0"), ("c", "")]):
            source.fanout.join(stream, joined(name), 0)
            behind = tuple(f"{name}{number}" for number in range(10)) if digest == "d1" else ()
            source.fanout.receive_progress(
                stream,
                Progress(
                    EPOCH, 0, 1, 0, digest, lagging_names=behind, lagging_count=len(behind), follower_count=40
                ),
                0,
            )
        report = source.fanout.report(0)
        self.assertEqual((report.lagging_count, report.follower_count, report.epoch), (12, 123, EPOCH))
        self.assertEqual(set(report.lagging_names), {"b", "c", *(f"a{number}" for number in range(10))})


if __name__ == "__main__":
    unittest.main()
