"""A process of a run: it takes messages on standard input, one a line, and answers in order on
standard output. It ends when its input does."""

from __future__ import annotations

import asyncio
import logging
import sys
from collections.abc import Awaitable, Callable

from magpieshift.lab.scale.messages import MAX_LINE_BYTES, Failed, Message, decode, encode

log = logging.getLogger(__name__)

Handle = Callable[[Message], Awaitable[Message | None]]


async def serve(handle: Handle) -> None:
    """Hand each message to ``handle``, and write what it returns. An error that it raises is answered by
    ``Failed``."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        try:
            answer = await handle(decode(line))
        except Exception as err:  # any failure of one message: the coordinator must learn of it
            log.exception("message failed")
            answer = Failed(reason=f"{type(err).__name__}: {err}"[:300])
        if answer is not None:
            sys.stdout.buffer.write(encode(answer))
            sys.stdout.buffer.flush()
