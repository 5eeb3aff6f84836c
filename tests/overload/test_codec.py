"""Encoding and decoding of digests."""

from __future__ import annotations

import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from magpieshift.overload import codec
from magpieshift.overload.digest import Digest, FailureReport
from magpieshift.overload.gossip import GOSSIP_INTERVAL_US, Gossip
from tests.overload.helpers import FEW_EXAMPLES, NAMES, failure_report, health_view


class CodecTest(unittest.TestCase):
    def test_an_encoded_digest_decodes_to_the_same(self) -> None:
        digest = Digest(
            (failure_report("p", "a", 5_000), FailureReport("q", "b", False, 7_000)), 1.25, 40.0, True
        )
        self.assertEqual(codec.decode(codec.encode(digest)), digest)

    @FEW_EXAMPLES
    @given(st.binary(max_size=200))
    def test_any_bytes_are_rejected_or_do_no_harm(self, data: bytes) -> None:
        try:
            digest = codec.decode(data)
        except codec.MalformedDigestError:
            return
        router = Gossip("r0", random.Random(1))
        router.receive(0, "r1", digest, True)
        router.tick(GOSSIP_INTERVAL_US, {"p": health_view(1), "q": health_view(2)}, NAMES, NAMES, 2.0, 50.0)


if __name__ == "__main__":
    unittest.main()
