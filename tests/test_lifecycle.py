"""The lifecycle states of a router and their transitions."""

import unittest

from magpieshift.lifecycle import (
    ARRIVALS_SETTLED_US,
    CUT_INCOMPLETE_US,
    SERVE_WHILE_DRAINING_US,
    InvalidStateError,
    Lifecycle,
    State,
)


class LifecycleTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 0
        self.lifecycle = Lifecycle(lambda: self.now)

    def test_each_command_in_each_state(self) -> None:
        """The state after each command, which is also its answer; None where the answer is ERR."""
        calls = ("ping", "lame_duck", "rejoin", "begin_shutdown")
        expected = {
            State.STARTING: (None, None, None, State.ENDING),
            State.SERVING: (State.SERVING, State.LAME_DUCK, State.SERVING, State.ENDING),
            State.LAME_DUCK: (State.LAME_DUCK, State.LAME_DUCK, State.SERVING, State.ENDING),
            State.ENDING: (None, State.ENDING, None, State.ENDING),
        }
        for state, after in expected.items():
            for call, expected_state in zip(calls, after, strict=True):
                with self.subTest(state=state, call=call):
                    lifecycle = Lifecycle(lambda: 0)
                    lifecycle.state = state
                    try:
                        answer = getattr(lifecycle, call)()
                    except InvalidStateError:
                        answer, lifecycle.state = None, lifecycle.state
                        self.assertEqual((expected_state, lifecycle.state), (None, state))
                    else:
                        self.assertEqual(lifecycle.state, expected_state)
                        self.assertIn(answer, (None, lifecycle.state_name))

    def test_the_drain_time_starts_at_the_first_command(self) -> None:
        self.lifecycle.start_completed()
        self.lifecycle.lame_duck()
        self.now = ARRIVALS_SETTLED_US
        self.lifecycle.lame_duck()
        self.assertEqual((self.lifecycle.arrivals_settled, self.lifecycle.rejects_requests), (True, False))
        self.now = SERVE_WHILE_DRAINING_US
        self.assertEqual(
            (self.lifecycle.rejects_requests, self.lifecycle.cuts_incomplete_requests), (True, False)
        )
        self.lifecycle.rejoin()
        self.assertEqual((self.lifecycle.is_ready, self.lifecycle.rejects_requests), (True, False))
        self.lifecycle.lame_duck()
        self.assertEqual((self.lifecycle.is_ready, self.lifecycle.rejects_requests), (False, False))
        self.now += CUT_INCOMPLETE_US
        self.assertTrue(self.lifecycle.cuts_incomplete_requests)

    def test_a_shutdown_before_the_start_is_complete_is_final(self) -> None:
        self.lifecycle.begin_shutdown()
        self.lifecycle.start_completed()
        self.assertEqual((self.lifecycle.state, self.lifecycle.is_ready), (State.ENDING, False))
        self.lifecycle.replacement_serves = True  # the other process serves the clients of this address
        self.assertTrue(self.lifecycle.is_ready)


if __name__ == "__main__":
    unittest.main()
