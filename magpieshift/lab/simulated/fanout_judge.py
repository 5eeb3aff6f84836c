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

REMEMBERED_US = PURGE_RETENTION_US - 3_000_000  # older purges matter no more: snapshots may leave them out
OVERLAP_US = FRESHNESS_LEASE_US + 100_000  # how long the leases of a source that has ended may hold


class RuleBrokenError(AssertionError):
    """The tier did what it never may."""


@dataclass(slots=True)
class Applied:
    """What one life of a router has applied."""

    epoch: Epoch = NO_EPOCH
    sequence: int = 0
    purges: dict[str, int] = field(default_factory=dict)  # when the newest purge of a key was made
    judged: int = 0  # purges of the world, in their order, that need not be looked at again
    claims_judged: dict[Epoch, int] = field(default_factory=dict)

    def has(self, purge: Purge) -> bool:
        """Whether a purge of the same key, as new or newer, has been applied."""
        return self.purges.get(purge.key, -1) >= purge.issued_us


class Judge:
    """Raises ``RuleBrokenError`` as soon as a rule is broken."""

    def __init__(self) -> None:
        self.logs: dict[Epoch, list[Entry]] = {}
        self.purges: list[Purge] = []  # accepted by the change log, in order; ``made_us`` is true time
        self.routers: dict[str, Applied] = {}  # by name, of the present life
        self.claims: dict[Epoch, int] = {}  # up to where each source has called everything done
        self.done_at: dict[Epoch, list[int]] = {}  # when each entry was first called done
        self.overlap_until_us = 0  # several sources may have leases out until then
        self.attempts = 0
        self.unbounded_attempts = 0

    def source_began(self, epoch: Epoch) -> None:
        """A source began an epoch."""
        self.logs[epoch] = []
        self.claims[epoch] = 0
        self.done_at[epoch] = []

    def several_sources(self, now_us: int) -> None:
        """More than one source is alive now."""
        self.overlap_until_us = now_us + OVERLAP_US

    def router_began(self, name: str) -> None:
        """A new life of a router, which knows nothing."""
        self.routers[name] = Applied()

    def took(self, name: str, effect: ApplyEntries | RestoreSnapshot, now_us: int) -> None:
        """A router applied entries or a snapshot: none skipped, none twice, in order."""
        router = self.routers[name]
        if isinstance(effect, ApplyEntries):
            self._took_entries(name, router, effect)
        else:
            self._took_snapshot(name, router, effect.snapshot, now_us)

    def _took_entries(self, name: str, router: Applied, effect: ApplyEntries) -> None:
        if effect.epoch != router.epoch or effect.first != router.sequence + 1:
            raise RuleBrokenError(
                f"order: {name} at {router.sequence} applied {effect.first} of {effect.epoch}"
            )
        true = self.logs[effect.epoch][effect.first - 1 : effect.last]
        if list(effect.entries) != true:
            raise RuleBrokenError(
                f"content: {name} applied other entries than {effect.first} to {effect.last}"
            )
        router.sequence = effect.last
        self._note(router, effect.entries)

    def _took_snapshot(self, name: str, router: Applied, snapshot: Snapshot, now_us: int) -> None:
        if (snapshot.epoch, snapshot.applied) < (router.epoch, router.sequence):
            raise RuleBrokenError(f"order: {name} at {router.sequence} took a snapshot of {snapshot.applied}")
        told = Applied()
        self._note(told, snapshot.purges)
        true = self.logs[snapshot.epoch][: snapshot.applied]
        for entry in reversed(true):
            if isinstance(entry, Purge):
                if entry.issued_us < now_us - REMEMBERED_US:
                    break
                if not told.has(entry):
                    raise RuleBrokenError(
                        f"skipped: purge {entry.key} is not in the snapshot that {name} took"
                    )
        self._same_lists(name, snapshot, true)
        router.epoch = snapshot.epoch
        router.sequence = snapshot.applied
        self._note(router, snapshot.purges)

    def _same_lists(self, name: str, snapshot: Snapshot, true: list[Entry]) -> None:
        versions = [entry.digest for entry in true if isinstance(entry, ConfigurationChange)]
        told = snapshot.configuration.digest if snapshot.configuration else ""
        if versions and versions[-1] != told:
            raise RuleBrokenError(
                f"skipped: {name} took a snapshot with version {told!r} in place of {versions[-1]!r}"
            )
        if any(isinstance(entry, EndpointListChange) for entry in true) and not snapshot.endpoint_list_json:
            raise RuleBrokenError(f"skipped: the list of stores is not in the snapshot that {name} took")

    @staticmethod
    def _note(router: Applied, entries: tuple[Entry, ...]) -> None:
        for entry in entries:
            if isinstance(entry, Purge):
                router.purges[entry.key] = max(entry.issued_us, router.purges.get(entry.key, -1))

    def attempt(self, name: str, limit_us: int, now_us: int) -> None:
        """A router makes an attempt that accepts copies of at most this age, 0 for any: none from before a
        purge that was made longer ago than the bound."""
        self.attempts += 1
        if limit_us:
            if limit_us * (1 + CLOCK_DRIFT) > MAX_PURGE_US:
                raise RuleBrokenError(f"bound: {name} accepts copies of {limit_us} us")
            return
        self.unbounded_attempts += 1
        router = self.routers[name]
        while router.judged < len(self.purges):
            purge = self.purges[router.judged]
            if purge.issued_us > now_us - MAX_PURGE_US:
                return
            if purge.issued_us > now_us - REMEMBERED_US and not router.has(purge):
                age_s = (now_us - purge.issued_us) / 1e6
                raise RuleBrokenError(
                    f"bound: {name} accepts any copy {age_s:.2f} s after a purge it never applied"
                )
            router.judged += 1

    def called_done(self, epoch: Epoch, done: int, now_us: int) -> None:
        """A source calls everything up to ``done`` done everywhere."""
        if done > len(self.logs[epoch]):
            raise RuleBrokenError(f"watermark: {done} of {len(self.logs[epoch])} entries are called done")
        if done < self.claims[epoch]:
            raise RuleBrokenError(f"watermark: went back from {self.claims[epoch]} to {done}")
        self.claims[epoch] = done
        self.done_at[epoch] += [now_us] * (done - len(self.done_at[epoch]))

    def holds_lease(self, name: str, by_its_epoch: bool, now_us: int) -> None:
        """A live router holds its lease, ``by_its_epoch`` where by a proof of the epoch that it is in: no
        source may have called done what it lacks. Excused is only a lease that rests on another source than
        the one that calls it done, while several live or lived within a lease."""
        router = self.routers[name]
        for epoch, done in self.claims.items():
            if epoch == router.epoch and (by_its_epoch or now_us >= self.overlap_until_us):
                if router.sequence < done:
                    raise RuleBrokenError(
                        f"watermark: {done} is done, {name} with a lease is at {router.sequence}"
                    )
            elif now_us >= self.overlap_until_us:
                self._holds_all(name, router, epoch, now_us)

    def _holds_all(self, name: str, router: Applied, epoch: Epoch, now_us: int) -> None:
        """The same by the purges themselves, for a source of another epoch."""
        judged = router.claims_judged.get(epoch, 0)
        for entry in self.logs[epoch][judged : self.claims[epoch]]:
            fresh = isinstance(entry, Purge) and entry.issued_us > now_us - REMEMBERED_US
            if fresh and isinstance(entry, Purge) and not router.has(entry):
                raise RuleBrokenError(f"watermark: purge {entry.key} is done, {name} with a lease lacks it")
        router.claims_judged[epoch] = self.claims[epoch]
