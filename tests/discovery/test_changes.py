"""The change log's events: their order, what they mean, and how they are logged."""

import logging
import unittest
from unittest import mock

from magpieshift import parse
from magpieshift.discovery.changes import ChangeLog
from tests.real.exchange import config
from tests.test_config import PORTS


class Changes(unittest.TestCase):
    def test_an_unreadable_member_does_not_hide_the_others(self) -> None:
        """A size that is no number would have made every comparison of caches false."""
        read, listener = parse(config(PORTS)), mock.Mock()
        (fleet, _) = read.known_changes["results"]
        good = fleet["fleet"]["members"]
        bad = [{"size": float("nan")}, {"id": "a b"}, {"locality": "moon"}, {"host_port": "x"}, {"phase": 1}]
        fleet["fleet"]["members"] = [good[0] | change for change in bad] + good
        with self.assertLogs("magpieshift.discovery.codec", "WARNING") as logs:
            ChangeLog(read.document.names, listener).apply_known(read.known_changes)
        self.assertEqual(len([r for r in logs.records if r.levelno == logging.WARNING]), len(bad))
        (kind, version, members), _ = listener.list_changed.call_args
        self.assertEqual([kind, version, *(m.name for m in members)], [2, 1, "s-cache", "s-origin"])
        listener.purged.assert_called_once_with("", 200, 1_764_576_000_480_000)

    def test_purges_are_logged_together_and_a_list_at_once(self) -> None:
        changes, log = (
            ChangeLog(parse(config(PORTS)).document.names, mock.Mock()),
            "magpieshift.discovery.changes",
        )
        purge = '{"seq":%d,"invalidate":{"bucket":7,"time":1764576000480}}'
        fleet = '{"seq":%d,"fleet":{"revision":2,"complete":false,"members":[]}}'
        batches = [
            (0.0, [purge % 1, purge % 2, purge % 3]),
            (0.1, []),
            (0.2, [purge % 4]),
            (0.3, [purge % 5, fleet % 6]),
            (0.4, [purge % 7]),
            (1.25, [purge % 8]),
            (1.35, []),
            (1.4, [purge % 9]),
        ]
        told = []
        with self.assertLogs(log, "INFO") as logs:
            for now_s, events in batches:
                before = len(logs.records)
                for event in events:
                    changes.receive(event)
                changes.log_if_due(now_s)
                told += [(now_s, *vars(r)["fields"].values()) for r in logs.records[before:]]
            changes.log_applied()
            changes.log_applied()
        self.assertEqual(told, [(0.0, 3, 3), (0.3, 6, 3), (1.35, 8, 2)])
        self.assertEqual([vars(r)["fields"] for r in logs.records[3:]], [{"seq": 9, "count": 1}])


if __name__ == "__main__":
    unittest.main()
