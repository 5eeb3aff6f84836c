"""Property tests: the guarantees of the policy hold for random valid sequences of events."""

from hypothesis import given, settings
from hypothesis import strategies as st

from magpieshift.policy.actions import (
    Action,
    FailRequest,
    RejectRequest,
    SendCacheRequest,
    SendPlainRequest,
    SetTimer,
)
from magpieshift.policy.admission import INITIAL_LIMIT
from magpieshift.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    Event,
    PurgeReceived,
    RequestReceived,
    TimerFired,
)
from magpieshift.policy.outcomes import NEVER_RAN, Outcome
from magpieshift.policy.router_policy import RouterPolicy
from magpieshift.policy.settings import DeduplicationScope, Idempotency
from tests.policy.helpers import CACHE, CACHES, PARENT, PARENTS, SECOND, complete_list, entry, make_class
from tests.policy.helpers import settings as make_settings

CLASSES = (
    make_class(),
    make_class(idempotency=Idempotency.WITH_KEY, is_write=True),
    make_class(idempotency=Idempotency.NOT_IDEMPOTENT),
    make_class(idempotency=Idempotency.WITH_KEY, deduplication_scope=DeduplicationScope.ZONE),
)
CONFIG = make_settings(*CLASSES, coalesces_fills=False, drain_grace_us=0)
ENDS = [o for o in Outcome if o != Outcome.CANCELLED]

steps = st.lists(
    st.tuples(
        st.sampled_from(["ask", "ask", "end", "end", "end", "list", "purge", "disconnect", "wait"]),
        st.integers(0, 10_000),
    ),
    max_size=120,
)


