"""The serving side of the fan-out, the same at a source and a relay: what to send to each follower, and up to
where everything is done.

A driver feeds what it hears on each follower's stream to ``join`` and ``progress``, and writes what ``send``
yields whenever ``due_us`` says so and the last write is through; nothing is queued here for a follower.

Entries become visible to followers at *cuts*, at most every ``BATCH_US``, so that all who are up to date get
the same batches, which need encoding once.
"""

from __future__ import annotations

from collections.abc import Callable

from magpieshift.relay.limits import (
    BATCH_US,
    FOLLOWER_SILENCE_US,
    HEARTBEAT_US,
    MOST_BATCH_ENTRIES,
    MOST_FOLLOWERS,
    SNAPSHOT_REUSED_US,
    UNFIT_US,
    UNKNOWN_AGE_US,
    WHOLE_AGAIN_US,
    WINDOW_BATCHES,
    lapse_us,
    stretched,
)
from magpieshift.relay.log import SequencedLog
from magpieshift.relay.messages import Batch, Join, Progress, Proof, Snapshot, ToFollower
from magpieshift.relay.report import FollowerStatus, Report, make_report, make_status
from magpieshift.relay.serving import Cut, Full, Stream, Superseded, Unfit, UnknownStream
from magpieshift.relay.snapshot import State
from magpieshift.relay.turns import Turns
from magpieshift.relay.watermark import Watermark

__all__ = ["Fanout", "FollowerStatus", "Full", "Report", "Superseded", "Unfit", "UnknownStream"]


