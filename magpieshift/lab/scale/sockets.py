"""Bytes carried by the streams of a port, as the kernel counts them: payload of TCP, both directions, with
whatever framing the libraries above put round messages."""

from __future__ import annotations

import asyncio
import re
import shutil

ENDPOINTS_LINE = re.compile(r"^(?:[A-Z]\S*\s+)?\d+\s+\d+\s+(\S+:\d+)\s+(\S+:\d+)")
BYTES_ACKED = re.compile(r"\bbytes_acked:(\d+)")
BYTES_RECEIVED = re.compile(r"\bbytes_received:(\d+)")
Streams = dict[tuple[str, str], int]  # bytes by both ends


def parse(text: str) -> Streams:
    """The streams of ``ss -tinH``'s text: a line with the ends, then one with the counters."""
    found: Streams = {}
    ends: tuple[str, str] | None = None
    for line in text.splitlines():
        if match := ENDPOINTS_LINE.match(line):
            ends = match[1], match[2]
        elif ends is not None:
            counted = [
                int(m[1]) for m in (BYTES_ACKED.search(line), BYTES_RECEIVED.search(line)) if m is not None
            ]
            found[ends] = sum(counted)
            ends = None
    return found


class StreamByteCounter:
    """Bytes of all streams of some listening ports since the counter was made. Streams that end are counted
    up to the last look at them."""

    def __init__(self, ports: list[int]) -> None:
        self.ports = ports
        self._streams: Streams = {}

    @staticmethod
    def available() -> bool:
        """Whether the machine has the command that reads the counters."""
        return shutil.which("ss") is not None

    async def read(self) -> int:
        """Look at the counters now; the sum over all streams so far."""
        ports = " or ".join(f"sport = :{port}" for port in self.ports)
        process = await asyncio.create_subprocess_exec(
            "ss", "-tinH", "state", "established", f"( {ports} )", stdout=asyncio.subprocess.PIPE
        )
        out, _ = await process.communicate()
        self._streams |= parse(out.decode())
        return sum(self._streams.values())
