"""The serving side of the fan-out, shared by sources and relays: decides what to send to each follower, and
computes the watermark up to which everything is applied everywhere.

A state machine without I/O. A driver passes each message of a follower's stream to ``join`` or
``receive_progress``. Once ``next_send_us`` is reached and the previous write has completed, it writes what
``messages_to_send`` returns; no messages are queued here for a follower.
"""

from __future__ import annotations

from collections.abc import Callable

from magpieshift.relay.errors import (
    EpochSupersededError,
    TooManyFollowersError,
    UnknownStreamError,
    UpstreamStaleError,
)
from magpieshift.relay.follower_stream import FollowerStream, SentEntries
from magpieshift.relay.limits import (
    BATCH_INTERVAL_US,
    FOLLOWER_SILENCE_TIMEOUT_US,
    HEARTBEAT_INTERVAL_US,
    MAX_BATCH_ENTRIES,
    MAX_FOLLOWERS,
    MAX_SERVING_SYNC_AGE_US,
    lease_lapse_us,
    max_elapsed_us,
)
from magpieshift.relay.log import SequencedLog
from magpieshift.relay.log_state import LogState
from magpieshift.relay.messages import Batch, DownstreamMessage, FreshnessProof, Join, Progress, Snapshot
from magpieshift.relay.report import DownstreamReport, FollowerStatus, make_report, make_status
from magpieshift.relay.snapshot_schedule import SnapshotCache, SnapshotSchedule
from magpieshift.relay.visibility import AgeSource, Visibility, VisibleCut
from magpieshift.relay.watermark import Watermark


def _source_sync_age_us(now_us: int) -> int | None:
    """The sync age of a source: 0, since it is its own source."""
    return 0


