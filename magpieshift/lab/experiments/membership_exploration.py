"""Membership gone through step by step: not drawn, but every way a few members' histories can go, to a depth.

Three detectors and the datagrams between them. In each step of two seconds one of all the ways it may go is
taken: all well, one asleep, one mute, one deaf, one pair cut, one restarted, messages a step late. Of states
that look alike only the first is gone on from. From each, quiet must bring agreement, with nobody gone who
lives.
"""

from __future__ import annotations

import pickle
import random
import time
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from magpieshift.membership.failure_detector import FailureDetector
from magpieshift.membership.member import Member, MemberState
from magpieshift.membership.messages import Address, Datagram, SendDatagram

NAMES = ("a", "b", "c")
TICK_US = 400_000  # a late tick, but none that counts as sleep
STEP_US = 2_000_000
QUIET_STEPS = 20  # within which all must agree again
SEEDS = (("a", 1), ("b", 1))


def _at(name: str) -> Address:
    return name, 1


@dataclass
class Fleet:
    """Three members, and what is on its way."""

    now_us: int = 10_000_000
    lives: dict[str, int] = field(default_factory=dict)
    members: dict[str, FailureDetector] = field(default_factory=dict)
    late: list[tuple[str, SendDatagram]] = field(default_factory=list)

    @classmethod
    def grown(cls) -> Fleet:
        """Members that have come together."""
        fleet = cls()
        for name in NAMES:
            fleet.start(name)
        for _ in range(QUIET_STEPS):
            fleet.step()
        return fleet

    def start(self, name: str) -> None:
        """A process, of no memory, in place of what was there."""
        life = self.lives[name] = self.lives.get(name, 0) + 1
        own = Member(name, *_at(name), life, life)
        self.members[name] = FailureDetector(own, "f", SEEDS, self.now_us, random.Random(life))

    def step(
        self, asleep: str = "", lost: Callable[[str, str], bool] = lambda a, b: False, late: str = ""
    ) -> None:
        """Two seconds, in which one may sleep, ways may be cut, and what goes to one may come a step late."""
        under_way = self.late
        self.late = []
        end = self.now_us + STEP_US
        while self.now_us < end:
            self.now_us += TICK_US
            for name in NAMES:
                if name != asleep:
                    under_way += [(name, send) for send in self.members[name].tick(self.now_us)]
            kept = []
            while under_way:
                source, send = under_way.pop(0)
                target = send.destination[0]
                if target not in self.members or lost(source, target):
                    continue
                if target == asleep:
                    kept.append((source, send))
                elif target == late:
                    self.late.append((source, send))
                else:
                    under_way += self._deliver(source, target, send.datagram)
            under_way = kept
        self.late += under_way  # it reads them when it wakes

    def _deliver(self, source: str, target: str, datagram: Datagram) -> list[tuple[str, SendDatagram]]:
        answers = self.members[target].receive(self.now_us, _at(source), datagram)
        return [(target, send) for send in answers]

    def agreed(self) -> bool:
        """Whether all hold exactly those who live, each at its present start."""
        views = [detector.view for detector in self.members.values()]
        return len({view.digest for view in views}) == 1 and all(
            view.present_count == len(NAMES) for view in views
        )

    def look(self) -> tuple[object, ...]:
        """Equal for states that are taken to go on alike: times in steps, no serial numbers."""
        rows = []
        for name in NAMES:
            detector = self.members[name]
            known: list[tuple[object, ...]] = []
            for other in NAMES:
                found = detector.view.members.get(other)
                if found is None:
                    known.append(("unknown",))
                    continue
                silent = min((self.now_us - found.last_heartbeat_us) // STEP_US, 3) if other != name else 0
                since = min((self.now_us - found.state_since_us) // STEP_US, 4)
                judged = found.state != MemberState.ALIVE
                known.append(
                    (
                        found.state.value,
                        silent,
                        since if judged else 0,
                        tuple(sorted(found.reporters)),
                        self.lives[other] - found.member.incarnation,
                    )
                )
            rows.append((detector.locally_healthy, detector.superseded, *known))
        return (*rows, bool(self.late))


Way = tuple[str, Callable[[Fleet], None]]


def ways() -> Iterator[Way]:
    """All the ways in which a step may go."""
    yield "well", lambda fleet: fleet.step()
    for name in NAMES:
        yield f"{name} asleep", lambda fleet, n=name: fleet.step(asleep=n)  # type: ignore[misc]
        yield f"{name} mute", lambda fleet, n=name: fleet.step(lost=lambda a, b: a == n)  # type: ignore[misc]
        yield f"{name} deaf", lambda fleet, n=name: fleet.step(lost=lambda a, b: b == n)  # type: ignore[misc]
        yield f"{name} late", lambda fleet, n=name: fleet.step(late=n)  # type: ignore[misc]

        def again(fleet: Fleet, name: str = name) -> None:
            fleet.start(name)
            fleet.step()

        yield f"{name} restarted", again
        rest = tuple(other for other in NAMES if other != name)
        for one, other in (rest, rest[::-1]):

            def one_way(fleet: Fleet, one: str = one, other: str = other) -> None:
                fleet.step(lost=lambda a, b: (a, b) == (one, other))

            yield f"{one} to {other} cut", one_way


@dataclass
class Found:
    """What came of an exploration."""

    states: int = 0
    steps: int = 0
    depth: int = 0
    gone: int = 0  # states in which somebody who lives is held to be gone
    disagreements: list[str] = field(default_factory=list)  # histories after which quiet brought no agreement
    real_s: float = 0.0


def explore(most: int, broken: Callable[[Fleet], None] = lambda fleet: None) -> Found:
    """Go through so many different states, the nearest first. ``broken`` may spoil the first one, to see
    that what it spoils is found."""
    began = time.perf_counter()
    first = Fleet.grown()
    broken(first)
    found = Found()
    seen = {first.look()}
    edge: deque[tuple[Fleet, tuple[str, ...]]] = deque([(first, ())])
    while edge and found.states < most:
        fleet, history = edge.popleft()
        packed = pickle.dumps(fleet, pickle.HIGHEST_PROTOCOL)
        for name, way in ways():
            new: Fleet = pickle.loads(packed)  # noqa: S301, it is our own
            way(new)
            found.steps += 1
            look = new.look()
            if look in seen:
                continue
            seen.add(look)
            found.states += 1
            told = (*history, name)
            found.depth = max(found.depth, len(told))
            views = [detector.view for detector in new.members.values()]
            found.gone += any(k.state == MemberState.DEAD for view in views for k in view.members.values())
            edge.append((new, told))
            if not _quiets(new):
                found.disagreements.append(", then ".join(told))
    found.real_s = round(time.perf_counter() - began, 1)
    return found


def _quiets(fleet: Fleet) -> bool:
    """Whether quiet brings agreement; on a copy."""
    calm: Fleet = pickle.loads(pickle.dumps(fleet, pickle.HIGHEST_PROTOCOL))  # noqa: S301, it is our own
    for _ in range(QUIET_STEPS):
        calm.step()
        if calm.agreed():
            return True
    return False
