"""Bytes transferred by the TCP streams of a port, from the kernel's counters: TCP payload in both directions,
including the framing that libraries such as gRPC add to messages."""

from __future__ import annotations

import asyncio
import re
import shutil

ENDPOINTS_LINE = re.compile(r"^(?:[A-Z]\S*\s+)?\d+\s+\d+\s+(\S+:\d+)\s+(\S+:\d+)")
BYTES_ACKED = re.compile(r"\bbytes_acked:(\d+)")
BYTES_RECEIVED = re.compile(r"\bbytes_received:(\d+)")
Streams = dict[tuple[str, str], int]  # bytes transferred, by local and remote address


def parse_ss_output(text: str) -> Streams:
    """Parse the output of ``ss -tinH``: for each stream a line with both addresses, then one with the
    counters."""
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
    """Bytes transferred by all streams of some listening ports. A stream that has ended counts with the value
    of the last ``read`` that found it."""

    def __init__(self, ports: list[int]) -> None:
        self.ports = ports
        self._streams: Streams = {}

    @staticmethod
    def available() -> bool:
        """Whether the command ``ss``, which reads the counters, is installed."""
        return shutil.which("ss") is not None

    async def read(self) -> int:
        """Read the counters, and return the sum over all streams so far, including ended ones."""
        ports = " or ".join(f"sport = :{port}" for port in self.ports)
        process = await asyncio.create_subprocess_exec(
            "ss", "-tinH", "state", "established", f"( {ports} )", stdout=asyncio.subprocess.PIPE
        )
        out, _ = await process.communicate()
        self._streams |= parse_ss_output(out.decode())
        return sum(self._streams.values())
