"""The serving side of the fan-out, the same at a source and a relay: what to send to each follower, and up to
where everything is applied everywhere.

A state machine without I/O. A driver feeds each message of a follower's stream to ``join`` and
``receive_progress``, and writes what ``messages_to_send`` yields when ``next_send_us`` is reached and the
last write is through; nothing is queued here for a follower.
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


def _no_age_us(now_us: int) -> int | None:
    """The sync age of a source: it always has all that it has itself."""
    return 0


class Fanout:
    """The followers of one source or relay. Streams go by numbers that the driver gives them."""

    def __init__(
        self,
        log: SequencedLog,
        state: LogState,
        age_us: AgeSource,
        source_watermark: Callable[[], int] | None = None,
        watermark_from_us: int = 0,
        sync_age_us: AgeSource | None = None,
    ) -> None:
        """``age_us`` gives the age of the process's knowledge (``StalenessBound.epoch_age_us`` of a relay,
        ``SourceStalenessBound.age_us`` of a source). A relay gives ``source_watermark``, what it has heard
        from its source (``Follower.watermark``), and ``sync_age_us``, when it heard of it
        (``StalenessBound.epoch_sync_age_us``); a source leaves both out. The watermark is 0 before
        ``watermark_from_us``: a source gives ``now_us + lease_lapse_us()`` at its start, since followers of
        the one before it hold leases."""
        self._log = log
        self._state = state
        self._sync_age_us = sync_age_us or _no_age_us
        self._source_watermark = source_watermark
        self._watermark_from_us = watermark_from_us
        # the epoch that the streams' cursors are of; follows the log's
        self._epoch = log.epoch
        # all processes that follow, or did lately
        self._followers = Watermark()
        self._streams: dict[int, FollowerStream] = {}
        self._snapshot_schedule = SnapshotSchedule()
        self._visibility = Visibility(log, age_us, self._sync_age_us)
        self._snapshots = SnapshotCache(log, state)

    # --- events

    def join(self, stream: int, join: Join, now_us: int) -> int | None:
        """A follower's first message. Returns the earlier stream of the same process, which is to be ended.
        ``EpochSupersededError``, ``UpstreamStaleError``, ``TooManyFollowersError``; ``ValueError`` if the
        stream has joined already."""
        self._refresh_cut(now_us)
        if stream in self._streams:
            raise ValueError(f"stream {stream} joins twice")
        newest = max(join.epoch, join.highest_epoch)
        if newest > self._epoch:
            raise EpochSupersededError(newest)
        if not self.is_fresh(now_us):
            raise UpstreamStaleError(f"the source was not heard of for {MAX_SERVING_SYNC_AGE_US} us")
        if len(self._streams) >= MAX_FOLLOWERS:
            raise TooManyFollowersError(f"{MAX_FOLLOWERS} followers are here already")
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
        """An acknowledgement and probe. ``EpochSupersededError``, ``UnknownStreamError``."""
        to = self._require_stream(stream)
        self._refresh_cut(now_us)
        if progress.epoch > self._epoch:
            raise EpochSupersededError(progress.epoch)
        to.record(progress, now_us)
        if progress.epoch == self._epoch == to.epoch:
            self._acknowledge(to, progress)
        if progress.lease_released:
            to.lease_released = True
            self._followers.release_lease(to.follower)

    def close_stream(self, stream: int, now_us: int) -> None:
        """The stream has ended, however. Its follower holds back the watermark until its lease has lapsed."""
        if stream in self._streams:
            self._forget_stream(stream)
            self._followers.forget_expired(now_us)

    # --- what to send

    def next_send_us(self, stream: int) -> int:
        """When ``messages_to_send`` is to be called next, as things stand; may be past. Changes with
        ``receive_progress``, with appended entries and after ``messages_to_send``. ``UnknownStreamError``."""
        to = self._require_stream(stream)
        due_us = to.last_sent_us + HEARTBEAT_INTERVAL_US
        if to.last_probe > to.answered_probe:
            due_us = min(due_us, max(to.last_probe_us, to.last_sent_us + BATCH_INTERVAL_US))
        if self._needs_snapshot(to):
            slot_us = self._snapshot_schedule.slot_us(stream)
            slot_us = to.last_sent_us if slot_us is None else slot_us
            return min(due_us, slot_us) if to.window_open else due_us
        if self._can_send_full(to):
            return to.last_sent_us
        if to.window_open and to.cursor < self._log.head:
            visible_us = self._visibility.next_visible_us(to.cursor)
            return min(due_us, to.last_sent_us if visible_us is None else visible_us)
        return due_us

    def due_streams(self, now_us: int) -> list[int]:
        """The streams whose time has come."""
        return [stream for stream in self._streams if self.next_send_us(stream) <= now_us]

    def messages_to_send(self, stream: int, now_us: int) -> list[DownstreamMessage]:
        """What to write to the stream now, in order; counts as sent. ``UnknownStreamError``."""
        to = self._require_stream(stream)
        cut = self._refresh_cut(now_us)
        messages: list[DownstreamMessage] = []
        if self._needs_snapshot(to) and to.window_open:
            self._snapshot_schedule.reserve(stream, now_us)
            if self._snapshot_schedule.take_slot(stream, now_us):
                messages.append(self._take_snapshot(to, now_us))
        if not self._needs_snapshot(to):
            if self._can_send_full(to) and self._state.configuration is not None:
                to.wants_full = False
                to.full_sent_us = now_us
                messages.append(self._state.configuration)
            messages += self._take_batches(to, cut, now_us)
        if not messages and self.next_send_us(stream) <= now_us:
            messages.append(self._take_batch(to, to.cursor, cut, now_us))
        if messages:
            to.last_sent_us = now_us
        return messages

    # --- what can be asked

    def is_fresh(self, now_us: int) -> bool:
        """Whether this process has heard of its source lately. The driver ends all streams if it has not,
        while its followers have lease left to find another relay. A source that cannot read its change log is
        fresh: no relay can do better, and configurations still come from it."""
        sync_age_us = self._sync_age_us(now_us)
        return sync_age_us is not None and sync_age_us < MAX_SERVING_SYNC_AGE_US

    def silent_streams(self, now_us: int) -> list[int]:
        """Streams to be ended, as nothing was heard on them for ``FOLLOWER_SILENCE_TIMEOUT_US``."""
        return [
            number
            for number, stream in self._streams.items()
            if now_us - stream.last_heard_us >= FOLLOWER_SILENCE_TIMEOUT_US
        ]

    def watermark(self, now_us: int) -> int:
        """Up to where this process and every follower that may hold a lease have applied everything; never
        goes back within an epoch."""
        cut = self._refresh_cut(now_us)
        self._followers.forget_expired(now_us)
        if now_us < self._watermark_from_us:
            return 0
        # not the log's head: a later lease holder is proven the cut's, and need not have what lies beyond
        return self._followers.advance(cut.head, now_us)

    def report(self, now_us: int) -> DownstreamReport:
        """What this relay reports to its source; at a source, the same over all relays."""
        watermark = self.watermark(now_us)
        followers = self._followers.followers.values()
        return make_report(self._epoch, watermark, followers, self._state.newest_digest)

    def status(self, now_us: int) -> tuple[FollowerStatus, ...]:
        """All followers, by name."""
        self._refresh_cut(now_us)
        return make_status(self._followers.followers.values(), self._log.head, now_us)

    # --- streams

    def _require_stream(self, stream: int) -> FollowerStream:
        found = self._streams.get(stream)
        if found is None:
            raise UnknownStreamError(f"stream {stream}")
        return found

    def _forget_stream(self, stream: int) -> None:
        self._streams.pop(stream).follower.stream_number = None
        self._snapshot_schedule.cancel(stream)

    def _refresh_cut(self, now_us: int) -> VisibleCut:
        """Take in what has happened to the log: a new epoch, or entries that are to become visible."""
        if self._log.epoch != self._epoch:
            self._begin_epoch()
        return self._visibility.refresh(now_us)

    def _begin_epoch(self) -> None:
        self._epoch = self._log.epoch
        self._followers.begin_epoch()
        self._visibility.begin_epoch()
        for stream in self._streams.values():
            stream.begin_epoch()

    def _acknowledge(self, to: FollowerStream, progress: Progress) -> None:
        """Open the window by what is acknowledged, and count it unless the follower cannot have it."""
        while to.unacknowledged and to.unacknowledged[0].last <= progress.applied:
            to.unacknowledged.popleft()
        if progress.applied <= max(to.cursor, to.joined_with):
            to.acknowledged = max(to.acknowledged, progress.applied)
            self._followers.acknowledge(to.follower, progress.applied, progress.watermark)
        else:
            to.follower.invalid_acknowledgements += 1

    # --- messages

    def _needs_snapshot(self, to: FollowerStream) -> bool:
        return to.epoch != self._log.epoch or to.cursor + 1 < self._log.first

    def _can_send_full(self, to: FollowerStream) -> bool:
        return to.wants_full and self._state.configuration is not None and not self._state.needs_full

    def _take_snapshot(self, to: FollowerStream, now_us: int) -> Snapshot:
        """A snapshot; the same one serves all who need one at about the same time."""
        made = self._snapshots.get(now_us)
        to.epoch = made.epoch
        to.cursor = made.applied
        to.required_acknowledgement = made.applied
        to.unacknowledged.append(SentEntries(made.applied, now_us))
        # if this process lacks the newest version itself, it is sent once it has it
        to.wants_full = to.wants_full or self._state.needs_full
        return made

    def _take_batches(self, to: FollowerStream, cut: VisibleCut, now_us: int) -> list[Batch]:
        batches = []
        while to.cursor < cut.head and to.window_open:
            last = min(to.cursor + MAX_BATCH_ENTRIES, cut.head)
            batches.append(self._take_batch(to, last, cut, now_us))
            to.unacknowledged.append(SentEntries(last, now_us))
        return batches

    def _take_batch(self, to: FollowerStream, last: int, cut: VisibleCut, now_us: int) -> Batch:
        """The entries after the cursor up to ``last``, and a proof if nothing visible is left."""
        first = to.cursor + 1
        epoch = self._log.epoch
        to.answered_probe = to.last_probe
        if self._needs_snapshot(to):
            return Batch(epoch, first, (), None, snapshot_pending=True)
        entries = self._log.entries_after(to.cursor, last)
        to.cursor = max(to.cursor, last)
        return Batch(epoch, first, entries, self._make_proof(to, cut, now_us))

    def _make_proof(self, to: FollowerStream, cut: VisibleCut, now_us: int) -> FreshnessProof | None:
        """The proof that goes with what is sent now. Its age counts from when the log had nothing beyond the
        cut; the lease by it counts from when the probe was sent, which was before it was heard."""
        if not to.last_probe or to.cursor < cut.head or not to.is_keeping_up(now_us) or to.lease_released:
            return None
        if cut.age_us is None:
            return None
        age_us = cut.age_us + max_elapsed_us(now_us - cut.checked_us)
        lease_until_us = to.last_probe_us - age_us + lease_lapse_us()
        if lease_until_us > now_us:
            self._followers.extend_lease(to.follower, lease_until_us)
        watermark = self.watermark(now_us) if self._source_watermark is None else self._source_watermark()
        return FreshnessProof(to.last_probe, age_us, cut.head, watermark, cut.source_age_us)
