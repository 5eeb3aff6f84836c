"""Sources, relays and routers made of the fan-out tier's real state machines, without I/O.

Each method takes an event and the process's own clock (microseconds) and returns the outputs to carry out, so
that the same processes run in a simulated network and under exhaustive exploration.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from magpieshift.lab.simulated.fanout_outputs import (
    CloseStream,
    EffectApplied,
    OpenStream,
    Output,
    SendMessage,
    SourceSuperseded,
)
from magpieshift.relay.errors import (
    EpochSupersededError,
    TooManyFollowersError,
    UnknownStreamError,
    UpstreamStaleError,
)
from magpieshift.relay.fanout import Fanout
from magpieshift.relay.follower import Follower
from magpieshift.relay.instructions import ApplyConfiguration, ApplyEntries, EndStream, RestoreSnapshot
from magpieshift.relay.limits import MAX_LOG_ENTRIES, lease_lapse_us
from magpieshift.relay.log import SequencedLog
from magpieshift.relay.log_state import LogState
from magpieshift.relay.messages import (
    NO_EPOCH,
    ConfigurationChange,
    DownstreamMessage,
    Entry,
    Epoch,
    Progress,
    UpstreamMessage,
)
from magpieshift.relay.staleness_bound import SourceStalenessBound


def full_configuration(
    before: ConfigurationChange | None, change: ConfigurationChange
) -> ConfigurationChange | None:
    """Stands in for applying a delta: the content of the delta is used as the content of its version. None if
    the delta's base is not the version ``before``."""
    if change.base_digest and (before is None or before.digest != change.base_digest):
        return None
    return ConfigurationChange(change.number, change.digest, "", change.content)


def own_age_us(now_us: int) -> int:
    """Time since a source last had everything that its own log holds: always 0."""
    return 0


class ServingProcess:
    """The serving side of a source or relay."""

    def __init__(self, name: str, boot: str) -> None:
        self.name = name
        self.boot = boot  # different in each incarnation
        self.state = LogState(full_configuration)  # from which snapshots for followers are made
        self._streams: set[int] = set()  # open streams of followers
        self.fanout: Fanout  # set by the subclass

    def receive_from_follower(self, stream_id: int, message: UpstreamMessage, now_us: int) -> list[Output]:
        """Handle a message of a follower; its stream is closed if the message cannot be accepted."""
        try:
            if isinstance(message, Progress):
                self.fanout.receive_progress(stream_id, message, now_us)
                return []
            replaced = self.fanout.join(stream_id, message, now_us)
            self._streams.add(stream_id)
            return [] if replaced is None else [CloseStream(replaced)]
        except EpochSupersededError as error:
            self.follower_stream_lost(stream_id, now_us)
            return [*self.epoch_superseded(error.epoch, now_us), CloseStream(stream_id)]
        except (TooManyFollowersError, UpstreamStaleError, UnknownStreamError):
            return [CloseStream(stream_id)]

    def epoch_superseded(self, epoch: Epoch, now_us: int) -> list[Output]:
        """Handle the report of a follower that a higher epoch exists."""
        raise NotImplementedError

    def follower_stream_lost(self, stream_id: int, now_us: int) -> None:
        """Handle the end of a follower's stream."""
        self._streams.discard(stream_id)
        self.fanout.close_stream(stream_id, now_us)

    def close_silent_streams(self, now_us: int) -> list[Output]:
        """Close the streams of silent followers, or all streams if this process is stale itself."""
        if self.fanout.is_fresh(now_us):
            closing = self.fanout.silent_streams(now_us)
        else:
            closing = sorted(self._streams)
        for stream_id in closing:
            self.follower_stream_lost(stream_id, now_us)
        return [CloseStream(stream_id) for stream_id in closing]

    def send_due(self, stream_id: int, now_us: int) -> list[Output]:
        """The messages to send on a follower's stream now; none for an unknown stream."""
        try:
            messages = self.fanout.messages_to_send(stream_id, now_us)
        except UnknownStreamError:
            return []
        return [SendMessage(stream_id, message) for message in messages]


