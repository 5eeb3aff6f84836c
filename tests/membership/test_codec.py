"""Encoding and decoding of datagrams."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from magpieshift.membership import codec
from magpieshift.membership.member import SuspicionReport
from magpieshift.membership.messages import (
    Ack,
    Datagram,
    LeaseMessage,
    LeaseMessageKind,
    Ping,
    PingRequest,
    Sync,
)
from tests.membership.helpers import member


class CodecTest(unittest.TestCase):
    def test_an_encoded_datagram_decodes_to_the_same(self) -> None:
        bodies = (
            None,
            Ping(1 << 60),
            Ack(3, "r2"),
            PingRequest(4, "r3"),
            Sync(tuple(range(16)), True),
            LeaseMessage(5, LeaseMessageKind.GRANT, 6, (("all", 0.25), ("zone z", 0.5))),
        )
        for body in bodies:
            sent = Datagram(
                "f",
                member("a", heartbeat=9, open_requests=3, lifecycle_state="serving"),
                77,
                1 << 63,
                body,
                (member("b"), member("c", has_left=True)),
                (SuspicionReport("b", 5, 2, "a"),),
            )
            self.assertEqual(codec.decode(codec.encode(sent)), sent)

    def test_a_datagram_stays_within_its_bound_whatever_updates_go_along(self) -> None:
        updates = tuple(member(f"n{i}" + "x" * 40, program_version="y" * 30) for i in range(200))
        data = codec.encode(Datagram("f", member("a"), 1, 2, Ping(1), updates))
        self.assertLessEqual(len(data), codec.MAX_DATAGRAM_BYTES)
        self.assertGreater(len(codec.decode(data).members), 0)

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.binary(max_size=200) | st.binary(min_size=1390, max_size=1500))
    def test_any_bytes_are_decoded_or_rejected(self, data: bytes) -> None:
        try:
            codec.decode(data)
        except codec.MalformedDatagramError as err:
            self.assertTrue(str(err))

    def test_invalid_texts_and_numbers_are_rejected(self) -> None:
        long = "z" * 65
        for invalid in (
            member(""),
            member("a\nb"),
            member(long),
            member("a", port=0),
            member("a", zone=long),
        ):
            with self.assertRaises(codec.MalformedDatagramError):
                codec.decode(codec.encode(Datagram("f", invalid, 1, 2)))


if __name__ == "__main__":
    unittest.main()
