"""The processes and messages of a small simulated fan-out tier, which all its states refer to by number."""

from __future__ import annotations

from magpieshift.lab.simulated.fanout_immutable_states import ImmutableStates
from magpieshift.lab.simulated.fanout_outputs import Message, Output
from magpieshift.lab.simulated.fanout_processes import (
    FollowingProcess,
    Process,
    Relay,
    Router,
    ServingProcess,
    Source,
)
from magpieshift.lab.simulated.fanout_tier_state import RELAYS, SOURCE
from magpieshift.relay.messages import Entry, Epoch, Purge

MAX_STREAMS_PER_INCARNATION = 100  # more than an exploration opens, so that stream numbers are unique
MAX_SOURCE_LOG_ENTRIES = 8  # more than the purges of a scenario; a short log means fewer states


class ProcessTable:
    """The process states and the messages that all states of one exploration refer to by number."""

    def __init__(self) -> None:
        self.process_states = ImmutableStates()
        self.messages: list[Message] = []  # by number
        self._numbers: dict[Message, int] = {}  # the reverse of ``messages``

    def message_number(self, message: Message) -> int:
        """The number of a message; equal messages share one."""
        number = self._numbers.setdefault(message, len(self.messages))
        if number == len(self.messages):
            self.messages.append(message)
        return number

    def new_process(self, name: str, incarnation: int, now_us: int) -> Process:
        """A freshly started process; ``now_us`` is its own clock."""
        boot = f"{name}/{incarnation}"
        first_stream = incarnation * MAX_STREAMS_PER_INCARNATION
        if name == SOURCE:
            return Source(name, boot, Epoch(incarnation, incarnation), now_us, MAX_SOURCE_LOG_ENTRIES)
        if name in RELAYS:
            return Relay(name, boot, first_stream, MAX_SOURCE_LOG_ENTRIES)
        return Router(name, boot, first_stream, applies_later=True)


def purge_at(position: int, accepted_us: int) -> Entry:
    """The purge at a position of the change log."""
    return Purge(str(position), 0, accepted_us)


def send_if_due(stream_id: int, process: Process, now_us: int) -> list[Output]:
    """The messages that a server sends on a stream now; none if no message is due."""
    serving = as_server(process)
    return serving.send_due(stream_id, now_us) if stream_id in serving.fanout.due_streams(now_us) else []


def as_server(process: Process) -> ServingProcess:
    """The process, narrowed to one that serves followers."""
    assert isinstance(process, ServingProcess)
    return process


def as_follower(process: Process) -> FollowingProcess:
    """The process, narrowed to one that follows a relay or source."""
    assert isinstance(process, FollowingProcess)
    return process


def as_router(process: Process) -> Router:
    """The process, narrowed to a router."""
    assert isinstance(process, Router)
    return process
