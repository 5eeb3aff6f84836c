"""What a simulated fleet counts in each second, over all routers and endpoints."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass
class ClassCounters:
    """Requests of one request class that clients first made in this second."""

    requests: int = 0
    served_in_time: int = 0


@dataclass
class SecondCounters:
    """What happened in one second."""

    requests: int = 0  # by clients, without their retries
    client_retries: int = 0
    served_in_time: int = 0  # first made in this second, and answered within the wanted time
    served_late: int = 0  # first made in this second
    rejections: int = 0  # answers "rejected" or "failed", to requests and to retries
    abandoned: int = 0  # requests whose client has no retry left
    attempts: int = 0  # that reached an endpoint, as a cache or directly
    fills: int = 0  # that reached a parent or the origin through a cache
    origin_requests: int = 0  # that reached the origin on any way
    at_failing_endpoints: int = 0  # attempts and fills that reached an endpoint which fails
    by_class: dict[str, ClassCounters] = field(default_factory=dict)  # by the name of the request class
