"""The simulated endpoints of a fleet, and how they serve requests.

A cache serves a cached object in a slot. It fills a miss without holding a slot, over its zone's link, from
the source that the request names. A parent serves what it has cached and fetches the rest from the origin,
which has every object. Each endpoint rejects requests when its queue is full. A cancelled request ends at
once, but its transfer still occupies the link.
"""

from __future__ import annotations

from collections.abc import Callable

from magpieshift.engine.model import AttemptResult, ListedEndpoint, UpstreamRequest
from magpieshift.lab.simulated.endpoints import EndpointCondition, SimulatedEndpoint, Work, ZoneLink
from magpieshift.lab.simulated.second_counters import SecondCounters
from magpieshift.lab.simulated.time import SimulatedTime
from magpieshift.policy.actions import CacheRequestFlag
from magpieshift.policy.outcomes import CacheStatus, Outcome

ONE_WAY_DELAY_US = 500  # network delay between a router and an endpoint of the same site
ORIGIN = "origin"  # the name of the origin among the endpoints

Done = Callable[[AttemptResult], None]


class SimulatedUpstreams:
    """All endpoints of an installation, as routers reach them."""

    def __init__(self, time: SimulatedTime, counters: Callable[[], SecondCounters]) -> None:
        self.by_name: dict[str, SimulatedEndpoint] = {}
        self.links: dict[int, ZoneLink] = {}  # by zone
        self._time = time
        self._counters = counters  # returns the counters of the current second

    @property
    def origin(self) -> SimulatedEndpoint:
        """The endpoint that has every object."""
        return self.by_name[ORIGIN]

    def send(self, request: UpstreamRequest, done: Done) -> Work:
        """Send a router's request to its endpoint; ``done`` is called at most once.

        It is not called after the request has ended, nor if an endpoint involved is unresponsive.
        """
        work = Work()
        endpoint = self.by_name[request.endpoint.name]

        def arrived() -> None:
            if not work.is_over:
                self._counters().attempts += 1
                self._serve(endpoint, request, work, lambda result: self._answer(work, done, result))

        work.event = self._time.after(ONE_WAY_DELAY_US, arrived)
        return work

    def _answer(self, work: Work, done: Done, result: AttemptResult) -> None:
        def arrived() -> None:
            if not work.is_over:
                work.end()
                done(result)

        work.event = self._time.after(ONE_WAY_DELAY_US, arrived)

    def _fails(self, endpoint: SimulatedEndpoint, respond: Done) -> bool:
        """Whether the endpoint fails or rejects the request. If so, responds, unless unresponsive."""
        if endpoint.is_failing:
            self._counters().at_failing_endpoints += 1
            if endpoint.condition == EndpointCondition.CRASHED:
                respond(AttemptResult(Outcome.CONNECT_FAILED))
            return True
        if endpoint.draws_error():
            self._counters().at_failing_endpoints += 1
            respond(AttemptResult(Outcome.ERROR))
            return True
        if not endpoint.has_capacity():
            respond(AttemptResult(Outcome.OVERLOADED, CacheStatus.NO_CAPACITY))
            return True
        return False

    def _serve(
        self, endpoint: SimulatedEndpoint, request: UpstreamRequest, work: Work, respond: Done
    ) -> None:
        if self._fails(endpoint, respond):
            return
        client = request.request
        if endpoint is self.origin:
            self._counters().origin_requests += 1
        key = (client.object_key, client.part)
        if endpoint is self.origin or endpoint.lookup(key):
            endpoint.serve(
                work,
                endpoint.service_time_us(client.class_name, client.size_kb),
                lambda: respond(AttemptResult(Outcome.OK, CacheStatus.HIT)),
            )
        elif request.source is None:
            respond(AttemptResult(Outcome.MISS))
        else:
            cached_only = bool(request.flags & CacheRequestFlag.SOURCE_CACHED_ONLY)

            def filled(result: AttemptResult) -> None:
                if result.outcome == Outcome.OK:
                    endpoint.store(key)
                respond(result)

            self._fill(endpoint, self.by_name[request.source.name], request, work, cached_only, filled)

    def _fill(
        self,
        endpoint: SimulatedEndpoint,
        source: SimulatedEndpoint,
        request: UpstreamRequest,
        work: Work,
        cached_only: bool,
        filled: Done,
    ) -> None:
        """Fill a cache from a source, or a parent that does not have the object from the origin."""
        if self._fill_fails(source, filled):
            return
        client = request.request
        key = (client.object_key, client.part)
        service_us = source.service_time_us(client.class_name, client.size_kb)

        def transfer() -> None:
            self._transfer(endpoint, source, client.size_kb, work, filled)

        if source is self.origin:
            self._counters().origin_requests += 1
            source.serve(work, service_us, transfer)
        elif source.lookup(key):
            source.serve(work, service_us, transfer)
        elif cached_only:
            filled(AttemptResult(Outcome.MISS, CacheStatus.SOURCE_MISS))
        else:

            def fetched(result: AttemptResult) -> None:
                if result.outcome == Outcome.OK:
                    source.store(key)
                    transfer()
                else:
                    filled(_failed_fetch(result))

            self._fill(source, self.origin, request, work, False, fetched)

    def _fill_fails(self, source: SimulatedEndpoint, filled: Done) -> bool:
        """Whether the source fails or rejects the fill. If so, ``filled`` is called with the
        result, except for an unresponsive source, which never answers."""
        self._counters().fills += 1
        if source.is_failing:
            self._counters().at_failing_endpoints += 1
            if source.condition == EndpointCondition.CRASHED:
                filled(AttemptResult(Outcome.ERROR, CacheStatus.SOURCE_LOST))
            return True
        if not source.has_capacity():
            filled(AttemptResult(Outcome.OVERLOADED, CacheStatus.SOURCE_REJECTED))
            return True
        return False

    def _transfer(
        self,
        endpoint: SimulatedEndpoint,
        source: SimulatedEndpoint,
        size_kb: float,
        work: Work,
        filled: Done,
    ) -> None:
        """Transfer a filled object: over the zone's link if the source is outside the zone, else
        without delay."""
        zone = endpoint.listed.endpoint.zone
        link = self.links.get(zone) if zone != source.listed.endpoint.zone else None
        result = AttemptResult(Outcome.OK, CacheStatus.FILLED)
        if link is None:
            filled(result)
        else:
            link.transfer(work, size_kb, lambda: filled(result))


