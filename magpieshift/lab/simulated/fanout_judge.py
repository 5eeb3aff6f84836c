"""A plain model of the fan-out tier to judge a simulated one by. It knows the world's true time, the logs of
all sources and what each router really applied; times are microseconds."""

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

CHECKED_PURGE_AGE_US = (
    PURGE_RETENTION_US - 3_000_000
)  # older purges matter no more: snapshots may leave them out
SOURCE_OVERLAP_US = FRESHNESS_LEASE_US + 100_000  # how long the leases of a source that has ended may hold


class RuleBrokenError(AssertionError):
    """The tier did what it never may."""


@dataclass(slots=True)
class RouterRecord:
    """What one life of a router has applied."""

    epoch: Epoch = NO_EPOCH
    sequence: int = 0
    purges: dict[str, int] = field(default_factory=dict)  # when the newest purge of a key was made
    checked_purges: int = 0  # purges of the world, in their order, that need not be looked at again
    checked_watermarks: dict[Epoch, int] = field(default_factory=dict)

    def has(self, purge: Purge) -> bool:
        """Whether a purge of the same key, as new or newer, has been applied."""
        return self.purges.get(purge.key, -1) >= purge.issued_us


class InvariantChecker:
    """Raises ``RuleBrokenError`` as soon as a rule is broken."""

    def __init__(self) -> None:
        self.logs: dict[Epoch, list[Entry]] = {}
        self.purges: list[Purge] = []  # accepted by the change log, in order; ``made_us`` is true time
        self.routers: dict[str, RouterRecord] = {}  # by name, of the present life
        self.watermarks: dict[Epoch, int] = {}  # up to where each source has called everything done
        self.done_at_us: dict[Epoch, list[int]] = {}  # when each entry was first called done
        self.overlap_until_us = 0  # several sources may have leases out until then
        self.attempts = 0
        self.unbounded_attempts = 0

    def epoch_started(self, epoch: Epoch) -> None:
        """A source began an epoch."""
        self.logs[epoch] = []
        self.watermarks[epoch] = 0
        self.done_at_us[epoch] = []

    def record_overlap(self, now_us: int) -> None:
        """More than one source is alive now."""
        self.overlap_until_us = now_us + SOURCE_OVERLAP_US

    def router_started(self, name: str) -> None:
        """A new life of a router, which knows nothing."""
        self.routers[name] = RouterRecord()

    def check_applied(self, name: str, effect: ApplyEntries | RestoreSnapshot, now_us: int) -> None:
        """A router applied entries or a snapshot: none skipped, none twice, in order."""
        router = self.routers[name]
        if isinstance(effect, ApplyEntries):
            self._check_entries(name, router, effect)
        else:
            self._check_snapshot(name, router, effect.snapshot, now_us)

    def _check_entries(self, name: str, router: RouterRecord, effect: ApplyEntries) -> None:
        if effect.epoch != router.epoch or effect.first != router.sequence + 1:
            raise RuleBrokenError(
                f"order: {name} at {router.sequence} applied {effect.first} of {effect.epoch}"
            )
        expected = self.logs[effect.epoch][effect.first - 1 : effect.last]
        if list(effect.entries) != expected:
            raise RuleBrokenError(
                f"content: {name} applied other entries than {effect.first} to {effect.last}"
            )
        router.sequence = effect.last
        self._record_purges(router, effect.entries)

    def _check_snapshot(self, name: str, router: RouterRecord, snapshot: Snapshot, now_us: int) -> None:
        if (snapshot.epoch, snapshot.applied) < (router.epoch, router.sequence):
            raise RuleBrokenError(f"order: {name} at {router.sequence} took a snapshot of {snapshot.applied}")
        received = RouterRecord()
        self._record_purges(received, snapshot.purges)
        expected = self.logs[snapshot.epoch][: snapshot.applied]
        for entry in reversed(expected):
            if isinstance(entry, Purge):
                if entry.issued_us < now_us - CHECKED_PURGE_AGE_US:
                    break
                if not received.has(entry):
                    raise RuleBrokenError(
                        f"skipped: purge {entry.key} is not in the snapshot that {name} took"
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
                f"skipped: {name} took a snapshot with version {received!r} in place of {versions[-1]!r}"
            )
        if (
            any(isinstance(entry, EndpointListChange) for entry in expected)
            and not snapshot.endpoint_list_json
        ):
            raise RuleBrokenError(f"skipped: the list of stores is not in the snapshot that {name} took")

    @staticmethod
    def _record_purges(router: RouterRecord, entries: tuple[Entry, ...]) -> None:
        for entry in entries:
            if isinstance(entry, Purge):
                router.purges[entry.key] = max(entry.issued_us, router.purges.get(entry.key, -1))

    def check_attempt(self, name: str, limit_us: int, now_us: int) -> None:
        """A router makes an attempt that accepts copies of at most this age, 0 for any: none from before a
        purge that was made longer ago than the bound."""
        self.attempts += 1
        if limit_us:
            if limit_us * (1 + CLOCK_DRIFT) > MAX_PURGE_US:
                raise RuleBrokenError(f"bound: {name} accepts copies of {limit_us} us")
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
                    f"bound: {name} accepts any copy {age_s:.2f} s after a purge it never applied"
                )
            router.checked_purges += 1

    def check_watermark(self, epoch: Epoch, watermark: int, now_us: int) -> None:
        """A source calls everything up to ``done`` done everywhere."""
        if watermark > len(self.logs[epoch]):
            raise RuleBrokenError(
                f"watermark: {watermark} of {len(self.logs[epoch])} entries are called done"
            )
        if watermark < self.watermarks[epoch]:
            raise RuleBrokenError(f"watermark: went back from {self.watermarks[epoch]} to {watermark}")
        self.watermarks[epoch] = watermark
        self.done_at_us[epoch] += [now_us] * (watermark - len(self.done_at_us[epoch]))

    def check_lease(self, name: str, is_by_own_epoch: bool, now_us: int) -> None:
        """A live router holds its lease, ``by_its_epoch`` where by a proof of the epoch that it is in: no
        source may have called done what it lacks. Excused is only a lease that rests on another source than
        the one that calls it done, while several live or lived within a lease."""
        router = self.routers[name]
        for epoch, watermark in self.watermarks.items():
            if epoch == router.epoch and (is_by_own_epoch or now_us >= self.overlap_until_us):
                if router.sequence < watermark:
                    raise RuleBrokenError(
                        f"watermark: {watermark} is done, {name} with a lease is at {router.sequence}"
                    )
            elif now_us >= self.overlap_until_us:
                self._check_purges(name, router, epoch, now_us)

    def _check_purges(self, name: str, router: RouterRecord, epoch: Epoch, now_us: int) -> None:
        """The same by the purges themselves, for a source of another epoch."""
        checked = router.checked_watermarks.get(epoch, 0)
        for entry in self.logs[epoch][checked : self.watermarks[epoch]]:
            is_recent = isinstance(entry, Purge) and entry.issued_us > now_us - CHECKED_PURGE_AGE_US
            if is_recent and isinstance(entry, Purge) and not router.has(entry):
                raise RuleBrokenError(f"watermark: purge {entry.key} is done, {name} with a lease lacks it")
        router.checked_watermarks[epoch] = self.watermarks[epoch]