class Fanout:
    """The followers of one source or relay."""

    def __init__(
        self,
        log: SequencedLog,
        state: State,
        own_age: Callable[[int], int | None],
        done_everywhere: Callable[[], int] | None = None,
        counts_from_us: int = 0,
        link_age: Callable[[int], int | None] | None = None,
    ) -> None:
        """``own_age`` tells how current the process itself is (``Currency.epoch_age_us`` of a relay,
        ``SourceCurrency.age_us`` of a source). ``done_everywhere`` tells what a relay has heard from its
        source (``Follower.done``), and ``link_age`` when it heard of it (``Currency.epoch_link_age_us``); a
        source leaves them out. ``counts_from_us``: until then nothing is called done; a source gives
        ``now_us + lapse_us()`` at its start, since followers of the one before it hold leases."""
        self._log = log
        self._state = state
        self._own_age = own_age
        self._link_age = link_age or (lambda now_us: 0)
        self._done_everywhere = done_everywhere
        self._counts_from_us = counts_from_us
        self._epoch = log.epoch
        self._watermark = Watermark()
        self._streams: dict[int, Stream] = {}
        self._turns = Turns()
        self._cut: Cut | None = None
        self._snapshot: Snapshot | None = None
        self._snapshot_us = 0

    def join(self, stream: int, join: Join, now_us: int) -> int | None:
        """A follower's first message. Returns the earlier stream of the same process, which is to be ended.
        ``Superseded``, ``Unfit``, ``Full``; ``ValueError`` where the stream has joined already."""
        self._heed(now_us)
        if stream in self._streams:
            raise ValueError(f"stream {stream} joins twice")
        newest = max(join.epoch, join.heard)
        if newest > self._epoch:
            raise Superseded(newest)
        if not self.fit(now_us):
            raise Unfit(f"the source was not heard of for {UNFIT_US} us")
        if len(self._streams) >= MOST_FOLLOWERS:
            raise Full(f"{MOST_FOLLOWERS} followers are here already")
        place = self._watermark.place(join.name, join.boot, now_us)
        replaced = place.stream
        if replaced is not None:
            self._drop(replaced)
        place.stream = stream
        known = join.applied if join.epoch == self._epoch else 0
        head = self._log.head
        opened = Stream(place, join.epoch, min(known, head), known, head, now_us, now_us, acknowledged=known)
        self._streams[stream] = opened
        return replaced

    def progress(self, stream: int, progress: Progress, now_us: int) -> None:
        """An acknowledgement and probe. ``Superseded``, ``UnknownStream``."""
        to = self._stream(stream)
        self._heed(now_us)
        if progress.epoch > self._epoch:
            raise Superseded(progress.epoch)
        to.heard_us = to.place.heard_us = now_us
        to.place.last = progress
        if progress.probe > to.probe:
            to.probe = progress.probe
            to.probe_us = now_us
        under_way = to.whole_us is not None and now_us - to.whole_us < WHOLE_AGAIN_US
        to.want_whole = to.want_whole or (progress.want_whole and not under_way)
        if progress.epoch == self._epoch == to.epoch:
            self._acknowledged(to, progress)
        if progress.released:
            to.released = True
            self._watermark.released(to.place)

    def leave(self, stream: int, now_us: int) -> None:
        """The stream has ended, however. Its follower counts until its lease has surely lapsed."""
        if stream in self._streams:
            self._drop(stream)
            self._watermark.expire(now_us)

    def due_us(self, stream: int) -> int:
        """When ``send`` is to be called next, as things stand; may be past. Changes with ``progress``, with
        appended entries and after ``send``. ``UnknownStream``."""
        to = self._stream(stream)
        due_us = to.sent_us + HEARTBEAT_US
        if to.probe > to.answered:
            due_us = min(due_us, max(to.probe_us, to.sent_us + BATCH_US))
        window_open = len(to.unacknowledged) < WINDOW_BATCHES
        if self._needs_snapshot(to):
            turn_us = self._turns.turn_us(stream)
            turn_us = to.sent_us if turn_us is None else turn_us
            return min(due_us, turn_us) if window_open else due_us
        if self._can_send_whole(to):
            return to.sent_us
        if window_open and to.cursor < self._log.head:
            return min(due_us, self._visible_us(to))
        return due_us

    def due(self, now_us: int) -> list[int]:
        """The streams whose time has come."""
        return [stream for stream in self._streams if self.due_us(stream) <= now_us]

    def send(self, stream: int, now_us: int) -> list[ToFollower]:
        """What to write to the stream now, in order; counts as sent. ``UnknownStream``."""
        to = self._stream(stream)
        cut = self._heed(now_us)
        messages: list[ToFollower] = []
        if self._needs_snapshot(to) and len(to.unacknowledged) < WINDOW_BATCHES:
            self._turns.reserve(stream, now_us)
            if self._turns.take(stream, now_us):
                messages.append(self._send_snapshot(to, now_us))
        if not self._needs_snapshot(to):
            if self._can_send_whole(to) and self._state.configuration is not None:
                to.want_whole = False
                to.whole_us = now_us
                messages.append(self._state.configuration)
            messages += self._batches(to, cut, now_us)
        if not messages and self.due_us(stream) <= now_us:
            messages.append(self._batch(to, to.cursor, cut, now_us))
        if messages:
            to.sent_us = now_us
        return messages

    def fit(self, now_us: int) -> bool:
        """Whether this process has heard of its source lately. The driver ends all streams where it has not,
        while its followers have lease left to find another relay. A source that cannot read its change log is
        fit: no relay can do better, and configurations still come from it."""
        link_age_us = self._link_age(now_us)
        return link_age_us is not None and link_age_us < UNFIT_US

    def silent(self, now_us: int) -> list[int]:
        """Streams to be ended, as nothing was heard on them for ``FOLLOWER_SILENCE_US``."""
        return [at for at, to in self._streams.items() if now_us - to.heard_us >= FOLLOWER_SILENCE_US]

    def done(self, now_us: int) -> int:
        """Up to where everyone who counts, and this process, has applied everything; never goes back within
        an epoch."""
        cut = self._heed(now_us)
        self._watermark.expire(now_us)
        if now_us < self._counts_from_us:
            return 0
        # not the log's head: who counts from now on is proven the cut's, and need not have what lies beyond
        return self._watermark.done(cut.head, now_us)

    def report(self, now_us: int) -> Report:
        """What this relay tells its source; at a source, the same over all relays."""
        done = self.done(now_us)
        return make_report(self._epoch, done, self._watermark.places.values(), self._state.newest_digest)

    def status(self, now_us: int) -> tuple[FollowerStatus, ...]:
        """All followers, by name."""
        self._heed(now_us)
        return make_status(self._watermark.places.values(), self._log.head, now_us)

    def _stream(self, stream: int) -> Stream:
        found = self._streams.get(stream)
        if found is None:
            raise UnknownStream(f"stream {stream}")
        return found

    def _drop(self, stream: int) -> None:
        self._streams.pop(stream).place.stream = None
        self._turns.leave(stream)

    def _heed(self, now_us: int) -> Cut:
        """Take note of what has happened to the log: a new epoch, or entries that are to become visible."""
        log = self._log
        cut = self._cut
        if log.epoch != self._epoch:
            self._restart()
            cut = None
        if cut is not None and log.head > cut.head and now_us < cut.made_us + BATCH_US:
            return cut
        made_us = now_us if cut is None or log.head > cut.head else cut.made_us
        self._cut = cut = Cut(log.head, made_us, now_us, *self._ages(now_us))
        return cut

    def _ages(self, now_us: int) -> tuple[int | None, int]:
        """This process's own age, and the part of it that is the source's."""
        age_us = self._own_age(now_us)
        link_age_us = self._link_age(now_us)
        if link_age_us is None:
            return None, 0
        age_us = UNKNOWN_AGE_US if age_us is None else age_us
        return age_us, max(0, age_us - link_age_us)

    def _restart(self) -> None:
        self._epoch = self._log.epoch
        self._watermark.restart()
        for to in self._streams.values():
            to.cursor = 0
            to.known = 0
            to.acknowledged = 0
            to.unacknowledged.clear()

    def _acknowledged(self, to: Stream, progress: Progress) -> None:
        """Open the window by what is acknowledged, and count it unless the follower cannot have it."""
        while to.unacknowledged and to.unacknowledged[0][0] <= progress.applied:
            to.unacknowledged.popleft()
        if progress.applied <= max(to.cursor, to.known):
            to.acknowledged = max(to.acknowledged, progress.applied)
            self._watermark.acknowledged(to.place, progress.applied, progress.done)
        else:
            to.place.disbelieved += 1

    def _visible_us(self, to: Stream) -> int:
        """When the next entry after the cursor is visible; may be past."""
        if self._cut is None or to.cursor < self._cut.head:
            return to.sent_us
        return self._cut.made_us + BATCH_US

    def _needs_snapshot(self, to: Stream) -> bool:
        return to.epoch != self._log.epoch or to.cursor + 1 < self._log.first

    def _can_send_whole(self, to: Stream) -> bool:
        return to.want_whole and self._state.configuration is not None and not self._state.want_whole

    def _send_snapshot(self, to: Stream, now_us: int) -> Snapshot:
        """A snapshot and the entries after it; one serves all who need one at about the same time."""
        log = self._log
        made = self._snapshot
        usable = made is not None and made.epoch == log.epoch and made.applied + 1 >= log.first
        if made is None or not usable or now_us - self._snapshot_us >= SNAPSHOT_REUSED_US:
            made = self._snapshot = self._state.snapshot(log.epoch, log.head, now_us)
            self._snapshot_us = now_us
        to.epoch = made.epoch
        to.cursor = made.applied
        to.needed = made.applied
        to.unacknowledged.append((made.applied, now_us))
        # where this process does not know the newest version whole, it is sent once it does
        to.want_whole = to.want_whole or self._state.want_whole
        return made

    def _batches(self, to: Stream, cut: Cut, now_us: int) -> list[Batch]:
        batches = []
        while to.cursor < cut.head and len(to.unacknowledged) < WINDOW_BATCHES:
            last = min(to.cursor + MOST_BATCH_ENTRIES, cut.head)
            batches.append(self._batch(to, last, cut, now_us))
            to.unacknowledged.append((last, now_us))
        return batches

    def _batch(self, to: Stream, last: int, cut: Cut, now_us: int) -> Batch:
        """The entries after the cursor up to ``last``, and a proof where nothing visible is left."""
        first = to.cursor + 1
        epoch = self._log.epoch
        to.answered = to.probe
        if self._needs_snapshot(to):
            return Batch(epoch, first, (), None, waiting=True)
        entries = self._log.after(to.cursor, last)
        to.cursor = max(to.cursor, last)
        return Batch(epoch, first, entries, self._proof(to, cut, now_us))

    def _proof(self, to: Stream, cut: Cut, now_us: int) -> Proof | None:
        """The proof that goes with what is sent now. Its age counts from when the log had nothing beyond the
        cut; the lease by it counts from when the probe was sent, which was before it was heard."""
        if not to.probe or to.cursor < cut.head or not to.keeps_up(now_us) or to.released:
            return None
        if cut.age_us is None:
            return None
        age_us = cut.age_us + stretched(now_us - cut.checked_us)
        until_us = to.probe_us - age_us + lapse_us()
        if until_us > now_us:
            self._watermark.proof_sent(to.place, until_us)
        done = self.done(now_us) if self._done_everywhere is None else self._done_everywhere()
        return Proof(to.probe, age_us, cut.head, done, cut.source_age_us)
