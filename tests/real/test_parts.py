"""The parsers of the back and the feed, the log's formatter, and the configuration."""

import asyncio
import logging
import unittest
from typing import Any
from unittest import mock

from tornado.iostream import StreamClosedError

from magpieshift import ConfigError, parse
from magpieshift.clock import LoopClock
from magpieshift.discovery.changes import ChangeLog
from magpieshift.discovery.event_stream import ServerEvent, SseParser
from magpieshift.engine.model import AttemptResult
from magpieshift.log import KeyValueFormatter, fields
from magpieshift.policy.outcomes import Outcome
from magpieshift.upstream.lines import LineError, ReplyParser
from magpieshift.upstream.link import Link
from magpieshift.upstream.pool import ConnectionPool, EndpointPool
from tests.real.exchange import config, spell

PORTS = {"cache": "127.0.0.1:1", "origin": "127.0.0.1:2", "log": "127.0.0.1:3"}


class Parsers(unittest.TestCase):
    def test_answers_may_be_cut_anywhere(self) -> None:
        data = spell(r'"a1 data tag=x,lag=1.5 6\r\nab\r\ncd\r\n" "a2 absent - 0\r\n\r\n" "p1 well\r\n"')
        for size in (1, 2, 7, 1000):
            parser = ReplyParser()
            cuts = [data[at : at + size] for at in range(0, len(data), size)]
            replies = [reply for cut in cuts for reply in parser.feed(cut)]
            wanted = [("a1", "data", b"ab\r\ncd"), ("a2", "absent", b""), ("p1", "well", b"")]
            self.assertEqual([(r.ident, r.word, bytes(r.body)) for r in replies], wanted)

    def test_lines_that_are_no_answers(self) -> None:
        bad = (
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
        for line in bad:
            with self.subTest(line[:20]), self.assertRaises(LineError):
                list(ReplyParser().feed(line))

    def test_what_an_answer_tells(self) -> None:
        """A report goes by the settings' names; read by the others alone, none ever arrived."""
        for stats in (b"inflight:7;util:0.61", b"concurrent:7;load_share:0.61"):
            link, done = Link(("load_share", "concurrent")), mock.Mock()
            link.probe(True, done)
            ((ended, result),) = link.feed(b"p1 well how=jammed,lag=1.5,stats=%b 0\r\n\r\n" % stats)
            self.assertIs(ended, done)
            self.assertEqual(result, AttemptResult(Outcome.OK, 9, 1500, (0.61, 7.0), bytearray()))

    def test_events_may_be_cut_anywhere(self) -> None:
        data = b": alive\r\n\r\nid: 4\r\ndata: {\r\ndata: }\r\n\r\nretry: 5\n\ndata:x\n\n"
        for size in (1, 2, 5, 1000):
            parser = SseParser()
            cuts = [data[at : at + size] for at in range(0, len(data), size)]
            events = [event for cut in cuts for event in parser.feed(cut)]
            self.assertEqual(events, [ServerEvent("4", "{\n}"), ServerEvent("", "x")])

    def test_log_lines_are_pairs(self) -> None:
        record = logging.LogRecord("a.b", logging.INFO, "", 0, "two words", (), None)
        record.__dict__ |= fields(id="x=1", n=3, text='say "so"\n')
        line = KeyValueFormatter().format(record).split(" ", 1)[1]
        self.assertEqual(line, 'level=info logger=a.b event="two words" id="x=1" n=3 text="say \\"so\\"\\n"')


class Changes(unittest.TestCase):
    def test_an_unreadable_member_does_not_hide_the_others(self) -> None:
        """A size that is no number would have made every comparison of caches false."""
        read, listener = parse(config(PORTS)), mock.Mock()
        (fleet, _) = read.known["results"]
        good = fleet["fleet"]["members"]
        bad = [{"size": float("nan")}, {"id": "a b"}, {"locality": "moon"}, {"host_port": "x"}, {"phase": 1}]
        fleet["fleet"]["members"] = [good[0] | change for change in bad] + good
        with self.assertLogs("magpieshift.discovery.changes", "WARNING") as logs:
            ChangeLog(read.document.names, listener).known(read.known)
        self.assertEqual(len([r for r in logs.records if r.levelno == logging.WARNING]), len(bad))
        (kind, version, members), _ = listener.list_changed.call_args
        self.assertEqual([kind, version, *(m.name for m in members)], [2, 1, "s-cache", "s-origin"])
        listener.purged.assert_called_once_with("", 200, 1_764_576_000_480_000)

    def test_purges_are_logged_together_and_a_list_at_once(self) -> None:
        changes, log = (
            ChangeLog(parse(config(PORTS)).document.names, mock.Mock()),
            "magpieshift.discovery.changes",
        )
        purge = '{"seq":%d,"invalidate":{"bucket":7,"time":1764576000480}}'
        fleet = '{"seq":%d,"fleet":{"revision":2,"complete":false,"members":[]}}'
        batches = [
            (0.0, [purge % 1, purge % 2, purge % 3]),
            (0.1, []),
            (0.2, [purge % 4]),
            (0.3, [purge % 5, fleet % 6]),
            (0.4, [purge % 7]),
            (1.25, [purge % 8]),
            (1.35, []),
            (1.4, [purge % 9]),
        ]
        told = []
        with self.assertLogs(log, "INFO") as logs:
            for now_s, events in batches:
                before = len(logs.records)
                for event in events:
                    changes.event(event)
                changes.log_due(now_s)
                told += [(now_s, *vars(r)["fields"].values()) for r in logs.records[before:]]
            changes.log_all()
            changes.log_all()
        self.assertEqual(told, [(0.0, 3, 3), (0.3, 6, 3), (1.35, 8, 2)])
        self.assertEqual([vars(r)["fields"] for r in logs.records[3:]], [{"seq": 9, "count": 1}])


class Configuration(unittest.TestCase):
    def test_it_is_read(self) -> None:
        read = parse(config(PORTS), listen="127.0.0.1:80", name="n9")
        document = read.document
        self.assertEqual((document.name, document.listen, read.seed), ("n9", ("127.0.0.1", 80), 0xA7))
        self.assertEqual(document.settings.zone_link_kb_per_s, (0.0, 90000.0))
        self.assertEqual(document.names.report, ("load_share", "concurrent", "x1"))

    def test_a_bad_value_is_named_in_one_line(self) -> None:
        bad: list[tuple[str, Any]] = [
            ("changelog", "nowhere"),
            ("seed", "xyz"),
            ("limits", {"memory_mb": 1, "sockets": 3}),
            ("settings", {}),
            ("known", 7),
            ("listen", "here:70000"),
        ]
        for key, value in bad:
            with self.subTest(key), self.assertRaisesRegex(ConfigError, key) as caught:
                parse(config(PORTS) | {key: value})
            self.assertNotIn("\n", str(caught.exception))


class Connections(unittest.IsolatedAsyncioTestCase):
    async def test_a_store_found_gone_by_the_first_chunk_does_not_raise(self) -> None:
        """The engine was left with an attempt that nothing would end before its time-out."""
        pool, results = (
            ConnectionPool(LoopClock(), (), 400_000, 15_000_000, 32, most_connections=8),
            list[AttemptResult](),
        )
        with mock.patch("magpieshift.upstream.pool.IOStream") as stream:
            stream.return_value.connect = mock.AsyncMock()
            stream.return_value.read_bytes = mock.AsyncMock(side_effect=StreamClosedError)
            stream.return_value.write = mock.Mock(side_effect=StreamClosedError)
            stream.return_value.closed.return_value = False
            pool.probe(mock.Mock(), results.append)
            for _ in range(10):
                await asyncio.sleep(0)
        self.assertEqual(results, [AttemptResult(Outcome.RESET)])


class Descriptors(unittest.IsolatedAsyncioTestCase):
    async def test_stores_share_them(self) -> None:
        """One store may take no more than its part, and all no more than there are."""
        pool = ConnectionPool(LoopClock(), (), 400_000, 15_000_000, 32, most_connections=8)
        stores = [EndpointPool(pool, mock.Mock()) for _ in range(4)]
        pool._stores = dict(enumerate(stores))
        opened = [0] * len(stores)
        for _ in range(20):
            for index, store in enumerate(stores):
                if pool.may_open(store):
                    store.connections.append(mock.Mock())
                    opened[index] += 1
        self.assertEqual(opened, [2, 2, 2, 2])


if __name__ == "__main__":
    unittest.main()
