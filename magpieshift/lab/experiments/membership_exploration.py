"""Exhaustive exploration of membership: instead of random histories, all histories of three members, breadth
first, up to a number of states.

A state consists of three failure detectors and the datagrams in transit. A step takes two seconds and one of
these transitions: no fault; one member is paused, sends nothing, receives nothing, is restarted, or receives
its messages a step late; or one direction of a link is cut. Of the states with equal keys only the first is
continued. From each state, steps without faults must lead to one common view with all members present. States
in which a living member is considered dead are only counted.
"""

from __future__ import annotations

import pickle
import random
import time
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import partial

from magpieshift.membership.failure_detector import FailureDetector
from magpieshift.membership.member import Member, MemberState
from magpieshift.membership.messages import Address, Datagram, SendDatagram

NAMES = ("a", "b", "c")
"""The members: three is the smallest number at which two can disagree about a third."""
TICK_US = 400_000
"""Interval between the ticks of a member. Ticks are late, as the regular interval is
``probing.TICK_INTERVAL_US``, but by less than ``local_health.MIN_PAUSE_US``, from which on the member would
count as having been paused."""
STEP_US = 2_000_000
"""Duration of one transition; with a shorter one, histories of the same depth reach fewer states."""
RECOVERY_STEPS = 20
"""Number of steps without faults within which all members must agree again."""
SEEDS: tuple[Address, ...] = (("a", 1), ("b", 1))
"""Seed addresses in the members' settings."""
MAX_SILENT_STEPS = 3
"""Upper limit of the steps since the last heartbeat in a state's key: longer silences count as equal."""
MAX_STATE_STEPS = 4
"""Upper limit of the steps since a member's state changed in a state's key: longer times count as equal."""


def _address(name: str) -> Address:
    return name, 1


