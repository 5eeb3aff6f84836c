"""Captures and policies of versions up to 723f792, whose classes and fields had other names."""

from __future__ import annotations

import dataclasses
import json
import tempfile
import unittest
from enum import Enum
from pathlib import Path
from types import ModuleType
from typing import Any

from magpieshift.capture import policy, segments, state
from magpieshift.capture.errors import PolicyError, StateError
from magpieshift.capture.recorded_names import CURRENT
from magpieshift.capture.replay import Player, Replay
from magpieshift.policy import actions, events, outcomes, settings
from magpieshift.policy import state as policy_state
from tests.recorded.exchange import ROOT

FORMER_CAPTURE = ROOT / "tests" / "capture" / "captures" / "queued-ejected-warming-written-by-723f792.seg"
INACTIVE_POLICY = """
class Router:
    def __init__(self, cfg, seed):
        self.cfg = cfg
        self.now = 0
        self.stores = {}
        self.jobs = {}
        self.actions = []

    def handle(self, now, events):
        self.now = now
        assert all(type(store).__name__ == "Store" for store in self.stores.values())
        assert all(job.req.patience_us > 0 for job in self.jobs.values())
        return []
"""
"""A policy of the former layout that returns no actions, and checks that its state has the former names."""


def former_source(*modules: ModuleType) -> str:
    """Source code that defines the classes of these modules under their former names."""
    lines = ["from dataclasses import dataclass", "from enum import IntEnum"]
    for module in modules:
        for name, cls in vars(module).items():
            if not isinstance(cls, type) or cls.__module__ != module.__name__:
                continue
            recorded = CURRENT.recorded_class(name)
            if issubclass(cls, Enum):
                lines.append(f"class {recorded}(IntEnum):")
                lines += [f"    {member.name} = {member.value}" for member in cls]
            elif dataclasses.is_dataclass(cls):
                names = CURRENT.recorded_fields(name, [field.name for field in dataclasses.fields(cls)])
                eq = "False" if cls.__module__ == policy_state.__name__ else "True"
                lines.append(f"@dataclass(eq={eq})\nclass {recorded}:")
                lines += [f"    {field}: object = None" for field in names] or ["    pass"]
    return "\n".join(lines) + "\n"


