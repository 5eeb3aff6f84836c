"""Sources, relays and routers made of the fan-out tier's real state machines, without I/O.

Each takes an event and the process's own clock (microseconds) and returns what is to be done about it, so
that the same processes run in a simulated world with a network of its own and under exhaustive exploration.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

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
    Join,
    Progress,
    UpstreamMessage,
)
from magpieshift.relay.staleness_bound import SourceStalenessBound

Message = DownstreamMessage | UpstreamMessage


@dataclass(frozen=True, slots=True)
class Connect:
    """Open a stream to a relay or source; ``join`` is its first message."""

    stream: int
    to: str
    join: Join


@dataclass(frozen=True, slots=True)
class Send:
    """Write a message to a stream."""

    stream: int
    message: Message


@dataclass(frozen=True, slots=True)
class End:
    """End a stream."""

    stream: int


@dataclass(frozen=True, slots=True)
class Took:
    """For the judge: entries or a snapshot were applied."""

    effect: ApplyEntries | RestoreSnapshot


@dataclass(frozen=True, slots=True)
class Ended:
    """A source ends, as there is a newer one."""

    newer: Epoch


Output = Connect | Send | End | Took | Ended


def whole_configuration(
    before: ConfigurationChange | None, change: ConfigurationChange
) -> ConfigurationChange | None:
    """A stand-in for the forming of whole versions: a delta's content is taken for that of its version."""
    if change.base_digest and (before is None or before.digest != change.base_digest):
        return None
    return ConfigurationChange(change.number, change.digest, "", change.content)


def no_age(now_us: int) -> int:
    """How long ago a source heard of itself."""
    return 0


class Server:
    """The serving side of a source or relay."""

    def __init__(self, name: str, boot: str) -> None:
        self.name = name
        self.boot = boot
        self.state = LogState(whole_configuration)
        self._streams: set[int] = set()  # of followers
        self.fanout: Fanout

    def heard_from_follower(self, stream: int, message: UpstreamMessage, now_us: int) -> list[Output]:
        """A message of a follower."""
        try:
            if isinstance(message, Progress):
                self.fanout.receive_progress(stream, message, now_us)
                return []
            earlier = self.fanout.join(stream, message, now_us)
            self._streams.add(stream)
            return [] if earlier is None else [End(earlier)]
        except EpochSupersededError as newer:
            self.follower_lost(stream, now_us)
            return [*self.superseded(newer.epoch, now_us), End(stream)]
        except (TooManyFollowersError, UpstreamStaleError, UnknownStreamError):
            return [End(stream)]

    def superseded(self, epoch: Epoch, now_us: int) -> list[Output]:
        """A follower knows of a higher epoch."""
        raise NotImplementedError

    def follower_lost(self, stream: int, now_us: int) -> None:
        """The stream of a follower has ended."""
        self._streams.discard(stream)
        self.fanout.close_stream(stream, now_us)

    def end_streams(self, now_us: int) -> list[Output]:
        """End the streams of silent followers, and all of them where this process is not current itself."""
        ending = self.fanout.silent_streams(now_us) if self.fanout.is_fresh(now_us) else sorted(self._streams)
        for stream in ending:
            self.follower_lost(stream, now_us)
        return [End(stream) for stream in ending]

    def send_to(self, stream: int, now_us: int) -> list[Output]:
        """What a follower's stream is to be sent now."""
        try:
            return [Send(stream, message) for message in self.fanout.messages_to_send(stream, now_us)]
        except UnknownStreamError:
            return []


class Source(Server):
    """A source: reads the change log, numbers what it reads."""

    def __init__(
        self, name: str, boot: str, epoch: Epoch, now_us: int, most_entries: int = MAX_LOG_ENTRIES
    ) -> None:
        super().__init__(name, boot)
        self.currency = SourceStalenessBound()
        self.log = SequencedLog(epoch, max_entries=most_entries)
        self.fanout = Fanout(
            self.log,
            self.state,
            self.currency.age_us,
            watermark_from_us=now_us + lease_lapse_us(),
            sync_age_us=no_age,
        )

    def read(self, entries: Iterable[Entry], current_to_us: int, now_us: int) -> None:
        """Everything in the change log's socket was read; ``current_to_us`` is when it was empty before."""
        for entry in entries:
            self.log.append(entry)
            self.state.apply_entry(entry, now_us)
        self.currency.record_read(current_to_us)

    def superseded(self, epoch: Epoch, now_us: int) -> list[Output]:
        return [Ended(epoch)]


