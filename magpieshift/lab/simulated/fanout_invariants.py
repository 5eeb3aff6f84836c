"""A reference model of the fan-out tier, against which a simulated tier is checked. It knows the true time,
the logs of all sources and what each router has applied. Times are microseconds."""

from __future__ import annotations

from dataclasses import dataclass, field

from magpieshift.relay.instructions import ApplyEntries, RestoreSnapshot
from magpieshift.relay.limits import CLOCK_DRIFT, FRESHNESS_LEASE_US, MAX_PURGE_US, PURGE_RETENTION_US
from magpieshift.relay.messages import (
    NO_EPOCH,
    ConfigurationChange,
    EndpointListChange,
    Entry,
    Epoch,
    Purge,
    Snapshot,
)

CHECKED_PURGE_AGE_US = PURGE_RETENTION_US - 3_000_000  # older purges are not checked: snapshots may omit them
SOURCE_OVERLAP_US = FRESHNESS_LEASE_US + 100_000  # leases of an ended source may last this long


class RuleBrokenError(AssertionError):
    """The simulated tier broke a rule of the fan-out protocol."""


@dataclass(slots=True)
class RouterRecord:
    """What one incarnation of a router has applied."""

    epoch: Epoch = NO_EPOCH
    sequence: int = 0
    purges: dict[str, int] = field(default_factory=dict)  # time of the newest purge, by key
    checked_purges: int = 0  # number of accepted purges that need no further check
    checked_watermarks: dict[Epoch, int] = field(default_factory=dict)  # how far each log is checked

    def has(self, purge: Purge) -> bool:
        """Whether this purge, or a newer one of the same key, has been applied."""
        return self.purges.get(purge.key, -1) >= purge.issued_us