class FormerLayout(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.checkout = Path(folder.name)

    def write_former_policy(self) -> None:
        package = self.checkout / "molecleat"
        package.mkdir()
        (package / "__init__.py").touch()
        (package / "interface.py").write_text(former_source(settings, events, actions, outcomes))
        (package / "records.py").write_text(former_source(policy_state))
        (package / "control.py").write_text(INACTIVE_POLICY)
        (package / "retune.py").write_text("def retune(router, cfg, fresh):\n    router.cfg = cfg\n")
        (package / "heed.py").write_text(
            "class Leave: pass\nclass Allow: pass\ndef heed(router, now, acts): pass\n"
        )

    def test_a_capture_that_the_former_version_wrote_replays_alike(self) -> None:
        """The capture begins during traffic: requests are queued, one endpoint is ejected, two warm up."""
        seen: list[tuple[int, int, int]] = []

        def before(number: int, record: Any, player: Player) -> None:
            router = player.router
            endpoints = router.endpoints.values()
            if number == 0:
                seen.append(
                    (
                        sum(len(each.queue) for each in endpoints),
                        sum(each.ejected_until_us > record.now_us for each in endpoints),
                        sum(each.entry.started_us > 0 for each in endpoints),
                    )
                )

        result = Replay(before=before).run(segments.read(FORMER_CAPTURE))
        self.assertEqual((result.differences, result.missing, result.batches), (0, [], 1116))
        ((queued, ejected, started),) = seen
        self.assertEqual((queued, ejected), (19, 1))
        self.assertGreaterEqual(started, 2)

    def test_a_keyframe_keeps_its_recorded_form_byte_for_byte(self) -> None:
        (keyframe,) = (
            record.keyframe.state
            for record in segments.read(FORMER_CAPTURE)
            if not isinstance(record, segments.Missing) and record.HasField("keyframe")
        )
        player = Player(policy.own_policy(), is_strict=True)
        player.restore_state(keyframe)
        self.assertEqual(player.state(), keyframe)

    def test_a_policy_of_the_former_layout_runs_beside_this_one(self) -> None:
        self.write_former_policy()
        other = policy.load(str(self.checkout))
        self.assertEqual(other.names, policy.FORMER_LAYOUT.names)
        result = Replay(against=other).run(segments.read(FORMER_CAPTURE))
        self.assertGreater(result.differences, 500)
        self.assertEqual(result.subsequent_differences, 0, "this checkout's policy has diverged")
        self.assertLessEqual(
            {"kept waiting instead of sent", "kept waiting instead of refused"}, set(result.kinds)
        )

    def test_a_folder_without_a_policy_names_both_layouts(self) -> None:
        expected = "magpieshift/policy/router_policy.py or molecleat/control.py"
        with self.assertRaisesRegex(PolicyError, expected):
            policy.load(str(self.checkout))

    def test_a_policy_that_lacks_a_module_is_a_policy_error(self) -> None:
        self.write_former_policy()
        (self.checkout / "molecleat" / "heed.py").unlink()
        with self.assertRaisesRegex(PolicyError, "ModuleNotFoundError.*heed"):
            policy.load(str(self.checkout))


class UnknownNames(unittest.TestCase):
    """Guards against a class or field that is renamed without an entry in the table of recorded names.

    Its state would begin at the default, and the replay would differ much later or not at all. It must be an
    error that states the name.
    """

    def keyframe(self) -> Any:
        for record in segments.read(FORMER_CAPTURE):
            if not isinstance(record, segments.Missing) and record.HasField("keyframe"):
                return json.loads(record.keyframe.state)
        raise AssertionError(f"no keyframe in {FORMER_CAPTURE}")

    def assert_rejected(self, keyframe: Any, found: str) -> None:
        data = json.dumps(keyframe).encode()
        expected = f"^found {found}.*expected only names that this version knows$"
        with self.assertRaisesRegex(StateError, expected):
            state.restore(data, policy.own_policy(), is_strict=True)

    def test_an_unknown_field(self) -> None:
        root, rows, fields = self.keyframe()
        fields["Store"][fields["Store"].index("bad")] = "badness"
        self.assert_rejected([root, rows, fields], "badness in Store")
        # a restoration that is not strict, as for another version, ignores the field
        state.restore(json.dumps([root, rows, fields]).encode(), policy.own_policy())

    def test_an_unknown_attribute_of_the_router(self) -> None:
        root, rows, fields = self.keyframe()
        root["losses"] = root.pop("lost")
        self.assert_rejected([root, rows, fields], "losses in the router")

    def test_an_unknown_class(self) -> None:
        root, rows, fields = self.keyframe()
        rows = [["Shop" if name == "Store" else name, values] for name, values in rows]
        fields["Shop"] = fields.pop("Store")
        self.assert_rejected([root, rows, fields], "a record Shop")


class RecordedNamesTable(unittest.TestCase):
    def test_it_names_only_classes_and_fields_that_exist(self) -> None:
        """An entry left behind by a rename would have no effect without any error."""
        own = policy.own_policy()
        for name in CURRENT.classes:
            known = name == "RouterPolicy" or own.class_named(CURRENT.recorded_class(name)) is not None
            self.assertTrue(known, name)
        router = own.new_router(state.restore_record(self.encoded_settings(), own), 0)
        for name, renamed in CURRENT.fields.items():
            if name == "RouterPolicy":
                present = set(vars(router))
            else:
                cls = own.class_named(CURRENT.recorded_class(name))
                present = {field.name for field in dataclasses.fields(cls)}
            self.assertLessEqual(set(renamed), present, name)
            self.assertEqual(len(set(renamed.values())), len(renamed), f"{name}: duplicate recorded name")

    @staticmethod
    def encoded_settings() -> bytes:
        from tests.policy.helpers import settings as make_settings

        return state.encode(state.snapshot_record(make_settings()))


if __name__ == "__main__":
    unittest.main()
