"""The parser of server-sent events."""

import unittest

from magpieshift.discovery.event_stream import EventStreamParser, ServerEvent


class Events(unittest.TestCase):
    def test_events_may_be_split_anywhere(self) -> None:
        data = b": alive\r\n\r\nid: 4\r\ndata: {\r\ndata: }\r\n\r\nretry: 5\n\ndata:x\n\n"
        for size in (1, 2, 5, 1000):
            parser = EventStreamParser()
            chunks = [data[at : at + size] for at in range(0, len(data), size)]
            events = [event for chunk in chunks for event in parser.feed(chunk)]
            self.assertEqual(events, [ServerEvent("4", "{\n}"), ServerEvent("", "x")])


if __name__ == "__main__":
    unittest.main()
