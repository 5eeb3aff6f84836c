"""The settings of a policy. Times are whole microseconds, rates are kilobytes per second."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class Idempotency(IntEnum):
    """Whether a request may be executed twice."""

    IDEMPOTENT = 0
    """Executing it again does no harm."""
    WITH_KEY = 1
    """Endpoints discard a repeat by its idempotency key, within the deduplication window and scope."""
    NOT_IDEMPOTENT = 2
    """Executing it again may take effect twice."""


class DeduplicationScope(IntEnum):
    """The endpoints that discard each other's repeats of a request with an idempotency key."""

    ALL = 0
    ZONE = 1
    CELL = 2


@dataclass(slots=True)
class RequestClass:
    """The settings of one class of requests."""

    idempotency: Idempotency
    """Whether its requests may be executed twice."""
    deduplication_scope: DeduplicationScope
    """Which endpoints discard each other's repeats; applies to ``Idempotency.WITH_KEY``."""
    deduplication_us: int
    """Deduplication window: how long after the first attempt a repeat is still discarded."""
    latency_objective_us: int
    """Fixed part of the latency objective, within which an answer counts with its full priority weight."""
    latency_objective_stretch: float
    """Variable part of the latency objective, as a multiple of the time to send the answer without other
    load."""
    deadline_us: int
    """Time after which the client gives up."""
    priority_weight: float
    """Weight of an answer within the objective, relative to other classes. No rule uses this,
    ``late_priority_weight`` or ``stale_priority_weight``."""
    late_priority_weight: float
    """Weight of an answer between objective and deadline, as a fraction of ``priority_weight``."""
    is_stream: bool
    """Whether its answers may be streamed, so that they begin long before they end. No rule uses it."""
    is_write: bool
    """Whether its requests change the object; these are sent to the origin."""
    in_parts: bool
    """Whether the class's objects have several parts; no rule uses it."""
    max_age_us: int
    """Time for which a copy is fresh; 0: until it is purged."""
    stale_grace_us: int
    """Time after ``max_age_us`` for which a stale copy may still be served. Caches apply it; no rule uses
    it."""
    stale_priority_weight: float
    """Weight of an answer with a stale copy, as a fraction of ``priority_weight``."""


@dataclass(slots=True)
class Settings:
    """The settings of a policy instance."""

    classes: tuple[RequestClass, ...]
    """The request classes, by class number."""
    zone: int
    """Number of the router's own zone."""
    router_count: int
    """Number of routers in all zones, among which shared limits are divided."""
    router_index: int
    """This router's number, from 0, among the routers of all zones; no rule uses it."""
    zone_hub: tuple[int, ...]
    """The hub zone to which each zone is attached, by zone number."""
    zone_router_counts: tuple[int, ...]
    """Number of routers in each zone, by zone number."""
    zone_link_kb_per_s: tuple[float, ...]
    """Bandwidth of the link into each zone, by zone number; 0: unlimited."""
    parent_kind: int
    """The kind of endpoint that is a parent cache."""
    origin_kind: int
    """The kind of endpoint that is the origin."""
    tick_us: int
    """Minimum time between two batches of events."""
    client_kb_per_s: float
    """Bandwidth of a client's connection; 0: not known."""
    weights_are_sizes: bool
    """Whether an endpoint's listed weight is its capacity in concurrent requests; else it is a live
    weight."""
    answer_slack_us: int
    """How long after the deadline a final answer is still accepted. No rule uses it: the policy answers
    before the deadline."""
    drain_grace_us: int
    """Time after the notice of a drain for which new attempts may still be sent to the endpoint. No rule uses
    it: the policy stops sending at once."""
    slow_start_fraction: float
    """Fraction of its capacity that a cache has right after its start."""
    slow_start_us: int
    """Time from the start of a cache until it has its full capacity."""
    overload_multiple: float
    """Multiple of its current capacity at which a warming cache fails from overload."""
    overload_window_us: int
    """Window over which the load is measured against ``overload_multiple``."""
    parent_slow_start_fraction: float
    """``slow_start_fraction`` of a parent."""
    parent_slow_start_us: int
    """``slow_start_us`` of a parent."""
    parent_overload_multiple: float
    """``overload_multiple`` of a parent."""
    purge_grace_us: int
    """Time after the notice of a purge within which it must take effect. No rule uses it: the policy bounds
    the age of copies from the time of the purge."""
    purge_propagation_us: int
    """Time after a purge within which caches and parents drop purged copies by themselves."""
    connect_timeout_us: int
    """Time after which an attempt without a connection ends."""
    max_attempts: int
    """Maximum number of attempts of a request, the first included."""
    max_retry_after_us: int
    """Maximum Retry-After of a rejection."""
    can_cancel_attempts: bool
    """Whether ``CancelAttempt`` has an effect."""
    can_check_health: bool
    """Whether ``StartHealthCheck`` has an effect."""
    can_message_peers: bool
    """Whether ``SendPeerMessage`` has an effect."""
    may_bypass_caches: bool
    """Whether attempts may be sent directly to a parent or the origin."""
    hedged_requests: bool
    """Whether an idempotent request may have two attempts in flight."""
    coalesces_fills: bool
    """Whether a cache can let a request wait for a running fill of the same part."""
    siblings: bool
    """Whether caches can fill from each other. No rule uses it: sources are parents and the origin."""
    reports_cache_status: bool
    """Whether every answer carries a cache status."""
    must_subscribe: bool
    """Whether changes of the endpoint list arrive only after a subscription."""
    load_report_columns: tuple[str, ...]
    """Names of the values of a load report, in order."""
