"""The client of admin servers: sends one command over a new connection, and reads the answer."""

from __future__ import annotations

import asyncio

from magpieshift.admin.answer import AdminAnswer, AnswerStatus, parse_answer
from magpieshift.config import Address

COMMAND_TIMEOUT_S = 2.0
"""Timeout of a whole exchange, from connecting to the answer; a server must answer within one second."""
MAX_ANSWER_BYTES = 1 << 21
"""Maximum size of an answer; the longest lists the members of a whole fleet."""


async def send_admin_command(
    server: Address, command: str, timeout_s: float = COMMAND_TIMEOUT_S
) -> AdminAnswer:
    """Send a command, a line without its line end, to the admin server at an address; returns the answer.

    Errors of the connection or the server are returned, not raised. The status is ``UNREACHABLE`` only if
    connecting fails with an error. If the connection is established, or connecting times out, a process may
    hold the address.
    """
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*server, limit=MAX_ANSWER_BYTES)
            writer.write(f"{command}\n".encode())
            line = await reader.readline()
    except TimeoutError:
        return AdminAnswer(AnswerStatus.NO_ANSWER, f"not within {timeout_s:g} s")
    except OSError as err:
        status = AnswerStatus.NO_ANSWER if writer is not None else AnswerStatus.UNREACHABLE
        return AdminAnswer(status, err.strerror or str(err))
    except ValueError:
        return AdminAnswer(AnswerStatus.REFUSED, f"more than {MAX_ANSWER_BYTES} bytes without a line end")
    finally:
        if writer is not None:
            writer.close()
    if not line.endswith(b"\n"):
        return AdminAnswer(AnswerStatus.NO_ANSWER, f"closed after {len(line)} bytes, before the line's end")
    return parse_answer(line.decode("utf-8", "replace").rstrip("\r\n"))
