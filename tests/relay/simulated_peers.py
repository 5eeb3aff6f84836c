"""A serving process and its followers for tests without I/O: messages are delivered directly, or dropped by a
test."""

from __future__ import annotations

from magpieshift.relay.fanout import Fanout
from magpieshift.relay.follower import Follower
from magpieshift.relay.instructions import ApplyEntries, EndStream, Instruction, RestoreSnapshot
from magpieshift.relay.log import SequencedLog
from magpieshift.relay.log_state import LogState
from magpieshift.relay.messages import (
    Batch,
    ConfigurationChange,
    DownstreamMessage,
    Entry,
    Epoch,
    FreshnessProof,
    Purge,
)

MS, SECOND = 1_000, 1_000_000
EPOCH, LATER = Epoch(1, 5), Epoch(2, 3)
TICK_US = 50 * MS


def purge(number: int, issued_us: int = 0) -> Purge:
    return Purge(f"{number:x}", 0, issued_us)


def full_versions_only(newest: ConfigurationChange | None, change: ConfigurationChange) -> None:
    """An ``ApplyDelta`` to which no delta ever applies."""
    return None


class Server:
    """A source or relay with a log, whose age and sync age are set by the test."""

    def __init__(self, epoch: Epoch = EPOCH, max_entries: int = 10_000, watermark_from_us: int = 0) -> None:
        self.log, self.state = SequencedLog(epoch, max_entries=max_entries), LogState(full_versions_only)
        self.age_us: int | None = 0
        self.sync_age_us: int | None = 0  # 0 as at a source; set by tests of a relay
        self.fanout = Fanout(
            self.log,
            self.state,
            lambda now_us: self.age_us,
            watermark_from_us=watermark_from_us,
            sync_age_us=lambda now_us: self.sync_age_us,
        )

    def add(self, count: int = 1, now_us: int = 0) -> None:
        for _ in range(count):
            self.append(purge(self.log.head + 1), now_us)

    def append(self, entry: Entry, now_us: int = 0) -> None:
        self.log.append(entry)
        self.state.apply_entry(entry, now_us)


class Client:
    """A router that records the entries that it applied, in order."""

    def __init__(self, name: str = "r", boot: str = "b1") -> None:
        self.follower = Follower(name, boot)
        self.applied: list[Entry] = []
        self.ended: EndStream | None = None

    def join(self, server: Server, stream: int, now_us: int) -> None:
        self.ended = None
        server.fanout.join(stream, self.follower.connect(now_us), now_us)

    def receive(self, messages: list[DownstreamMessage], now_us: int) -> None:
        for message in messages:
            for instruction in self.follower.receive(message, now_us):
                self.execute(instruction)

    def execute(self, instruction: Instruction) -> None:
        match instruction:
            case ApplyEntries():
                self.applied += instruction.entries
                self.follower.acknowledge_applied(instruction.epoch, instruction.last)
            case RestoreSnapshot(snapshot):
                self.applied = list(snapshot.purges)
                self.follower.acknowledge_applied(snapshot.epoch, snapshot.applied)
            case EndStream():
                self.ended = instruction

    def holds_lease(self, now_us: int) -> bool:
        return self.follower.staleness.lease_held(now_us)


def exchange(
    server: Server, stream: int, client: Client, now_us: int, up: bool = True, down: bool = True
) -> list[DownstreamMessage]:
    """Run one turn of both drivers. Messages to the server (``up``) or to the client (``down``) may be
    dropped. Returns the messages sent to the client."""
    progress = client.follower.progress(now_us)
    if progress is not None and up:
        server.fanout.receive_progress(stream, progress, now_us)
    messages = (
        server.fanout.messages_to_send(stream, now_us) if server.fanout.next_send_us(stream) <= now_us else []
    )
    if down:
        client.receive(messages, now_us)
    client.ended = client.ended or client.follower.check(now_us)
    return messages


def run(
    server: Server,
    clients: dict[int, Client],
    from_us: int,
    for_us: int,
    up: bool = True,
    down: bool = True,
) -> int:
    """Run turns of all clients every ``TICK_US`` for ``for_us``; returns the time at the end."""
    for now_us in range(from_us, from_us + for_us, TICK_US):
        for stream, client in clients.items():
            exchange(server, stream, client, now_us, up, down)
    return from_us + for_us


def proofs(messages: list[DownstreamMessage]) -> list[FreshnessProof]:
    return [message.proof for message in messages if isinstance(message, Batch) and message.proof]
