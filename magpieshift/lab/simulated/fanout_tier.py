"""The events of a small simulated fan-out tier: time passes, messages arrive, streams break, processes crash.
Each event changes a mutable copy of the tier's state and carries out the outputs of the processes."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from magpieshift.lab.simulated.fanout_outputs import (
    CloseStream,
    EffectApplied,
    OpenStream,
    Output,
    SendMessage,
)
from magpieshift.lab.simulated.fanout_processes import Process, Source
from magpieshift.lab.simulated.fanout_tier_processes import (
    ProcessTable,
    as_follower,
    as_router,
    as_server,
    purge_at,
    send_if_due,
)
from magpieshift.lab.simulated.fanout_tier_rules import applied_after, check_leased_router
from magpieshift.lab.simulated.fanout_tier_state import (
    END_OF_STREAM,
    PROCESS_NAMES,
    ROUTERS,
    SOURCE,
    AppliedState,
    SourceLog,
    StreamState,
    TierState,
    local_clock_us,
)
from magpieshift.lab.simulated.fanout_tier_streams import TierStreams
from magpieshift.relay.messages import UpstreamMessage

TICK_US = 4_000_000  # half a lease: one tick leaves a lease valid, two let it lapse
ROUND_US = 600_000  # long enough for every follower's progress to be due


class MutableTier:
    """A mutable copy of a tier's state, on which events are carried out. An event that breaks a rule raises
    ``RuleBrokenError``."""

    def __init__(self, table: ProcessTable, state: TierState) -> None:
        self._table = table
        # The fields of ``TierState``, with names in place of positions.
        self.now_us = state.now_us
        self.purges_read = state.purges_read
        self.last_incarnation = state.last_incarnation
        self.budget = state.budget
        self.processes = dict(zip(PROCESS_NAMES, state.processes, strict=True))
        self.streams = TierStreams(state.streams, state.abandoned_streams)
        self.applied = dict(zip(ROUTERS, state.applied, strict=True))
        self.purges_accepted_us = state.purges_accepted_us
        self.source_logs = state.source_logs

    def state(self) -> TierState:
        """The current state as an immutable value."""
        return TierState(
            now_us=self.now_us,
            processes=tuple(self.processes.values()),
            streams=tuple(self.streams.current.values()),
            abandoned_streams=tuple(self.streams.abandoned.values()),
            applied=tuple(self.applied.values()),
            purges_accepted_us=self.purges_accepted_us,
            purges_read=self.purges_read,
            source_logs=self.source_logs,
            last_incarnation=self.last_incarnation,
            budget=self.budget,
        )

    # --- events: time and the change log

    def tick(self) -> None:
        """Time passes, and nothing else happens."""
        self.budget = self.budget._replace(ticks=self.budget.ticks - 1)
        self.now_us += TICK_US

    def accept_purge(self) -> None:
        """The change log accepts a purge."""
        self.budget = self.budget._replace(purges=self.budget.purges - 1)
        self.purges_accepted_us += (self.now_us,)

    def read_change_log(self) -> None:
        """The source reads all entries that the change log has accepted, and is current then."""
        positions = tuple(range(self.purges_read, len(self.purges_accepted_us)))
        entries = [purge_at(position, self.purges_accepted_us[position]) for position in positions]
        log = self.source_logs[-1]
        self.source_logs = (*self.source_logs[:-1], log._replace(entries=log.entries + positions))
        self.purges_read = len(self.purges_accepted_us)

        def event(process: Process, now_us: int) -> list[Output]:
            assert isinstance(process, Source)
            process.read(entries, now_us, now_us)
            return []

        self._step(SOURCE, ("read", positions), event)

    def run_round(self, excluded: str = "") -> None:
        """``ROUND_US`` pass, and all processes but ``excluded`` exchange the messages that are due."""
        self.budget = self.budget._replace(rounds=self.budget.rounds - 1)
        self.now_us += ROUND_US
        if excluded != SOURCE:
            self.read_change_log()
        for follower, stream in list(self.streams.current.items()):
            if stream is not None and excluded not in (follower, stream.server):
                self.flush_to_server(follower)
                self.flush_to_follower(follower)

    # --- events: messages

    def connect(self, follower: str, server: str) -> None:
        """A follower opens a stream to a server, and leaves its current one."""
        self._step(
            follower,
            ("connect", server),
            lambda process, now_us: as_follower(process).connect(server, now_us),
        )

    def switch_relay(self, follower: str, server: str) -> None:
        """A router leaves its relay for another although its stream works."""
        self.budget = self.budget._replace(relay_switches=self.budget.relay_switches - 1)
        self.connect(follower, server)

    def acknowledge(self, follower: str) -> None:
        """A follower sends the progress that is due."""
        self._step(follower, "acknowledge", lambda process, now_us: as_follower(process).acknowledge(now_us))

    def send(self, follower: str) -> None:
        """The server of a follower sends it the messages that are due."""
        stream = self.streams.current[follower]
        if stream is not None and stream.server:
            self._step(stream.server, ("send", stream.stream_id), partial(send_if_due, stream.stream_id))

    def deliver_to_server(self, follower: str, sends_answer: bool = True) -> None:
        """The next message of a follower arrives at its server. With ``sends_answer`` the server at once
        sends the messages that are due then."""
        stream, number = self.streams.take_to_server(follower)
        self._receive_at_server(stream, number, sends_answer)

    def deliver_abandoned(self, follower: str) -> None:
        """The next message of a stream that the follower has left arrives at its server."""
        stream, number = self.streams.take_abandoned(follower)
        self._receive_at_server(stream, number, sends_answer=False)

    def deliver_to_follower(self, follower: str) -> None:
        """The next message of the server arrives at its follower."""
        stream, number = self.streams.take_to_follower(follower)
        if number == END_OF_STREAM:
            self.streams.current[follower] = None
            self._notify_stream_lost(follower, stream.stream_id)
            return
        message = self._table.messages[number]
        assert not isinstance(message, UpstreamMessage)

        def event(process: Process, now_us: int) -> list[Output]:
            return as_follower(process).receive_from_server(stream.stream_id, message, now_us)

        self._step(follower, ("to follower", stream.stream_id, number), event)

    def flush_to_server(self, follower: str) -> None:
        """All messages of a follower, including progress that is due, arrive at its servers."""
        self.acknowledge(follower)
        while (stream := self.streams.current[follower]) is not None and stream.to_server:
            self.deliver_to_server(follower)
        while (abandoned := self.streams.abandoned[follower]) is not None and abandoned.to_server:
            self.deliver_abandoned(follower)

    def flush_to_follower(self, follower: str) -> None:
        """All messages of a server, including those that are due, arrive at a follower; a router applies
        them."""
        self.send(follower)
        while (stream := self.streams.current[follower]) is not None and stream.to_follower:
            self.deliver_to_follower(follower)
        if follower in ROUTERS:
            self.apply(follower)

    def apply(self, router: str) -> None:
        """A router applies the entries and snapshots that it has received."""
        self._step(router, "apply", lambda process, now_us: as_router(process).apply(now_us))

    # --- events: faults

    def disconnect(self, follower: str) -> None:
        """A stream breaks: messages to the server may still arrive, those to the follower are lost."""
        self.budget = self.budget._replace(disconnects=self.budget.disconnects - 1)
        stream = self.streams.current[follower]
        assert stream is not None
        self.streams.abandon(follower, stream, ended=True)
        self._notify_stream_lost(follower, stream.stream_id)

    def crash(self, name: str) -> None:
        """A process crashes and is restarted at once; a new source begins a new epoch."""
        if name == SOURCE:
            self.budget = self.budget._replace(source_crashes=self.budget.source_crashes - 1)
        else:
            self.budget = self.budget._replace(crashes=self.budget.crashes - 1)
        self.streams.reset(name)
        self.start(name)

    def start(self, name: str) -> None:
        """Start a new incarnation of a process."""
        self.last_incarnation += 1
        clock_us = local_clock_us(name, self.now_us)
        process = self._table.new_process(name, self.last_incarnation, clock_us)
        self.processes[name] = self._table.process_states.number_of(process)
        if name == SOURCE:
            self.source_logs = (*self.source_logs, SourceLog(self.last_incarnation))
            self.purges_read = 0
        elif name in ROUTERS:
            self.applied[name] = AppliedState()

    # --- rules

    def check_rules(self) -> None:
        """Check that each router with a lease has applied all that it must have. Raises ``RuleBrokenError``
        if one has not."""
        watermark = self._query(
            SOURCE, "watermark", lambda process, now_us: as_server(process).fanout.watermark(now_us)
        )
        log = self.source_logs[-1]
        if watermark > log.watermark:
            self.source_logs = (*self.source_logs[:-1], log._replace(watermark=watermark))
        for name in ROUTERS:
            limit_us = self._query(
                name, "age limit", lambda process, now_us: as_router(process).copy_age_limit(now_us)
            )
            if limit_us == 0:
                check_leased_router(
                    name, self.applied[name], self.source_logs, self.purges_accepted_us, self.now_us
                )

    # --- handling by the processes

    def _receive_at_server(self, stream: StreamState, number: int, sends_answer: bool) -> None:
        def event(process: Process, now_us: int) -> list[Output]:
            if number == END_OF_STREAM:
                as_server(process).follower_stream_lost(stream.stream_id, now_us)
                return []
            message = self._table.messages[number]
            assert isinstance(message, UpstreamMessage)
            outputs = as_server(process).receive_from_follower(stream.stream_id, message, now_us)
            answers = send_if_due(stream.stream_id, process, now_us) if sends_answer else []
            return [*outputs, *answers]

        self._step(stream.server, ("to server", stream.stream_id, number, sends_answer), event)

    def _notify_stream_lost(self, follower: str, stream_id: int) -> None:
        def event(process: Process, now_us: int) -> list[Output]:
            as_follower(process).server_stream_lost(stream_id)
            return []

        self._step(follower, ("lost", stream_id), event)

    def _step(self, name: str, label: object, event: Callable[[Process, int], list[Output]]) -> None:
        """Carry out an event at a process; ``label`` identifies the event among all those of the process."""
        now_us = local_clock_us(name, self.now_us)
        self.processes[name], outputs = self._table.process_states.step(
            self.processes[name], label, now_us, lambda process: event(process, now_us)
        )
        for output in outputs:
            self._carry_out(name, output)

    def _query(self, name: str, label: str, question: Callable[[Process, int], int]) -> int:
        now_us = local_clock_us(name, self.now_us)
        answer: int = self._table.process_states.query(
            self.processes[name], label, now_us, lambda process: question(process, now_us)
        )
        return answer

    def _carry_out(self, name: str, output: Output) -> None:
        match output:
            case OpenStream(stream_id, server, join):
                self.streams.open(name, stream_id, server)
                self.streams.send_to_server(stream_id, self._table.message_number(join))
            case SendMessage(stream_id, message):
                number = self._table.message_number(message)
                if isinstance(message, UpstreamMessage):
                    self.streams.send_to_server(stream_id, number)
                else:
                    self.streams.send_to_follower(stream_id, number)
            case CloseStream(stream_id):
                self.streams.end(name, stream_id)
            case EffectApplied(effect):
                if name in ROUTERS:
                    self.applied[name] = applied_after(name, self.applied[name], effect, self.source_logs)