class Following:
    """The following side of a relay or router: one stream at a time."""

    def __init__(self, name: str, boot: str, first_stream: int) -> None:
        self.follower = Follower(name, boot)
        self.stream: int | None = None
        self._earlier: int | None = None  # a stream that was left, but not yet with a farewell
        self._next_stream = first_stream

    def connect(self, to: str, now_us: int) -> list[Output]:
        """Leave the present stream, if any, and begin another."""
        outputs = self._end_earlier()
        self._earlier = self.stream
        if not isinstance(self, Router):
            outputs += self._end_earlier()
        self.stream = self._next_stream
        self._next_stream += 1
        return [*outputs, Connect(self.stream, to, self.follower.connect(now_us))]

    def heard_from_relay(self, stream: int, message: DownstreamMessage, now_us: int) -> list[Output]:
        """A message of the relay or source that is followed."""
        if stream != self.stream:
            return []
        outputs: list[Output] = []
        for effect in self.follower.receive(message, now_us):
            if isinstance(effect, EndStream):
                self.stream = None
                outputs.append(End(stream))
            elif isinstance(effect, ApplyConfiguration):
                self.took_configuration(effect.configuration)
            else:
                outputs += self.carry_out(effect, now_us)
        return outputs

    def carry_out(self, effect: ApplyEntries | RestoreSnapshot, now_us: int) -> list[Output]:
        """Apply entries or a snapshot, as a whole."""
        if isinstance(effect, ApplyEntries):
            self.follower.acknowledge_applied(effect.epoch, effect.last)
        else:
            self.follower.acknowledge_applied(effect.snapshot.epoch, effect.snapshot.applied)
        return [Took(effect)]

    def took_configuration(self, whole: ConfigurationChange) -> None:
        """A whole configuration was sent on request."""
        self.follower.configuration_digest = whole.digest
        self.follower.wants_full = False

    def _end_earlier(self) -> list[Output]:
        ended = self._earlier
        self._earlier = None
        return [] if ended is None else [End(ended)]

    def relay_lost(self, stream: int) -> None:
        """A stream to a relay has ended."""
        if stream == self.stream:
            self.stream = None
        elif stream == self._earlier:
            self._earlier = None

    def acknowledge(self, now_us: int) -> list[Output]:
        """The progress that is due, if any, and a farewell to the relay that was followed before."""
        outputs: list[Output] = []
        if self._earlier is not None and self.follower.lease_from_stream:
            outputs = [Send(self._earlier, self.follower.farewell()), *self._end_earlier()]
        if self.stream is not None and (progress := self.follower.progress(now_us)) is not None:
            outputs.append(Send(self.stream, progress))
        return outputs

    def check(self, now_us: int) -> list[Output]:
        """End a stream that has been silent for too long."""
        if self.stream is None or self.follower.check(now_us) is None:
            return []
        ended = self.stream
        self.stream = None
        return [End(ended)]


class Router(Following):
    """The control side of a router. It may apply what it has received in a later turn."""

    def __init__(self, name: str, boot: str, first_stream: int, applies_later: bool = False) -> None:
        super().__init__(name, boot, first_stream)
        self._applies_later = applies_later
        self._to_apply: deque[ApplyEntries | RestoreSnapshot] = deque()

    def carry_out(self, effect: ApplyEntries | RestoreSnapshot, now_us: int) -> list[Output]:
        if self._applies_later:
            self._to_apply.append(effect)
            return []
        return super().carry_out(effect, now_us)

    def apply(self, now_us: int) -> list[Output]:
        """Apply what was received and waits."""
        outputs: list[Output] = []
        while self._to_apply:
            outputs += super().carry_out(self._to_apply.popleft(), now_us)
        return outputs

    def copy_age_limit(self, now_us: int) -> int:
        """The bound of an attempt that is made now; 0 for none."""
        return self.follower.staleness.copy_age_limit_us(now_us)


class Relay(Following, Server):
    """A relay: follows a source, serves routers."""

    def __init__(self, name: str, boot: str, first_stream: int, most_entries: int = MAX_LOG_ENTRIES) -> None:
        Following.__init__(self, name, boot, first_stream)
        Server.__init__(self, name, boot)
        self.log = SequencedLog(NO_EPOCH, max_entries=most_entries)
        currency = self.follower.staleness
        self.fanout = Fanout(
            self.log,
            self.state,
            currency.epoch_age_us,
            self.done_everywhere,
            sync_age_us=currency.epoch_sync_age_us,
        )

    def done_everywhere(self) -> int:
        """What the source has called done."""
        return self.follower.watermark

    def carry_out(self, effect: ApplyEntries | RestoreSnapshot, now_us: int) -> list[Output]:
        if isinstance(effect, ApplyEntries):
            self.log.extend(effect.first, effect.entries)
            for entry in effect.entries:
                self.state.apply_entry(entry, now_us)
        else:
            self.state.restore(effect.snapshot, now_us)
            self.log.restart(effect.snapshot.epoch, effect.snapshot.applied)
        return super().carry_out(effect, now_us)

    def took_configuration(self, whole: ConfigurationChange) -> None:
        self.state.apply_full_configuration(whole)
        super().took_configuration(whole)

    def acknowledge(self, now_us: int) -> list[Output]:
        if self.stream is None:
            return []
        progress = self.follower.progress(now_us, self.fanout.report(now_us))
        return [] if progress is None else [Send(self.stream, progress)]

    def superseded(self, epoch: Epoch, now_us: int) -> list[Output]:
        self.follower.learn_epoch(epoch)
        return []


Process = Source | Relay | Router
