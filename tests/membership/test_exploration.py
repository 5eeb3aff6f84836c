"""State space exploration of three members: reordering, loss, pauses and restarts, up to a number of states.

The state machine of the quota lease is small enough for it. Time advances in steps of a fifth of a lease. In
each step a message in transit may be delivered, delayed or lost, and a process may be paused or restarted.
States that were already visited are not expanded again.
"""

from __future__ import annotations

import heapq
import itertools
import pickle
import random
import unittest
from unittest import mock

from magpieshift.lab.experiments import membership_exploration as exploration
from magpieshift.membership import quota_lease as quota_lease_module
from magpieshift.membership.driver import MembershipDriver
from magpieshift.membership.failure_detector import FailureDetector
from magpieshift.membership.member import Member, MemberState
from magpieshift.membership.member_table import MemberTable
from magpieshift.membership.messages import Address, LeaseMessage, LeaseMessageKind
from magpieshift.membership.quota_lease import FLEET_SCOPE, QUOTA_LEASE_US, QuotaLease

NAMES = ("a", "b", "c")
STEP_US = QUOTA_LEASE_US // 5
Message = tuple[str, str, LeaseMessage]


def address_of(name: str) -> Address:
    return name, 1


class State:
    """Three processes, each one's view of the others, and the messages in transit."""

    def __init__(self) -> None:
        self.now = 0
        self.boots = dict.fromkeys(NAMES, 1)
        self.leases: dict[str, QuotaLease] = {}
        self.views: dict[str, MemberTable] = {}
        self.in_transit: list[Message] = []
        for name in NAMES:
            self.start(name)

    def start(self, name: str) -> None:
        own = Member(name, *address_of(name), 1, self.boots[name])
        self.leases[name] = QuotaLease(
            own, NAMES, {FLEET_SCOPE: 3}, 0.4, self.now, random.Random(self.boots[name])
        )
        view = MemberTable(own, self.now)
        for other in NAMES:
            if other != name:
                view.merge(Member(other, *address_of(other), 1, self.boots[other]), self.now, "")
        self.views[name] = view

    def key(self) -> bytes:
        """Equal for states with equal futures: times are relative to now, and request ids are left out."""
        rows = []
        for name in NAMES:
            lease = self.leases[name]
            rows.append(
                (
                    lease.no_vote_until_us - self.now if lease.no_vote_until_us > self.now else 0,
                    (lease._vote_promise[0], max(0, lease._vote_promise[1] - self.now))
                    if lease._vote_promise
                    else None,
                    bool(lease._term),
                    sorted(
                        (voter, max(0, expires_us - self.now)) for voter, expires_us in lease._votes.items()
                    ),
                    lease._elected_us is not None and min(self.now - lease._elected_us, 2 * QUOTA_LEASE_US),
                    sorted(
                        (holder, sorted(grant.quotas.items()), max(0, grant.expires_us - self.now))
                        for holder, grant in lease._grants.by_holder.items()
                    ),
                    sorted(lease._lease.quotas.items()),
                    max(0, lease._lease.expires_us - self.now),
                    tuple(self.views[name].members[o].state.value for o in NAMES),
                )
            )
        in_transit = sorted(
            (source, target, message.kind.value, message.request_id, message.term != 0, message.quotas)
            for source, target, message in self.in_transit
        )
        return repr((rows, in_transit)).encode()

    def in_use(self) -> float:
        return sum(self.leases[name].quota(FLEET_SCOPE, self.now) for name in NAMES)

    def send(self, name: str, messages: list[tuple[Address, LeaseMessage]]) -> None:
        self.in_transit += [(name, to[0], message) for to, message in messages]

    def deliver(self, index: int) -> None:
        source, target, message = self.in_transit.pop(index)
        own = self.leases[source].own
        self.send(
            target,
            self.leases[target].receive(self.now, message, own, address_of(source), self.views[target]),
        )

    def deliver_all(self, index: int = 0) -> None:
        while self.in_transit:
            self.deliver(index)


