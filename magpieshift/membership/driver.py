"""The I/O of membership: a UDP socket and a timer that drive the state machines."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from magpieshift import clock
from magpieshift.log import fields
from magpieshift.membership.codec import MalformedDatagramError, decode, encode
from magpieshift.membership.failure_detector import FailureDetector
from magpieshift.membership.member import Member
from magpieshift.membership.messages import Address, LeaseMessage, SendDatagram
from magpieshift.membership.probing import TICK_INTERVAL_US
from magpieshift.membership.quota_lease import QuotaLease

log = logging.getLogger(__name__)

MAX_DATAGRAMS_PER_TICK = 512  # processed between two ticks; the excess is dropped without decoding


def steady_us() -> int:
    """A monotonic clock in microseconds that keeps running while the process is paused."""
    return clock.source.steady_us()


class MembershipDriver(asyncio.DatagramProtocol):
    """Owns the socket and the timer.

    ``after_tick`` is called at the end of each tick. ``refresh_quota`` is called before and after every
    change of the quota: the router must reduce its usage before it confirms a smaller quota to others, and a
    lease that expired during a pause must be seen as expired before a new one replaces it.
    """

    def __init__(
        self,
        detector: FailureDetector,
        quota_lease: QuotaLease,
        now_us: Callable[[], int] = steady_us,
        after_tick: Callable[[], None] = lambda: None,
        refresh_quota: Callable[[], None] = lambda: None,
    ) -> None:
        self.detector = detector
        self.quota_lease = quota_lease
        self.now_us = now_us
        self.after_tick = after_tick
        self.refresh_quota = refresh_quota
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._datagrams_read = 0  # datagrams received since the last tick
        detector.on_lease_message = self._receive_lease_message

    async def open(self, address: Address) -> Address:
        """Bind the socket and start the timer; returns the bound address.

        Raises ``OSError`` if the address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=address)
        self._transport = transport
        bound: Address = transport.get_extra_info("sockname")[:2]
        self._tick()
        return bound

    def close(self) -> None:
        """Leave the fleet, and release the socket and the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._transport is not None:
            self._transmit(self.detector.leave(self.now_us()))
            self._transport.close()
            self._transport = None

    # --- receiving

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode and process a datagram."""
        self._datagrams_read += 1
        if self._datagrams_read > MAX_DATAGRAMS_PER_TICK:
            self.detector.counters.flooded += 1
            return
        source = addr[:2]
        try:
            datagram = decode(data)
        except MalformedDatagramError as err:
            self.detector.counters.malformed += 1
            log.debug("malformed datagram dropped", extra=fields(source="{}:{}".format(*source), reason=err))
            return
        try:
            self._transmit(self.detector.receive(self.now_us(), source, datagram))
        except Exception:  # a datagram that triggers a bug must not end the membership of the other members
            log.exception("datagram processing failed", extra=fields(source="{}:{}".format(*source)))

    def error_received(self, exc: Exception) -> None:
        """Log an ICMP error for a datagram that was sent earlier: its receiver does not run."""
        log.debug("datagram not delivered", extra=fields(reason=exc))

    # --- time

    def _tick(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(TICK_INTERVAL_US / 1e6, self._tick)
        self._datagrams_read = 0
        now_us = self.now_us()
        try:
            self.refresh_quota()
            self._transmit(self.detector.tick(now_us))
            for destination, message in self.quota_lease.tick(now_us, self.detector.view):
                self.detector.send(destination, message)
            self._transmit(self.detector.flush())
            self.after_tick()
            self._transmit(self.detector.flush())  # the messages that after_tick queued
        except Exception:  # a bug in one tick must not stop the timer: the next tick may succeed
            log.exception("membership tick failed")

    def _receive_lease_message(self, message: LeaseMessage, sender: Member, source: Address) -> None:
        self.refresh_quota()
        replies = self.quota_lease.receive(self.now_us(), message, sender, source, self.detector.view)
        self.refresh_quota()
        for destination, reply in replies:
            self.detector.send(destination, reply)

    def _transmit(self, actions: list[SendDatagram]) -> None:
        if self._transport is None:
            return
        for action in actions:
            self._transport.sendto(encode(action.datagram), action.destination)
