"""Capture and replay without sockets: serialized states, records, files, the recorder, and comparisons."""

import os
import shutil
import tempfile
import threading
import time
import unittest
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from magpieshift.capture import codec, cut, explanation, policy, segments, state
from magpieshift.capture.errors import CaptureError, StateError
from magpieshift.capture.recorder import MAX_BACKLOG, Recorder
from magpieshift.capture.replay import Player, Replay, ReplayResult
from magpieshift.capture.segments import Missing
from magpieshift.capture.wire import capture_pb2 as wire
from magpieshift.capture.writer import Limits
from magpieshift.policy.actions import Action
from magpieshift.policy.events import PurgeReceived, RequestReceived
from tests.policy import test_properties as random_runs
from tests.policy.helpers import settings as make_settings
from tests.recorded.exchange import ROOT, WAIT_TIMEOUT_S

OWN = policy.own_policy()
HEADER = wire.Header(format=1, router="t", policy_digest=OWN.digest)
SCRIPT = [("ask", 7 * i) if i % 3 else ("end", i) for i in range(60)] + [("wait", 500)]


class RecordedRouter:
    """Stands in for a router, and passes its batches through a recorder."""

    def __init__(self, router: Any, recorder: Any) -> None:
        self._router, self._recorder = router, recorder

    def handle(self, now_us: int, events: Any) -> list[Action]:
        found: list[Action] = self._recorder.handle(self._router, now_us, list(events))
        return found

    def __getattr__(self, name: str) -> Any:
        return getattr(self._router, name)


class BatchLog:
    """A recorder that keeps each batch in memory, with the state before it."""

    def __init__(self) -> None:
        self.batches: list[tuple[bytes, int, Any, list[Action]]] = []

    def handle(self, router: Any, now_us: int, events: Any) -> list[Action]:
        before = state.encode(state.snapshot(router))
        actions: list[Action] = router.handle(now_us, events)
        self.batches.append((before, now_us, events, list(actions)))
        return actions


def record_script(script: list[tuple[str, int]], recorder: Any) -> Any:
    """Run a script of random events through a recorder; returns the router."""
    checker = random_runs.PolicyChecker()
    router = checker.router
    checker.router = RecordedRouter(router, recorder)  # type: ignore[assignment]
    for operation, argument in script:
        getattr(checker, operation)(argument)
    return router


class States(unittest.TestCase):
    @given(random_runs.steps, st.integers(0, 1000))
    @settings(derandomize=True, max_examples=60, deadline=None)
    def test_a_state_restored_at_any_batch_decides_the_same_afterwards(
        self, script: list[tuple[str, int]], at: int
    ) -> None:
        batch_log = BatchLog()
        router = record_script(script, batch_log)
        if not batch_log.batches:
            return
        start = at % len(batch_log.batches)
        restored = state.restore(batch_log.batches[start][0], OWN)
        for before, now_us, events, actions in batch_log.batches[start:]:
            self.assertEqual(state.encode(state.snapshot(restored)), before)
            self.assertEqual(restored.handle(now_us, events), actions)
        self.assertEqual(state.encode(state.snapshot(restored)), state.encode(state.snapshot(router)))

    def test_shared_objects_are_restored_as_shared(self) -> None:
        router = record_script(SCRIPT, BatchLog())
        restored = state.restore(state.encode(state.snapshot(router)), OWN)
        self.assertTrue(restored.attempts)
        for attempt in restored.attempts.values():
            endpoint = attempt.endpoint
            self.assertIs(endpoint, restored.endpoints.get(endpoint.entry.number, endpoint))
            self.assertIn(
                attempt.answer_times, [t for t in endpoint.answer_times.values() if t is attempt.answer_times]
            )
        for cache in restored.caches.values():
            self.assertIs(cache, restored.endpoints[cache.entry.number])

    @given(st.binary(max_size=80), st.integers(0, 5000))
    @settings(max_examples=80, deadline=None)
    def test_invalid_bytes_raise_no_other_error_than_state_errors(self, random_bytes: bytes, at: int) -> None:
        complete = state.encode(state.snapshot(random_runs.PolicyChecker().router))
        for data in (
            random_bytes,
            complete[: at % len(complete)],
            complete[: at % len(complete)] + random_bytes + complete[at % len(complete) :],
        ):
            try:
                state.restore(data, OWN)
            except StateError:
                continue

    @given(random_runs.steps)
    @settings(derandomize=True, max_examples=30, deadline=None)
    def test_events_and_actions_are_read_back_as_written(self, script: list[tuple[str, int]]) -> None:
        batch_log, reader = BatchLog(), codec.Codec(OWN)
        record_script(script, batch_log)
        for _, _, events, actions in batch_log.batches:
            self.assertEqual([reader.read_event(codec.write_event(event)) for event in events], events)
            for action in actions:
                self.assertEqual(
                    reader.read_action(codec.write_action(action)), reader.convert_action(action)
                )

    def test_an_object_number_may_exceed_64_bits(self) -> None:
        event = PurgeReceived(1 << 64, 0, 5)  # the number of the object with key 0
        self.assertEqual(codec.Codec(OWN).read_event(codec.write_event(event)), event)


