"""Messages to followers as bytes, serialized once for all who are sent the same."""

from __future__ import annotations

from collections import OrderedDict

from magpieshift.control.session import MOST_BYTES
from magpieshift.relay import codec
from magpieshift.relay.messages import Batch, ConfigurationChange, Entry, Epoch, Snapshot, ToFollower

MOST_PROOF_BYTES = 64
MOST_ENTRIES_BYTES = MOST_BYTES - MOST_PROOF_BYTES
MOST_KEPT_BYTES = 4 * MOST_BYTES  # of serialized entries, beyond the newest

Range = tuple[Epoch, int, int]
"""An epoch, the first sequence number and the count of entries: within one log this says what they are."""


class Encoder:
    """The serialized entries and the snapshot that were asked for last."""

    def __init__(self) -> None:
        self._pieces: OrderedDict[Range, list[bytes]] = OrderedDict()
        self._kept_bytes = 0
        self._whole: tuple[Snapshot | ConfigurationChange, bytes] | None = None
        self.serialized = 0  # batches' entries and snapshots, so far

    def encode(self, message: ToFollower) -> list[bytes]:
        """The messages to write, in order. A batch that is too large for one becomes several, of which the
        last bears the proof."""
        if isinstance(message, Batch) and message.waiting:
            return [codec.encode(message)]
        if not isinstance(message, Batch):
            return [self._encode_whole(message)]
        pieces = self._entries(message)
        if message.proof is None:
            return pieces
        return [*pieces[:-1], pieces[-1] + codec.encode_proof(message.proof)]

    def _encode_whole(self, message: Snapshot | ConfigurationChange) -> bytes:
        """Who needs a snapshot soon after another is given the same object."""
        if self._whole is None or self._whole[0] is not message:
            self.serialized += 1
            self._whole = message, codec.encode(message)
        return self._whole[1]

    def _entries(self, batch: Batch) -> list[bytes]:
        key = batch.epoch, batch.first, len(batch.entries)
        pieces = self._pieces.get(key)
        if pieces is None:
            self.serialized += 1
            pieces = _split(batch.epoch, batch.first, batch.entries)
            self._keep(key, pieces)
        return pieces

    def _keep(self, key: Range, pieces: list[bytes]) -> None:
        self._pieces[key] = pieces
        self._kept_bytes += sum(map(len, pieces))
        while self._kept_bytes > MOST_KEPT_BYTES and len(self._pieces) > 1:
            _, dropped = self._pieces.popitem(last=False)
            self._kept_bytes -= sum(map(len, dropped))


def _split(epoch: Epoch, first: int, entries: tuple[Entry, ...]) -> list[bytes]:
    """Entries in as many batches as their size demands. A single entry is never too large: a source passes
    none on that is (``fits``)."""
    data = codec.encode_entries(epoch, first, entries)
    if len(data) <= MOST_ENTRIES_BYTES or len(entries) <= 1:
        return [data]
    middle = len(entries) // 2
    left = _split(epoch, first, entries[:middle])
    return left + _split(epoch, first + middle, entries[middle:])


def fits(entry: Entry) -> bool:
    """Whether an entry can be sent at all; ``ValueError`` where it cannot be put into bytes."""
    largest = Epoch((1 << 63) - 1, (1 << 64) - 1)
    return len(codec.encode_entries(largest, (1 << 63) - 1, (entry,))) <= MOST_ENTRIES_BYTES
