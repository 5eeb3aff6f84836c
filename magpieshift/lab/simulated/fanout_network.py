"""Machines with their own clocks and pauses, and ordered streams between them.

A direction between two machines may be cut: as with TCP, messages are delayed until the cut ends. A stream
that breaks loses the messages in flight; an end to which the direction is cut learns of it after the cut.
Times are microseconds.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from functools import partial

from magpieshift.lab.simulated.fanout_outputs import Message
from magpieshift.lab.simulated.fanout_processes import Relay, Router, Source
from magpieshift.lab.simulated.time import SimulatedTime

# shortest and longest network delay within a region and between two regions
SAME_REGION_DELAY_US = (1_000, 30_000)
CROSS_REGION_DELAY_US = (20_000, 150_000)
ANY_HOST = "*"  # stands for all hosts in a cut


class EndOfStream:
    """Tells the reader that the other side has ended the stream."""


END_OF_STREAM = EndOfStream()
Pipe = deque[Message | EndOfStream]


class Host:
    """A machine that runs at most one process. Its clock advances while the process is paused."""

    def __init__(self, name: str, region: str, time: SimulatedTime, drift: float, offset_us: int) -> None:
        """``drift`` is the relative deviation of its clock's rate from true time; positive is faster."""
        self.name = name
        self.region = region
        self.process: Source | Relay | Router | None = None
        self.paused_until_us = 0  # in true time; earlier: not paused
        self.read_interval_us = 0  # time for reading a message; 0: reads at once
        self._time = time
        self._drift = drift
        self._offset_us = offset_us
        self._unhandled: deque[tuple[Stream, Callable[[], None]]] = deque()
        self._reading = False  # reading the next unhandled message is scheduled

    def now_us(self) -> int:
        """The machine's monotonic clock."""
        elapsed = self._time.now_us - self._time.start_us
        return self._offset_us + elapsed + int(elapsed * self._drift)

    @property
    def is_paused(self) -> bool:
        """Whether the process is paused."""
        return self._time.now_us < self.paused_until_us

    def enqueue(self, stream: Stream, handle: Callable[[], None]) -> None:
        """Take a message of a stream into the socket; it is handled once the process reads it."""
        if not (self.is_paused or self._unhandled or self.read_interval_us):
            handle()
            return
        self._unhandled.append((stream, handle))
        if not self._reading:
            self._reading = True
            self._time.after(self.read_interval_us, self._read_one)

    def _read_one(self) -> None:
        if self.is_paused:
            self._time.at(self.paused_until_us, self._read_one)
            return
        if self._unhandled:
            self._unhandled.popleft()[1]()
        self._reading = bool(self._unhandled)
        if self._reading:
            self._time.after(self.read_interval_us, self._read_one)

    def drain(self, rand: random.Random) -> None:
        """Handle all unread messages: streams in random order, but the messages of each stream in order."""
        pending: dict[int, deque[Callable[[], None]]] = {}
        for stream, handle in self._unhandled:
            pending.setdefault(id(stream), deque()).append(handle)
        self._unhandled.clear()
        while pending:
            chosen = rand.choice(list(pending))
            handle = pending[chosen].popleft()
            if not pending[chosen]:
                del pending[chosen]
            handle()

    def clear_process(self) -> None:
        """Remove the process and the messages that it has not read."""
        self.process = None
        self.paused_until_us = 0
        self._unhandled.clear()


