"""Admin commands: bytes in, answer out."""

import unittest
from unittest import mock

from magpieshift.admin.command import MAX_LINE_BYTES, AdminCommand


class AdminCommandTest(unittest.TestCase):
    def test_lines_cut_anywhere_and_unknown_commands(self) -> None:
        told = mock.Mock(return_value="serving")
        for data, wanted in (
            (b"PING\n", b"OK serving\n"),
            (b"PING \r\nLAMEDUCK\n", b"OK serving\n"),
            (b"ping\n", b"ERR call: found 'ping', expected one of PING\n"),
            (b"\xff\x00\n", b"ERR call: found '\\\\xff\\x00', expected one of PING\n"),
            (b"x" * (MAX_LINE_BYTES + 1), b"ERR line: found more than 256 bytes, expected one of PING\n"),
        ):
            for size in (1, 2, 1000):
                with self.subTest(data[:9], size=size):
                    call, answers = AdminCommand({"PING": told}), []
                    for at in range(0, len(data), size):
                        answers.append(call.feed(data[at : at + size]))
                    self.assertEqual(next(filter(None, answers)), wanted)
        self.assertIn(b"ERR line: found nothing", AdminCommand({"PING": told}).timed_out(2.0))


if __name__ == "__main__":
    unittest.main()
