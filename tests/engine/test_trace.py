"""The trace of the policy's decisions, and the counts that the fleet experiment derives from it."""

from __future__ import annotations

import logging
import tempfile
import unittest
from pathlib import Path

from magpieshift.engine.trace import Trace
from magpieshift.lab.experiments import fleet_log_counts
from magpieshift.log import KeyValueFormatter
from magpieshift.policy.actions import SendCacheRequest, SendPlainRequest
from magpieshift.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointListKind,
    EndpointListReceived,
    PurgeReceived,
    RequestReceived,
    TimerFired,
)
from magpieshift.policy.outcomes import CacheStatus, Outcome
from magpieshift.policy.router_policy import RouterPolicy
from tests.policy import helpers

NAMES = {11: "box-a", 12: "box-b", 13: "box-c", 21: "hub-a", 22: "hub-b", 23: "hub-c", 31: "origin"}


class Tracing(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.log = logging.getLogger("magpieshift.trace")
        self.log.setLevel(logging.DEBUG)
        self.addCleanup(self.log.setLevel, logging.NOTSET)

    def trace_router(self, number: int) -> None:
        """Trace a router whose fill fails at a parent and which then rejects the request."""
        handler = logging.FileHandler(self.folder / f"n{number}.log")
        handler.setFormatter(KeyValueFormatter())
        self.log.addHandler(handler)
        self.addCleanup(handler.close)
        trace, offset = Trace(), 1 << 40  # endpoint numbers must be above all request numbers
        for endpoint, name in NAMES.items():
            trace.register_name(endpoint + offset, name)
        listed = EndpointListReceived(
            EndpointListKind.CACHED,
            1,
            tuple(helpers.entry(e.number + offset, e.kind) for e in helpers.complete_list().endpoints),
        )
        policy = RouterPolicy(helpers.settings(), number)
        received = RequestReceived(1, 0, 0, 5, 4 * helpers.SECOND, 100.0, 3, 0, False, False)
        (sent, *_) = trace.handle(policy, 1000, [listed, received])
        for attempt, outcome in enumerate((Outcome.MISS, Outcome.ERROR)):
            assert isinstance(sent, SendCacheRequest | SendPlainRequest)
            status = CacheStatus.SOURCE_LOST if attempt else CacheStatus.NONE
            ended = AttemptEnded(1, outcome, 1000, 0, False, status, sent.endpoint, attempt, (0.5, 2.0))
            (sent, *_) = trace.handle(policy, 2000 + attempt, [ended])
        trace.handle(
            policy, 5 * helpers.SECOND, [TimerFired(0), PurgeReceived(5, 0, 10), ClientDisconnected(9)]
        )
        self.log.removeHandler(handler)

    def test_a_fleets_attempts_are_counted_together(self) -> None:
        for number in range(3):
            self.trace_router(number)
        counts = fleet_log_counts.count(fleet_log_counts.read(self.folder))
        names, seconds = ("asked", "fills", "refused"), counts.seconds.values()
        total = {name: sum(second[name] for second in seconds) for name in names}
        self.assertEqual(counts.routers, 3)
        self.assertEqual(total, {"asked": 3, "fills": 6, "refused": 3})
        rows = {row["store"]: row for row in counts.endpoint_rows()}
        self.assertEqual(sum(int(str(row["fills"])) for row in rows.values()), 6)
        self.assertEqual({row["bad"] for name, row in rows.items() if str(name).startswith("hub")} - {0}, {3})
        self.assertEqual(sum(counts.rejections.values()), 3)

    def test_logs_without_trace_lines_are_reported(self) -> None:
        (self.folder / "n0.log").write_text(
            'time=1.0 level=info event=ready\ntime=x event="request received" request_number=1\n'
        )
        with self.assertRaisesRegex(ValueError, "found no traced lines"):
            fleet_log_counts.read(self.folder)
