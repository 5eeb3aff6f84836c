"""The state machine of one client's connection, given received bytes."""

import unittest

from magpieshift.downstream.errors import FrameError
from magpieshift.downstream.session import MAX_INVALID_REQUESTS, MAX_OPEN_STREAMS, Session
from magpieshift.engine.model import Response, Verdict
from tests.downstream.server_case import request


class Sessions(unittest.TestCase):
    def test_a_request_above_the_limit_of_open_streams_is_rejected(self) -> None:
        session = Session({"picture": 0})
        kinds = [type(e).__name__ for s in range(1, MAX_OPEN_STREAMS + 2) for e in session.feed(request(s))]
        self.assertEqual(kinds, ["ClientRequestReceived"] * MAX_OPEN_STREAMS + ["InvalidRequestReceived"])

    def test_too_many_invalid_requests_end_the_connection(self) -> None:
        session = Session({"picture": 0})
        for stream in range(1, MAX_INVALID_REQUESTS + 1):
            list(session.feed(request(stream, c="pictures")))
            session.respond(stream, Response(Verdict.FAILED))
        with self.assertRaises(FrameError):
            list(session.feed(request(MAX_INVALID_REQUESTS + 1, c="pictures")))

    def test_stream_ids_may_come_in_any_order_but_once(self) -> None:
        session = Session({"picture": 0})
        for stream in (3, 1, 2, 7):
            list(session.feed(request(stream)))
        for stream in (0, 2, 7):
            with self.subTest(stream), self.assertRaises(FrameError):
                list(session.feed(request(stream)))

    def test_values_that_are_no_numbers_make_a_request_invalid(self) -> None:
        invalid_values = {"m": "nan", "d": "inf", "slice": "-1", "set": "x", "i": "12"}
        for field, value in [*invalid_values.items(), ("d", ""), ("set", "256")]:
            with self.subTest(field=field):
                (event,) = Session({"picture": 0}).feed(request(1, **{field: value}))
                self.assertEqual(type(event).__name__, "InvalidRequestReceived")


if __name__ == "__main__":
    unittest.main()
