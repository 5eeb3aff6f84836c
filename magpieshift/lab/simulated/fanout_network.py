"""Machines with clocks and sleeps of their own, and streams between them that keep their order.

A direction may be cut: what is sent stays under way until it heals, as with TCP. A stream that breaks loses
what is under way, and both ends hear of it as far as the directions allow. Times are microseconds.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from functools import partial

from magpieshift.lab.simulated.fanout_outputs import Message
from magpieshift.lab.simulated.fanout_processes import Relay, Router, Source
from magpieshift.lab.simulated.time import SimulatedTime

# delays within a region and between two
SAME_REGION_DELAY_US = (1_000, 30_000)
CROSS_REGION_DELAY_US = (20_000, 150_000)
ANY_HOST = "*"  # in a cut


class EndOfStream:
    """The other side has ended the stream."""


END_OF_STREAM = EndOfStream()
Pipe = deque[Message | EndOfStream]


class Host:
    """A machine that runs at most one process. Its clock goes on while the process sleeps."""

    def __init__(self, name: str, region: str, time: SimulatedTime, drift: float, offset_us: int) -> None:
        """``rate`` is by how much its clock runs faster than the true one."""
        self.name = name
        self.region = region
        self.process: Source | Relay | Router | None = None
        self.paused_until_us = 0  # true time
        self.read_interval_us = 0  # 0: reads at once
        self._time = time
        self._drift = drift
        self._offset_us = offset_us
        self._unhandled: deque[tuple[Stream, Callable[[], None]]] = deque()
        self._reading = False  # the next of what waits is due to be read

    def now_us(self) -> int:
        """Its monotonic clock."""
        elapsed = self._time.now_us - self._time.start_us
        return self._offset_us + elapsed + int(elapsed * self._drift)

    @property
    def is_paused(self) -> bool:
        """Whether its process stands still."""
        return self._time.now_us < self.paused_until_us

    def enqueue(self, stream: Stream, handle: Callable[[], None]) -> None:
        """Something of a stream is in the socket; it is handled when the process gets to it."""
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
        """Handle all that waits, the streams in any order but each in its own."""
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
        """Its process is gone, with all that waited for it."""
        self.process = None
        self.paused_until_us = 0
        self._unhandled.clear()


class Stream:
    """A stream that a client's process opened to whatever process runs at the server then."""

    def __init__(self, network: Network, stream_id: int, client: Host, server: Host) -> None:
        self.stream_id = stream_id
        self._network = network
        self.client = client
        self.server = server
        self._hosts = client, server
        self._processes = client.process, server.process
        self._open = [True, True]
        pipes: tuple[Pipe, Pipe] = deque(), deque()
        self._pipes = pipes  # by the side that reads
        self._arrives_us = [0, 0]
        self._held = [0, 0]

    def other(self, host: Host) -> Host:
        """The machine at the other end."""
        return self._hosts[1 - self._hosts.index(host)]

    def unread(self, sender: Host) -> int:
        """How many messages of the sender the other side has not read yet."""
        return len(self._pipes[1 - self._hosts.index(sender)])

    def is_open_at(self, host: Host) -> bool:
        """Whether this process of the host has this stream open."""
        if host not in self._hosts:
            return False
        side = self._hosts.index(host)
        return self._open[side] and self._processes[side] is host.process

    def send(self, sender: Host, message: Message | EndOfStream) -> None:
        """Write a message; nothing happens where the sender has ended the stream."""
        side = self._hosts.index(sender)
        if self._open[side]:
            self._write(1 - side, message)

    def end(self, host: Host) -> None:
        """One side ends the stream: the other hears of it after what was sent before."""
        self.send(host, END_OF_STREAM)
        self._open[self._hosts.index(host)] = False
        self._network.remove_if_closed(self)

    def process_lost(self, host: Host, silently: bool) -> None:
        """The process at one end is gone."""
        side = self._hosts.index(host)
        self._pipes[1 - side].clear()
        if silently:
            self._open[side] = False
        else:
            self.end(host)

    def disconnect(self) -> None:
        """What is under way is lost; both sides hear of it."""
        for reader in (0, 1):
            self._pipes[reader].clear()
            self._write(reader, END_OF_STREAM)

    @property
    def is_closed(self) -> bool:
        """Whether neither side has it open."""
        return not any(self._open)

    def heal(self) -> None:
        """What was held up by a cut goes on."""
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
        """The next message of the pipe, whichever arrival this is: that keeps the order."""
        if not self._pipes[reader] or not self._open[reader]:
            self._pipes[reader].clear()
            return
        message = self._pipes[reader].popleft()
        host = self._hosts[reader]
        if host.process is None or self._processes[reader] is not host.process:
            self._open[reader] = False
            if host.process is not None:  # its machine is there and knows no such stream
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
        """How long a message is under way."""
        return self._rand.randrange(
            *(SAME_REGION_DELAY_US if one.region == other.region else CROSS_REGION_DELAY_US)
        )

    def open(self, stream_id: int, client: Host, server: Host) -> Stream:
        """A new stream. Where nothing runs at the server, the client hears of it at once or, if the way is
        cut, never."""
        stream = self.streams[stream_id] = Stream(self, stream_id, client, server)
        if server.process is None:
            stream.end(server)
        return stream

    def remove_if_closed(self, stream: Stream) -> None:
        """A side has ended the stream."""
        if stream.is_closed:
            self.streams.pop(stream.stream_id, None)

    def streams_of(self, host: Host) -> list[Stream]:
        """The streams that a host's process has open."""
        return [stream for stream in self.streams.values() if stream.is_open_at(host)]

    def process_lost(self, host: Host, silently: bool) -> None:
        """A host's process is about to go: ``silently`` where its machine goes with it."""
        for stream in self.streams_of(host):
            stream.process_lost(host, silently)
        host.clear_process()

    def cut(self, sender: str, receiver: str) -> None:
        """Hold up what one host, or region as ``region/NAME``, or ``*`` sends to another."""
        self._cuts.add((sender, receiver))

    def heal(self) -> None:
        """End all cuts."""
        self._cuts.clear()
        for stream in list(self.streams.values()):
            stream.heal()

    def is_cut(self, sender: Host, receiver: Host) -> bool:
        """Whether the direction is cut."""
        if not self._cuts:
            return False
        sender_names = (sender.name, f"region/{sender.region}", ANY_HOST)
        receiver_names = (receiver.name, f"region/{receiver.region}", ANY_HOST)
        return any((one, other) in self._cuts for one in sender_names for other in receiver_names)

    def reachable(self, client: Host, server: Host) -> bool:
        """Whether a stream could be opened now."""
        is_running = server.process is not None and not server.is_paused
        return is_running and not self.is_cut(client, server) and not self.is_cut(server, client)