class Source(ServingProcess):
    """A source: reads the change log and assigns sequence numbers to its entries."""

    def __init__(
        self, name: str, boot: str, epoch: Epoch, now_us: int, max_entries: int = MAX_LOG_ENTRIES
    ) -> None:
        super().__init__(name, boot)
        self.staleness = SourceStalenessBound()
        self.log = SequencedLog(epoch, max_entries=max_entries)
        self.fanout = Fanout(
            self.log,
            self.state,
            self.staleness.age_us,
            watermark_from_us=now_us + lease_lapse_us(),
            sync_age_us=own_age_us,
        )

    def read(self, entries: Iterable[Entry], current_to_us: int, now_us: int) -> None:
        """Append all entries that were in the change log's socket; ``current_to_us`` is when the socket was
        last seen empty before."""
        for entry in entries:
            self.log.append(entry)
            self.state.apply_entry(entry, now_us)
        self.staleness.record_read(current_to_us)

    def epoch_superseded(self, epoch: Epoch, now_us: int) -> list[Output]:
        """Stop, because a newer source has taken over."""
        return [SourceSuperseded(epoch)]


class FollowingProcess:
    """The following side of a relay or router: one stream at a time."""

    def __init__(self, name: str, boot: str, first_stream_id: int) -> None:
        self.follower = Follower(name, boot)
        self.stream_id: int | None = None  # the current stream
        self._previous_stream_id: int | None = None  # replaced, but not yet closed
        self._next_stream_id = first_stream_id

    def connect(self, server: str, now_us: int) -> list[Output]:
        """Leave the current stream, if any, and open another. A router closes the stream it left only when
        its lease is provided by the new one."""
        outputs = self._close_previous()
        self._previous_stream_id = self.stream_id
        if not isinstance(self, Router):
            outputs += self._close_previous()
        self.stream_id = self._next_stream_id
        self._next_stream_id += 1
        return [*outputs, OpenStream(self.stream_id, server, self.follower.connect(now_us))]

    def receive_from_server(self, stream_id: int, message: DownstreamMessage, now_us: int) -> list[Output]:
        """Handle a message of the relay or source that is followed; messages on other streams are ignored."""
        if stream_id != self.stream_id:
            return []
        outputs: list[Output] = []
        for instruction in self.follower.receive(message, now_us):
            if isinstance(instruction, EndStream):
                self.stream_id = None
                outputs.append(CloseStream(stream_id))
            elif isinstance(instruction, ApplyConfiguration):
                self.store_configuration(instruction.configuration)
            else:
                outputs += self.apply_effect(instruction, now_us)
        return outputs

    def apply_effect(self, effect: ApplyEntries | RestoreSnapshot, now_us: int) -> list[Output]:
        """Apply a batch of entries or a snapshot completely."""
        if isinstance(effect, ApplyEntries):
            self.follower.acknowledge_applied(effect.epoch, effect.last)
        else:
            self.follower.acknowledge_applied(effect.snapshot.epoch, effect.snapshot.applied)
        return [EffectApplied(effect)]

    def store_configuration(self, full: ConfigurationChange) -> None:
        """Keep a full configuration that was sent on request."""
        self.follower.configuration_digest = full.digest
        self.follower.wants_full = False

    def server_stream_lost(self, stream_id: int) -> None:
        """Handle the end of a stream to a relay or source."""
        if stream_id == self.stream_id:
            self.stream_id = None
        elif stream_id == self._previous_stream_id:
            self._previous_stream_id = None

    def acknowledge(self, now_us: int) -> list[Output]:
        """Send progress if it is due. Once the current stream provides the lease, also release the lease at
        the relay followed before, and close the stream to it."""
        outputs: list[Output] = []
        if self._previous_stream_id is not None and self.follower.lease_from_stream:
            release = SendMessage(self._previous_stream_id, self.follower.release_previous())
            outputs = [release, *self._close_previous()]
        if self.stream_id is not None and (progress := self.follower.progress(now_us)) is not None:
            outputs.append(SendMessage(self.stream_id, progress))
        return outputs

    def check_timeout(self, now_us: int) -> list[Output]:
        """Close the current stream if it has been silent for too long."""
        if self.stream_id is None or self.follower.check(now_us) is None:
            return []
        closed = self.stream_id
        self.stream_id = None
        return [CloseStream(closed)]

    def _close_previous(self) -> list[Output]:
        closed = self._previous_stream_id
        self._previous_stream_id = None
        return [] if closed is None else [CloseStream(closed)]


