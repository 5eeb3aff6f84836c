"""Mutation test: each defect that is deliberately injected into the fan-out's state machines is detected."""

from __future__ import annotations

import contextlib
import dataclasses
import itertools
import unittest
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple
from unittest import mock

from magpieshift.lab.simulated.fanout_histories import History
from magpieshift.lab.simulated.fanout_invariants import RuleBrokenError
from magpieshift.lab.simulated.fanout_outputs import OpenStream, SendMessage
from magpieshift.lab.simulated.fanout_processes import Router, Source
from magpieshift.relay import fanout, staleness_bound
from magpieshift.relay.fanout import Fanout
from magpieshift.relay.follower import Follower
from magpieshift.relay.follower_stream import FollowerStream
from magpieshift.relay.instructions import ApplyEntries, EndStream
from magpieshift.relay.limits import CLOCK_DRIFT, FRESHNESS_LEASE_US
from magpieshift.relay.log import SequencedLog
from magpieshift.relay.log_state import LogState
from magpieshift.relay.messages import DownstreamMessage, Epoch, Progress
from magpieshift.relay.staleness_bound import SourceStalenessBound, StalenessBound
from magpieshift.relay.watermark import Watermark
from tests.relay.test_exploration import SCENARIOS, explore

DefectPatch = contextlib.AbstractContextManager[Any]


def patched(owner: Any, name: str, make: Callable[[Any], Any]) -> DefectPatch:
    """Replace a method or function by the result of ``make`` applied to it."""
    return mock.patch.object(owner, name, make(getattr(owner, name)))


def ignore_the_lease() -> DefectPatch:
    return mock.patch.object(StalenessBound, "copy_age_limit_us", lambda self, now_us: 0)


def record_the_lease_only_from_the_second_proof() -> DefectPatch:
    def make(extend_lease: Any) -> Any:
        def defective(self: Any, follower: Any, until_us: int) -> None:
            if follower.lease_until_us is None:
                follower.lease_until_us = 0
            else:
                extend_lease(self, follower, until_us)

        return defective

    return patched(Watermark, "extend_lease", make)


def release_the_lease_when_a_stream_ends() -> DefectPatch:
    def make(forget_stream: Any) -> Any:
        def defective(self: Any, stream: int) -> None:
            self._followers.release_lease(self._streams[stream].follower)
            forget_stream(self, stream)

        return defective

    return patched(Fanout, "_forget_stream", make)


def keep_one_record_per_name() -> DefectPatch:
    def make(follower: Any) -> Any:
        def defective(self: Any, name: str, boot: str, now_us: int) -> Any:
            for key in [key for key in self.followers if key[0] == name and key[1] != boot]:
                del self.followers[key]
            return follower(self, name, boot, now_us)

        return defective

    return patched(Watermark, "follower", make)


@contextlib.contextmanager
def prove_before_the_head_was_sent() -> Iterator[None]:
    """Give a proof with a lower head than the cut's, and also to a follower that does not keep up: each
    defect alone is masked by the other check. A batch holds one entry, so that reaching the head takes
    several."""

    def make(proof: Any) -> Any:
        def defective(self: Any, receiver: Any, cut: Any, now_us: int) -> Any:
            return proof(
                self, receiver, dataclasses.replace(cut, head=min(cut.head, receiver.cursor)), now_us
            )

        return defective

    with (
        patched(Fanout, "_make_proof", make),
        mock.patch.object(FollowerStream, "is_keeping_up", lambda self, now_us: True),
        mock.patch.object(fanout, "MAX_BATCH_ENTRIES", 1),
    ):
        yield


def count_a_proof_before_its_head_is_applied() -> DefectPatch:
    def make(add_proof: Any) -> Any:
        def defective(self: Any, epoch: Any, proof: Any) -> None:
            add_proof(self, self._position[0], dataclasses.replace(proof, head=0))

        return defective

    return patched(StalenessBound, "add_proof", make)


def acknowledge_before_applying() -> DefectPatch:
    def make(progress: Any) -> Any:
        def defective(self: Any, now_us: int, report: Any) -> Any:
            message, (epoch, handed_out) = progress(self, now_us, report), self._handed_out
            if report is not None:
                return message
            return dataclasses.replace(message, epoch=epoch, applied=handed_out, watermark=handed_out)

        return defective

    return patched(Follower, "_make_progress", make)


def acknowledge_an_entry_not_received() -> DefectPatch:
    def make(progress: Any) -> Any:
        def defective(self: Any, now_us: int, report: Any) -> Any:
            made = progress(self, now_us, report)
            return (
                made
                if report
                else dataclasses.replace(made, applied=made.applied + 1, watermark=made.applied + 1)
            )

        return defective

    return patched(Follower, "_make_progress", make)