class PolicyChecker:
    """Passes random events to a router and checks each action that it returns."""

    def __init__(self) -> None:
        self.router, self.now = RouterPolicy(CONFIG, 3), SECOND
        self.actions_by_batch: list[list[Action]] = []
        self.unanswered: dict[int, RequestReceived] = {}
        self.deadline: dict[int, int] = {}
        self.attempts_started: dict[int, int] = {}
        self.in_flight: dict[tuple[int, int], SendPlainRequest | SendCacheRequest] = {}
        self.may_have_run: dict[int, int] = {}
        self.sent_at: dict[tuple[int, int], int] = {}
        self.not_ready: set[int] = set()
        self.timers: list[int] = []
        self.bounds: dict[tuple[int, int], int] = {}
        self.handle(complete_list())

    def handle(self, *events: Event) -> None:
        actions = self.router.handle(self.now, events)
        self.actions_by_batch.append(actions)
        for action in actions:
            self.check(action)
        for endpoint in self.router.endpoints.values():
            # the queue of each kind of work has its own bound
            for work_kind, (peak, _) in enumerate(endpoint.concurrency_peaks):
                bound = max(INITIAL_LIMIT, 1 + peak)
                waiting, at = (
                    sum(j.work_kind == work_kind for j in endpoint.queue.values()),
                    (endpoint.hash_salt, work_kind),
                )
                assert waiting <= max(bound, self.bounds.get(at, 0))
                self.bounds[at] = max(bound, waiting)
            assert min(endpoint.in_flight_by_kind) >= 0 and endpoint.in_flight >= 0

    def check(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            self.timers.append(self.now + action.delay_us)
        elif isinstance(action, SendPlainRequest | SendCacheRequest):
            self.check_send(action)
        elif isinstance(action, RejectRequest | FailRequest):
            request_class = CLASSES[self.unanswered.pop(action.request_id).class_index]
            assert self.now <= self.deadline[action.request_id]
            attempt_may_have_run = action.request_id in self.may_have_run or any(
                i == action.request_id for i, _ in self.in_flight
            )
            if isinstance(action, RejectRequest) and attempt_may_have_run:
                discarded_by_all = (
                    request_class.idempotency == Idempotency.WITH_KEY
                    and request_class.deduplication_scope == DeduplicationScope.ALL
                )
                assert discarded_by_all or request_class.idempotency == Idempotency.IDEMPOTENT

    def check_send(self, action: SendPlainRequest | SendCacheRequest) -> None:
        assert action.request_id in self.unanswered, "an attempt was sent for a request that is over"
        request_class, attempt = (
            CLASSES[self.unanswered[action.request_id].class_index],
            self.attempts_started[action.request_id],
        )
        assert not any(i == action.request_id for i, _ in self.in_flight), (
            "two attempts are in flight at once"
        )
        assert attempt < CONFIG.max_attempts
        assert action.timeout_us > 0 and self.now + action.timeout_us < self.deadline[action.request_id]
        assert action.endpoint not in self.not_ready
        assert not isinstance(action, SendCacheRequest) or action.source not in self.not_ready
        if action.request_id in self.may_have_run:
            assert request_class.idempotency != Idempotency.NOT_IDEMPOTENT
            if request_class.idempotency == Idempotency.WITH_KEY:
                assert self.now < self.may_have_run[action.request_id] + request_class.deduplication_us
        self.in_flight[action.request_id, attempt] = action
        self.sent_at[action.request_id, attempt] = self.now
        self.attempts_started[action.request_id] = attempt + 1

    def ask(self, number: int) -> None:
        request_id = len(self.attempts_started) + 1
        time_left_us = 200_000 + number * 300
        request = RequestReceived(
            request_id, number % 4, 0, number % 7, time_left_us, 0.0, number % 3, 0, False, False
        )
        self.unanswered[request_id], self.deadline[request_id], self.attempts_started[request_id] = (
            request,
            self.now + time_left_us,
            0,
        )
        self.handle(request)

    def end(self, number: int) -> None:
        if not self.in_flight:
            return
        request_id, attempt = list(self.in_flight)[number % len(self.in_flight)]
        sent, outcome = self.in_flight.pop((request_id, attempt)), ENDS[number % len(ENDS)]
        request_closed = request_id not in self.unanswered
        if outcome == Outcome.OK and not request_closed:
            del self.unanswered[request_id]
            request_closed = True
        if outcome not in NEVER_RAN:
            self.may_have_run.setdefault(request_id, self.sent_at[request_id, attempt])
        self.handle(
            AttemptEnded(
                request_id, outcome, 1000, 0, request_closed, number % 11, sent.endpoint, attempt, ()
            )
        )

    def list(self, number: int) -> None:
        endpoint, state = (CACHES + PARENTS)[number % 6], EndpointState(number % 3)
        (self.not_ready.discard if state == EndpointState.READY else self.not_ready.add)(endpoint)
        kind = CACHE if endpoint in CACHES else PARENT
        changed_entry = entry(endpoint, kind, state=state, started_us=self.now if number % 5 == 0 else 0)
        self.handle(EndpointListReceived(EndpointListKind.DELTA, 2, (changed_entry,)))

    def purge(self, number: int) -> None:
        self.handle(PurgeReceived(number % 7, number % 3, number * 10))

    def disconnect(self, number: int) -> None:
        if self.unanswered:
            request_id = list(self.unanswered)[number % len(self.unanswered)]
            del self.unanswered[request_id]
            self.handle(ClientDisconnected(request_id))

    def wait(self, number: int) -> None:
        """Advance the clock; each timer fires when it is due."""
        until = self.now + number * 100
        while (due := min((t for t in self.timers if t <= until), default=None)) is not None:
            self.timers.remove(due)
            self.now = max(self.now, due)
            self.handle(TimerFired(0))
        self.now = until


def play(script: list[tuple[str, int]]) -> PolicyChecker:
    checker = PolicyChecker()
    for name, number in script:
        getattr(checker, name)(number)
    for _ in range(60):
        checker.wait(10_000)
    while checker.in_flight:
        checker.end(Outcome.MISS - 1)
    return checker


@settings(derandomize=True, max_examples=150, deadline=None)
@given(steps)
def test_guarantees_hold_under_any_valid_events(script: list[tuple[str, int]]) -> None:
    checker = play(script)
    assert not checker.unanswered, "a request got no final answer"
    assert not checker.router.requests and not checker.router.attempts
    for endpoint in checker.router.endpoints.values():
        assert not any(endpoint.in_flight_by_kind) and endpoint.in_flight == 0 and not endpoint.queue
    assert checker.router.fills_in_flight == 0


@settings(derandomize=True, max_examples=30, deadline=None)
@given(steps)
def test_equal_events_and_seed_give_equal_actions(script: list[tuple[str, int]]) -> None:
    assert play(script).actions_by_batch == play(script).actions_by_batch
