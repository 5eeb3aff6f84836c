"""Runs a ``magpieshift`` command as a separate process that listens on a free port and logs the port."""

from __future__ import annotations

import asyncio
import contextlib
import re
import sys
from collections.abc import AsyncIterator
from dataclasses import dataclass

START_TIMEOUT_S = 30.0  # timeout for the log line with the process's port
PORT = re.compile(r"\bport=(\d+)")
MAX_LOG_CHARACTERS = 500  # length of the log's end in the error for a process that does not start


@dataclass(frozen=True, slots=True)
class ListeningProcess:
    """A started process and the loopback port that it listens on."""

    pid: int
    port: int


@contextlib.asynccontextmanager
async def listening_process(
    description: str, *arguments: str, event: str = ""
) -> AsyncIterator[ListeningProcess]:
    """Run ``magpieshift`` with these arguments until the block ends. The port is read from the first log line
    that has a port and contains ``event``. ``RuntimeError`` if the process ends before such a line."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "magpieshift",
        *arguments,
        "--listen",
        "127.0.0.1:0",
        stderr=asyncio.subprocess.PIPE,
    )
    assert process.stderr is not None
    log_reader: asyncio.Future[bytes] | None = None
    try:
        async with asyncio.timeout(START_TIMEOUT_S):
            port = await _logged_port(process.stderr, description, event)
        log_reader = asyncio.ensure_future(process.stderr.read())  # a full pipe would block the process
        yield ListeningProcess(process.pid, port)
    finally:
        # kill() raises for an ended process, which would hide the original error
        if process.returncode is None:
            process.kill()
        await process.wait()
        if log_reader is not None:
            await log_reader


async def _logged_port(log: asyncio.StreamReader, description: str, event: str) -> int:
    lines = []
    while line := (await log.readline()).decode():
        lines.append(line)
        if event in line and (found := PORT.search(line)):
            return int(found[1])
    raise RuntimeError(
        f"{description} ended without logging a port; end of its log: {''.join(lines)[-MAX_LOG_CHARACTERS:]}"
    )
