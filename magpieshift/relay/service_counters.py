"""Counters of a ``RelayService``."""

from __future__ import annotations

from dataclasses import dataclass

from magpieshift.relay.messages import Batch, DownstreamMessage, Snapshot


@dataclass
class ServiceCounters:
    """Counters of a source's or relay's service since its start."""

    joins: int = 0
    """Number of streams that joined."""
    batches: int = 0
    """Batches sent, including heartbeats."""
    entries: int = 0
    """Entries sent in batches."""
    bytes_out: int = 0
    """Total bytes of all messages sent."""
    snapshots: int = 0
    """Snapshots sent."""
    rejected_streams: int = 0
    """Streams that were ended because of an invalid or rejected message, or for lack of capacity."""
    silent_streams: int = 0
    """Streams that were ended because nothing was received on them."""

    def count_sent(self, message: DownstreamMessage) -> None:
        """Count a message that was sent to a follower."""
        if isinstance(message, Batch):
            self.batches += 1
            self.entries += len(message.entries)
        elif isinstance(message, Snapshot):
            self.snapshots += 1

    def as_data(self) -> dict[str, int]:
        """The counters under the names that status reports and the log use."""
        return {
            "joins": self.joins,
            "batches": self.batches,
            "entries": self.entries,
            "bytes_out": self.bytes_out,
            "snapshots": self.snapshots,
            "refused": self.rejected_streams,
            "lapses": self.silent_streams,
        }
