"""The thin driver: one UDP socket and one timer round the state machines."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from magpieshift import clock
from magpieshift.log import fields
from magpieshift.membership.codec import MalformedDatagramError, decode, encode
from magpieshift.membership.failure_detector import TICK_INTERVAL_US, FailureDetector
from magpieshift.membership.member_table import Member
from magpieshift.membership.messages import Address, LeaseMessage, SendDatagram
from magpieshift.membership.quota_lease import QuotaLease

log = logging.getLogger(__name__)

MAX_DATAGRAMS_PER_TICK = 512  # datagrams read between two turns; what floods us is dropped unread


def steady_us() -> int:
    """A clock that never goes back and runs on while the process is stopped; no wall clock is needed."""
    return clock.source.steady_us()


class MembershipDriver(asyncio.DatagramProtocol):
    """Owner of the socket and of the timer. ``after`` is called at the end of each turn, ``used`` round all
    that may change what is held of the whole: what the router uses must have shrunk before anybody is told
    that it did, and what ran out while the process stood still must not pass for what it was just given."""

    def __init__(
        self,
        detector: FailureDetector,
        shares: QuotaLease,
        now_us: Callable[[], int] = steady_us,
        after: Callable[[], None] = lambda: None,
        used: Callable[[], None] = lambda: None,
    ) -> None:
        self.detector = detector
        self.quota_lease = shares
        self.now_us = now_us
        self.after_tick = after
        self.refresh_quota = used
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._datagrams_read = 0
        detector.on_lease_message = self._receive_lease_message

    async def open(self, address: Address) -> Address:
        """Bind and begin; the address bound. ``OSError`` where that can't be."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=address)
        self._transport = transport
        bound: Address = transport.get_extra_info("sockname")[:2]
        self._tick()
        return bound

    def close(self) -> None:
        """Say goodbye and give back socket and timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._transport is not None:
            self._transmit(self.detector.leave(self.now_us()))
            self._transport.close()
            self._transport = None

    # --- what comes

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._datagrams_read += 1
        if self._datagrams_read > MAX_DATAGRAMS_PER_TICK:
            self.detector.counters.flooded += 1
            return
        try:
            datagram = decode(data)
        except MalformedDatagramError as err:
            self.detector.counters.malformed += 1
            log.debug("datagram dropped", extra=fields(source="{}:{}".format(*addr[:2]), reason=err))
            return
        try:
            self._transmit(self.detector.receive(self.now_us(), addr[:2], datagram))
        except Exception:  # what one sends must not end the membership of all
            log.exception("datagram failed", extra=fields(source="{}:{}".format(*addr[:2])))

    def error_received(self, exc: Exception) -> None:
        log.debug("datagram not delivered", extra=fields(reason=exc))

    # --- time

    def _tick(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(TICK_INTERVAL_US / 1e6, self._tick)
        self._datagrams_read = 0
        now = self.now_us()
        try:
            self.refresh_quota()
            self._transmit(self.detector.tick(now))
            for to, claim in self.quota_lease.tick(now, self.detector.view):
                self.detector.send(to, claim)
            self._transmit(self.detector.flush())
            self.after_tick()
            self._transmit(self.detector.flush())  # what other parts have to say
        except Exception:
            log.exception("turn failed")

    def _receive_lease_message(self, claim: LeaseMessage, sender: Member, to: Address) -> None:
        self.refresh_quota()
        answers = self.quota_lease.receive(self.now_us(), claim, sender, to, self.detector.view)
        self.refresh_quota()
        for where, answer in answers:
            self.detector.send(where, answer)

    def _transmit(self, sends: list[SendDatagram]) -> None:
        if self._transport is None:
            return
        for send in sends:
            self._transport.sendto(encode(send.datagram), send.destination)
