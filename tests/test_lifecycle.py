"""The states of a router, and the transitions between them."""

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
        self.life = Lifecycle(lambda: self.now)

    def test_each_command_in_each_state(self) -> None:
        """What the admin server answers, and the state after it; None for ERR."""
        calls = ("ping", "lame_duck", "rejoin", "begin_shutdown")
        wanted = {
            State.STARTING: (None, None, None, State.ENDING),
            State.SERVING: (State.SERVING, State.LAME_DUCK, State.SERVING, State.ENDING),
            State.LAME_DUCK: (State.LAME_DUCK, State.LAME_DUCK, State.SERVING, State.ENDING),
            State.ENDING: (None, State.ENDING, None, State.ENDING),
        }
        for state, after in wanted.items():
            for call, then in zip(calls, after, strict=True):
                with self.subTest(state=state, call=call):
                    life = Lifecycle(lambda: 0)
                    life.state = state
                    try:
                        said = getattr(life, call)()
                    except InvalidStateError:
                        said, life.state = None, life.state
                        self.assertEqual((then, life.state), (None, state))
                    else:
                        self.assertEqual(life.state, then)
                        self.assertIn(said, (None, life.state_name))

    def test_its_time_begins_with_the_first_command(self) -> None:
        self.life.start_completed()
        self.life.lame_duck()
        self.now = ARRIVALS_SETTLED_US
        self.life.lame_duck()
        self.assertEqual((self.life.arrivals_settled, self.life.rejects_requests), (True, False))
        self.now = SERVE_WHILE_DRAINING_US
        self.assertEqual((self.life.rejects_requests, self.life.cuts_incomplete_requests), (True, False))
        self.life.rejoin()
        self.assertEqual((self.life.is_ready, self.life.rejects_requests), (True, False))
        self.life.lame_duck()
        self.assertEqual((self.life.is_ready, self.life.rejects_requests), (False, False))
        self.now += CUT_INCOMPLETE_US
        self.assertTrue(self.life.cuts_incomplete_requests)

    def test_a_shutdown_before_the_start_is_complete_stays_one(self) -> None:
        self.life.begin_shutdown()
        self.life.start_completed()
        self.assertEqual((self.life.state, self.life.is_ready), (State.ENDING, False))
        self.life.replacement_serves = True  # the other process takes who asks here
        self.assertTrue(self.life.is_ready)


if __name__ == "__main__":
    unittest.main()
