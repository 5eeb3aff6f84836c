"""Checks of a whole simulated fan-out tier: whether it has settled after faults, and whether its logs,
follower records and streams are within their limits."""

from __future__ import annotations

from magpieshift.lab.simulated.fanout import SimulatedFanout
from magpieshift.lab.simulated.fanout_invariants import RuleBrokenError
from magpieshift.lab.simulated.fanout_network import Host
from magpieshift.lab.simulated.fanout_processes import FollowingProcess, Relay, Source
from magpieshift.relay import limits

MAX_UNREAD_AT_FOLLOWER = 3 * limits.MAX_UNACKNOWLEDGED_BATCHES
"""Upper bound of unread messages to one follower: its send window, plus heartbeats."""


def unsettled(tier: SimulatedFanout) -> str:
    """Why the tier has not settled; empty if it has. It has settled if some source has every follower at its
    head with a lease, and its watermark there as well. Other sources without followers may remain."""
    problems = [_unsettled_at(tier, host, source) for host, source in tier.sources()]
    return "" if "" in problems else problems[-1] if problems else "no source runs, expected one"


def _unsettled_at(tier: SimulatedFanout, host: Host, source: Source) -> str:
    head = source.log.head
    epoch = source.log.epoch
    for other in tier.network.hosts.values():
        if isinstance(other.process, FollowingProcess):
            follower = other.process.follower
            if (follower.epoch, follower.applied) != (epoch, head):
                return (
                    f"found {other.name} at {follower.applied} of {follower.epoch}, "
                    f"expected {head} of {epoch}"
                )
            if not follower.staleness.lease_held(other.now_us()):
                return f"{other.name} holds no lease"
    watermark = source.fanout.watermark(host.now_us())
    return "" if watermark == head else f"found the watermark at {watermark}, expected it at the head {head}"


def check_bounds(tier: SimulatedFanout) -> None:
    """Raise ``RuleBrokenError`` if a log, the follower records or the unread messages exceed their limit."""
    followers = len(tier.ranked_relays)
    for host in tier.network.hosts.values():
        process = host.process
        if isinstance(process, Source | Relay):
            if process.log.head - process.log.first + 1 > tier.size.log_entries:
                raise RuleBrokenError(
                    f"bounds: the log of {host.name} holds {process.log.first} to {process.log.head}, "
                    f"expected at most {tier.size.log_entries} entries"
                )
            statuses = process.fanout.status(host.now_us())
            # a follower without a lease stays on record until its stream ends, or the next expiry check
            idle = sum(1 for status in statuses if not status.may_hold_lease)
            if idle > 2 * followers:
                raise RuleBrokenError(
                    f"bounds: {host.name} keeps {idle} followers without a lease, "
                    f"expected at most {2 * followers}"
                )
    for stream in tier.network.streams.values():
        unread = stream.unread(stream.server)
        if unread > MAX_UNREAD_AT_FOLLOWER:
            raise RuleBrokenError(
                f"bounds: {unread} unread messages to {stream.client.name}, "
                f"expected at most {MAX_UNREAD_AT_FOLLOWER}"
            )
