"""The exchanges of one upstream connection, fed bytes."""

import unittest
from unittest import mock

from magpieshift.engine.model import AttemptResult
from magpieshift.policy.outcomes import Outcome
from magpieshift.upstream.exchange_table import ExchangeTable


class ExchangeTables(unittest.TestCase):
    def test_what_an_answer_tells(self) -> None:
        """A report goes by the settings' names; read by the others alone, none ever arrived."""
        for stats in (b"inflight:7;util:0.61", b"concurrent:7;load_share:0.61"):
            table = ExchangeTable(("load_share", "concurrent"))
            callback = mock.Mock()
            table.open_probe(True, callback)
            ((ended, result),) = table.feed(b"p1 well how=jammed,lag=1.5,stats=%b 0\r\n\r\n" % stats)
            self.assertIs(ended, callback)
            self.assertEqual(result, AttemptResult(Outcome.OK, 9, 1500, (0.61, 7.0), bytearray()))


if __name__ == "__main__":
    unittest.main()
