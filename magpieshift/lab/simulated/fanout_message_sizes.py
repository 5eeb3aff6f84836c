"""Estimated sizes of the fan-out tier's messages on the wire."""

from __future__ import annotations

from magpieshift.lab.simulated.fanout_outputs import Message
from magpieshift.relay.messages import Batch, Purge, Snapshot

PURGE_BYTES = 28  # key or group and time as protobuf fields
MESSAGE_BYTES = 40  # framing, epoch and sequence numbers of any message


def estimated_bytes(message: Message) -> int:
    """Estimated size of a message on the wire, in bytes."""
    entries = message.entries if isinstance(message, Batch) else ()
    if isinstance(message, Snapshot):
        configuration = message.configuration
        entries = message.purges
        return (
            MESSAGE_BYTES
            + len(message.endpoint_list_json)
            + PURGE_BYTES * len(entries)
            + (len(configuration.content) if configuration else 0)
        )
    entry_bytes = sum(PURGE_BYTES if isinstance(entry, Purge) else len(repr(entry)) for entry in entries)
    return MESSAGE_BYTES + entry_bytes