def successors(state: State) -> list[State]:
    """All states that can follow in one step."""
    found: list[State] = []
    pickled_state = pickle.dumps(state, pickle.HIGHEST_PROTOCOL)

    def after_event(event: object) -> State:
        new: State = pickle.loads(pickled_state)
        new.now += STEP_US
        event(new)  # type: ignore[operator]
        return new

    def tick(new: State, paused_members: tuple[str, ...] = ()) -> None:
        for name in NAMES:
            if name not in paused_members:
                new.send(name, new.leases[name].tick(new.now, new.views[name]))

    def no_fault(new: State) -> None:
        tick(new)
        new.deliver_all()

    def newest_first(new: State) -> None:
        tick(new)
        new.deliver_all(-1)

    found += [after_event(no_fault), after_event(newest_first)]
    for name in NAMES:

        def paused(new: State, name: str = name) -> None:
            tick(new, (name,))
            kept = [m for m in new.in_transit if m[1] == name]
            new.in_transit = [m for m in new.in_transit if m[1] != name]
            new.deliver_all()
            new.in_transit += kept  # it receives them when it resumes

        def all_sent_lost(new: State, name: str = name) -> None:
            tick(new)
            while remaining := [m for m in new.in_transit if m[0] != name]:
                new.deliver(new.in_transit.index(remaining[0]))
            new.in_transit = []

        def restarted(new: State, name: str = name) -> None:
            new.boots[name] += 1
            new.start(name)
            no_fault(new)

        def state_in_views_flipped(new: State, name: str = name) -> None:
            for other in NAMES:
                if other != name and new.views[other].members[name].is_present:
                    new.views[other].set_state(name, MemberState.DEAD, new.now, "")
                elif other != name:
                    new.views[other].set_state(name, MemberState.ALIVE, new.now, "")
            no_fault(new)

        def incoming_delayed(new: State, name: str = name) -> None:
            """Delay the messages to this member by a step; messages delayed earlier are overtaken."""
            tick(new)
            kept = [m for m in new.in_transit if m[1] == name]
            new.in_transit = [m for m in new.in_transit if m[1] != name]
            new.deliver_all(-1)
            new.in_transit += kept

        found += [
            after_event(paused),
            after_event(all_sent_lost),
            after_event(restarted),
            after_event(state_in_views_flipped),
            after_event(incoming_delayed),
        ]
    return found


def quota_without_clock(self: QuotaLease, scope: str, now_us: int) -> float:
    """``QuotaLease.quota`` without the check of the lease's expiry."""
    return self.solo_quota / self.router_counts[scope] + (1.0 - self.solo_quota) * self._lease.quotas.get(
        scope, 0.0
    )


class DetectorExplorationTest(unittest.TestCase):
    """The full exploration, 4,616 states in 101,574 steps, takes minutes: ``lab members --explore``."""

    def test_views_agree_after_every_history_followed_by_no_faults(self) -> None:
        found = exploration.explore(300)
        self.assertGreaterEqual(found.states, 300)
        self.assertEqual(found.disagreements, [])

    def test_a_restart_with_the_incarnation_of_its_predecessor_is_found(self) -> None:
        def start(fleet: exploration.Fleet, name: str) -> None:
            fleet.incarnations[name] = 1
            own = Member(name, *address_of(name), 1, 1)
            fleet.members[name] = FailureDetector(own, "f", exploration.SEEDS, fleet.now_us, random.Random(1))

        with mock.patch.object(exploration.Fleet, "start", start):
            self.assertIn("a restarted", exploration.explore(20).disagreements)