class FolderCase(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def recorder(self, **limits: Any) -> Recorder:
        recorder = Recorder(
            self.folder / "capture", wire.Header.FromString(HEADER.SerializeToString()), Limits(**limits)
        )
        recorder.start()
        return recorder

    def record(self, script: list[tuple[str, int]] = SCRIPT, **limits: Any) -> Recorder:
        recorder = self.recorder(**limits)
        record_script(script, recorder)
        recorder.stop()
        return recorder

    def read(self) -> Iterator[wire.Record | Missing]:
        return segments.read(self.folder / "capture")

    def replayed(self, **options: Any) -> ReplayResult:
        return Replay(**options).run(self.read())

    @staticmethod
    def wait_until(condition: Callable[[], bool]) -> None:
        end = time.monotonic() + WAIT_TIMEOUT_S
        while not condition():
            if time.monotonic() > end:
                raise AssertionError(f"condition not met within {WAIT_TIMEOUT_S} s")
            time.sleep(0.005)


class Recording(FolderCase):
    def test_a_replay_decides_the_same(self) -> None:
        recorder = self.record()
        result = self.replayed()
        self.assertEqual((result.differences, result.batches), (0, recorder.batches))
        self.assertGreater(result.decisions, 40)
        self.assertEqual(result.policy_digests, {OWN.digest})

    def test_segments_rotate_within_the_budget_and_each_replays_by_itself(self) -> None:
        recorder = self.recorder(segment_bytes=10_000, segment_s=60.0, budget_bytes=40_000)
        with mock.patch("magpieshift.capture.writer.POLL_INTERVAL_S", 0.001):
            checker = random_runs.PolicyChecker()
            checker.router = RecordedRouter(checker.router, recorder)  # type: ignore[assignment]
            for i in range(400):
                checker.ask(i)
                checker.end(i)
                self.wait_until(lambda: recorder.backlog == 0)
        recorder.stop()
        paths = segments.files(self.folder / "capture")
        self.assertGreater(int(paths[0].stem[-8:]), 1, "the oldest segments are still there")
        self.assertLess(sum(path.stat().st_size for path in paths), 40_000)
        for path in paths:
            result = Replay().run(segments.read(path))
            self.assertEqual((result.differences, result.skipped_batches), (0, 0))
            self.assertGreater(result.batches, 0)
        self.assertEqual(self.replayed().differences, 0)

    def test_a_policy_that_raises_in_the_middle_of_a_batch(self) -> None:
        recorder = self.recorder()
        checker = random_runs.PolicyChecker()
        router = checker.router
        checker.router = RecordedRouter(router, recorder)  # type: ignore[assignment]
        checker.ask(1)
        invalid = RequestReceived(99, 77, 0, 5, 10**6, 0.0, 1, 0, False, False)  # class 77 does not exist
        valid = RequestReceived(98, 0, 0, 5, 10**6, 0.0, 1, 0, False, False)
        with self.assertRaises(IndexError):
            checker.router.handle(checker.now, [valid, invalid])
        checker.end(0)
        recorder.stop()
        result = self.replayed()
        self.assertEqual((result.differences, result.raised), (0, 1))

    def test_time_that_stands_still_and_goes_back(self) -> None:
        recorder = self.recorder()
        checker = random_runs.PolicyChecker()
        checker.router = RecordedRouter(checker.router, recorder)  # type: ignore[assignment]
        for i in range(5):
            checker.ask(i)  # all at the same microsecond
        checker.now -= 10_000
        checker.deadline = dict.fromkeys(checker.deadline, checker.now + 10**9)
        checker.router.handle(checker.now, [PurgeReceived(3, 1, 5)])
        recorder.stop()
        self.assertEqual(self.replayed().differences, 0)

    def test_a_configuration_that_changes_in_the_middle(self) -> None:
        from magpieshift.policy.reconfigure import reconfigure

        recorder = self.recorder()
        checker = random_runs.PolicyChecker()
        router = checker.router
        checker.router = RecordedRouter(router, recorder)  # type: ignore[assignment]
        for i in range(10):
            checker.ask(i)
        new = make_settings(*random_runs.CLASSES, coalesces_fills=True, drain_grace_us=0, max_attempts=2)
        reconfigure(router, new, frozenset({1}))
        recorder.reconfigured(new, [1])
        for i in range(20):
            checker.ask(i)
            checker.end(3 * i)
        recorder.stop()
        result = self.replayed()
        self.assertEqual((result.differences, result.reconfigurations), (0, 1))

    def test_a_stuck_disk_costs_complete_batches_and_is_logged(self) -> None:
        """The event loop is not delayed, memory is bounded, and recording resumes with a keyframe."""
        release, write_began = threading.Event(), threading.Event()
        real = os.write

        def write(file: int, data: bytes) -> int:
            write_began.set()
            release.wait(WAIT_TIMEOUT_S)
            return real(file, data)

        recorder = self.recorder()
        checker = random_runs.PolicyChecker()
        checker.router = RecordedRouter(checker.router, recorder)  # type: ignore[assignment]
        with (
            mock.patch("os.write", write),
            self.assertLogs("magpieshift.capture", "WARNING") as logs,
        ):
            checker.ask(0)
            self.wait_until(write_began.is_set)
            for i in range(MAX_BACKLOG):
                checker.purge(i)
                self.assertLess(recorder.backlog, MAX_BACKLOG + 10)
            self.assertGreater(recorder.dropped, 0)
            release.set()
            self.wait_until(lambda: recorder.backlog == 0)
            for i in range(30):
                checker.ask(i)
            recorder.stop()
        result = self.replayed()
        self.assertEqual((result.differences, recorder.gaps), (0, 1))
        self.assertEqual(result.batches, recorder.batches)
        self.assertRegex(result.missing[0], rf"{recorder.dropped} batches dropped")
        self.assertEqual(len(logs.records), 2, logs.output)  # interrupted and resumed

    def test_a_full_disk_is_logged_once_and_recording_resumes_when_there_is_room(self) -> None:
        full = mock.patch("os.write", side_effect=OSError(28, "No space left on device"))
        recorder = self.recorder()
        checker = random_runs.PolicyChecker()
        checker.router = RecordedRouter(checker.router, recorder)  # type: ignore[assignment]
        with (
            self.assertLogs("magpieshift.capture", "WARNING") as logs,
            mock.patch("magpieshift.capture.writer.RETRY_DELAY_S", 0.01),
        ):
            with full:
                checker.ask(0)
                self.wait_until(lambda: bool(recorder.failure))
                for i in range(50):
                    checker.ask(i)
            self.wait_until(lambda: not recorder.failure)
            for i in range(20):
                checker.end(i)
            recorder.stop()
        self.assertEqual(len([r for r in logs.records if r.message == "capture write failed"]), 1)
        result = self.replayed()
        self.assertEqual((result.differences, result.batches), (0, 20))


class Files(FolderCase):
    def replay_damaged(self, change: Callable[[bytes], bytes]) -> ReplayResult:
        self.record(SCRIPT * 3, segment_s=0.0)
        (path, *_) = segments.files(self.folder / "capture")
        path.write_bytes(change(path.read_bytes()))
        result = self.replayed()
        self.assertEqual(result.differences, 0)
        return result

    def test_an_incomplete_block_at_the_end_of_a_file(self) -> None:
        """The file ends in an incomplete block, as after SIGKILL; the complete blocks can be replayed."""
        result = self.replay_damaged(lambda data: data[:-9])
        self.assertIn("torn off", result.missing[0])

    def test_a_damaged_block_is_named_and_what_follows_replays_from_the_next_keyframe(self) -> None:
        self.record(SCRIPT)
        first = segments.files(self.folder / "capture")[0]
        shutil.copy(first, self.folder / "copy")
        self.record(SCRIPT)
        data = bytearray(first.read_bytes())
        data[len(data) // 2] ^= 4
        first.write_bytes(data)
        result = self.replayed()
        self.assertEqual((result.differences, len(result.missing)), (0, 1))
        self.assertEqual(result.batches, Replay().run(segments.read(self.folder / "copy")).batches)

    @given(st.binary(max_size=60), st.integers(0, 10_000))
    @settings(max_examples=80, deadline=None)
    def test_damaged_files_raise_no_other_error_than_capture_errors(
        self, random_bytes: bytes, at: int
    ) -> None:
        complete = segments.FILE_HEADER % 1 + segments.encode_block([wire.Record(header=HEADER)] * 3)
        at %= len(complete)
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "x"
            for data in (
                random_bytes,
                complete[:at] + random_bytes,
                complete[:at] + random_bytes + complete[at:],
            ):
                path.write_bytes(data)
                try:
                    found = list(segments.read(path))
                except CaptureError:
                    continue
                self.assertTrue(all(isinstance(r, Missing) or r == wire.Record(header=HEADER) for r in found))

    def test_a_file_of_another_format_is_an_error(self) -> None:
        for name, text in (("a", b"GIF89a..."), ("b", segments.FILE_HEADER % 9)):
            (self.folder / name).write_bytes(text)
            with self.assertRaisesRegex(CaptureError, "expected"):
                list(segments.read(self.folder / name))
        with self.assertRaisesRegex(CaptureError, "is not a capture"):
            list(segments.read(self.folder))


class Comparing(FolderCase):
    def load_altered_policy(self, old: str, new: str, file: str = "router_policy.py") -> policy.Policy:
        """Load a copy of the policy with one text replaced, from a folder of its own."""
        policy_folder = self.folder / "altered" / "magpieshift" / "policy"
        policy_folder.parent.mkdir(parents=True)
        shutil.copy(ROOT / "magpieshift" / "__init__.py", policy_folder.parent)
        shutil.copytree(
            ROOT / "magpieshift" / "policy", policy_folder, ignore=shutil.ignore_patterns("__pycache__")
        )
        text = (policy_folder / file).read_text()
        self.assertEqual(text.count(old), 1)
        (policy_folder / file).write_text(text.replace(old, new))
        return policy.load(str(self.folder / "altered"))

    def test_the_same_policy_from_another_folder_differs_in_nothing(self) -> None:
        self.record()
        result = self.replayed(against=policy.load(str(ROOT)))
        self.assertEqual((result.differences, result.kinds), (0, {}))

    def test_a_policy_that_never_tries_the_second_parent_differs(self) -> None:
        other = self.load_altered_policy("PARENTS_TRIED = 2", "PARENTS_TRIED = 1", "placement.py")
        self.assertNotEqual(other.digest, OWN.digest)
        self.record([("ask", i) for i in range(0, 300, 3)] + [("end", i) for i in range(200)])
        result = self.replayed(against=other)
        self.assertGreater(result.differences, 0)
        self.assertLess(result.differences, result.batches / 2)
        lines = explanation.difference_report(result, explanation.LogIds({21: "hub-a"}), self.read)
        self.assertLess(len(lines), 60)
        self.assertIn("by kind", lines[0])
        self.assertTrue(any("the policy's state right before" in line for line in lines), lines)
        self.assertTrue(any("parent, ready" in line and "fills" in line for line in lines), lines)

    def test_a_policy_that_diverges_continues_from_the_next_keyframe(self) -> None:
        self.record()
        self.record()
        other = self.load_altered_policy("INITIAL_LIMIT = 4", "INITIAL_LIMIT = 2", "admission.py")
        replay = Replay(other)
        result = replay.run(self.read())
        self.assertNotEqual(result.policy_digests, {other.digest})
        self.assertLessEqual(result.differences, 4)

    def test_the_course_of_a_request_is_explained(self) -> None:
        recorder = self.recorder()
        checker = random_runs.PolicyChecker()
        checker.router = RecordedRouter(checker.router, recorder)  # type: ignore[assignment]
        recorder.register_name(1, "00aa11bb22cc33dd")
        checker.ask(4)
        checker.end(8)
        checker.end(0)
        recorder.stop()
        number = explanation.find_request(self.read, "00aa11bb22cc33dd")
        lines = explanation.explain_request(self.read, number)
        self.assertTrue(any("request for object" in line for line in lines), lines)
        self.assertTrue(any("decided: send" in line or "decided: get" in line for line in lines), lines)
        self.assertTrue(any("attempt 0 at" in line for line in lines), lines)
        with self.assertRaises(LookupError):
            explanation.find_request(self.read, "unknown")

    def test_a_part_cut_out_replays_like_the_whole(self) -> None:
        self.record(SCRIPT * 4)
        all_batches = [r.batch for r in self.read() if isinstance(r, wire.Record) and r.HasField("batch")]
        start, end = all_batches[len(all_batches) // 3].now_us, all_batches[2 * len(all_batches) // 3].now_us
        wanted = sum(1 for batch in all_batches if start <= batch.now_us <= end)
        batches, size = cut.cut(self.read, self.folder / "part", start, end)
        result = Replay().run(segments.read(self.folder / "part"))
        self.assertEqual((batches, result.batches, result.differences), (wanted, wanted, 0))
        self.assertEqual(size, (self.folder / "part").stat().st_size)
        with self.assertRaises(CaptureError):
            cut.cut(self.read, self.folder / "none", 0, 1)

    def test_the_regression_captures_replay(self) -> None:
        """Captures of past failures. If a change of the policy is meant to decide differently in one of them,
        it has to be recorded again."""
        found = sorted((ROOT / "tests" / "capture" / "captures").glob("*.seg"))
        self.assertTrue(found)
        for path in found:
            with self.subTest(path.name):
                result = Replay().run(segments.read(path))
                self.assertEqual((result.differences, result.missing), (0, []))
                self.assertGreater(result.batches, 20)


class Keyframes(FolderCase):
    def test_a_keyframe_with_another_state_is_a_difference(self) -> None:
        """A keyframe that differs from the replayed state must be reported. Here only a running
        mean differs, which need not change a decision for a while."""
        batch_log = BatchLog()
        router = record_script(SCRIPT, batch_log)
        recorded_keyframe = wire.Record(keyframe=wire.Keyframe(state=batch_log.batches[0][0]))
        player = Player(OWN)
        player.restore_state(batch_log.batches[0][0])
        router = player.router
        router.fill_times_us[0] += 1.0
        altered_keyframe = wire.Record(keyframe=wire.Keyframe(state=player.state()))
        result = Replay().run([recorded_keyframe, altered_keyframe])
        self.assertEqual(dict(result.kinds), {"other state at a keyframe": 1})


if __name__ == "__main__":
    unittest.main()
