"""The settings that a policy decides by. Times are whole microseconds, rates kilobytes a second."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class Idempotency(IntEnum):
    """What running a request twice may do."""

    IDEMPOTENT = 0
    """Running it again does no harm."""
    WITH_KEY = 1
    """Endpoints discard a repeat by its idempotency key, within a time and a scope."""
    NOT_IDEMPOTENT = 2
    """Running it again may take effect twice."""


class DeduplicationScope(IntEnum):
    """The endpoints that discard each other's repeats of a request with an idempotency key."""

    ALL = 0
    ZONE = 1
    CELL = 2


@dataclass(slots=True)
class RequestClass:
    """The figures of one class of requests."""

    idempotency: Idempotency
    """What running a request twice may do."""
    deduplication_scope: DeduplicationScope
    """Which endpoints discard each other's repeats, with an idempotency key."""
    deduplication_us: int
    """How long after the first attempt a repeat is still discarded."""
    latency_objective_us: int
    """Time within which an answer earns its full weight, besides the stretch."""
    latency_objective_stretch: float
    """What the objective grows by, in multiples of the time that sending the answer takes by itself."""
    deadline_us: int
    """After so long the client has given up."""
    priority_weight: float
    """What an answer within the objective earns; this and its kin below are used by no rule."""
    late_priority_weight: float
    """What an answer between objective and deadline earns, as a fraction of the weight."""
    is_stream: bool
    """Whether its answers may be streamed: they begin long before they end. No rule uses it."""
    is_write: bool
    """Whether it changes the object; it goes to the origin."""
    in_parts: bool
    """Whether the class's objects have several parts; no rule uses it."""
    max_age_us: int
    """How long a copy is fresh; 0: until it is purged."""
    stale_grace_us: int
    """How long past that a copy may still be served; caches apply it, no rule here does."""
    stale_priority_weight: float
    """What a stale copy earns, as a fraction of the weight."""


@dataclass(slots=True)
class Settings:
    """What a policy instance is given at its start."""

    classes: tuple[RequestClass, ...]
    """By class number."""
    zone: int
    """The router's own zone, by number."""
    router_count: int
    """Routers in all zones; what all share is divided by it."""
    router_index: int
    """This router's number, from 0, among the routers of all zones; no rule uses it."""
    zone_hub: tuple[int, ...]
    """By zone, the hub zone to which it is attached."""
    zone_router_counts: tuple[int, ...]
    """By zone, the routers in it."""
    zone_link_kb_per_s: tuple[float, ...]
    """By zone, what its link in carries; 0 for no bound."""
    parent_kind: int
    """The kind of endpoint that is a parent cache."""
    origin_kind: int
    """The kind of endpoint that is the origin."""
    tick_us: int
    """The shortest time between two batches of events."""
    client_kb_per_s: float
    """What a client's connection takes; 0 where that is not known."""
    weights_are_sizes: bool
    """Whether an endpoint's listed weight is its capacity in requests at once; else it is a live weight."""
    answer_slack_us: int
    """How late a final answer may be; no rule uses it: answers come before the deadline."""
    drain_grace_us: int
    """After the notice of a drain nothing new may go to the endpoint beyond this; no rule uses it: a drain is
    obeyed at once."""
    slow_start_fraction: float
    """Part of its capacity that a cache bears right after its start."""
    slow_start_us: int
    """How long it takes a cache from there to its whole capacity."""
    overload_multiple: float
    """A warming cache falls over when it is sent so many times what it bears."""
    overload_window_us: int
    """The time over which that is counted."""
    parent_slow_start_fraction: float
    """As ``slow_start_fraction``, of a parent."""
    parent_slow_start_us: int
    """As ``slow_start_us``, of a parent."""
    parent_overload_multiple: float
    """As ``overload_multiple``, of a parent."""
    purge_grace_us: int
    """From its notice a purge must be obeyed within this; no rule uses it: ages count from the purge."""
    purge_propagation_us: int
    """Within this caches and parents have dropped purged copies by themselves."""
    connect_timeout_us: int
    """After so long without a connection an attempt ends."""
    max_attempts: int
    """Attempts a request may have, the first included."""
    max_retry_after_us: int
    """The longest time that a rejected client may be told to stay away."""
    can_cancel_attempts: bool
    """Whether ``CancelAttempt`` has an effect."""
    can_check_health: bool
    """Whether ``StartHealthCheck`` has an effect."""
    can_message_peers: bool
    """Whether ``SendPeerMessage`` has an effect."""
    may_bypass_caches: bool
    """Whether a parent or the origin may be asked directly."""
    hedged_requests: bool
    """Whether an idempotent request may have two attempts in flight."""
    coalesces_fills: bool
    """Whether caches let a request wait for a fill of the same part that is running."""
    siblings: bool
    """Whether caches can fill from each other; no rule uses it, sources are parents and the origin."""
    reports_cache_status: bool
    """Whether every answer carries a cache status."""
    must_subscribe: bool
    """Whether the endpoint list has to be asked for."""
    load_report_columns: tuple[str, ...]
    """What the values of a load report are, in their order."""
