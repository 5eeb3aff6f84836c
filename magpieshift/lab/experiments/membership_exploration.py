"""Exhaustive exploration of membership: not drawn, but all histories of a few members, to a number of states.

Three failure detectors and the datagrams between them. In each step of two seconds one of all transitions is
taken: no fault, one member asleep, mute or deaf, one direction cut, one restarted, messages a step late. Of
states with equal keys only the first is continued. From each, steps without faults must bring one view with
all members present. States in which a living member is held to be dead are only counted.
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
"""The members: three are the fewest of which two can differ about another."""
TICK_US = 400_000
"""Time between two ticks of a member: late ones, but not so late that it counts as having slept."""
STEP_US = 2_000_000
"""Time of one transition; with less, histories of a depth reach fewer states."""
QUIET_STEPS = 20
"""Steps without faults within which all must agree again."""
SEEDS: tuple[Address, ...] = (("a", 1), ("b", 1))
"""Addresses that members know from their settings."""
MAX_SILENT_STEPS = 3
"""Steps of silence beyond which longer ones count as equal."""
MAX_STATE_STEPS = 4
"""Steps in one state beyond which longer ones count as equal."""


def _address(name: str) -> Address:
    return name, 1


@dataclass
class Fleet:
    """Three members, and the datagrams in transit."""

    now_us: int = 10_000_000
    incarnations: dict[str, int] = field(default_factory=dict)
    """Starts by member: the incarnation of the present one."""
    members: dict[str, FailureDetector] = field(default_factory=dict)
    """The present start of each."""
    delayed: list[tuple[str, SendDatagram]] = field(default_factory=list)
    """Datagrams of earlier steps, with their senders."""

    @classmethod
    def started(cls) -> Fleet:
        """Return members that agree."""
        fleet = cls()
        for name in NAMES:
            fleet.start(name)
        for _ in range(QUIET_STEPS):
            fleet.step()
        return fleet

    def start(self, name: str) -> None:
        """Start a member without memory, in place of its present start."""
        incarnation = self.incarnations.get(name, 0) + 1
        self.incarnations[name] = incarnation
        own = Member(name, *_address(name), incarnation, incarnation)
        self.members[name] = FailureDetector(own, "f", SEEDS, self.now_us, random.Random(incarnation))

    def step(
        self,
        asleep: str = "",
        lost: Callable[[str, str], bool] = lambda source, target: False,
        late: str = "",
    ) -> None:
        """Run two seconds.

        The member ``asleep`` does nothing, datagrams from source to target are ``lost``, and those to the
        member ``late`` arrive a step late.
        """
        in_transit = self.delayed
        self.delayed = []
        end_us = self.now_us + STEP_US
        while self.now_us < end_us:
            self.now_us += TICK_US
            for name in NAMES:
                if name != asleep:
                    in_transit += [(name, send) for send in self.members[name].tick(self.now_us)]
            unread = []
            while in_transit:
                source, send = in_transit.pop(0)
                target = send.destination[0]
                if target not in self.members or lost(source, target):
                    continue
                if target == asleep:
                    unread.append((source, send))
                elif target == late:
                    self.delayed.append((source, send))
                else:
                    in_transit += self._deliver(source, target, send.datagram)
            in_transit = unread
        self.delayed += in_transit  # it reads them when it wakes

    def _deliver(self, source: str, target: str, datagram: Datagram) -> list[tuple[str, SendDatagram]]:
        answers = self.members[target].receive(self.now_us, _address(source), datagram)
        return [(target, send) for send in answers]

    def views_agree(self) -> bool:
        """Whether all have one view, of exactly the living members, each at its present start."""
        views = [detector.view for detector in self.members.values()]
        return len({view.digest for view in views}) == 1 and all(
            view.present_count == len(NAMES) for view in views
        )

    def key(self) -> tuple[object, ...]:
        """Return what is equal for states that continue alike: times in steps, no serial numbers."""
        rows = []
        for name in NAMES:
            detector = self.members[name]
            known = [self._member_key(detector, name, other) for other in NAMES]
            rows.append((detector.locally_healthy, detector.superseded, *known))
        return (*rows, bool(self.delayed))

    def _member_key(self, detector: FailureDetector, observer: str, name: str) -> tuple[object, ...]:
        """One member as another sees it."""
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
"""A name for histories, and the step itself."""


def transitions() -> Iterator[Transition]:
    """Yield all transitions that a step may take."""
    yield "well", lambda fleet: fleet.step()
    for name in NAMES:
        yield f"{name} asleep", partial(_step_asleep, name)
        yield f"{name} mute", partial(_step_mute, name)
        yield f"{name} deaf", partial(_step_deaf, name)
        yield f"{name} late", partial(_step_late, name)
        yield f"{name} restarted", partial(_restart_and_step, name)
        rest = tuple(other for other in NAMES if other != name)
        for source, target in (rest, rest[::-1]):
            yield f"{source} to {target} cut", partial(_step_cut, source, target)


def _step_asleep(name: str, fleet: Fleet) -> None:
    fleet.step(asleep=name)


def _step_mute(name: str, fleet: Fleet) -> None:
    fleet.step(lost=lambda source, target: source == name)


def _step_deaf(name: str, fleet: Fleet) -> None:
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
    """What came of an exploration. The fields are the keys of ``--json``."""

    states: int = 0
    """Different states reached."""
    steps: int = 0
    """Transitions taken, to known states as well."""
    depth: int = 0
    """Transitions of the longest history."""
    gone: int = 0
    """States in which a living member is held to be dead."""
    disagreements: list[str] = field(default_factory=list)
    """Histories after which steps without faults brought no agreement."""
    real_s: float = 0.0
    """Time that it took."""


def explore(max_states: int, spoil: Callable[[Fleet], None] = lambda fleet: None) -> Exploration:
    """Explore at least so many different states if there are so many, the nearest first.

    ``spoil`` may change the first one, to see that what it breaks is found.
    """
    began = time.perf_counter()
    first = Fleet.started()
    spoil(first)
    result = Exploration()
    seen = {first.key()}
    frontier: deque[tuple[Fleet, tuple[str, ...]]] = deque([(first, ())])
    while frontier and result.states < max_states:
        fleet, history = frontier.popleft()
        packed = pickle.dumps(fleet, pickle.HIGHEST_PROTOCOL)
        for name, step in transitions():
            successor: Fleet = pickle.loads(packed)  # noqa: S301, it is our own
            step(successor)
            result.steps += 1
            key = successor.key()
            if key in seen:
                continue
            seen.add(key)
            _record(result, successor, (*history, name))
            frontier.append((successor, (*history, name)))
    result.real_s = round(time.perf_counter() - began, 1)
    return result


def _record(result: Exploration, fleet: Fleet, history: tuple[str, ...]) -> None:
    """Count a new state, and check that it comes to agreement."""
    result.states += 1
    result.depth = max(result.depth, len(history))
    views = [detector.view for detector in fleet.members.values()]
    result.gone += any(entry.state == MemberState.DEAD for view in views for entry in view.members.values())
    if not _comes_to_agreement(fleet):
        result.disagreements.append(", then ".join(history))


def _comes_to_agreement(fleet: Fleet) -> bool:
    """Whether steps without faults bring agreement; on a copy."""
    copy: Fleet = pickle.loads(pickle.dumps(fleet, pickle.HIGHEST_PROTOCOL))  # noqa: S301, it is our own
    for _ in range(QUIET_STEPS):
        copy.step()
        if copy.views_agree():
            return True
    return False
