"""What the engine and the policy keep of requests that are over: nothing that grows with their number.

Guards against a router that is killed for memory, as ended requests were kept until their deadlines.
"""

from __future__ import annotations

import unittest
from dataclasses import replace
from unittest import mock

from magpieshift.engine.model import AttemptResult, ClientRequest, Verdict
from magpieshift.policy.actions import Action, FailRequest, RejectRequest, SendPlainRequest
from magpieshift.policy.outcomes import Outcome
from tests.engine.engine_case import READ_REQUEST, SECOND, WRITE_REQUEST, EngineCase

MIN_TIMER_SWEEP = 64
"""In place of the policy's own, so that short floods show what long ones would."""
FLOOD = 300
"""Number of requests in a flood, all within the deadline of the first."""
MAX_ENGINE_TIMERS = 10
"""Timers that the engine may have after a flood, whatever its length."""


class EndedRequests(EngineCase):
    def setUp(self) -> None:
        super().setUp()
        sweep = mock.patch("magpieshift.policy.router_policy.MIN_TIMER_SWEEP", MIN_TIMER_SWEEP)
        sweep.start()
        self.addCleanup(sweep.stop)

    def submit_at_once(self, request: ClientRequest = READ_REQUEST) -> int:
        """Submit a request under a unique id, without an iteration of the event loop."""
        request = replace(request, request_id=f"{self.engine.requests_submitted + 1:016x}")
        return self.engine.submit(request, self.answers.append)

    def assert_nothing_is_kept(self) -> None:
        self.assert_engine_keeps_nothing()
        policy = self.engine.policy_calls.policy
        self.assertEqual((policy.requests, policy.attempts), ({}, {}))
        self.assertLessEqual(len(policy.timers), MIN_TIMER_SWEEP)

    def assert_engine_keeps_nothing(self) -> None:
        self.clock.run()
        self.assertEqual((self.engine.requests.by_number, self.engine.open_requests), ({}, 0))
        self.assertLess(len(self.clock.timers), MAX_ENGINE_TIMERS)

    def test_requests_that_are_taken_back_at_once(self) -> None:
        for _ in range(FLOOD):
            self.engine.cancel(self.submit_at_once())
        self.assert_nothing_is_kept()
        self.assertEqual((self.answers, self.upstream.started), ([], []))

    def test_requests_that_are_taken_back_while_in_flight(self) -> None:
        for _ in range(FLOOD):
            self.engine.cancel(self.submit())
        self.assert_nothing_is_kept()
        self.assertEqual(len(self.upstream.cancelled), FLOOD)

    def test_requests_that_are_served(self) -> None:
        for _ in range(FLOOD):
            self.submit()
            self.finish_attempt(AttemptResult(Outcome.OK, body=b"copy"))
        self.assert_nothing_is_kept()
        self.assertEqual(len(self.answers), FLOOD)

    def test_requests_that_the_policy_rejects(self) -> None:
        for _ in range(FLOOD):
            self.end_by(RejectRequest(self.submit_at_once(), 0))
        self.assert_engine_keeps_nothing()

    def test_requests_that_the_policy_fails(self) -> None:
        for _ in range(FLOOD):
            self.end_by(FailRequest(self.submit_at_once()))
        self.assert_engine_keeps_nothing()

    def end_by(self, action: Action) -> None:
        """Have the policy take this action on the last request, whatever it has decided."""
        self.forced_actions = [action]
        self.clock.run()

    def test_requests_under_an_id_in_use(self) -> None:
        self.submit()
        used = self.upstream.started[0][0].request
        with self.assertLogs("magpieshift.engine.request_table", "WARNING"):
            for _ in range(FLOOD):
                self.engine.submit(used, self.answers.append)
                self.clock.run()
        self.finish_attempt(AttemptResult(Outcome.OK, body=b"copy"))
        self.assert_nothing_is_kept()
        self.assertEqual(len(self.answers), FLOOD + 1)

    def test_writes_that_exceed_the_memory_for_bodies(self) -> None:
        with self.assertLogs("magpieshift.engine.request_table", "WARNING"):
            for _ in range(FLOOD):
                self.submit(replace(WRITE_REQUEST, body=bytes(101)))
        self.assert_nothing_is_kept()
        self.assertEqual({answer.verdict for answer in self.answers}, {Verdict.REJECTED})

    def test_a_request_whose_end_raises_is_ended_once(self) -> None:
        """Guards against a second end at the deadline, after which the count of open requests is wrong."""
        number = self.submit()
        self.engine.request_observer = mock.Mock(request_ended=mock.Mock(side_effect=ZeroDivisionError))
        with self.assertRaises(ZeroDivisionError):
            self.engine.cancel(number)
        self.engine.request_observer = None
        self.clock.run(5 * SECOND)
        self.assert_engine_keeps_nothing()

    def test_an_attempt_decided_before_the_end_was_known_is_settled(self) -> None:
        """Guards against a slot that the policy never gets back, for want of the ended request."""
        number = self.submit()
        self.engine.cancel(number)
        self.forced_actions = [SendPlainRequest(number, self.endpoints[1].endpoint.number, SECOND)]
        self.clock.run()
        self.assertEqual(self.attempt_ends(), [(0, Outcome.CANCELLED, True), (1, Outcome.SUPERSEDED, True)])
        self.assertEqual(len(self.upstream.started), 1)
        self.assert_nothing_is_kept()


if __name__ == "__main__":
    unittest.main()
