"""What a relay's service counts."""

from __future__ import annotations

from dataclasses import dataclass

from magpieshift.relay.messages import Batch, DownstreamMessage, Snapshot


@dataclass
class ServiceCounters:
    """What a service has done since its start."""

    joins: int = 0
    """Streams that joined."""
    batches: int = 0
    """Batches sent, with heartbeats."""
    entries: int = 0
    """Entries sent in them."""
    bytes_out: int = 0
    """Bytes of all messages sent."""
    snapshots: int = 0
    """Snapshots sent."""
    rejected_streams: int = 0
    """Streams that were ended for what was received on them, or for want of capacity."""
    silent_streams: int = 0
    """Streams that were ended because nothing was received on them."""

    def count_sent(self, message: DownstreamMessage) -> None:
        """A message was sent to a follower."""
        if isinstance(message, Batch):
            self.batches += 1
            self.entries += len(message.entries)
        elif isinstance(message, Snapshot):
            self.snapshots += 1

    def as_data(self) -> dict[str, int]:
        """By the names that status reports, their readers and the log use."""
        return {
            "joins": self.joins,
            "batches": self.batches,
            "entries": self.entries,
            "bytes_out": self.bytes_out,
            "snapshots": self.snapshots,
            "refused": self.rejected_streams,
            "lapses": self.silent_streams,
        }
