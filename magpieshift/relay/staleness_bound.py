"""Bounds the staleness of a process's knowledge: up to which time of its own clock it is known to have all
changes.

A follower records when it sends each numbered probe. The answer (``FreshnessProof``) states that the sender,
when it answered, knew everything that the change log had accepted ``age_us`` earlier. Since it answered after
the probe was sent, the follower is current up to ``age_us`` before that time, once it has applied everything
up to the proof's head. Only durations are sent, so clocks need not agree; their rates may differ by
``CLOCK_DRIFT``, and every duration measured here is lengthened accordingly. A delayed message proves less
freshness, never more.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from magpieshift.relay.limits import FRESHNESS_LEASE_US, MAX_PROBES, max_elapsed_us
from magpieshift.relay.messages import NO_EPOCH, Epoch, FreshnessProof


@dataclass(frozen=True, slots=True)
class _PendingProof:
    """A proof that takes effect once everything up to ``head`` of its epoch has been applied."""

    epoch: Epoch
    """Epoch of ``head``."""
    head: int
    """Sequence number that must be applied."""
    current_to_us: int
    """Time up to which the process knows every change, by this proof."""
    synced_to_us: int
    """Time at which the process had everything that the source had, by this proof."""


class StalenessBound:
    """The staleness of one process, over all its streams. Times are of this process's monotonic clock;
    ``current_to_us`` never decreases."""

    def __init__(self) -> None:
        self.current_to_us: int | None = None
        """Time up to which the process knows every change; None before the first proof takes effect."""
        self.synced_to_us: int | None = None
        """Time at which the process last had everything that the source had, even if the source lagged behind
        its change log; None before the first proof takes effect."""
        self.lease_from_stream = False
        """Whether the lease comes from a proof of the present stream."""
        # epoch and sequence number up to which everything is applied
        self._position = (NO_EPOCH, 0)
        # current_to_us and synced_to_us from proofs of the position's epoch only
        self._epoch_current_to_us: int | None = None
        self._epoch_synced_to_us: int | None = None
        # time at which each probe of this stream was sent, by number
        self._probes: dict[int, int] = {}
        self._pending: deque[_PendingProof] = deque(maxlen=MAX_PROBES)
        self._released = False

    # --- events

    def begin_stream(self) -> None:
        """Begin a new stream, on which probes are numbered from 1 again. Earlier probes and pending proofs
        are dropped, so that the lease depends on this stream alone from its first proof that makes the
        process more current."""
        self._probes.clear()
        self._pending.clear()
        self.lease_from_stream = False

    def record_probe(self, number: int, now_us: int) -> None:
        """Record that a probe is about to be sent on this stream. Only the last ``MAX_PROBES`` are kept."""
        self._probes[number] = now_us
        if len(self._probes) > MAX_PROBES:
            del self._probes[next(iter(self._probes))]

    def add_proof(self, epoch: Epoch, proof: FreshnessProof) -> None:
        """Add a proof received on this stream; ignored if its probe is unknown or its ages are
        inconsistent."""
        sent_us = self._probes.get(proof.probe)
        if sent_us is None or not 0 <= proof.source_age_us <= proof.age_us:
            return
        current_to_us = sent_us - proof.age_us
        synced_to_us = current_to_us + proof.source_age_us
        self._pending.append(_PendingProof(epoch, proof.head, current_to_us, synced_to_us))
        self._apply_pending_proofs()

    def record_applied(self, epoch: Epoch, sequence: int) -> None:
        """Record that everything up to ``sequence`` of the epoch has been applied. The position never
        decreases."""
        if epoch > self._position[0]:
            self._epoch_current_to_us = None
            self._epoch_synced_to_us = None
        self._position = max(self._position, (epoch, sequence))
        self._apply_pending_proofs()

    def release_lease(self) -> None:
        """Give up the lease for good."""
        self._released = True

    # --- queries

    def age_us(self, now_us: int) -> int | None:
        """Age of this process's knowledge: the time since ``current_to_us``. None if it never was current, or
        has released its lease."""
        return None if self._released else _age_us(self.current_to_us, now_us)

    def epoch_age_us(self, now_us: int) -> int | None:
        """Age of this process's knowledge by proofs of the present epoch only; relays state this age to their
        followers. Entries known by proofs of an earlier epoch may be missing in the present log, since a new
        source may have lost them."""
        return None if self._released else _age_us(self._epoch_current_to_us, now_us)

    def epoch_sync_age_us(self, now_us: int) -> int | None:
        """Sync age: the time since this process last had everything that the source of the present epoch had,
        even if that source lagged behind its change log. None if it never had."""
        return None if self._released else _age_us(self._epoch_synced_to_us, now_us)

    def lease_held(self, now_us: int) -> bool:
        """Whether the process holds a lease: its age is below ``FRESHNESS_LEASE_US``."""
        age_us = self.age_us(now_us)
        return age_us is not None and age_us < FRESHNESS_LEASE_US

    def copy_age_limit_us(self, now_us: int) -> int:
        """The maximum age of a copy that may be accepted now; 0 for no limit. To be called when an attempt is
        made, and again when its request is written."""
        return 0 if self.lease_held(now_us) else FRESHNESS_LEASE_US

    def _apply_pending_proofs(self) -> None:
        """Apply the pending proofs whose heads are reached; drop those of earlier epochs."""
        epoch, sequence = self._position
        waiting = []
        for pending in self._pending:
            if pending.epoch == epoch and pending.head <= sequence:
                if self.current_to_us is None or pending.current_to_us > self.current_to_us:
                    self.current_to_us = pending.current_to_us
                    self.lease_from_stream = True
                self._epoch_current_to_us = _latest(self._epoch_current_to_us, pending.current_to_us)
                self.synced_to_us = _latest(self.synced_to_us, pending.synced_to_us)
                self._epoch_synced_to_us = _latest(self._epoch_synced_to_us, pending.synced_to_us)
            elif pending.epoch >= epoch:
                waiting.append(pending)
        self._pending = deque(waiting, maxlen=MAX_PROBES)


class SourceStalenessBound:
    """The staleness of a source, derived from its reads of the change log.

    After a pause, a source may answer probes before it reads the data that waits in its socket; and an empty
    socket proves nothing while the network delays data. So only a read (of an event or a keep-alive comment
    of the change log) makes the source current, up to the last time before it at which the socket was seen
    empty: the data arrived after that time, and everything that was sent earlier arrived before it.
    """

    def __init__(self) -> None:
        self._read_us: int | None = None

    def record_read(self, before_us: int) -> None:
        """Record that data was read and completely appended. ``before_us`` is the last time before the read
        at which the socket was seen empty. An empty socket alone does not count as a read."""
        self._read_us = _latest(self._read_us, before_us)

    def age_us(self, now_us: int) -> int | None:
        """Time since the source was last current; None if the change log was never read."""
        return _age_us(self._read_us, now_us)


def _latest(known_us: int | None, other_us: int) -> int:
    return other_us if known_us is None else max(known_us, other_us)


def _age_us(time_us: int | None, now_us: int) -> int | None:
    """The longest real time that may have passed since a time of this clock; None if that is None."""
    return None if time_us is None else max_elapsed_us(max(0, now_us - time_us))
