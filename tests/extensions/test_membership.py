"""Membership in a router: its settings, the router counts by which the engine divides limits, and that a
router without membership loads none of its modules."""

from __future__ import annotations

import subprocess
import sys
import tempfile
import unittest
from dataclasses import replace
from pathlib import Path
from typing import Any

from magpieshift.capture import policy, segments
from magpieshift.capture.recorder import Recorder
from magpieshift.capture.replay import Replay
from magpieshift.capture.wire import capture_pb2 as wire
from magpieshift.capture.writer import Limits
from magpieshift.control.errors import UnusableDocumentError
from magpieshift.control.schema import load_data, to_data
from magpieshift.lab.emulators.loopback_installation import LoopbackInstallation
from tests.engine.engine_case import READ_REQUEST, EngineCase

MEMBERSHIP_SETTINGS = {
    "fleet": "f",
    "listen": "127.0.0.1:7946",
    "advertise": "10.0.0.1:7946",
    "alone": 0.25,
    "seeds": ["127.0.0.1:1", "127.0.0.1:2"],
    "council": ["a", "b", "c"],
}


class SettingsTest(unittest.TestCase):
    def data(self, **members: Any) -> dict[str, Any]:
        world = LoopbackInstallation()
        world.change_log.port = 9  # any port, as nothing is started
        return world.settings() | {"members": MEMBERSHIP_SETTINGS | members}

    def test_written_settings_are_read_as_the_same(self) -> None:
        document = load_data(self.data()).document
        assert document.membership is not None
        self.assertEqual(document.membership.advertise, ("10.0.0.1", 7946))
        self.assertEqual(load_data(to_data(document)).document, document)
        without = {name: value for name, value in self.data().items() if name != "members"}
        self.assertIsNone(load_data(without).document.membership)

    def test_invalid_settings_are_reported(self) -> None:
        invalid_settings: list[dict[str, Any]] = [
            {"listen": "nowhere"},
            {"seeds": ["127.0.0.1"]},
            {"council": ["a", "b"]},
            {"alone": 1.5},
        ]
        for invalid in invalid_settings:
            with self.subTest(invalid), self.assertRaises(UnusableDocumentError) as caught:
                load_data(self.data(**invalid))
            self.assertEqual(
                [problem.where for problem in caught.exception.problems], [f"members {next(iter(invalid))}"]
            )


class RouterCountsTest(EngineCase):
    def test_new_router_counts_apply_from_the_next_batch_on(self) -> None:
        document_settings = self.engine.in_force.document_settings
        self.engine.set_router_counts(7, 3)
        policy_settings = self.engine.policy_calls.policy.settings
        self.assertEqual(
            (policy_settings.router_count, policy_settings.zone_router_counts[policy_settings.zone]), (7, 3)
        )
        self.engine.set_sibling_processes(1)  # a second process of this router halves the quota
        policy_settings = self.engine.policy_calls.policy.settings
        self.assertEqual(
            (policy_settings.router_count, policy_settings.zone_router_counts[policy_settings.zone]), (14, 6)
        )
        self.assertIs(
            self.engine.in_force.document_settings, document_settings, "the document's own settings changed"
        )

    def test_the_quota_is_refreshed_before_the_policy_handles_a_batch(self) -> None:
        """A process that resumes after a pause must not use a lease that has expired meanwhile."""
        router_counts: list[int] = []
        self.engine.set_router_counts(2, 2)
        self.engine.refresh_quota = lambda: self.engine.set_router_counts(9, 9)
        handle = self.engine.policy_calls.policy.handle

        def handle_and_observe(now_us: int, events: Any) -> Any:
            router_counts.append(self.engine.policy_calls.policy.settings.router_count)
            return handle(now_us, events)

        self.engine.policy_calls.policy.handle = handle_and_observe  # type: ignore[method-assign]
        self.engine.submit(replace(READ_REQUEST, request_id="00000000000000aa"), lambda answer: None)
        self.engine.flush()
        self.assertEqual(router_counts, [9])


class CaptureTest(EngineCase):
    def test_a_capture_with_changes_of_the_router_counts_replays_the_same(self) -> None:
        """The policy's decisions depend on the router counts, so these have to be in the capture."""
        with tempfile.TemporaryDirectory() as folder:
            header = wire.Header(format=segments.FORMAT, policy_digest=policy.own_policy().digest)
            recorder = Recorder(str(Path(folder) / "capture"), header, Limits())
            recorder.start()
            del self.engine.policy_calls.policy.handle  # EngineCase's wrapper, which is not part of the state
            self.engine.policy_observer = recorder
            for routers in (2, 9, 1, 40):
                for _ in range(30):
                    self.submit()
                self.engine.set_router_counts(routers, routers)
            recorder.stop()
            result = Replay().run(segments.read(Path(folder) / "capture"))
            self.assertEqual((result.differences, result.reconfigurations), (0, 4))
            self.assertGreater(result.decisions, 40)


class WithoutMembershipTest(unittest.TestCase):
    def test_the_platforms_run_loads_no_optional_part(self) -> None:
        optional = (
            "m.startswith(('magpieshift.membership', 'magpieshift.overload', 'magpieshift.extensions'))"
        )
        code = f"import sys, magpieshift.app; print([m for m in sys.modules if {optional}])"
        done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=60)
        self.assertEqual(done.stdout.strip(), "[]", done.stderr)


if __name__ == "__main__":
    unittest.main()