def _failed_fetch(result: AttemptResult) -> AttemptResult:
    """The result of a fill whose parent could not fetch the object from the origin."""
    is_error = result.outcome == Outcome.ERROR
    status = CacheStatus.ORIGIN_FAILED if is_error else CacheStatus.SOURCE_REJECTED
    return AttemptResult(result.outcome, status)


class SimulatedUpstream:
    """The upstream interface of one router's engine, which sends requests to the simulated endpoints."""

    def __init__(self, upstreams: SimulatedUpstreams, is_alive: Callable[[], bool]) -> None:
        self._upstreams = upstreams
        self._is_alive = is_alive  # whether the router runs; a killed one receives no results

    def start(self, request: UpstreamRequest, done: Done) -> SimulatedExchange:
        """Send a request; ``done`` is called at most once.

        It is not called if the request is cancelled, the router has been killed, or an endpoint involved is
        unresponsive.
        """

        def finished(result: AttemptResult) -> None:
            if self._is_alive():
                done(result)

        return SimulatedExchange(self._upstreams.send(request, finished))

    def probe(self, member: ListedEndpoint, done: Done) -> None:
        """A health check. It always fails, because simulated endpoints answer no health checks."""
        done(AttemptResult(Outcome.CONNECT_FAILED))

    def close_idle(self, member: ListedEndpoint) -> None:
        """Do nothing: the simulation has no connections."""


class SimulatedExchange:
    """A request in flight."""

    def __init__(self, work: Work) -> None:
        self._work = work

    def cancel(self) -> bool:
        """Cancel the request; the endpoint stops serving it at once."""
        self._work.end()
        return True
