"""Answers of an admin server as its client parses and classifies them."""

from __future__ import annotations

import asyncio
import unittest

from magpieshift.admin.answer import AdminAnswer, AnswerStatus, parse_answer
from magpieshift.admin.client import send_admin_command
from magpieshift.lab.fault_injection.ports import free_ports

TIMEOUT_S = 0.2


class ParseAnswer(unittest.TestCase):
    def test_only_ok_counts_as_success(self) -> None:
        for line, status, text in (
            ("OK serving", AnswerStatus.SUCCEEDED, "serving"),
            ("OK", AnswerStatus.SUCCEEDED, ""),
            ("ERR PING not now: starting", AnswerStatus.REFUSED, "PING not now: starting"),
            ("OKAY", AnswerStatus.REFUSED, "found 'OKAY', expected OK or ERR"),
            ("", AnswerStatus.REFUSED, "found '', expected OK or ERR"),
        ):
            with self.subTest(line):
                self.assertEqual(parse_answer(line), AdminAnswer(status, text))


class SendAdminCommand(unittest.IsolatedAsyncioTestCase):
    async def answer_from_server(self, data: bytes, closes: bool = True) -> AdminAnswer:
        """Return the client's result for a server that sends these bytes."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readline()
            writer.write(data)
            if closes:
                writer.close()

        async with await asyncio.start_server(serve, "127.0.0.1", 0) as server:
            return await send_admin_command(server.sockets[0].getsockname(), "PING", TIMEOUT_S)

    async def test_an_address_that_answers_is_not_free_whatever_it_says(self) -> None:
        """Guards against an address that counts as free because its process did not answer with success."""
        for data, closes, status in (
            (b"OK serving\n", True, AnswerStatus.SUCCEEDED),
            (b"ERR starting\n", True, AnswerStatus.REFUSED),
            (b"HTTP/1.1 400\r\n", True, AnswerStatus.REFUSED),
            (b"", True, AnswerStatus.NO_ANSWER),
            (b"OK half", True, AnswerStatus.NO_ANSWER),
            (b"", False, AnswerStatus.NO_ANSWER),
        ):
            with self.subTest(data=data, closes=closes):
                answer = await self.answer_from_server(data, closes)
                self.assertEqual((answer.status, answer.is_address_free), (status, False))

    async def test_an_address_where_nothing_listens_is_free(self) -> None:
        answer = await send_admin_command(("127.0.0.1", free_ports(1)[0]), "PING", TIMEOUT_S)
        self.assertTrue(answer.is_address_free, answer)


if __name__ == "__main__":
    unittest.main()
