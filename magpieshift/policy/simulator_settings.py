"""Parses the simulator's settings text, with a line ``path=value`` for each setting. Only this module knows
the keys."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

from magpieshift.policy.errors import SettingsError
from magpieshift.policy.settings import DeduplicationScope, Idempotency, RequestClass, Settings

T = TypeVar("T")

IDEMPOTENCY = {
    "free": Idempotency.IDEMPOTENT,
    "guarded": Idempotency.WITH_KEY,
    "single_shot": Idempotency.NOT_IDEMPOTENT,
}
DEDUPLICATION_SCOPES = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}
SIZED_WEIGHTS = ("nominal", "rough")
"""Values of ``Weights`` for which an endpoint's weight is its capacity in concurrent requests."""


class _SettingsText:
    """Settings by path; ``SettingsError`` names the first that is missing or invalid."""

    def __init__(self, text: str) -> None:
        self._values = dict(line.split("=", 1) for line in text.splitlines() if "=" in line)

    def __contains__(self, path: str) -> bool:
        return path in self._values

    def read(self, path: str, convert: Callable[[str], T]) -> T:
        """One value; raises ``SettingsError`` if it is missing or ``convert`` fails."""
        if path not in self._values:
            raise SettingsError(f"setting {path} is missing")
        try:
            return convert(self._values[path])
        except (ValueError, KeyError) as err:
            raise SettingsError(f"setting {path} cannot be read: {self._values[path]!r}") from err

    def read_list(self, path: str, convert: Callable[[str], T]) -> tuple[T, ...]:
        """A comma-separated list; an empty text is an empty list."""
        return self.read(path, lambda text: tuple(convert(v) for v in text.split(",")) if text else ())


def _flag(text: str) -> bool:
    return {"true": True, "false": False}[text]


def _integer(text: str) -> int:
    """An integer, which the simulator may write with a fraction or an exponent."""
    return int(float(text))


def parse_settings(text: str) -> Settings:
    """Parse the settings of a boot event, ignoring unknown keys; raises ``SettingsError`` for the first that
    is missing or invalid."""
    settings = _SettingsText(text)
    read = settings.read
    return Settings(
        classes=tuple(_request_class(settings, index) for index in range(read("Classes.count", int))),
        zone=read("Locality", int),
        router_count=read("Balancers", int),
        router_index=read("SelfIndex", int),
        zone_hub=settings.read_list("Specifics.AttachedTo", int),
        zone_router_counts=settings.read_list("Specifics.ZoneBalancers", int),
        zone_link_kb_per_s=settings.read_list("Specifics.LinkInKbPerS", float),
        parent_kind=read("Specifics.ShieldKind", int),
        origin_kind=read("Specifics.MasterKind", int),
        tick_us=read("QuantumUs", _integer),
        client_kb_per_s=read("Specifics.ClientKbPerS", float),
        weights_are_sizes=read("Weights", str) in SIZED_WEIGHTS,
        answer_slack_us=read("Contract.AnswerSlackUs", _integer),
        drain_grace_us=read("Contract.DrainGraceUs", _integer),
        slow_start_fraction=read("Contract.ColdFrom", float),
        slow_start_us=read("Contract.ColdUs", _integer),
        overload_multiple=read("Contract.FallMultiple", float),
        overload_window_us=read("Contract.FallUs", _integer),
        parent_slow_start_fraction=read("Specifics.UpperColdFrom", float),
        parent_slow_start_us=read("Specifics.ParentRampUs", _integer),
        parent_overload_multiple=read("Specifics.ParentBreaksAt", float),
        purge_grace_us=read("Specifics.PurgeSlackUs", _integer),
        purge_propagation_us=read("Specifics.PurgeTakesUs", _integer),
        connect_timeout_us=read("Caps.ConnectTimeoutUs", _integer),
        max_attempts=read("Caps.MaxAttempts", int),
        max_retry_after_us=read("Caps.MaxRetryAfterUs", _integer),
        can_cancel_attempts=read("Caps.Cancelling", _flag),
        can_check_health=read("Caps.Probes", _flag),
        can_message_peers=read("Caps.PeerMessages", _flag),
        may_bypass_caches=read("Specifics.MayPassBy", _flag),
        hedged_requests=read("Caps.SecondCopies", _flag),
        coalesces_fills=read("Specifics.SharesFills", _flag),
        siblings=read("Specifics.Siblings", str) != "silent",
        reports_cache_status=read("Specifics.Says", str) == "all",
        must_subscribe=read("Discovery", str) == "on_request",
        load_report_columns=settings.read_list("LoadInfo.Columns", str),
    )


def _request_class(settings: _SettingsText, index: int) -> RequestClass:
    """Parse one request class; some of its settings are lists over all classes, under ``Specifics``."""
    read = settings.read
    read_list = settings.read_list
    prefix = f"Classes.{index}."
    has_stretch = prefix + "AimStretch" in settings
    return RequestClass(
        idempotency=read(prefix + "Effect", IDEMPOTENCY.__getitem__),
        deduplication_scope=read(prefix + "Group", DEDUPLICATION_SCOPES.__getitem__),
        deduplication_us=read(prefix + "DedupWindowUs", _integer),
        latency_objective_us=read(prefix + "AimUs", _integer),
        latency_objective_stretch=read(prefix + "AimStretch", float) if has_stretch else 0.0,
        deadline_us=read(prefix + "GiveUpUs", _integer),
        priority_weight=read(prefix + "Worth", float),
        late_priority_weight=read(prefix + "LateWorth", float),
        is_stream=read(prefix + "Stream", _flag),
        is_write=read_list("Specifics.ClassWrite", _flag)[index],
        in_parts=read_list("Specifics.InPieces", _flag)[index],
        max_age_us=read_list("Specifics.MaxAgeUs", _integer)[index],
        stale_grace_us=read_list("Specifics.GraceForUs", _integer)[index],
        stale_priority_weight=read_list("Specifics.StaleEarns", float)[index],
    )