@dataclass
class Fleet:
    """Three members, and the datagrams in transit."""

    now_us: int = 10_000_000
    incarnations: dict[str, int] = field(default_factory=dict)
    """Incarnation of the running process of each member: the number of the member's starts."""
    members: dict[str, FailureDetector] = field(default_factory=dict)
    """Failure detector of the running process of each member."""
    delayed: list[tuple[str, SendDatagram]] = field(default_factory=list)
    """Datagrams sent in earlier steps and not yet delivered, with their senders."""

    @classmethod
    def started(cls) -> Fleet:
        """Return a fleet whose members have run without faults until they agree."""
        fleet = cls()
        for name in NAMES:
            fleet.start(name)
        for _ in range(RECOVERY_STEPS):
            fleet.step()
        return fleet

    def start(self, name: str) -> None:
        """Replace a member's process by a new one without stored state."""
        incarnation = self.incarnations.get(name, 0) + 1
        self.incarnations[name] = incarnation
        own = Member(name, *_address(name), incarnation, incarnation)
        self.members[name] = FailureDetector(own, "f", SEEDS, self.now_us, random.Random(incarnation))

    def step(
        self,
        paused: str = "",
        lost: Callable[[str, str], bool] = lambda source, target: False,
        late: str = "",
    ) -> None:
        """Run for ``STEP_US``.

        The member ``paused`` does nothing. Datagrams for which ``lost(source, target)`` holds are lost.
        Datagrams to the member ``late`` arrive one step late.
        """
        in_transit = self.delayed
        self.delayed = []
        end_us = self.now_us + STEP_US
        while self.now_us < end_us:
            self.now_us += TICK_US
            for name in NAMES:
                if name != paused:
                    in_transit += [(name, send) for send in self.members[name].tick(self.now_us)]
            unread = []
            while in_transit:
                source, send = in_transit.pop(0)
                target = send.destination[0]
                if target not in self.members or lost(source, target):
                    continue
                if target == paused:
                    unread.append((source, send))
                elif target == late:
                    self.delayed.append((source, send))
                else:
                    in_transit += self._deliver(source, target, send.datagram)
            in_transit = unread
        self.delayed += in_transit  # a paused member reads them when it resumes

    def _deliver(self, source: str, target: str, datagram: Datagram) -> list[tuple[str, SendDatagram]]:
        answers = self.members[target].receive(self.now_us, _address(source), datagram)
        return [(target, send) for send in answers]

    def views_agree(self) -> bool:
        """Whether all members have the same view, and it contains all of them as present."""
        views = [detector.view for detector in self.members.values()]
        return len({view.digest for view in views}) == 1 and all(
            view.present_count == len(NAMES) for view in views
        )

    def key(self) -> tuple[object, ...]:
        """Return a key that is equal for states that behave alike: with times in steps, and without sequence
        numbers."""
        rows = []
        for name in NAMES:
            detector = self.members[name]
            known = [self._member_key(detector, name, other) for other in NAMES]
            rows.append((detector.locally_healthy, detector.superseded, *known))
        return (*rows, bool(self.delayed))

    def _member_key(self, detector: FailureDetector, observer: str, name: str) -> tuple[object, ...]:
        """Return the part of the key that describes a member in the view of ``observer``."""
        entry = detector.view.members.get(name)
        if entry is None:
            return ("unknown",)
        silent_steps = 0
        if name != observer:
            silent_steps = min((self.now_us - entry.last_heartbeat_us) // STEP_US, MAX_SILENT_STEPS)
        state_steps = 0
        if entry.state != MemberState.ALIVE:
            state_steps = min((self.now_us - entry.state_since_us) // STEP_US, MAX_STATE_STEPS)
        return (
            entry.state.value,
            silent_steps,
            state_steps,
            tuple(sorted(entry.reporters)),
            self.incarnations[name] - entry.member.incarnation,
        )


Transition = tuple[str, Callable[[Fleet], None]]
"""The name of a transition in histories, and the function that carries it out."""


def transitions() -> Iterator[Transition]:
    """Yield all transitions from which a step is chosen."""
    yield "well", lambda fleet: fleet.step()
    for name in NAMES:
        yield f"{name} asleep", partial(_step_paused, name)
        yield f"{name} mute", partial(_step_sending_nothing, name)
        yield f"{name} deaf", partial(_step_receiving_nothing, name)
        yield f"{name} late", partial(_step_late, name)
        yield f"{name} restarted", partial(_restart_and_step, name)
        others = tuple(other for other in NAMES if other != name)
        for source, target in (others, others[::-1]):
            yield f"{source} to {target} cut", partial(_step_cut, source, target)


def _step_paused(name: str, fleet: Fleet) -> None:
    fleet.step(paused=name)


def _step_sending_nothing(name: str, fleet: Fleet) -> None:
    fleet.step(lost=lambda source, target: source == name)


def _step_receiving_nothing(name: str, fleet: Fleet) -> None:
    fleet.step(lost=lambda source, target: target == name)


def _step_late(name: str, fleet: Fleet) -> None:
    fleet.step(late=name)


def _restart_and_step(name: str, fleet: Fleet) -> None:
    fleet.start(name)
    fleet.step()


def _step_cut(cut_source: str, cut_target: str, fleet: Fleet) -> None:
    fleet.step(lost=lambda source, target: (source, target) == (cut_source, cut_target))


@dataclass
class Exploration:
    """Results of an exploration. The field names are the keys of ``--json``."""

    states: int = 0
    """Number of distinct states reached."""
    steps: int = 0
    """Number of transitions taken, including those to known states."""
    depth: int = 0
    """Number of transitions in the longest history."""
    gone: int = 0
    """Number of states in which a living member is considered dead."""
    disagreements: list[str] = field(default_factory=list)
    """Histories after which the members did not agree within ``RECOVERY_STEPS`` steps without faults."""
    real_s: float = 0.0
    """Duration of the exploration in real time."""


def explore(max_states: int, corrupt: Callable[[Fleet], None] = lambda fleet: None) -> Exploration:
    """Explore breadth first until at least ``max_states`` states are reached, or no new ones are left.

    ``corrupt`` may change the first state, to check that the resulting disagreement is found.
    """
    started_s = time.perf_counter()
    start_state = Fleet.started()
    corrupt(start_state)
    result = Exploration()
    seen = {start_state.key()}
    frontier: deque[tuple[Fleet, tuple[str, ...]]] = deque([(start_state, ())])
    while frontier and result.states < max_states:
        fleet, history = frontier.popleft()
        pickled = pickle.dumps(fleet, pickle.HIGHEST_PROTOCOL)
        for name, step in transitions():
            successor: Fleet = pickle.loads(pickled)  # noqa: S301, pickled by this process
            step(successor)
            result.steps += 1
            key = successor.key()
            if key in seen:
                continue
            seen.add(key)
            _record(result, successor, (*history, name))
            frontier.append((successor, (*history, name)))
    result.real_s = round(time.perf_counter() - started_s, 1)
    return result


def _record(result: Exploration, fleet: Fleet, history: tuple[str, ...]) -> None:
    """Count a new state, and check that the members reach agreement from it."""
    result.states += 1
    result.depth = max(result.depth, len(history))
    views = [detector.view for detector in fleet.members.values()]
    result.gone += any(entry.state == MemberState.DEAD for view in views for entry in view.members.values())
    if not _reaches_agreement(fleet):
        result.disagreements.append(", then ".join(history))


def _reaches_agreement(fleet: Fleet) -> bool:
    """Whether the members agree after steps without faults. Runs them on a copy of the fleet."""
    copy: Fleet = pickle.loads(pickle.dumps(fleet, pickle.HIGHEST_PROTOCOL))  # noqa: S301, pickled by this process
    for _ in range(RECOVERY_STEPS):
        copy.step()
        if copy.views_agree():
            return True
    return False
