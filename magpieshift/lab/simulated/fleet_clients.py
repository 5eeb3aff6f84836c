"""The clients of a simulated fleet: Poisson arrivals, and retries after rejections and failures.

A load balancer sends each attempt to a random router in rotation in the client's zone. After a rejection some
clients wait for the time in Retry-After, others retry almost at once.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import numpy as np

from magpieshift.engine.model import ClientRequest, Response, Verdict
from magpieshift.lab.simulated.fleet_state import SECOND_US, FleetRecord, FleetSize, SimulatedRouter
from magpieshift.lab.simulated.second_counters import ClassCounters
from magpieshift.lab.simulated.time import SimulatedTime

PICTURE_CLASS = "picture"  # a cacheable read
BASKET_CLASS = "basket"  # a write with an idempotency key
WANTED_WITHIN_US = 800_000  # later responses count as late; above both classes' latency objectives
REQUEST_DEADLINE_US = 3 * SECOND_US  # sent with each request; the deadline of both classes
CLIENT_TIMEOUT_US = 3_200_000  # the deadline, with a margin for a response in flight
MAX_RETRY_AFTER_WANTED_US = 2 * SECOND_US  # a rejection later than this after ``wanted_by_us`` is not retried
CONNECT_FAILURE_US = 100_000  # time until a client notices that its connection fails
IMMEDIATE_RETRY_WAIT_US = 50_000  # of clients that ignore Retry-After; at most what a person takes to reload
MIN_RETRY_WAIT_US = 1_000  # keeps a retry from running at the same time as the rejection


@dataclass
class ClientIntent:
    """A request of a client, over all its attempts."""

    class_name: str
    key: str  # of the requested object
    first_second: int  # second of the simulation in which the first attempt was made
    zone: int
    wanted_by_us: int
    attempts: int = 1
    rejected_by: str = ""  # name of the router that rejected it last; empty: none


@dataclass
class ClientCall:
    """One attempt of a client at one router."""

    intent: ClientIntent
    router: SimulatedRouter
    request: ClientRequest
    is_over: bool = False  # answered or timed out
    is_answered: bool = False


class SimulatedClients:
    """All clients of a fleet. ``rand`` is the fleet's own random generator."""

    def __init__(
        self,
        size: FleetSize,
        time: SimulatedTime,
        rand: random.Random,
        record: FleetRecord,
        routers: Mapping[str, SimulatedRouter],
        rate: Callable[[], float],
    ) -> None:
        self._size = size
        self._time = time
        self._rand = rand
        self._record = record
        self._routers = routers
        self._rate = rate  # returns the current requests per second of the whole fleet
        self._arrivals = np.random.default_rng(size.seed)
        self._request_count = 0

    def next_client(self) -> None:
        """Make a client's request, and schedule the arrival of the next client."""
        self._time.after(float(self._arrivals.exponential(SECOND_US / self._rate())), self.next_client)
        zone = self._rand.randrange(self._size.zones) + 1
        is_write = self._rand.random() < self._size.write_share
        class_name = BASKET_CLASS if is_write else PICTURE_CLASS
        key = f"{int(self._arrivals.zipf(self._size.key_skew)) % self._size.objects + 1:016x}"
        wanted_by_us = self._time.now_us + WANTED_WITHIN_US
        counters = self._record.counters(self._time)
        counters.requests += 1
        counters.by_class.setdefault(class_name, ClassCounters()).requests += 1
        self._send(ClientIntent(class_name, key, self._time.second, zone, wanted_by_us))

    def _router_for(self, zone: int) -> SimulatedRouter | None:
        routers = [router for router in self._routers.values() if router.zone == zone and router.in_rotation]
        return self._rand.choice(routers) if routers else None

    def _send(self, intent: ClientIntent) -> None:
        router = self._router_for(intent.zone)
        if router is None or router.clock.is_killed:
            self._time.after(CONNECT_FAILURE_US, lambda: self._retry(intent, 0, ""))
            return
        self._request_count += 1
        call = ClientCall(intent, router, self._client_request(intent, router))
        sent_us = self._time.now_us
        if sent_us < router.clock.paused_until_us:  # the request waits in the socket of the paused router
            self._time.at(router.clock.paused_until_us, lambda: self._submit(call))
        else:
            self._submit(call)
        self._time.after(CLIENT_TIMEOUT_US, lambda: self._time_out(call, sent_us))

    def _client_request(self, intent: ClientIntent, router: SimulatedRouter) -> ClientRequest:
        request_id = f"{self._request_count:016x}"
        return ClientRequest(
            request_id=request_id,
            class_index=router.engine.classes[intent.class_name],
            class_name=intent.class_name,
            object_key=intent.key,
            part=0,
            group=1,
            size_kb=self._size.size_kb,
            time_left_us=REQUEST_DEADLINE_US,
            is_repeat=intent.attempts > 1,
            idempotency_key=request_id if intent.class_name == BASKET_CLASS else "",
            known_version="",
            body=b"",
        )

    def _submit(self, call: ClientCall) -> None:
        if call.router.clock.is_killed or call.is_over:
            return

        def answered(response: Response) -> None:
            if call.is_answered:
                self._record.violations.append(
                    f"found two responses of {call.router.name} to one request, expected one"
                )
            call.is_answered = True
            if not call.is_over:
                call.is_over = True
                self._handle_response(call.intent, call.router, response)

        call.router.engine.submit(call.request, answered)

    def _time_out(self, call: ClientCall, sent_us: int) -> None:
        if call.is_over:
            return
        call.is_over = True
        clock = call.router.clock
        if not clock.is_killed and clock.paused_until_us <= sent_us:  # a router paused meanwhile is exempt
            self._record.violations.append(
                f"found no response of {call.router.name} before the client's time-out, expected one"
            )
        self._retry(call.intent, 0, "")

    def _handle_response(self, intent: ClientIntent, router: SimulatedRouter, response: Response) -> None:
        if response.verdict == Verdict.SERVED:
            counters = self._record.by_second[intent.first_second]
            if self._time.now_us <= intent.wanted_by_us:
                counters.served_in_time += 1
                counters.by_class[intent.class_name].served_in_time += 1
            else:
                counters.served_late += 1
            if intent.rejected_by and intent.rejected_by != router.name:
                self._record.rejected_then_served += 1
            return
        self._record.counters(self._time).rejections += 1
        self._record.rejected_requests += not intent.rejected_by
        self._retry(intent, response.retry_after_us, router.name)

    def _retry(self, intent: ClientIntent, retry_after_us: int, rejected_by: str) -> None:
        """Retry after a wait, unless the client gives up. ``rejected_by`` is the router that rejected or
        failed the request; empty if no response came.
        """
        gives_up_at_us = intent.wanted_by_us + MAX_RETRY_AFTER_WANTED_US
        if intent.attempts >= self._size.max_attempts or self._time.now_us > gives_up_at_us:
            self._record.counters(self._time).abandoned += 1
            return
        intent.attempts += 1
        intent.rejected_by = rejected_by or intent.rejected_by
        honors_retry_after = self._rand.random() < self._size.retry_after_share
        wait_us = retry_after_us if honors_retry_after else IMMEDIATE_RETRY_WAIT_US

        def retry() -> None:
            self._record.counters(self._time).client_retries += 1
            self._send(intent)

        self._time.after(max(wait_us, MIN_RETRY_WAIT_US), retry)
