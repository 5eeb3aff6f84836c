"""The main loop of a process of a run: it reads messages from standard input, one per line, and writes the
replies to standard output in the same order. It exits at the end of its input."""

from __future__ import annotations

import asyncio
import logging
import sys
from collections.abc import Awaitable, Callable

from magpieshift.lab.scale.messages import MAX_LINE_BYTES, Failed, Message, decode, encode

log = logging.getLogger(__name__)

MessageHandler = Callable[[Message], Awaitable[Message | None]]


async def serve(handle: MessageHandler) -> None:
    """Pass each message to ``handle``, and write the reply that it returns, if any. An exception is reported
    as a ``Failed`` reply."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        try:
            answer = await handle(decode(line))
        except Exception as err:  # the coordinator must be informed of any failure
            log.exception("a message from the coordinator could not be handled")
            answer = Failed(reason=f"{type(err).__name__}: {err}"[:300])
        if answer is not None:
            sys.stdout.buffer.write(encode(answer))
            sys.stdout.buffer.flush()
