"""Requests and responses of clients: their fields on the wire."""

import unittest

from magpieshift.downstream.errors import InvalidFieldError
from magpieshift.downstream.messages import (
    read_request,
    write_error,
    write_go_away,
    write_readiness,
    write_response,
)
from magpieshift.engine.model import ClientRequest, Response, Verdict

FIELDS = {"c": "picture", "i": "00000000000000a1", "d": "900", "o": "7f3a9c21e0b4d655"}


class Requests(unittest.TestCase):
    def test_absent_fields_are_zero_or_empty(self) -> None:
        request = read_request(FIELDS, b"", {"picture": 4})
        expected = ClientRequest(
            "00000000000000a1", 4, "picture", "7f3a9c21e0b4d655", 0, 0, 0.0, 870_000, False, "", "", b""
        )
        self.assertEqual(request, expected)

    def test_a_request_with_all_fields(self) -> None:
        optional_fields = {
            "slice": "3",
            "set": "17",
            "m": "9.5",
            "r": "1",
            "k": "5c0f",
            "seen": "4be0",
            "x": "unknown",
        }
        request = read_request(FIELDS | optional_fields, b"eggs", {"picture": 0})
        expected = ClientRequest(
            "00000000000000a1",
            0,
            "picture",
            "7f3a9c21e0b4d655",
            3,
            17,
            9.5,
            870_000,
            True,
            "5c0f",
            "4be0",
            b"eggs",
        )
        self.assertEqual(request, expected)

    def test_a_short_wait_leaves_a_millisecond(self) -> None:
        self.assertEqual(read_request(FIELDS | {"d": "5"}, b"", {"picture": 0}).time_left_us, 1000)

    def test_missing_fields_and_values_that_cannot_be_sent_on_are_invalid(self) -> None:
        for change in (
            {"c": "pictures"},
            {"i": ""},
            {"o": "7f"},
            {"k": "a,b"},
            {"seen": "a b"},
            {"k": "x" * 257},
        ):
            with self.subTest(change), self.assertRaises(InvalidFieldError):
                read_request(FIELDS | change, b"", {"picture": 0})
        for name in FIELDS:
            with self.subTest(missing=name), self.assertRaises(InvalidFieldError):
                read_request(
                    {key: value for key, value in FIELDS.items() if key != name}, b"", {"picture": 0}
                )


class Responses(unittest.TestCase):
    def test_each_verdict(self) -> None:
        for response, expected in (
            (Response(Verdict.SERVED, b"copy"), "0b00000002070000004f00636f7079"),
            (
                Response(Verdict.SERVED, b"copy", not_modified=True),
                "1200000002070000004f010763757272656e74010031",
            ),
            (Response(Verdict.REJECTED), "07000000020700000042 00"),
            (Response(Verdict.REJECTED, retry_after_us=69_001), "0d000000020700000042010177020037 30"),
            (Response(Verdict.FAILED), "0700000002070000004500"),
        ):
            with self.subTest(response):
                self.assertEqual(b"".join(write_response(7, response)), bytes.fromhex(expected))

    def test_frames_that_belong_to_no_request(self) -> None:
        self.assertEqual(b"".join(write_go_away()), bytes.fromhex("050000000600000000"))
        self.assertEqual(b"".join(write_readiness(7, True)), bytes.fromhex("0700000005070000004f00"))
        self.assertEqual(b"".join(write_readiness(7, False)), bytes.fromhex("0700000005070000004200"))
        self.assertEqual(b"".join(write_error("no")), bytes.fromhex("09000000020000000045006e6f"))


if __name__ == "__main__":
    unittest.main()