class Fanout:
    """The followers of one source or relay. The driver identifies streams by numbers that it assigns."""

    def __init__(
        self,
        log: SequencedLog,
        state: LogState,
        age_us: AgeSource,
        source_watermark: Callable[[], int] | None = None,
        watermark_from_us: int = 0,
        sync_age_us: AgeSource | None = None,
    ) -> None:
        """``age_us`` returns the age of the process's knowledge (``StalenessBound.epoch_age_us`` at a relay,
        ``ChangeLogReader.age_us`` at a source). A relay also passes ``source_watermark``, the watermark
        received from its source (``Follower.watermark``), and ``sync_age_us``, the time since it last had
        everything that its source had (``StalenessBound.epoch_sync_age_us``); a source omits both. The
        watermark is 0 before ``watermark_from_us``: a source passes ``now_us + lease_lapse_us()`` at its
        start, since followers of the previous source may still hold leases."""
        self._log = log
        self._state = state
        self._sync_age_us = sync_age_us or _source_sync_age_us
        self._source_watermark = source_watermark
        self._watermark_from_us = watermark_from_us
        # epoch of the streams' cursors; updated when the log's epoch changes
        self._epoch = log.epoch
        # records of all processes that follow, or may still hold a lease
        self._followers = Watermark()
        self._streams: dict[int, FollowerStream] = {}
        self._snapshot_schedule = SnapshotSchedule()
        self._visibility = Visibility(log, age_us, self._sync_age_us)
        self._snapshots = SnapshotCache(log, state)

    # --- events

    def join(self, stream: int, join: Join, now_us: int) -> int | None:
        """Handle a follower's first message. Returns the number of the same process's earlier stream, which
        the driver has to end; None if there is none. Raises ``EpochSupersededError``, ``UpstreamStaleError``
        or ``TooManyFollowersError``, and ``ValueError`` if the stream has joined already."""
        self._refresh_cut(now_us)
        if stream in self._streams:
            raise ValueError(f"stream {stream} joins twice")
        newest = max(join.epoch, join.highest_epoch)
        if newest > self._epoch:
            raise EpochSupersededError(newest)
        if not self.is_fresh(now_us):
            raise UpstreamStaleError(f"the source was not heard of for {MAX_SERVING_SYNC_AGE_US} us")
        if len(self._streams) >= MAX_FOLLOWERS:
            raise TooManyFollowersError(f"the limit of {MAX_FOLLOWERS} followers is reached")
        follower = self._followers.follower(join.name, join.boot, now_us)
        replaced = follower.stream_number
        if replaced is not None:
            self._forget_stream(replaced)
        follower.stream_number = stream
        joined_with = join.applied if join.epoch == self._epoch else 0
        head = self._log.head
        self._streams[stream] = FollowerStream(
            follower=follower,
            epoch=join.epoch,
            cursor=min(joined_with, head),
            joined_with=joined_with,
            required_acknowledgement=head,
            last_heard_us=now_us,
            last_sent_us=now_us,
            acknowledged=joined_with,
        )
        return replaced

    def receive_progress(self, stream: int, progress: Progress, now_us: int) -> None:
        """Handle a follower's acknowledgement and probe. Raises ``EpochSupersededError`` or
        ``UnknownStreamError``."""
        receiver = self._require_stream(stream)
        self._refresh_cut(now_us)
        if progress.epoch > self._epoch:
            raise EpochSupersededError(progress.epoch)
        receiver.record(progress, now_us)
        if progress.epoch == self._epoch == receiver.epoch:
            self._acknowledge(receiver, progress)
        if progress.lease_released:
            receiver.lease_released = True
            self._followers.release_lease(receiver.follower)

    def close_stream(self, stream: int, now_us: int) -> None:
        """Handle the end of a stream. Its follower holds back the watermark until its lease has lapsed."""
        if stream in self._streams:
            self._forget_stream(stream)
            self._followers.forget_expired(now_us)

    # --- what to send

    def next_send_us(self, stream: int) -> int:
        """When ``messages_to_send`` has to be called next; may be in the past. Changes with
        ``receive_progress``, ``messages_to_send`` and appended entries. Raises ``UnknownStreamError``."""
        receiver = self._require_stream(stream)
        due_us = receiver.last_sent_us + HEARTBEAT_INTERVAL_US
        if receiver.last_probe > receiver.answered_probe:
            due_us = min(due_us, max(receiver.last_probe_us, receiver.last_sent_us + BATCH_INTERVAL_US))
        if self._needs_snapshot(receiver):
            slot_us = self._snapshot_schedule.slot_us(stream)
            slot_us = receiver.last_sent_us if slot_us is None else slot_us
            return min(due_us, slot_us) if receiver.window_open else due_us
        if self._can_send_full(receiver):
            return receiver.last_sent_us
        if receiver.window_open and receiver.cursor < self._log.head:
            visible_us = self._visibility.next_visible_us(receiver.cursor)
            return min(due_us, receiver.last_sent_us if visible_us is None else visible_us)
        return due_us

    def due_streams(self, now_us: int) -> list[int]:
        """The streams whose ``next_send_us`` is reached."""
        return [stream for stream in self._streams if self.next_send_us(stream) <= now_us]

    def messages_to_send(self, stream: int, now_us: int) -> list[DownstreamMessage]:
        """The messages to write to the stream now, in order; they count as sent. Raises
        ``UnknownStreamError``."""
        receiver = self._require_stream(stream)
        cut = self._refresh_cut(now_us)
        messages: list[DownstreamMessage] = []
        if self._needs_snapshot(receiver) and receiver.window_open:
            self._snapshot_schedule.reserve(stream, now_us)
            if self._snapshot_schedule.take_slot(stream, now_us):
                messages.append(self._take_snapshot(receiver, now_us))
        if not self._needs_snapshot(receiver):
            if self._can_send_full(receiver) and self._state.configuration is not None:
                receiver.wants_full = False
                receiver.full_sent_us = now_us
                messages.append(self._state.configuration)
            messages += self._take_batches(receiver, cut, now_us)
        if not messages and self.next_send_us(stream) <= now_us:
            messages.append(self._take_batch(receiver, receiver.cursor, cut, now_us))
        if messages:
            receiver.last_sent_us = now_us
        return messages

    # --- queries

    def is_fresh(self, now_us: int) -> bool:
        """Whether the sync age is below ``MAX_SERVING_SYNC_AGE_US``. If not, the driver ends all streams, so
        that followers can change to another relay before their leases lapse. A source that cannot read its
        change log counts as fresh: no relay could do better, and it still distributes configurations."""
        sync_age_us = self._sync_age_us(now_us)
        return sync_age_us is not None and sync_age_us < MAX_SERVING_SYNC_AGE_US

    def silent_streams(self, now_us: int) -> list[int]:
        """Streams to be ended, because no message was received on them for
        ``FOLLOWER_SILENCE_TIMEOUT_US``."""
        return [
            number
            for number, stream in self._streams.items()
            if now_us - stream.last_heard_us >= FOLLOWER_SILENCE_TIMEOUT_US
        ]

    def watermark(self, now_us: int) -> int:
        """Sequence number up to which this process and every follower that may hold a lease have applied
        everything; never decreases within an epoch."""
        cut = self._refresh_cut(now_us)
        self._followers.forget_expired(now_us)
        if now_us < self._watermark_from_us:
            return 0
        # not the log's head: a follower that gets a lease later needs only the entries up to the cut's head
        return self._followers.advance(cut.head, now_us)

    def report(self, now_us: int) -> DownstreamReport:
        """The report of a relay to its source; at a source, the report over all relays."""
        watermark = self.watermark(now_us)
        followers = self._followers.followers.values()
        return make_report(self._epoch, watermark, followers, self._state.newest_digest)

    def status(self, now_us: int) -> tuple[FollowerStatus, ...]:
        """Status of all followers, sorted by name."""
        self._refresh_cut(now_us)
        return make_status(self._followers.followers.values(), self._log.head, now_us)

    # --- streams

    def _require_stream(self, stream: int) -> FollowerStream:
        found = self._streams.get(stream)
        if found is None:
            raise UnknownStreamError(f"stream {stream} has not joined, has ended or was replaced")
        return found

    def _forget_stream(self, stream: int) -> None:
        self._streams.pop(stream).follower.stream_number = None
        self._snapshot_schedule.cancel(stream)

    def _refresh_cut(self, now_us: int) -> VisibleCut:
        """Follow changes of the log: a new epoch, or entries that become visible."""
        if self._log.epoch != self._epoch:
            self._begin_epoch()
        return self._visibility.refresh(now_us)

    def _begin_epoch(self) -> None:
        self._epoch = self._log.epoch
        self._followers.begin_epoch()
        self._visibility.begin_epoch()
        for stream in self._streams.values():
            stream.begin_epoch()

    def _acknowledge(self, receiver: FollowerStream, progress: Progress) -> None:
        """Remove acknowledged batches from the send window, and record the acknowledgement unless it covers
        entries that the follower was not sent."""
        while receiver.unacknowledged and receiver.unacknowledged[0].last <= progress.applied:
            receiver.unacknowledged.popleft()
        if progress.applied <= max(receiver.cursor, receiver.joined_with):
            receiver.acknowledged = max(receiver.acknowledged, progress.applied)
            self._followers.acknowledge(receiver.follower, progress.applied, progress.watermark)
        else:
            receiver.follower.invalid_acknowledgements += 1

    # --- messages

    def _needs_snapshot(self, receiver: FollowerStream) -> bool:
        return receiver.epoch != self._log.epoch or receiver.cursor + 1 < self._log.first

    def _can_send_full(self, receiver: FollowerStream) -> bool:
        return receiver.wants_full and self._state.configuration is not None and not self._state.needs_full

    def _take_snapshot(self, receiver: FollowerStream, now_us: int) -> Snapshot:
        """A snapshot for the stream; followers that need one at about the same time share it."""
        snapshot = self._snapshots.get(now_us)
        receiver.epoch = snapshot.epoch
        receiver.cursor = snapshot.applied
        receiver.required_acknowledgement = snapshot.applied
        receiver.unacknowledged.append(SentEntries(snapshot.applied, now_us))
        # if this process lacks the complete newest version, the follower is sent it later
        receiver.wants_full = receiver.wants_full or self._state.needs_full
        return snapshot

    def _take_batches(self, receiver: FollowerStream, cut: VisibleCut, now_us: int) -> list[Batch]:
        batches = []
        while receiver.cursor < cut.head and receiver.window_open:
            last = min(receiver.cursor + MAX_BATCH_ENTRIES, cut.head)
            batches.append(self._take_batch(receiver, last, cut, now_us))
            receiver.unacknowledged.append(SentEntries(last, now_us))
        return batches

    def _take_batch(self, receiver: FollowerStream, last: int, cut: VisibleCut, now_us: int) -> Batch:
        """A batch with the entries after the cursor up to ``last``, and a proof if no visible entry remains
        to be sent."""
        first = receiver.cursor + 1
        epoch = self._log.epoch
        receiver.answered_probe = receiver.last_probe
        if self._needs_snapshot(receiver):
            return Batch(epoch, first, (), None, snapshot_pending=True)
        entries = self._log.entries_after(receiver.cursor, last)
        receiver.cursor = max(receiver.cursor, last)
        return Batch(epoch, first, entries, self._make_proof(receiver, cut, now_us))

    def _make_proof(self, receiver: FollowerStream, cut: VisibleCut, now_us: int) -> FreshnessProof | None:
        """The proof for a batch that is sent now; None if the follower may not be given one. Its age is
        measured from when the log last had no entries beyond the cut. The recorded lease is measured from
        when the probe was received, which is after the follower sent it and thus errs on the safe side."""
        if (
            not receiver.last_probe
            or receiver.cursor < cut.head
            or not receiver.is_keeping_up(now_us)
            or receiver.lease_released
        ):
            return None
        if cut.age_us is None:
            return None
        age_us = cut.age_us + max_elapsed_us(now_us - cut.checked_us)
        lease_until_us = receiver.last_probe_us - age_us + lease_lapse_us()
        if lease_until_us > now_us:
            self._followers.extend_lease(receiver.follower, lease_until_us)
        watermark = self.watermark(now_us) if self._source_watermark is None else self._source_watermark()
        return FreshnessProof(receiver.last_probe, age_us, cut.head, watermark, cut.source_age_us)