class Stream:
    """A stream opened by a client's process to the process that runs at the server at that time."""

    def __init__(self, network: Network, stream_id: int, client: Host, server: Host) -> None:
        self.stream_id = stream_id
        self._network = network
        self.client = client
        self.server = server
        self._hosts = client, server
        self._processes = client.process, server.process
        self._open = [True, True]
        pipes: tuple[Pipe, Pipe] = deque(), deque()
        self._pipes = pipes  # unread messages, by reading side
        self._arrives_us = [0, 0]  # last scheduled arrival, by reading side
        self._held = [0, 0]  # number of arrivals held up by a cut, by reading side

    def other(self, host: Host) -> Host:
        """The machine at the other end."""
        return self._hosts[1 - self._hosts.index(host)]

    def unread(self, sender: Host) -> int:
        """Number of messages of the sender that the other side has not read."""
        return len(self._pipes[1 - self._hosts.index(sender)])

    def is_open_at(self, host: Host) -> bool:
        """Whether the host's current process has this stream open."""
        if host not in self._hosts:
            return False
        side = self._hosts.index(host)
        return self._open[side] and self._processes[side] is host.process

    def send(self, sender: Host, message: Message | EndOfStream) -> None:
        """Write a message; does nothing if the sender has ended the stream."""
        side = self._hosts.index(sender)
        if self._open[side]:
            self._write(1 - side, message)

    def end(self, host: Host) -> None:
        """End the stream at one side; the other learns of it after all messages sent before."""
        self.send(host, END_OF_STREAM)
        self._open[self._hosts.index(host)] = False
        self._network.remove_if_closed(self)

    def process_lost(self, host: Host, silently: bool) -> None:
        """Handle the loss of the process at one end: its messages in flight are lost. The other side learns
        of it unless ``silently``."""
        side = self._hosts.index(host)
        self._pipes[1 - side].clear()
        if silently:
            self._open[side] = False
        else:
            self.end(host)

    def disconnect(self) -> None:
        """Break the stream: messages in flight are lost, and both sides learn of it."""
        for reader in (0, 1):
            self._pipes[reader].clear()
            self._write(reader, END_OF_STREAM)

    @property
    def is_closed(self) -> bool:
        """Whether neither side has the stream open."""
        return not any(self._open)

    def heal(self) -> None:
        """Continue the delivery of messages held up by a cut."""
        for reader in (0, 1):
            held = self._held[reader]
            self._held[reader] = 0
            for _ in range(held):
                self._schedule(reader)

    def _write(self, reader: int, message: Message | EndOfStream) -> None:
        self._pipes[reader].append(message)
        self._schedule(reader)

    def _schedule(self, reader: int) -> None:
        time = self._network.time
        arrives_us = time.now_us + self._network.delay_us(*self._hosts)
        self._arrives_us[reader] = max(self._arrives_us[reader], arrives_us)
        time.at(self._arrives_us[reader], partial(self._arrive, reader))

    def _arrive(self, reader: int) -> None:
        receiver = self._hosts[reader]
        sender = self._hosts[1 - reader]
        if self._network.is_cut(sender, receiver):
            self._held[reader] += 1
        else:
            receiver.enqueue(self, partial(self._read, reader))

    def _read(self, reader: int) -> None:
        """Read the oldest message, whichever arrival this is, so that the order is kept."""
        if not self._pipes[reader] or not self._open[reader]:
            self._pipes[reader].clear()
            return
        message = self._pipes[reader].popleft()
        host = self._hosts[reader]
        if host.process is None or self._processes[reader] is not host.process:
            self._open[reader] = False
            # a later process on this machine resets the stream, which it does not know
            if host.process is not None:
                self._write(1 - reader, END_OF_STREAM)
            return
        if isinstance(message, EndOfStream):
            self._open[reader] = False
            self._network.remove_if_closed(self)
        self._network.deliver(host, self, message)


class Network:
    """All machines, the streams between them, and the cuts."""

    def __init__(
        self,
        time: SimulatedTime,
        rand: random.Random,
        deliver: Callable[[Host, Stream, Message | EndOfStream], None],
    ) -> None:
        self.time = time
        self.deliver = deliver
        self.hosts: dict[str, Host] = {}
        self.streams: dict[int, Stream] = {}
        self._rand = rand
        self._cuts: set[tuple[str, str]] = set()

    def delay_us(self, one: Host, other: Host) -> int:
        """Random network delay of a message between two hosts."""
        return self._rand.randrange(
            *(SAME_REGION_DELAY_US if one.region == other.region else CROSS_REGION_DELAY_US)
        )

    def open(self, stream_id: int, client: Host, server: Host) -> Stream:
        """Open a stream. If no process runs at the server, the client is sent the end of the stream; a cut
        holds that up as well."""
        stream = self.streams[stream_id] = Stream(self, stream_id, client, server)
        if server.process is None:
            stream.end(server)
        return stream

    def remove_if_closed(self, stream: Stream) -> None:
        """Remove a stream that neither side has open any more."""
        if stream.is_closed:
            self.streams.pop(stream.stream_id, None)

    def streams_of(self, host: Host) -> list[Stream]:
        """The streams that a host's process has open."""
        return [stream for stream in self.streams.values() if stream.is_open_at(host)]

    def process_lost(self, host: Host, silently: bool) -> None:
        """Remove a host's process. With ``silently`` its peers do not learn of it, as if the machine had
        failed."""
        for stream in self.streams_of(host):
            stream.process_lost(host, silently)
        host.clear_process()

    def cut(self, sender: str, receiver: str) -> None:
        """Hold up messages from one side to another. Each is a host, a region as ``region/NAME``, or
        ``*``."""
        self._cuts.add((sender, receiver))

    def heal(self) -> None:
        """End all cuts."""
        self._cuts.clear()
        for stream in list(self.streams.values()):
            stream.heal()

    def is_cut(self, sender: Host, receiver: Host) -> bool:
        """Whether messages from the sender to the receiver are held up."""
        if not self._cuts:
            return False
        sender_names = (sender.name, f"region/{sender.region}", ANY_HOST)
        receiver_names = (receiver.name, f"region/{receiver.region}", ANY_HOST)
        return any((one, other) in self._cuts for one in sender_names for other in receiver_names)

    def reachable(self, client: Host, server: Host) -> bool:
        """Whether a stream could be opened now: the server's process runs, and neither direction is cut."""
        is_running = server.process is not None and not server.is_paused
        return is_running and not self.is_cut(client, server) and not self.is_cut(server, client)