@contextlib.contextmanager
def accept_any_acknowledgement() -> Iterator[None]:
    def make(acknowledge: Any) -> Any:
        def defective(self: Any, receiver: Any, progress: Any) -> None:
            receiver.joined_with = max(receiver.joined_with, progress.applied)
            acknowledge(self, receiver, progress)

        return defective

    with acknowledge_an_entry_not_received(), patched(Fanout, "_acknowledge", make):
        yield


def advance_the_watermark_to_the_log_head() -> DefectPatch:
    def defective(self: Any, now_us: int) -> int:
        self._refresh_cut(now_us)
        self._followers.forget_expired(now_us)
        return 0 if now_us < self._watermark_from_us else int(self._followers.advance(self._log.head, now_us))

    return mock.patch.object(Fanout, "watermark", defective)


def assume_zero_age_at_a_relay() -> DefectPatch:
    return mock.patch.object(StalenessBound, "epoch_age_us", lambda self, now_us: 0)


def assume_zero_age_at_the_source() -> DefectPatch:
    return mock.patch.object(SourceStalenessBound, "age_us", lambda self, now_us: 0)


def let_a_stale_relay_extend_leases() -> DefectPatch:
    return mock.patch.object(
        StalenessBound, "epoch_age_us", lambda self, now_us: min(FRESHNESS_LEASE_US // 2, 10**6)
    )


def skip_entries_silently() -> DefectPatch:
    def make(after: Any) -> Any:
        def defective(self: Any, sequence: int, up_to: int | None = None) -> Any:
            return after(self, sequence, up_to)[1:] if sequence % 7 == 6 else after(self, sequence, up_to)

        return defective

    return patched(SequencedLog, "entries_after", make)


def apply_duplicates_as_new() -> DefectPatch:
    def make(batch: Any) -> Any:
        def defective(self: Any, message: Any, now_us: int) -> Any:
            instructions = batch(self, message, now_us)
            if not message.entries or any(isinstance(instruction, EndStream) for instruction in instructions):
                return instructions
            return [ApplyEntries(message.epoch, message.first, message.entries)]

        return defective

    return patched(Follower, "_receive_batch", make)


@contextlib.contextmanager
def ignore_the_clock_drift() -> Iterator[None]:
    with (
        mock.patch.object(staleness_bound, "max_elapsed_us", lambda duration_us: duration_us),
        mock.patch.object(fanout, "max_elapsed_us", lambda duration_us: duration_us),
        mock.patch.object(fanout, "lease_lapse_us", lambda: FRESHNESS_LEASE_US),
    ):
        yield


def advance_the_watermark_right_after_a_start() -> DefectPatch:
    def make(begin: Any) -> Any:
        def defective(self: Any, *args: Any, **options: Any) -> None:
            begin(self, *args, **options | {"watermark_from_us": 0})

        return defective

    return patched(Fanout, "__init__", make)


def report_only_the_log_head_of_the_relay() -> DefectPatch:
    def make(report: Any) -> Any:
        def defective(self: Any, now_us: int) -> Any:
            return dataclasses.replace(report(self, now_us), watermark=self._log.head)

        return defective

    return patched(Fanout, "report", make)


def send_snapshots_without_purges() -> DefectPatch:
    def make(snapshot: Any) -> Any:
        def defective(self: Any, *args: Any) -> Any:
            return dataclasses.replace(snapshot(self, *args), purges=())

        return defective

    return patched(LogState, "snapshot", make)


def record_half_the_lease_duration() -> DefectPatch:
    return mock.patch.object(fanout, "lease_lapse_us", lambda: FRESHNESS_LEASE_US // 2)


def release_the_previous_lease_too_early() -> DefectPatch:
    return mock.patch.object(Follower, "lease_from_stream", True)


@contextlib.contextmanager
def ignore_the_epoch() -> Iterator[None]:
    """Ignore the epoch both at a join and in a batch: each defect alone is masked by the other check."""

    def make_join(join: Any) -> Any:
        def defective(self: Any, stream: int, message: Any, now_us: int) -> Any:
            changed_join = dataclasses.replace(message, epoch=self._epoch, highest_epoch=self._epoch)
            return join(self, stream, changed_join, now_us)

        return defective

    def make_batch(batch: Any) -> Any:
        def defective(self: Any, message: Any, now_us: int) -> Any:
            self.highest_epoch = self._handed_out[0]
            return batch(self, dataclasses.replace(message, epoch=self._handed_out[0]), now_us)

        return defective

    with patched(Fanout, "join", make_join), patched(Follower, "_receive_batch", make_batch):
        yield


class DefectCase(NamedTuple):
    """A defect, and the exploration scenario that detects it; if empty, random histories do."""

    inject: Callable[[], DefectPatch]
    scenario: str = ""


DEFECTS = (
    DefectCase(ignore_the_epoch),
    DefectCase(ignore_the_lease),
    DefectCase(record_the_lease_only_from_the_second_proof, "a router reconnected"),
    DefectCase(release_the_lease_when_a_stream_ends),
    DefectCase(keep_one_record_per_name),
    DefectCase(prove_before_the_head_was_sent, "a lagging router"),
    DefectCase(count_a_proof_before_its_head_is_applied, "a paused relay resumes"),
    DefectCase(acknowledge_before_applying),
    DefectCase(acknowledge_an_entry_not_received),
    DefectCase(accept_any_acknowledgement),
    DefectCase(advance_the_watermark_to_the_log_head, "a paused relay resumes"),
    DefectCase(assume_zero_age_at_a_relay),
    DefectCase(assume_zero_age_at_the_source),
    DefectCase(let_a_stale_relay_extend_leases),
    DefectCase(skip_entries_silently),
    DefectCase(apply_duplicates_as_new, "a router ahead of its relay"),
    DefectCase(advance_the_watermark_right_after_a_start),
    DefectCase(report_only_the_log_head_of_the_relay),
    DefectCase(send_snapshots_without_purges),
    DefectCase(record_half_the_lease_duration),
    DefectCase(release_the_previous_lease_too_early, "a change of relay"),
)
MAX_HISTORIES = 12  # most defects are detected by the first history


class InjectedDefects(unittest.TestCase):
    def test_each_defect_is_detected(self) -> None:
        for inject, scenario in DEFECTS:
            with self.subTest(inject.__name__):
                with inject(), self.assertRaises(RuleBrokenError) as found:
                    if scenario:
                        explore(next(known for known in SCENARIOS if known.name == scenario))
                    for seed in range(MAX_HISTORIES):
                        History(seed).run()
                print(f"{inject.__name__}: {found.exception}")


class LeaseEnd(unittest.TestCase):
    """The end of a lease, with clocks whose rates differ by up to ``CLOCK_DRIFT``."""

    def test_the_source_waits_for_every_lease_holder(self) -> None:
        for rates in RATES:
            with self.subTest(rates):
                self.assertGreater(leased_for_us(*rates), FRESHNESS_LEASE_US // 2)

    def test_ignoring_the_clock_drift_is_detected(self) -> None:
        with ignore_the_clock_drift(), self.assertRaises(RuleBrokenError):
            for rates in RATES:
                leased_for_us(*rates)


RATES = tuple(itertools.product((-CLOCK_DRIFT / 2, 0.0, CLOCK_DRIFT / 2), repeat=2))
STEP_US = 500


def leased_for_us(follower_rate: float, server_rate: float) -> int:
    """Time for which a router holds its lease after the last proof of a source. ``RuleBrokenError`` if the
    router holds it while the source assumes that it has lapsed."""

    def by_router(now_us: int) -> int:
        return now_us + int(now_us * follower_rate)

    def by_source(now_us: int) -> int:
        return now_us + int(now_us * server_rate)

    source = Source("S", "S/1", Epoch(1, 1), 0)
    router = Router("E", "E/1", 0)
    for now_us in (10_000_000, 11_000_000, 12_000_000):  # join, snapshot, proof
        source.read([], by_source(now_us), by_source(now_us))
        outputs_on_connect = router.connect("S", by_router(now_us)) if router.stream_id is None else []
        for output in [*outputs_on_connect, *router.acknowledge(by_router(now_us))]:
            if isinstance(output, OpenStream):
                source.receive_from_follower(0, output.join, by_source(now_us))
            elif isinstance(output, SendMessage) and isinstance(output.message, Progress):
                source.receive_from_follower(0, output.message, by_source(now_us))
        for output in source.send_due(0, by_source(now_us)):
            if isinstance(output, SendMessage) and isinstance(output.message, DownstreamMessage):
                router.receive_from_server(0, output.message, by_router(now_us))
    began_us = now_us
    while router.copy_age_limit(by_router(now_us)) == 0:
        (status,) = source.fanout.status(by_source(now_us))
        if not status.may_hold_lease:
            raise RuleBrokenError(
                f"watermark: the lease is held after {now_us - began_us} us, expected lapsed by the source"
            )
        now_us += STEP_US
    return now_us - began_us


if __name__ == "__main__":
    unittest.main()
