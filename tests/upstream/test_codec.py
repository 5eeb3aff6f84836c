"""The codec of the upstream wire: responses read from bytes."""

import unittest

from magpieshift.upstream.codec import ResponseParser, UpstreamProtocolError
from tests.real.exchange import spell


class Responses(unittest.TestCase):
    def test_answers_may_be_cut_anywhere(self) -> None:
        data = spell(r'"a1 data tag=x,lag=1.5 6\r\nab\r\ncd\r\n" "a2 absent - 0\r\n\r\n" "p1 well\r\n"')
        for size in (1, 2, 7, 1000):
            parser = ResponseParser()
            cuts = [data[at : at + size] for at in range(0, len(data), size)]
            responses = [response for cut in cuts for response in parser.feed(cut)]
            expected = [("a1", "data", b"ab\r\ncd"), ("a2", "absent", b""), ("p1", "well", b"")]
            self.assertEqual([(r.request_id, r.status, bytes(r.body)) for r in responses], expected)

    def test_lines_that_are_no_answers(self) -> None:
        unreadable = (
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
        for line in unreadable:
            with self.subTest(line[:20]), self.assertRaises(UpstreamProtocolError):
                list(ResponseParser().feed(line))


if __name__ == "__main__":
    unittest.main()
