"""Caches serialized messages, so that each is serialized once for all followers that are sent the same
one."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from magpieshift.control.router_session import MAX_MESSAGE_BYTES
from magpieshift.relay.encoding import encode_downstream, encode_entries, encode_proof
from magpieshift.relay.messages import Batch, ConfigurationChange, DownstreamMessage, Entry, Epoch, Snapshot

MAX_PROOF_BYTES = 64
"""Upper bound of a serialized proof: five numbers with their tags and lengths."""
MAX_ENTRIES_BYTES = MAX_MESSAGE_BYTES - MAX_PROOF_BYTES
"""Maximum size of a serialized batch without its proof."""
MAX_CACHED_BYTES = 4 * MAX_MESSAGE_BYTES
"""Maximum size of the cached serialized entries; the newest batch is kept even if it is larger. With less,
entries are serialized again for slow followers; more costs memory."""


class EntryRange(NamedTuple):
    """The range of entries in a batch; it identifies their content within one log."""

    epoch: Epoch
    """Epoch of the entries."""
    first: int
    """Sequence number of the first entry."""
    entry_count: int
    """Number of entries."""


class MessageCache:
    """Holds recently serialized entries, and the last serialized snapshot or configuration."""

    def __init__(self) -> None:
        self.serialized_count = 0
        """Number of serializations so far: of a batch's entries, a snapshot or a configuration."""
        # oldest serialization first
        self._entry_messages: OrderedDict[EntryRange, list[bytes]] = OrderedDict()
        self._cached_bytes = 0
        # the last message other than a batch
        self._single_message: tuple[Snapshot | ConfigurationChange, bytes] | None = None

    def encode(self, message: DownstreamMessage) -> list[bytes]:
        """The serialized messages to write, in order. A batch that is too large for one message is split, and
        the last part carries the proof."""
        if isinstance(message, Batch) and message.snapshot_pending:
            return [encode_downstream(message)]
        if not isinstance(message, Batch):
            return [self._encode_single(message)]
        messages = self._encode_entries(message)
        if message.proof is None:
            return messages
        return [*messages[:-1], messages[-1] + encode_proof(message.proof)]

    def _encode_single(self, message: Snapshot | ConfigurationChange) -> bytes:
        """Serialize a snapshot or configuration, unless it is the same object as the last one: streams that
        need a snapshot at about the same time are given the same object."""
        if self._single_message is None or self._single_message[0] is not message:
            self.serialized_count += 1
            self._single_message = (message, encode_downstream(message))
        return self._single_message[1]

    def _encode_entries(self, batch: Batch) -> list[bytes]:
        key = EntryRange(batch.epoch, batch.first, len(batch.entries))
        messages = self._entry_messages.get(key)
        if messages is None:
            self.serialized_count += 1
            messages = _split(batch.epoch, batch.first, batch.entries)
            self._store(key, messages)
        return messages

    def _store(self, key: EntryRange, messages: list[bytes]) -> None:
        self._entry_messages[key] = messages
        self._cached_bytes += sum(map(len, messages))
        while self._cached_bytes > MAX_CACHED_BYTES and len(self._entry_messages) > 1:
            _, dropped = self._entry_messages.popitem(last=False)
            self._cached_bytes -= sum(map(len, dropped))


def _split(epoch: Epoch, first: int, entries: tuple[Entry, ...]) -> list[bytes]:
    """Serialize entries as one batch, or as several if they are too large for one. A single entry is never
    too large, since a source rejects such entries (``fits_message``)."""
    data = encode_entries(epoch, first, entries)
    if len(data) <= MAX_ENTRIES_BYTES or len(entries) <= 1:
        return [data]
    middle = len(entries) // 2
    first_half = _split(epoch, first, entries[:middle])
    return first_half + _split(epoch, first + middle, entries[middle:])


def fits_message(entry: Entry) -> bool:
    """Whether an entry fits into a message of its own; ``ValueError`` if it cannot be serialized."""
    largest_epoch = Epoch((1 << 63) - 1, (1 << 64) - 1)
    return len(encode_entries(largest_epoch, (1 << 63) - 1, (entry,))) <= MAX_ENTRIES_BYTES
