"""How stale a process's knowledge can be: up to which moment of its own clock it is known to have everything.

A follower notes when it sends each numbered probe. The answer (``FreshnessProof``) says that the sender, when
it answered, had everything the source had accepted ``age_us`` before. It answered after the probe was sent:
once the follower has applied everything up to the proof's head, it is current to ``age_us`` before that
sending. Only durations travel, so clocks need not agree; their rates may differ by ``CLOCK_DRIFT``, and every
duration measured here is stretched by as much. A message that is held up anywhere proves less, never more.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from magpieshift.relay.limits import FRESHNESS_LEASE_US, MAX_PROBES, max_elapsed_us
from magpieshift.relay.messages import NO_EPOCH, Epoch, FreshnessProof


@dataclass(frozen=True, slots=True)
class _Pending:
    """A proof that counts once everything up to ``head`` of its epoch is applied."""

    epoch: Epoch
    """Of ``head``."""
    head: int
    """Sequence number."""
    current_to_us: int
    """What the process is current to by this proof."""
    synced_to_us: int
    """When it had all that the source had, by this proof."""


class StalenessBound:
    """The staleness of one process, over all its streams. Times are of this process's monotonic clock, and
    what it was current to never goes back."""

    def __init__(self) -> None:
        self.current_to_us: int | None = None
        """Up to when the process knows everything; None: it never did."""
        self.synced_to_us: int | None = None
        """When it last had all that the source had, however far that was behind its change log."""
        self.lease_from_stream = False
        """Whether its lease is by a proof of the present stream."""
        # what is applied
        self._position = (NO_EPOCH, 0)
        # the same two by proofs of the position's epoch alone
        self._epoch_current_to_us: int | None = None
        self._epoch_synced_to_us: int | None = None
        # when each probe of this stream was sent
        self._probes: dict[int, int] = {}
        self._pending: deque[_Pending] = deque(maxlen=MAX_PROBES)
        self._released = False

    # --- events

    def begin_stream(self) -> None:
        """Probes are numbered anew: none that was sent before can be answered on the new stream. Proofs that
        have not counted yet count no more, so that from the first one on this stream that makes the process
        more current, its lease is by this stream alone."""
        self._probes.clear()
        self._pending.clear()
        self.lease_from_stream = False

    def record_probe(self, number: int, now_us: int) -> None:
        """A probe is about to be sent on this stream. Only the last ``MAX_PROBES`` are remembered."""
        self._probes[number] = now_us
        if len(self._probes) > MAX_PROBES:
            del self._probes[next(iter(self._probes))]

    def add_proof(self, epoch: Epoch, proof: FreshnessProof) -> None:
        """A proof was received on this stream. One to an unknown probe proves nothing."""
        sent_us = self._probes.get(proof.probe)
        if sent_us is None or not 0 <= proof.source_age_us <= proof.age_us:
            return
        current_to_us = sent_us - proof.age_us
        synced_to_us = current_to_us + proof.source_age_us
        self._pending.append(_Pending(epoch, proof.head, current_to_us, synced_to_us))
        self._settle_proofs()

    def record_applied(self, epoch: Epoch, sequence: int) -> None:
        """Everything up to ``sequence`` of the epoch has been applied. A position never goes back."""
        if epoch > self._position[0]:
            self._epoch_current_to_us = None
            self._epoch_synced_to_us = None
        self._position = max(self._position, (epoch, sequence))
        self._settle_proofs()

    def release_lease(self) -> None:
        """Give up the lease for good."""
        self._released = True

    # --- what follows

    def age_us(self, now_us: int) -> int | None:
        """How long ago the moment is to which this process is current; None if it never was."""
        return None if self._released else _age_us(self.current_to_us, now_us)

    def epoch_age_us(self, now_us: int) -> int | None:
        """The same by proofs of the present epoch alone, which a relay passes on. What it had by an earlier
        epoch's proofs need not be in the log that it hands out since: a new source may have lost entries."""
        return None if self._released else _age_us(self._epoch_current_to_us, now_us)

    def epoch_sync_age_us(self, now_us: int) -> int | None:
        """How long ago this process had everything that the source of the present epoch had itself, however
        far that was behind its change log. None if it never had."""
        return None if self._released else _age_us(self._epoch_synced_to_us, now_us)

    def lease_held(self, now_us: int) -> bool:
        """Whether the process is current to less than ``FRESHNESS_LEASE_US`` ago."""
        age_us = self.age_us(now_us)
        return age_us is not None and age_us < FRESHNESS_LEASE_US

    def copy_age_limit_us(self, now_us: int) -> int:
        """The greatest age of a copy that may be accepted now; 0 for no bound. To be called when an attempt
        is made and again when its request is written."""
        return 0 if self.lease_held(now_us) else FRESHNESS_LEASE_US

    def _settle_proofs(self) -> None:
        """Count the proofs whose heads are reached; drop those of epochs that are over."""
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
    """The staleness of a source, by its reading of the change log.

    A source that was paused and wakes may answer probes before it reads what waits in its socket; and an
    empty socket proves nothing while the network holds back what was sent. So when something is read, an
    event or the log's comment that it is alive, the source is current to the last moment before at which
    the socket was seen empty: what was read now arrived after that, and everything sent earlier came before
    it.
    """

    def __init__(self) -> None:
        self._read_us: int | None = None

    def record_read(self, before_us: int) -> None:
        """Something was read, and all of it is appended. ``before_us``: the last moment before at which the
        socket was seen empty. An empty socket alone is no reading."""
        self._read_us = _latest(self._read_us, before_us)

    def age_us(self, now_us: int) -> int | None:
        """How long ago that was; None if the log was never read."""
        return _age_us(self._read_us, now_us)


def _latest(known_us: int | None, other_us: int) -> int:
    return other_us if known_us is None else max(known_us, other_us)


def _age_us(moment_us: int | None, now_us: int) -> int | None:
    """The longest time that may have passed since a moment of this clock."""
    return None if moment_us is None else max_elapsed_us(max(0, now_us - moment_us))
