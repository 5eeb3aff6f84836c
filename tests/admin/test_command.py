"""The state machine of an admin command, given received bytes."""

import unittest
from unittest import mock

from magpieshift.admin.command import MAX_LINE_BYTES, AdminCommand


class AdminCommandTest(unittest.TestCase):
    def test_lines_cut_anywhere_and_unknown_commands(self) -> None:
        ping = mock.Mock(return_value="serving")
        for data, expected in (
            (b"PING\n", b"OK serving\n"),
            (b"PING \r\nLAMEDUCK\n", b"OK serving\n"),
            (b"ping\n", b"ERR call: found 'ping', expected one of PING\n"),
            (b"\xff\x00\n", b"ERR call: found '\\\\xff\\x00', expected one of PING\n"),
            (b"x" * (MAX_LINE_BYTES + 1), b"ERR line: found more than 256 bytes, expected one of PING\n"),
        ):
            for size in (1, 2, 1000):
                with self.subTest(data[:9], size=size):
                    command, answers = AdminCommand({"PING": ping}), []
                    for at in range(0, len(data), size):
                        answers.append(command.feed(data[at : at + size]))
                    self.assertEqual(next(filter(None, answers)), expected)
        self.assertIn(b"ERR line: found nothing", AdminCommand({"PING": ping}).timed_out(2.0))


if __name__ == "__main__":
    unittest.main()
