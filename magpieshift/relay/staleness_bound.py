"""How current a process is: up to which moment of its own clock it is known to have everything.

A follower notes when it sends each numbered probe. The answer (``Proof``) says that the sender, when it
answered, had everything the source had accepted ``age_us`` before. It answered after the probe was sent: once
the follower has applied everything up to the proof's head, it is current to ``age_us`` before that sending.
Only durations travel, so clocks need not agree; their rates may differ by ``CLOCK_DRIFT``, and every duration
measured here is stretched by as much. A message that is held up anywhere proves less, never more.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from magpieshift.relay.limits import LEASE_US, MOST_PROBES, stretched
from magpieshift.relay.messages import NO_EPOCH, Epoch, Proof


@dataclass(frozen=True, slots=True)
class _Pending:
    """A proof that counts once everything up to ``head`` of its epoch is applied."""

    epoch: Epoch
    head: int
    current_to_us: int
    linked_to_us: int


class StalenessBound:
    """The currency of one process, over all streams of its life. What it was current to never goes back."""

    def __init__(self) -> None:
        self.current_to_us: int | None = None  # by this process's clock; None: never current
        self._position = (NO_EPOCH, 0)
        self._epoch_current_to_us: int | None = None  # the same by proofs of the position's epoch alone
        self.linked_to_us: int | None = None  # to when it had all that the source had, current or not
        self._epoch_linked_to_us: int | None = None
        self._probes: dict[int, int] = {}  # when each probe of this stream was sent
        self._pending: deque[_Pending] = deque(maxlen=MOST_PROBES)
        self._released = False
        self.rests_on_stream = False  # whether its lease is by a proof of the present stream

    def new_stream(self) -> None:
        """Probes are numbered anew: none that was sent before can be answered on the new stream. Proofs that
        have not counted yet count no more, so that from the first one on this stream that makes the process
        more current, its lease rests on this stream alone."""
        self._probes.clear()
        self._pending.clear()
        self.rests_on_stream = False

    def probe_sent(self, number: int, now_us: int) -> None:
        """A probe is about to be sent on this stream. Only the last ``MOST_PROBES`` are remembered."""
        self._probes[number] = now_us
        if len(self._probes) > MOST_PROBES:
            del self._probes[next(iter(self._probes))]

    def proven(self, epoch: Epoch, proof: Proof) -> None:
        """A proof was received on this stream. One to an unknown probe proves nothing."""
        sent_us = self._probes.get(proof.probe)
        if sent_us is None or not 0 <= proof.source_age_us <= proof.age_us:
            return
        current_to_us = sent_us - proof.age_us
        linked_to_us = current_to_us + proof.source_age_us
        self._pending.append(_Pending(epoch, proof.head, current_to_us, linked_to_us))
        self._settle()

    def applied(self, epoch: Epoch, sequence: int) -> None:
        """Everything up to ``sequence`` of the epoch has been applied. A position never goes back."""
        if epoch > self._position[0]:
            self._epoch_current_to_us = None
            self._epoch_linked_to_us = None
        self._position = max(self._position, (epoch, sequence))
        self._settle()

    def release(self) -> None:
        """Give up the lease for good."""
        self._released = True

    def age_us(self, now_us: int) -> int | None:
        """How long ago the moment is to which this process is current; None where it never was."""
        return None if self._released else _age_us(self.current_to_us, now_us)

    def epoch_age_us(self, now_us: int) -> int | None:
        """The same by proofs of the present epoch alone, which a relay passes on. What it had by an earlier
        epoch's proofs need not be in the log that it hands out since: a new source may have lost entries."""
        return None if self._released else _age_us(self._epoch_current_to_us, now_us)

    def epoch_link_age_us(self, now_us: int) -> int | None:
        """How long ago this process had everything that the source of the present epoch had itself, however
        far that was behind its change log. None where it never had."""
        return None if self._released else _age_us(self._epoch_linked_to_us, now_us)

    def lease_held(self, now_us: int) -> bool:
        """Whether it is current to less than ``LEASE_US`` ago."""
        age = self.age_us(now_us)
        return age is not None and age < LEASE_US

    def copy_age_limit(self, now_us: int) -> int:
        """The greatest age (us) of a copy that may be accepted now; 0 for no bound. To be asked when an
        attempt is made and again when its order is written."""
        return 0 if self.lease_held(now_us) else LEASE_US

    def _settle(self) -> None:
        """Take the proofs whose heads are reached; drop those of epochs that are over."""
        epoch, sequence = self._position
        waiting = []
        for pending in self._pending:
            if pending.epoch == epoch and pending.head <= sequence:
                if self.current_to_us is None or pending.current_to_us > self.current_to_us:
                    self.current_to_us = pending.current_to_us
                    self.rests_on_stream = True
                self._epoch_current_to_us = _later(self._epoch_current_to_us, pending.current_to_us)
                self.linked_to_us = _later(self.linked_to_us, pending.linked_to_us)
                self._epoch_linked_to_us = _later(self._epoch_linked_to_us, pending.linked_to_us)
            elif pending.epoch >= epoch:
                waiting.append(pending)
        self._pending = deque(waiting, maxlen=MOST_PROBES)


class SourceStalenessBound:
    """The currency of a source, by its reading of the change log.

    A source that was paused and wakes may answer probes before it reads what waits in its socket; and an
    empty socket says nothing while the network holds back what was sent. So when something is read, an
    event or the log's comment that it is alive, the source is current to the last moment before at which
    the socket was seen empty: what was read now arrived after that, and everything sent earlier came before
    it.
    """

    def __init__(self) -> None:
        self._read_us: int | None = None

    def read_all(self, before_us: int) -> None:
        """Something was read, and all of it is appended. ``before_us``: the last moment before at which the
        socket was seen empty. An empty socket alone is no reading."""
        self._read_us = _later(self._read_us, before_us)

    def age_us(self, now_us: int) -> int | None:
        """How long ago that was; None where the log was never read."""
        return _age_us(self._read_us, now_us)


def _later(known_us: int | None, other_us: int) -> int:
    return other_us if known_us is None else max(known_us, other_us)


def _age_us(moment_us: int | None, now_us: int) -> int | None:
    """The longest time that may have passed since a moment of this clock."""
    return None if moment_us is None else stretched(max(0, now_us - moment_us))
