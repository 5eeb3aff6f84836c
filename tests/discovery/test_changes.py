"""The change log's events: their order, decoding, and log lines."""

import logging
import unittest
from unittest import mock

from magpieshift import parse
from magpieshift.discovery.changes import ChangeLog
from magpieshift.discovery.errors import MissingChangesError
from tests.recorded.exchange import config
from tests.test_config import PORTS

PURGE = '{"seq":%d,"invalidate":{"bucket":7,"time":1764576000480}}'


class Order(unittest.TestCase):
    def setUp(self) -> None:
        self.listener = mock.Mock()
        self.changes = ChangeLog(parse(config(PORTS)).document.names, self.listener)

    def test_a_change_is_applied_once(self) -> None:
        for sequence in (1, 1, 2, 1):
            self.changes.receive(PURGE % sequence)
        self.assertEqual((self.listener.purged.call_count, self.changes.last_sequence), (2, 2))

    def test_the_log_is_read_again_only_once_for_missing_changes(self) -> None:
        """Otherwise a log that no longer has these changes would be read again endlessly."""
        self.changes.receive(PURGE % 1)
        with self.assertRaises(MissingChangesError):
            self.changes.receive(PURGE % 4)
        self.assertEqual(self.changes.last_sequence, 1)
        self.changes.receive(PURGE % 4)
        self.assertEqual((self.listener.purged.call_count, self.changes.last_sequence), (2, 4))
        with self.assertRaises(MissingChangesError):
            self.changes.receive(PURGE % 6)

    def test_the_event_id_replaces_a_missing_sequence_number(self) -> None:
        self.changes.receive('{"invalidate":{"object":"7f3a9c21e0b4d655","time":1764576000480}}', "1")
        self.listener.purged.assert_called_once_with("7f3a9c21e0b4d655", 0, 1_764_576_000_480_000)
        self.assertEqual(self.changes.last_sequence, 1)

    def test_an_unreadable_change_counts_its_number_and_changes_nothing(self) -> None:
        """If its number were not counted, it would be requested again forever and block all later changes."""
        for sequence, content in enumerate(
            ('"fleet":null', '"fleet":{}', '"invalidate":null', '"invalidate":{"object":"x","time":1}'), 1
        ):
            with self.subTest(content), self.assertLogs("magpieshift.discovery.changes", "WARNING"):
                self.changes.receive(f'{{"seq":{sequence},{content}}}')
            self.assertEqual(self.changes.last_sequence, sequence)
        self.assertEqual(self.listener.mock_calls, [])
        self.assertFalse(self.changes.log_applied())


class Changes(unittest.TestCase):
    def test_an_unreadable_endpoint_does_not_hide_the_others(self) -> None:
        """A size of NaN would make every comparison of caches false."""
        configuration, listener = parse(config(PORTS)), mock.Mock()
        (fleet, _) = configuration.known_changes["results"]
        good = fleet["fleet"]["members"]
        bad = [{"size": float("nan")}, {"id": "a b"}, {"locality": "moon"}, {"host_port": "x"}, {"phase": 1}]
        fleet["fleet"]["members"] = [good[0] | change for change in bad] + good
        with self.assertLogs("magpieshift.discovery.codec", "WARNING") as logs:
            ChangeLog(configuration.document.names, listener).apply_known(configuration.known_changes)
        self.assertEqual(len([r for r in logs.records if r.levelno == logging.WARNING]), len(bad))
        (kind, version, members), _ = listener.list_changed.call_args
        self.assertEqual([kind, version, *(m.name for m in members)], [2, 1, "s-cache", "s-origin"])
        listener.purged.assert_called_once_with("", 200, 1_764_576_000_480_000)

    def test_purges_are_logged_together_and_a_list_immediately(self) -> None:
        changes = ChangeLog(parse(config(PORTS)).document.names, mock.Mock())
        fleet = '{"seq":%d,"fleet":{"revision":2,"complete":false,"members":[]}}'
        batches = [
            (0.0, [PURGE % 1, PURGE % 2, PURGE % 3]),
            (0.1, []),
            (0.2, [PURGE % 4]),
            (0.3, [PURGE % 5, fleet % 6]),
            (0.4, [PURGE % 7]),
            (1.25, [PURGE % 8]),
            (1.35, []),
            (1.4, [PURGE % 9]),
        ]
        logged = []
        with self.assertLogs("magpieshift.discovery.changes", "INFO") as logs:
            for now_s, events in batches:
                before = len(logs.records)
                for event in events:
                    changes.receive(event)
                changes.log_if_due(now_s)
                logged += [(now_s, *vars(r)["fields"].values()) for r in logs.records[before:]]
            changes.log_applied()
            changes.log_applied()
        self.assertEqual(logged, [(0.0, 3, 3), (0.3, 6, 3), (1.35, 8, 2)])
        self.assertEqual([vars(r)["fields"] for r in logs.records[3:]], [{"seq": 9, "count": 1}])


if __name__ == "__main__":
    unittest.main()
