"""The codec of the upstream protocol."""

import unittest
from dataclasses import replace

from magpieshift.policy.actions import CacheRequestFlag
from magpieshift.upstream.codec import (
    ResponseParser,
    UpstreamProtocolError,
    encode_cancel,
    encode_probe,
    encode_request,
)
from tests.recorded.exchange import parse_bytes
from tests.upstream.test_exchange_table import CLIENT_REQUEST, ENDPOINT, upstream_request


class Requests(unittest.TestCase):
    def test_absent_and_zero_fields_are_omitted(self) -> None:
        written = b"".join(encode_request(upstream_request(), 0))
        self.assertEqual(
            written, b"ASK 00000000000000a1 class=picture,key=7f3a9c21e0b4d655,part=3,wait=1000 0\r\n\r\n"
        )

    def test_a_request_with_all_fields(self) -> None:
        client_request = replace(CLIENT_REQUEST, idempotency_key="5c0f", known_version="4be0", body=b"eggs")
        flags = sum(CacheRequestFlag)
        request = replace(
            upstream_request(),
            request=client_request,
            source=ENDPOINT,
            retention_rank=2,
            max_age_us=5_000_999,
            flags=flags,
        )
        head, body, end = encode_request(request, 0)
        self.assertEqual(
            head,
            b"ASK 00000000000000a1 class=picture,key=7f3a9c21e0b4d655,part=3,wait=1000,once=5c0f,via=s1,"
            b"tier=2,fresh=5000,opts=share+peek+pass+swr,known=4be0 4\r\n",
        )
        self.assertEqual((body, end), (b"eggs", b"\r\n"))

    def test_a_maximum_age_below_a_millisecond_is_rounded_up(self) -> None:
        head = encode_request(replace(upstream_request(), max_age_us=1), 0)[0]
        self.assertIn(b",fresh=1 ", head)

    def test_cancels_and_health_checks(self) -> None:
        written = encode_cancel("a1"), encode_probe("p1", True), encode_probe("p2", False)
        self.assertEqual(written, (b"QUIT a1\r\n", b"INFO p1\r\n", b"NOOP p2\r\n"))


class Responses(unittest.TestCase):
    def test_answers_may_be_cut_anywhere(self) -> None:
        data = parse_bytes(r'"a1 data tag=x,lag=1.5 6\r\nab\r\ncd\r\n" "a2 absent - 0\r\n\r\n" "p1 well\r\n"')
        for size in (1, 2, 7, 1000):
            parser = ResponseParser()
            chunks = [data[start : start + size] for start in range(0, len(data), size)]
            responses = [response for chunk in chunks for response in parser.feed(chunk)]
            expected = [("a1", "data", b"ab\r\ncd"), ("a2", "absent", b""), ("p1", "well", b"")]
            self.assertEqual([(r.request_id, r.status, bytes(r.body)) for r in responses], expected)

    def test_lines_that_are_no_answers(self) -> None:
        invalid_responses = (
            b"\r\n",
            b"a1\r\n",
            b"a1 data - x\r\n",
            b"a1 data - 999999\r\n",
            b"a1 odd - 0\r\n",
            b"x" * 5000,
            b"a1 full a 0\r\n",
            b"a1 full - 0\n",
            b"a1 full - 0\r\nxx",
            b"\xff a - 0\r\n",
            b"a1 data -\r\n",
        )
        for line in invalid_responses:
            with self.subTest(line[:20]), self.assertRaises(UpstreamProtocolError):
                list(ResponseParser().feed(line))


if __name__ == "__main__":
    unittest.main()
