"""Checks of a simulated fan-out tier from outside: whether it has settled, and whether it has grown beyond
its bounds."""

from __future__ import annotations

from magpieshift.lab.simulated.fanout import SimulatedFanout
from magpieshift.lab.simulated.fanout_judge import RuleBrokenError
from magpieshift.lab.simulated.fanout_network import Host
from magpieshift.lab.simulated.fanout_processes import FollowingProcess, Relay, Source
from magpieshift.relay import limits

MAX_UNREAD_AT_FOLLOWER = 3 * limits.MAX_UNACKNOWLEDGED_BATCHES
"""Messages on their way to a follower: its window, and heartbeats."""


def unsettled(world: SimulatedFanout) -> str:
    """What is not yet as it should be once all is quiet; empty if all is. A source that nobody follows,
    as another has them all, may be left over."""
    problems = [_unsettled_at(world, host, source) for host, source in world.sources()]
    return "" if "" in problems else problems[-1] if problems else "no source lives"


def _unsettled_at(world: SimulatedFanout, host: Host, source: Source) -> str:
    head = source.log.head
    epoch = source.log.epoch
    for other in world.network.hosts.values():
        if isinstance(other.process, FollowingProcess):
            follower = other.process.follower
            if (follower.epoch, follower.applied) != (epoch, head):
                return f"{other.name} is at {follower.applied} of {follower.epoch}, not {head} of {epoch}"
            if not follower.staleness.lease_held(other.now_us()):
                return f"{other.name} holds no lease"
    watermark = source.fanout.watermark(host.now_us())
    return "" if watermark == head else f"{watermark} of {head} entries are done"


def check_bounds(world: SimulatedFanout) -> None:
    """Nothing has grown beyond its bound."""
    followers = len(world.ranked_relays)
    for host in world.network.hosts.values():
        process = host.process
        if isinstance(process, Source | Relay):
            if process.log.head - process.log.first + 1 > world.size.log_entries:
                raise RuleBrokenError(f"bounds: the log of {host.name}")
            statuses = process.fanout.status(host.now_us())
            # who holds no lease keeps a place only as long as its stream, or until the next look
            idle = sum(1 for status in statuses if not status.may_hold_lease)
            if idle > 2 * followers:
                raise RuleBrokenError(f"bounds: {idle} idle places at {host.name}")
    for stream in world.network.streams.values():
        unread = stream.unread(stream.server)
        if unread > MAX_UNREAD_AT_FOLLOWER:
            raise RuleBrokenError(f"bounds: {unread} messages to {stream.client.name}")