class Router(FollowingProcess):
    """The control side of a router. It may apply what it has received in a later turn."""

    def __init__(self, name: str, boot: str, first_stream_id: int, applies_later: bool = False) -> None:
        super().__init__(name, boot, first_stream_id)
        self._applies_later = applies_later
        self._unapplied: deque[ApplyEntries | RestoreSnapshot] = deque()  # oldest first

    def apply_effect(self, effect: ApplyEntries | RestoreSnapshot, now_us: int) -> list[Output]:
        """Apply entries or a snapshot, or queue them for ``apply``."""
        if self._applies_later:
            self._unapplied.append(effect)
            return []
        return super().apply_effect(effect, now_us)

    def apply(self, now_us: int) -> list[Output]:
        """Apply all queued entries and snapshots."""
        outputs: list[Output] = []
        while self._unapplied:
            outputs += super().apply_effect(self._unapplied.popleft(), now_us)
        return outputs

    def copy_age_limit(self, now_us: int) -> int:
        """The highest age (us) of a cached object that an attempt made now may accept; 0 for any age."""
        return self.follower.staleness.copy_age_limit_us(now_us)


class Relay(FollowingProcess, ServingProcess):
    """A relay: follows a source and serves routers."""

    def __init__(
        self, name: str, boot: str, first_stream_id: int, max_entries: int = MAX_LOG_ENTRIES
    ) -> None:
        FollowingProcess.__init__(self, name, boot, first_stream_id)
        ServingProcess.__init__(self, name, boot)
        self.log = SequencedLog(NO_EPOCH, max_entries=max_entries)
        staleness = self.follower.staleness
        self.fanout = Fanout(
            self.log,
            self.state,
            staleness.epoch_age_us,
            self.source_watermark,
            sync_age_us=staleness.epoch_sync_age_us,
        )

    def source_watermark(self) -> int:
        """The watermark that the source has announced."""
        return self.follower.watermark

    def apply_effect(self, effect: ApplyEntries | RestoreSnapshot, now_us: int) -> list[Output]:
        """Apply entries or a snapshot to the log and state that routers are served from."""
        if isinstance(effect, ApplyEntries):
            self.log.extend(effect.first, effect.entries)
            for entry in effect.entries:
                self.state.apply_entry(entry, now_us)
        else:
            self.state.restore(effect.snapshot, now_us)
            self.log.restart(effect.snapshot.epoch, effect.snapshot.applied)
        return super().apply_effect(effect, now_us)

    def store_configuration(self, full: ConfigurationChange) -> None:
        """Keep a full configuration, also for snapshots to routers."""
        self.state.apply_full_configuration(full)
        super().store_configuration(full)

    def acknowledge(self, now_us: int) -> list[Output]:
        """Send progress if it is due, with a report on the relay's own followers."""
        if self.stream_id is None:
            return []
        progress = self.follower.progress(now_us, self.fanout.report(now_us))
        return [] if progress is None else [SendMessage(self.stream_id, progress)]

    def epoch_superseded(self, epoch: Epoch, now_us: int) -> list[Output]:
        """Record the newer epoch; messages of lower epochs are rejected from now on."""
        self.follower.learn_epoch(epoch)
        return []


Process = Source | Relay | Router
