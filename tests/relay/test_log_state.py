"""``LogState``: endpoint list, recent purges and configuration."""

from __future__ import annotations

import json
import time
import unittest
from typing import Any

from magpieshift.relay.log_state import LogState, RecentPurges
from magpieshift.relay.messages import ConfigurationChange, EndpointListChange, Purge
from tests.relay.simulated_peers import EPOCH, LATER, SECOND, full_versions_only, purge


def fleet(*members: tuple[str, str], complete: bool = False) -> EndpointListChange:
    rows = [{"id": endpoint_id, "phase": phase} for endpoint_id, phase in members]
    return EndpointListChange(json.dumps({"revision": 3, "complete": complete, "members": rows}))


def version(number: int, base: int = 0) -> ConfigurationChange:
    return ConfigurationChange(number, f"d{number}", f"d{base}" if base else "", b"text %d" % number)


def apply_delta(
    newest: ConfigurationChange | None, change: ConfigurationChange
) -> ConfigurationChange | None:
    fits = newest is not None and newest.digest == change.base_digest
    return version(change.number) if fits else None


def listed(state: LogState) -> tuple[bool, dict[str, str]]:
    value: dict[str, Any] = json.loads(state.snapshot(EPOCH, 1, 0).endpoint_list_json)
    return value["complete"], {member["id"]: member["phase"] for member in value["members"]}


class EndpointLists(unittest.TestCase):
    def test_a_complete_list_replaces_and_a_partial_one_merges(self) -> None:
        state = LogState(full_versions_only)
        self.assertEqual(state.snapshot(EPOCH, 0, 0).endpoint_list_json, "")
        state.apply_entry(fleet(("a", "SERVING"), ("b", "SERVING"), complete=True), 0)
        state.apply_entry(fleet(("b", "DRAINING"), ("c", "SERVING"), ("a", "DELETED")), 0)
        self.assertEqual(listed(state), (True, {"b": "DRAINING", "c": "SERVING"}))
        state.apply_entry(fleet(("d", "SERVING"), complete=True), 0)
        self.assertEqual(listed(state), (True, {"d": "SERVING"}))

    def test_without_a_complete_list_deleted_endpoints_are_listed_and_the_list_is_incomplete(self) -> None:
        state = LogState(full_versions_only)
        state.apply_entry(fleet(("a", "DELETED"), ("b", "SERVING")), 0)
        self.assertEqual(listed(state), (False, {"a": "DELETED", "b": "SERVING"}))

    def test_an_unreadable_list_is_counted_and_changes_nothing(self) -> None:
        state = LogState(full_versions_only)
        state.apply_entry(fleet(("a", "SERVING"), complete=True), 0)
        for text in ("{", "[]", '{"members": [{}]}', '{"members": 3}', '{"members": [4], "complete": true}'):
            state.apply_entry(EndpointListChange(text), 0)
        self.assertEqual((listed(state), state.unreadable_lists), ((True, {"a": "SERVING"}), 5))


class Purges(unittest.TestCase):
    def test_very_many_expired_purges_are_removed_quickly(self) -> None:
        count = 150_000
        recent = RecentPurges(SECOND, count)
        for number in range(count):
            recent.add(purge(number), 0)
        begin = time.process_time()
        self.assertEqual(recent.retained(2 * SECOND), ())
        # takes 0.2 s; half a minute if each removal scans the deleted slots of a plain dict
        self.assertLess(time.process_time() - begin, 10.0)

    def test_each_purge_is_retained_once_with_its_latest_time_of_issue(self) -> None:
        state = LogState(full_versions_only, retention_us=10 * SECOND)
        state.apply_entry(purge(1, issued_us=70), 0)
        state.apply_entry(purge(2), 4 * SECOND)
        state.apply_entry(purge(1, issued_us=60), 5 * SECOND)
        state.apply_entry(Purge("", 9, 5), 12 * SECOND)
        self.assertEqual(
            state.snapshot(EPOCH, 4, 14 * SECOND).purges, (purge(2), purge(1, 70), Purge("", 9, 5))
        )
        self.assertEqual(state.snapshot(EPOCH, 4, 16 * SECOND).purges, (Purge("", 9, 5),))

    def test_the_number_of_purges_is_limited(self) -> None:
        state = LogState(full_versions_only, max_purges=3)
        for number in range(9):
            state.apply_entry(purge(number), 0)
        self.assertEqual(state.snapshot(EPOCH, 9, 0).purges, tuple(map(purge, (6, 7, 8))))

    def test_a_restored_snapshot_keeps_known_purges(self) -> None:
        source, relay = LogState(full_versions_only), LogState(full_versions_only)
        source.apply_entry(purge(2), 0)
        relay.apply_entry(purge(1), 0)
        relay.restore(source.snapshot(LATER, 1, 0), 0)
        self.assertEqual(relay.snapshot(LATER, 1, 0).purges, (purge(1), purge(2)))


class Configurations(unittest.TestCase):
    def test_deltas_are_applied_to_give_the_complete_version(self) -> None:
        state = LogState(apply_delta)
        state.apply_entry(version(1), 0)
        state.apply_entry(version(2, base=1), 0)
        self.assertEqual((state.snapshot(EPOCH, 2, 0).configuration, state.needs_full), (version(2), False))

    def test_the_full_version_is_needed_after_a_delta_that_does_not_apply(self) -> None:
        state = LogState(apply_delta)
        state.apply_entry(version(1), 0)
        state.apply_entry(version(3, base=2), 0)
        self.assertEqual(
            (state.configuration, state.newest_digest, state.needs_full), (version(1), "d3", True)
        )
        state.apply_full_configuration(version(3))
        self.assertEqual((state.configuration, state.needs_full), (version(3), False))
        state.apply_full_configuration(version(2))
        self.assertEqual(state.configuration, version(3), "an older version is ignored")

    def test_a_full_version_received_before_its_entry_is_kept(self) -> None:
        state = LogState(apply_delta)
        state.apply_entry(version(1), 0)
        state.apply_full_configuration(version(3))
        state.apply_entry(version(3, base=2), 0)
        self.assertEqual((state.configuration, state.needs_full), (version(3), False))

    def test_the_configuration_is_restored_from_a_snapshot(self) -> None:
        source, relay = LogState(apply_delta), LogState(apply_delta)
        source.apply_entry(version(4), 0)
        source.apply_entry(fleet(("a", "SERVING"), complete=True), 0)
        relay.apply_entry(version(9), 0)
        relay.restore(source.snapshot(LATER, 2, 0), 0)
        self.assertEqual(relay.snapshot(LATER, 2, 0), source.snapshot(LATER, 2, 0))
        relay.apply_entry(version(5, base=4), 0)
        self.assertEqual(relay.configuration, version(5))


if __name__ == "__main__":
    unittest.main()
