"""Maps this version's names of the policy's classes and fields to the names used in captures.

Captures and their keyframes were first written by a version whose classes and fields had other names. The
capture format keeps those names, so that every version can read the captures of any other. A name that is not
in the table is recorded unchanged.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

_CLASSES = {
    "AnswerTimes": "Pace",
    "AttemptEnded": "Ended",
    "CacheRequestFlag": "Mode",
    "CacheStatus": "Note",
    "CancelAttempt": "Cancel",
    "ClientDisconnected": "Hangup",
    "CloseIdleConnections": "Close",
    "DeduplicationScope": "Scope",
    "Endpoint": "Entry",
    "EndpointListKind": "ListKind",
    "EndpointListReceived": "StoreList",
    "EndpointRecord": "Store",
    "EndpointState": "Phase",
    "FailRequest": "Fail",
    "FetchEndpointList": "FetchList",
    "HealthCheckEnded": "Probed",
    "Idempotency": "Effect",
    "PeerMessageReceived": "Message",
    "PendingRequest": "Job",
    "PurgeReceived": "Purged",
    "RejectRequest": "Refuse",
    "RequestReceived": "Request",
    "ResponseStarted": "Begun",
    "RouterPolicy": "Router",
    "SendCacheRequest": "Get",
    "SendPeerMessage": "Tell",
    "SendPlainRequest": "Send",
    "StartHealthCheck": "Probe",
    "SubscribeToEndpointList": "Subscribe",
    "TimerFired": "Elapsed",
    "WriteLog": "Log",
}

_FIELDS = {
    "AnswerTimes": {
        "samples": "count",
    },
    "Attempt": {
        "pending": "job",
        "endpoint": "store",
        "involved": "both",
        "answer_times": "pace",
        "latency_objective_us": "aim_us",
        "in_flight_at_start": "beside",
        "work_kind": "lane",
    },
    "AttemptEnded": {
        "request_id": "id",
        "endpoint": "store",
        "request_closed": "closed",
        "cache_status": "note",
    },
    "CancelAttempt": {
        "request_id": "id",
    },
    "ClientDisconnected": {
        "request_id": "id",
    },
    "CloseIdleConnections": {
        "endpoint": "store",
    },
    "Endpoint": {
        "number": "store",
        "state": "phase",
        "started_us": "up_since_us",
    },
    "EndpointListReceived": {
        "endpoints": "entries",
    },
    "EndpointRecord": {
        "hash_salt": "salt",
        "failure_rate": "bad",
        "ejected_until_us": "shun_until",
        "last_failure_us": "blamed_us",
        "in_flight": "flying",
        "last_heard_us": "heard_us",
        "in_flight_by_kind": "busy",
        "concurrency_peaks": "peaks",
        "answer_times": "paces",
        "next_warming_us": "next_cold_us",
        "hit_time_sum_us": "took_us",
        "expected_time_sum_us": "ought_us",
        "weighted_in_flight_sum_us": "crowd",
        "last_hit_us": "hit_us",
    },
    "FailRequest": {
        "request_id": "id",
    },
    "HealthCheckEnded": {
        "endpoint": "store",
    },
    "PendingRequest": {
        "request": "req",
        "request_class": "cls",
        "answer_by_us": "end_us",
        "service_time_us": "work_us",
        "attempts_started": "legs",
        "attempt_in_flight": "out",
        "first_execution": "ran",
        "failed_endpoints": "failed",
        "suspect": "accused",
        "was_interrupted": "broken",
        "missed_cache": "missed",
        "queued_source": "held",
        "work_kind": "lane",
        "lookup_misses": "looked",
        "queued_until_us": "hold_us",
        "objective_due_us": "due_us",
        "next_lookup_us": "again_us",
    },
    "PurgeReceived": {
        "object_key": "key",
    },
    "RejectRequest": {
        "request_id": "id",
    },
    "RequestClass": {
        "idempotency": "effect",
        "deduplication_scope": "scope",
        "deduplication_us": "dedup_us",
        "latency_objective_us": "aim_us",
        "latency_objective_stretch": "aim_stretch",
        "priority_weight": "worth",
        "late_priority_weight": "late_worth",
        "is_stream": "stream",
        "is_write": "write",
        "max_age_us": "fresh_us",
        "stale_grace_us": "grace_us",
        "stale_priority_weight": "stale_worth",
    },
    "RequestReceived": {
        "request_id": "id",
        "class_index": "cls",
        "object_key": "key",
        "time_left_us": "patience_us",
        "is_repeat": "repeat",
        "is_write": "write",
    },
    "ResponseStarted": {
        "request_id": "id",
        "endpoint": "store",
    },
    "RouterPolicy": {
        "settings": "cfg",
        "now_us": "now",
        "next_timer_us": "timer_us",
        "fills_in_flight": "filling",
        "endpoints": "stores",
        "requests": "jobs",
        "purge_sweep_size": "purges_most",
        "loss_rate": "lost",
        "retry_budget": "again",
        "service_times_us": "work_us",
        "fill_times_us": "fill_us",
    },
    "SendCacheRequest": {
        "request_id": "id",
        "endpoint": "store",
        "retention_rank": "keep",
        "max_age_us": "age_us",
        "flags": "mode",
    },
    "SendPlainRequest": {
        "request_id": "id",
        "endpoint": "store",
    },
    "Settings": {
        "router_count": "routers",
        "router_index": "self_index",
        "zone_router_counts": "zone_routers",
        "client_kb_per_s": "flow_kb_per_s",
        "slow_start_fraction": "cold_from",
        "slow_start_us": "cold_us",
        "overload_multiple": "fall_multiple",
        "overload_window_us": "fall_us",
        "parent_slow_start_fraction": "parent_cold_from",
        "parent_slow_start_us": "parent_cold_us",
        "parent_overload_multiple": "parent_fall_multiple",
        "purge_propagation_us": "purge_done_us",
        "can_cancel_attempts": "may_cancel",
        "can_check_health": "may_probe",
        "can_message_peers": "may_message",
        "may_bypass_caches": "may_pass_by",
        "hedged_requests": "second_copies",
        "coalesces_fills": "joins_fills",
        "reports_cache_status": "notes",
        "load_report_columns": "report_columns",
    },
    "StartHealthCheck": {
        "endpoint": "store",
    },
    "SubscribeToEndpointList": {
        "enabled": "on",
    },
}


@dataclass(frozen=True)
class RecordedNames:
    """The mapping between one version's own names and the recorded names.

    ``classes`` and ``fields`` map the version's own names to the recorded ones; other names are recorded
    unchanged.
    """

    classes: Mapping[str, str] = field(default_factory=dict)
    fields: Mapping[str, Mapping[str, str]] = field(default_factory=dict)

    def recorded_class(self, name: str) -> str:
        """The recorded name of a class."""
        return self.classes.get(name, name)

    def own_class(self, recorded: str) -> str:
        """The version's own name of a recorded class."""
        return next((own for own, name in self.classes.items() if name == recorded), recorded)

    def recorded_field(self, class_name: str, name: str) -> str:
        """The recorded name of a field; ``class_name`` is the version's own."""
        return self.fields.get(class_name, {}).get(name, name)

    def recorded_fields(self, class_name: str, names: Iterable[str]) -> Sequence[str]:
        """The recorded names of a class's fields, in their order."""
        renamed = self.fields.get(class_name, {})
        return [renamed.get(name, name) for name in names]

    def own_field(self, class_name: str, recorded: str) -> str:
        """The version's own name of a recorded field; ``class_name`` is the version's own."""
        renamed = self.fields.get(class_name, {})
        return next((own for own, name in renamed.items() if name == recorded), recorded)


CURRENT = RecordedNames(_CLASSES, _FIELDS)
"""The names of this version and of every other one whose policy is in ``magpieshift.policy``."""

AS_RECORDED = RecordedNames()
"""The names of versions up to commit 723f792, which are the recorded names themselves."""