class QuotaLeaseExplorationTest(unittest.TestCase):
    def setUp(self) -> None:
        self.random = random.Random(1)

    def explore(self, max_states: int, greedy: bool = False) -> tuple[int, float]:
        """Explore up to a number of states; returns their number and the largest sum of quotas in use.

        The search is breadth-first, or, if ``greedy``, prefers states with a large sum of quotas in use.
        """
        first = State()
        for _ in range(24):  # until the quotas are granted: before that they cannot exceed 1
            first.now += STEP_US
            for name in NAMES:
                first.send(name, first.leases[name].tick(first.now, first.views[name]))
            first.deliver_all()
        self.assertAlmostEqual(first.in_use(), 1.0)
        order = itertools.count()
        seen, max_in_use = {first.key()}, 0.0
        frontier = [(0.0, next(order), 0, first)]
        while frontier and len(seen) < max_states:
            _, _, depth, state = heapq.heappop(frontier)
            for new in successors(state):
                max_in_use = max(max_in_use, new.in_use())
                if (key := new.key()) not in seen:
                    seen.add(key)
                    rank = float(depth + 1) if not greedy else -new.in_use() - self.random.random() / 2
                    heapq.heappush(frontier, (rank, next(order), depth + 1, new))
        return len(seen), max_in_use

    def test_quotas_in_use_never_add_up_to_more_than_one(self) -> None:
        for greedy in (False, True):
            states, max_in_use = self.explore(8_000, greedy)
            self.assertGreaterEqual(states, 8_000)
            self.assertLessEqual(max_in_use, 1.0 + 1e-9)

    def test_a_grant_overtaken_by_a_smaller_one_is_not_held(self) -> None:
        own, other = Member("a", *address_of("a"), 1, 1), Member("b", *address_of("b"), 1, 1)
        view = MemberTable(own, 0)
        view.merge(other, 0, "")
        holder = QuotaLease(own, ("b",), {FLEET_SCOPE: 3}, 0.4, 0, random.Random(1))
        requests = [holder.tick(now, view)[0][1] for now in (2_000_000, 4_000_000)]
        for request, quota in ((requests[1], 0.25), (requests[0], 0.5)):
            grant = LeaseMessage(1, LeaseMessageKind.GRANT, request.request_id, ((FLEET_SCOPE, quota),))
            holder.receive(4_100_000, grant, other, address_of("b"), view)
        self.assertAlmostEqual(holder.quota(FLEET_SCOPE, 4_200_000), 0.4 / 3 + 0.6 * 0.25)

    def test_a_router_uses_less_before_it_accepts_a_smaller_grant(self) -> None:
        calls: list[str] = []
        own, other = Member("a", *address_of("a"), 1, 1), Member("b", *address_of("b"), 1, 1)
        detector = FailureDetector(own, "f", (), 0, random.Random(1))
        detector.view.merge(other, 0, "")
        holder = QuotaLease(own, ("b",), {FLEET_SCOPE: 3}, 0.4, 0, random.Random(1))
        request = holder.tick(2_000_000, detector.view)[0][1]
        driver = MembershipDriver(detector, holder, lambda: 2_100_000)
        driver.refresh_quota = lambda: calls.append(f"uses {holder.quota(FLEET_SCOPE, 2_100_000):.3f}")
        detector.send = lambda destination, body: calls.append(repr(body))  # type: ignore[method-assign]
        detector.on_lease_message(
            LeaseMessage(1, LeaseMessageKind.GRANT, request.request_id, ((FLEET_SCOPE, 0.25),)),
            other,
            address_of("b"),
        )
        confirmation = repr(
            LeaseMessage(0, LeaseMessageKind.GRANT_ACCEPTED, request.request_id, ((FLEET_SCOPE, 0.25),))
        )
        self.assertEqual(calls, ["uses 0.133", "uses 0.283", confirmation])

    def test_a_disabled_safety_rule_is_found(self) -> None:
        """Proves that the check can fail: one safety rule is disabled in each case."""
        for rule, replacements in (
            (
                "a new leader grants at once",
                {"_max_duration": staticmethod(lambda us=QUOTA_LEASE_US: 0)},
            ),
            ("a holder reads no clock", {"quota": quota_without_clock}),
        ):
            with self.subTest(rule):
                originals = {name: quota_lease_module.QuotaLease.__dict__[name] for name in replacements}
                for name, value in replacements.items():
                    setattr(quota_lease_module.QuotaLease, name, value)
                try:
                    _, max_in_use = self.explore(4_000, greedy=True)
                finally:
                    for name, value in originals.items():
                        setattr(quota_lease_module.QuotaLease, name, value)
                self.assertGreater(max_in_use, 1.0 + 1e-9)


if __name__ == "__main__":
    unittest.main()
