"""Counters of each second of a simulated fleet, summed over all routers and endpoints."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass
class ClassCounters:
    """Requests of one request class whose first attempt by the client was in this second."""

    requests: int = 0
    served_in_time: int = 0


@dataclass
class SecondCounters:
    """Counters of one second."""

    requests: int = 0  # first attempts of clients; retries are not counted
    client_retries: int = 0
    served_in_time: int = 0  # requests first made in this second and served within ``WANTED_WITHIN_US``
    served_late: int = 0  # requests first made in this second and served later than that
    rejections: int = 0  # responses "rejected" or "failed", including those to retries
    abandoned: int = 0  # requests given up by their clients
    attempts: int = 0  # attempts of routers that reached an endpoint
    fills: int = 0  # fills that reached a parent or the origin
    origin_requests: int = 0  # attempts and fills that reached the origin
    at_failing_endpoints: int = 0  # attempts and fills that an endpoint failed or left unanswered
    by_class: dict[str, ClassCounters] = field(default_factory=dict)  # by name of the request class
