"""The log line formatter."""

import logging
import unittest

from magpieshift.log import KeyValueFormatter, fields


class Formatter(unittest.TestCase):
    def test_log_lines_are_pairs(self) -> None:
        record = logging.LogRecord("a.b", logging.INFO, "", 0, "two words", (), None)
        record.__dict__ |= fields(id="x=1", n=3, text='say "so"\n')
        line = KeyValueFormatter().format(record).split(" ", 1)[1]
        self.assertEqual(line, 'level=info logger=a.b event="two words" id="x=1" n=3 text="say \\"so\\"\\n"')


if __name__ == "__main__":
    unittest.main()
