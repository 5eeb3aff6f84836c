"""The state of a small simulated fan-out tier as plain values: a source, two relays, two routers, and the
messages in flight between them. Times are microseconds of true time; the processes' clocks drift from it."""

from __future__ import annotations

from typing import NamedTuple

from magpieshift.relay.limits import CLOCK_DRIFT

SOURCE = "S"
RELAYS = ("R1", "R2")
ROUTERS = ("E1", "E2")
FOLLOWERS = (*RELAYS, *ROUTERS)
PROCESS_NAMES = (SOURCE, *FOLLOWERS)
# Differences in clock rate: half of the allowed ``CLOCK_DRIFT`` between the source and a relay, all of it
# between R1 and E1 and between R2 and E2, none between R1 and E2 or R2 and E1.
CLOCK_DRIFTS = {
    "S": 0.0,
    "R1": CLOCK_DRIFT / 2,
    "R2": -CLOCK_DRIFT / 2,
    "E1": -CLOCK_DRIFT / 2,
    "E2": CLOCK_DRIFT / 2,
}
START_US = 100_000_000  # well above 0, so that no age becomes negative
END_OF_STREAM = -1  # stands in place of a message number
NO_SERVER = ""  # the server of a stream whose serving process has ended


class StreamState(NamedTuple):
    """A follower's stream, with the messages in flight by their numbers."""

    stream_id: int
    server: str  # name of the process that serves it, or NO_SERVER
    to_server: tuple[int, ...] = ()  # in flight from the follower, oldest first
    to_follower: tuple[int, ...] = ()  # in flight from the server, oldest first


class AppliedState(NamedTuple):
    """What one incarnation of a router has applied: its position in the log, and the purges."""

    term: int = 0  # term of the source whose log is followed
    sequence: int = 0  # sequence number of the last entry applied
    purges: frozenset[int] = frozenset()  # positions of the purges in the change log


class SourceLog(NamedTuple):
    """The log of one incarnation of the source."""

    term: int
    entries: tuple[int, ...] = ()  # positions of its purges in the change log
    watermark: int = 0  # highest count of entries reported as applied everywhere


class EventBudget(NamedTuple):
    """How many times each event may still happen in an exploration."""

    ticks: int = 3
    rounds: int = 0
    purges: int = 1
    disconnects: int = 1
    relay_switches: int = 0  # of a router to its other relay while its stream works
    crashes: int = 0  # of relays and routers
    source_crashes: int = 0


class TierState(NamedTuple):
    """The state of the whole tier; hashable, so that an exploration visits each state once."""

    now_us: int
    processes: tuple[int, ...]  # numbers of process states, in the order of PROCESS_NAMES
    streams: tuple[StreamState | None, ...]  # in the order of FOLLOWERS
    abandoned_streams: tuple[StreamState | None, ...]  # in the order of FOLLOWERS; with messages in flight
    applied: tuple[AppliedState, ...]  # in the order of ROUTERS
    purges_accepted_us: tuple[int, ...]  # when the change log accepted each purge
    purges_read: int  # how many of them the source has read
    source_logs: tuple[SourceLog, ...]  # of each incarnation of the source, the latest last
    last_incarnation: int  # number of the process started last
    budget: EventBudget


def local_clock_us(name: str, now_us: int) -> int:
    """The reading of a process's clock at a true time."""
    return now_us + int((now_us - START_US) * CLOCK_DRIFTS[name])