class InvariantChecker:
    """Raises ``RuleBrokenError`` as soon as a rule is broken."""

    def __init__(self) -> None:
        self.logs: dict[Epoch, list[Entry]] = {}
        self.purges: list[Purge] = []  # accepted by the change log, in order; ``issued_us`` is true time
        self.routers: dict[str, RouterRecord] = {}  # by name; each router's current incarnation
        self.watermarks: dict[Epoch, int] = {}  # highest watermark reported by the source of each epoch
        self.covered_at_us: dict[Epoch, list[int]] = {}  # when the watermark first covered each entry
        self.overlap_until_us = 0  # until then, leases of several sources may be valid
        self.attempts = 0
        self.unbounded_attempts = 0

    def epoch_started(self, epoch: Epoch) -> None:
        """Record that a source began an epoch."""
        self.logs[epoch] = []
        self.watermarks[epoch] = 0
        self.covered_at_us[epoch] = []

    def record_overlap(self, now_us: int) -> None:
        """Record that more than one source runs now."""
        self.overlap_until_us = now_us + SOURCE_OVERLAP_US

    def router_started(self, name: str) -> None:
        """Record a new incarnation of a router, which has applied nothing."""
        self.routers[name] = RouterRecord()

    def check_applied(self, name: str, effect: ApplyEntries | RestoreSnapshot, now_us: int) -> None:
        """Check what a router applied: entries in order, none skipped or repeated, or a complete snapshot."""
        router = self.routers[name]
        if isinstance(effect, ApplyEntries):
            self._check_entries(name, router, effect)
        else:
            self._check_snapshot(name, router, effect.snapshot, now_us)

    def _check_entries(self, name: str, router: RouterRecord, effect: ApplyEntries) -> None:
        if effect.epoch != router.epoch or effect.first != router.sequence + 1:
            raise RuleBrokenError(
                f"order: {name} applied {effect.first} of {effect.epoch}, "
                f"expected {router.sequence + 1} of {router.epoch}"
            )
        expected = self.logs[effect.epoch][effect.first - 1 : effect.last]
        if list(effect.entries) != expected:
            raise RuleBrokenError(
                f"content: {name} applied entries that differ from "
                f"{effect.first} to {effect.last} of the source's log"
            )
        router.sequence = effect.last
        self._record_purges(router, effect.entries)

    def _check_snapshot(self, name: str, router: RouterRecord, snapshot: Snapshot, now_us: int) -> None:
        if (snapshot.epoch, snapshot.applied) < (router.epoch, router.sequence):
            raise RuleBrokenError(
                f"order: {name} at {router.sequence} restored an older snapshot of {snapshot.applied}"
            )
        received = RouterRecord()
        self._record_purges(received, snapshot.purges)
        expected = self.logs[snapshot.epoch][: snapshot.applied]
        for entry in reversed(expected):
            if isinstance(entry, Purge):
                if entry.issued_us < now_us - CHECKED_PURGE_AGE_US:
                    break
                if not received.has(entry):
                    raise RuleBrokenError(
                        f"skipped: the snapshot that {name} restored lacks purge {entry.key}"
                    )
        self._check_snapshot_documents(name, snapshot, expected)
        router.epoch = snapshot.epoch
        router.sequence = snapshot.applied
        self._record_purges(router, snapshot.purges)

    def _check_snapshot_documents(self, name: str, snapshot: Snapshot, expected: list[Entry]) -> None:
        versions = [entry.digest for entry in expected if isinstance(entry, ConfigurationChange)]
        received = snapshot.configuration.digest if snapshot.configuration else ""
        if versions and versions[-1] != received:
            raise RuleBrokenError(
                f"skipped: {name} restored a snapshot with version {received!r}, expected {versions[-1]!r}"
            )
        if (
            any(isinstance(entry, EndpointListChange) for entry in expected)
            and not snapshot.endpoint_list_json
        ):
            raise RuleBrokenError(f"skipped: the snapshot that {name} restored lacks the endpoint list")

    @staticmethod
    def _record_purges(router: RouterRecord, entries: tuple[Entry, ...]) -> None:
        for entry in entries:
            if isinstance(entry, Purge):
                router.purges[entry.key] = max(entry.issued_us, router.purges.get(entry.key, -1))

    def check_attempt(self, name: str, limit_us: int, now_us: int) -> None:
        """Check an attempt of a router that accepts copies of an age up to ``limit_us``, or of any age if
        that is 0. A limit must not exceed ``MAX_PURGE_US`` even with clock drift. Without one, the router
        must have applied every purge that is older than ``MAX_PURGE_US``."""
        self.attempts += 1
        if limit_us:
            if limit_us * (1 + CLOCK_DRIFT) > MAX_PURGE_US:
                raise RuleBrokenError(
                    f"bound: {name} accepts copies of {limit_us} us, "
                    f"expected at most {MAX_PURGE_US} even with clock drift"
                )
            return
        self.unbounded_attempts += 1
        router = self.routers[name]
        while router.checked_purges < len(self.purges):
            purge = self.purges[router.checked_purges]
            if purge.issued_us > now_us - MAX_PURGE_US:
                return
            if purge.issued_us > now_us - CHECKED_PURGE_AGE_US and not router.has(purge):
                age_s = (now_us - purge.issued_us) / 1e6
                raise RuleBrokenError(
                    f"bound: {name} accepts copies of any age {age_s:.2f} s after a purge it has not applied"
                )
            router.checked_purges += 1

    def check_watermark(self, epoch: Epoch, watermark: int, now_us: int) -> None:
        """Check a source's watermark: all entries up to it count as applied everywhere."""
        if watermark > len(self.logs[epoch]):
            raise RuleBrokenError(
                f"watermark: found {watermark}, expected at most the head {len(self.logs[epoch])}"
            )
        if watermark < self.watermarks[epoch]:
            raise RuleBrokenError(f"watermark: it decreased from {self.watermarks[epoch]} to {watermark}")
        self.watermarks[epoch] = watermark
        self.covered_at_us[epoch] += [now_us] * (watermark - len(self.covered_at_us[epoch]))

    def check_lease(self, name: str, is_by_own_epoch: bool, now_us: int) -> None:
        """Check a running router that holds a lease: it must have applied all entries up to the watermark of
        each source. ``is_by_own_epoch`` tells that the lease comes from a proof of the router's own epoch.
        Exempt is a lease from another source than the watermark's, while several sources run or ran until
        less than ``SOURCE_OVERLAP_US`` ago."""
        router = self.routers[name]
        for epoch, watermark in self.watermarks.items():
            if epoch == router.epoch and (is_by_own_epoch or now_us >= self.overlap_until_us):
                if router.sequence < watermark:
                    raise RuleBrokenError(
                        f"watermark: it is {watermark}, but {name} holds a lease at {router.sequence}"
                    )
            elif now_us >= self.overlap_until_us:
                self._check_purges(name, router, epoch, now_us)

    def _check_purges(self, name: str, router: RouterRecord, epoch: Epoch, now_us: int) -> None:
        """Check a router with a lease against the watermark of another epoch: its sequence numbers do not
        compare, so each recent purge up to the watermark must have been applied."""
        checked = router.checked_watermarks.get(epoch, 0)
        for entry in self.logs[epoch][checked : self.watermarks[epoch]]:
            is_recent = isinstance(entry, Purge) and entry.issued_us > now_us - CHECKED_PURGE_AGE_US
            if is_recent and isinstance(entry, Purge) and not router.has(entry):
                raise RuleBrokenError(
                    f"watermark: it covers purge {entry.key}, which {name} with a lease has not applied"
                )
        router.checked_watermarks[epoch] = self.watermarks[epoch]
