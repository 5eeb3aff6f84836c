"""The exchange table of one upstream connection, given received bytes."""

import unittest
from dataclasses import replace
from unittest import mock

from magpieshift.engine.model import AttemptResult, ClientRequest, ListedEndpoint, UpstreamRequest
from magpieshift.policy.events import Endpoint, EndpointState
from magpieshift.policy.outcomes import Outcome
from magpieshift.upstream.codec import UpstreamProtocolError
from magpieshift.upstream.exchange_table import MAX_ANSWERED, MAX_CANCELLED, ExchangeTable

CLIENT_REQUEST = ClientRequest(
    "00000000000000a1", 0, "picture", "7f3a9c21e0b4d655", 3, 17, 9.5, 4_000_000, False, "", "", b""
)
ENDPOINT = ListedEndpoint("s1", ("127.0.0.1", 1), Endpoint(1, 0, 0, 0, EndpointState.READY, 1.0, 0))


def upstream_request(request_id: str = "00000000000000a1", known_version: str = "") -> UpstreamRequest:
    """A request for an object, with one second until its deadline."""
    client_request = replace(CLIENT_REQUEST, request_id=request_id, known_version=known_version)
    return UpstreamRequest(client_request, ENDPOINT, None, 0, 0, 0, 1_000_000, False, lambda: None)


class ExchangeTables(unittest.TestCase):
    def setUp(self) -> None:
        self.table = ExchangeTable(())
        self.callback = mock.Mock()

    def open(self, request_id: str, known_version: str = "") -> None:
        """Open an exchange for a request with this id."""
        self.table.open_request(upstream_request(request_id, known_version), 0, self.callback)

    def test_load_figures_are_read_under_the_settings_names_and_their_aliases(self) -> None:
        """Guards against lost load reports: endpoints use the settings' names, but only aliases were read."""
        for stats in (b"inflight:7;util:0.61", b"concurrent:7;load_share:0.61"):
            table = ExchangeTable(("load_share", "concurrent"))
            table.open_probe(True, self.callback)
            ((callback, result),) = table.feed(b"p1 well how=jammed,lag=1.5,stats=%b 0\r\n\r\n" % stats)
            self.assertIs(callback, self.callback)
            self.assertEqual(result, AttemptResult(Outcome.OK, 9, 1500, (0.61, 7.0), bytearray()))

    def test_an_id_in_use_is_not_opened_again(self) -> None:
        self.open("a1")
        self.assertFalse(self.table.can_open("a1"))
        self.assertTrue(self.table.can_open("a2"))

    def test_a_response_to_a_cancelled_request_is_dropped_and_its_id_stays_taken(self) -> None:
        """Guards against a late response that is taken for that of a later request under the same id."""
        self.open("a1")
        self.assertEqual(self.table.cancel("a1"), b"QUIT a1\r\n")
        self.assertEqual(list(self.table.feed(b"a1 failed - 0\r\n\r\n")), [])
        self.assertFalse(self.table.can_open("a1"))
        self.assertEqual(self.table.cancel("a1"), b"")

    def test_an_answered_id_is_opened_again_only_for_what_may_run_twice(self) -> None:
        """Guards against a late second response that is taken for that of a repeated write."""
        self.open("a1")
        self.assertEqual(len(list(self.table.feed(b"a1 failed - 0\r\n\r\n"))), 1)
        self.assertTrue(self.table.can_open("a1"))
        self.assertFalse(self.table.can_open("a1", must_not_repeat=True))
        for number in range(MAX_ANSWERED):
            self.open(f"b{number}")
            list(self.table.feed(b"b%d failed - 0\r\n\r\n" % number))
        self.assertTrue(self.table.can_open("a1", must_not_repeat=True))

    def test_with_too_many_cancelled_ids_nothing_is_opened(self) -> None:
        for number in range(MAX_CANCELLED):
            self.assertTrue(self.table.can_open("a1"))
            self.open(f"b{number}")
            self.table.cancel(f"b{number}")
        self.assertFalse(self.table.can_open("a1"))

    def test_not_modified_answers_only_a_client_that_holds_a_copy(self) -> None:
        """Guards against a client without a copy that is served no content at all."""
        self.open("a1", known_version="4be0")
        ((_, result),) = self.table.feed(b"a1 unchanged - 0\r\n\r\n")
        self.assertEqual((result.outcome, result.not_modified), (Outcome.OK, True))
        self.open("a2")
        with self.assertRaises(UpstreamProtocolError):
            list(self.table.feed(b"a2 unchanged - 0\r\n\r\n"))

    def test_a_health_check_is_not_answered_by_a_response_to_a_request(self) -> None:
        probe_id, _ = self.table.open_probe(False, self.callback)
        with self.assertRaises(UpstreamProtocolError):
            list(self.table.feed(f"{probe_id} data - 0\r\n\r\n".encode()))

    def test_a_response_received_in_part_is_recognized(self) -> None:
        self.open("a1")
        self.assertEqual(list(self.table.feed(b"a1 data - 9\r\nco")), [])
        self.assertTrue(self.table.is_receiving("a1"))
        self.assertFalse(self.table.is_receiving("a2"))

    def test_abort_all_returns_the_callbacks_of_all_open_exchanges(self) -> None:
        self.open("a1")
        self.table.open_probe(False, self.callback)
        self.assertEqual(self.table.abort_all(), [self.callback, self.callback])
        self.assertEqual(len(self.table), 0)


if __name__ == "__main__":
    unittest.main()
