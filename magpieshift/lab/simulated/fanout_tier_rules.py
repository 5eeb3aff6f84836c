"""The rules of the fan-out tier that an exploration checks in each state: entries are applied in order and
without a gap, and a router with a lease has applied every purge that it must. The checks raise
``RuleBrokenError``."""

from __future__ import annotations

from magpieshift.lab.simulated.fanout_invariants import RuleBrokenError
from magpieshift.lab.simulated.fanout_tier_state import AppliedState, SourceLog
from magpieshift.relay.instructions import ApplyEntries, RestoreSnapshot
from magpieshift.relay.limits import MAX_PURGE_US
from magpieshift.relay.messages import Entry, Purge


def applied_after(
    name: str,
    applied: AppliedState,
    effect: ApplyEntries | RestoreSnapshot,
    source_logs: tuple[SourceLog, ...],
) -> AppliedState:
    """What router ``name`` has applied after ``effect``, checked against the logs of the source."""
    logs = {log.term: log.entries for log in source_logs}
    if isinstance(effect, ApplyEntries):
        return _after_entries(name, applied, effect, logs)
    return _after_snapshot(name, applied, effect, logs)


def _after_entries(
    name: str, applied: AppliedState, effect: ApplyEntries, logs: dict[int, tuple[int, ...]]
) -> AppliedState:
    term = effect.epoch.term
    last = effect.last
    if (term, effect.first) != (applied.term, applied.sequence + 1):
        raise RuleBrokenError(f"order: {name} at {applied} applied {effect.first} to {last} of term {term}")
    received = purge_positions(effect.entries)
    if received != list(logs[term][effect.first - 1 : last]):
        raise RuleBrokenError(
            f"content: {name} applied {received}, expected {list(logs[term][effect.first - 1 : last])}"
        )
    return AppliedState(term, last, applied.purges | frozenset(received))


def _after_snapshot(
    name: str, applied: AppliedState, effect: RestoreSnapshot, logs: dict[int, tuple[int, ...]]
) -> AppliedState:
    term = effect.snapshot.epoch.term
    last = effect.snapshot.applied
    received = purge_positions(effect.snapshot.purges)
    if (term, last) < (applied.term, applied.sequence):
        raise RuleBrokenError(
            f"order: {name} at {applied} restored an older snapshot of {last} of term {term}"
        )
    if missing := set(logs[term][:last]).difference(received):
        raise RuleBrokenError(f"skipped: the snapshot that {name} restored lacks purges {missing}")
    return AppliedState(term, last, applied.purges | frozenset(received))


def check_leased_router(
    name: str,
    applied: AppliedState,
    source_logs: tuple[SourceLog, ...],
    purges_accepted_us: tuple[int, ...],
    now_us: int,
) -> None:
    """Check a router with a lease, which may serve cached objects of any age: it must have applied all
    entries up to each watermark, and every purge older than ``MAX_PURGE_US``."""
    for log in source_logs:
        behind = applied.sequence < log.watermark if log.term == applied.term else False
        if behind or not applied.purges.issuperset(log.entries[: log.watermark]):
            raise RuleBrokenError(
                f"watermark: it is {log.watermark} in term {log.term}, but {name} holds a lease at {applied}"
            )
    for position, accepted_us in enumerate(purges_accepted_us):
        if accepted_us <= now_us - MAX_PURGE_US and position not in applied.purges:
            raise RuleBrokenError(
                f"bound: {name} with a lease lacks purge {position}, accepted {now_us - accepted_us} us ago"
            )


def purge_positions(entries: tuple[Entry, ...]) -> list[int]:
    """The positions in the change log of the purges among ``entries``."""
    return [int(entry.key) for entry in entries if isinstance(entry, Purge)]
