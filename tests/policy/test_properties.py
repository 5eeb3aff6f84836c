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
from tests.policy.helpers import CACHE, CACHES, PARENT, PARENTS, SECOND, a_class, complete_list, entry
from tests.policy.helpers import settings as make_settings

CLASSES = (
    a_class(),
    a_class(idempotency=Idempotency.WITH_KEY, is_write=True),
    a_class(idempotency=Idempotency.NOT_IDEMPOTENT),
    a_class(idempotency=Idempotency.WITH_KEY, deduplication_scope=DeduplicationScope.ZONE),
)
CONFIG = make_settings(*CLASSES, coalesces_fills=False, drain_grace_us=0)
ENDS = [o for o in Outcome if o != Outcome.CANCELLED]

steps = st.lists(
    st.tuples(
        st.sampled_from(["ask", "ask", "end", "end", "end", "list", "purge", "hangup", "wait"]),
        st.integers(0, 10_000),
    ),
    max_size=120,
)


class Referee:
    """Passes random events to a router and checks each action that it returns."""

    def __init__(self) -> None:
        self.router, self.now = RouterPolicy(CONFIG, 3), SECOND
        self.log: list[list[Action]] = []
        self.open: dict[int, RequestReceived] = {}
        self.deadline: dict[int, int] = {}
        self.legs: dict[int, int] = {}
        self.out: dict[tuple[int, int], SendPlainRequest | SendCacheRequest] = {}
        self.may_have_run: dict[int, int] = {}
        self.sent_at: dict[tuple[int, int], int] = {}
        self.unwelcome: set[int] = set()
        self.timers: list[int] = []
        self.bounds: dict[tuple[int, int], int] = {}
        self.feed(complete_list())

    def feed(self, *events: Event) -> None:
        actions = self.router.handle(self.now, events)
        self.log.append(actions)
        for action in actions:
            self.check(action)
        for endpoint in self.router.endpoints.values():
            # the queue of each kind of work has its own bound
            for lane, (peak, _) in enumerate(endpoint.concurrency_peaks):
                bound = max(INITIAL_LIMIT, 1 + peak)
                waiting, at = (
                    sum(j.work_kind == lane for j in endpoint.queue.values()),
                    (endpoint.hash_salt, lane),
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
            cls = CLASSES[self.open.pop(action.request_id).class_index]
            assert self.now <= self.deadline[action.request_id]
            ran = action.request_id in self.may_have_run or any(i == action.request_id for i, _ in self.out)
            if isinstance(action, RejectRequest) and ran:
                by_all = (
                    cls.idempotency == Idempotency.WITH_KEY
                    and cls.deduplication_scope == DeduplicationScope.ALL
                )
                assert by_all or cls.idempotency == Idempotency.IDEMPOTENT

    def check_send(self, action: SendPlainRequest | SendCacheRequest) -> None:
        assert action.request_id in self.open, "an attempt was sent for a request that is over"
        cls, leg = CLASSES[self.open[action.request_id].class_index], self.legs[action.request_id]
        assert not any(i == action.request_id for i, _ in self.out), "two attempts are in flight at once"
        assert leg < CONFIG.max_attempts
        assert action.timeout_us > 0 and self.now + action.timeout_us < self.deadline[action.request_id]
        assert action.endpoint not in self.unwelcome
        assert not isinstance(action, SendCacheRequest) or action.source not in self.unwelcome
        if action.request_id in self.may_have_run:
            assert cls.idempotency != Idempotency.NOT_IDEMPOTENT
            if cls.idempotency == Idempotency.WITH_KEY:
                assert self.now < self.may_have_run[action.request_id] + cls.deduplication_us
        self.out[action.request_id, leg] = action
        self.sent_at[action.request_id, leg] = self.now
        self.legs[action.request_id] = leg + 1

    def ask(self, pick: int) -> None:
        ident = len(self.legs) + 1
        patience = 200_000 + pick * 300
        request = RequestReceived(ident, pick % 4, 0, pick % 7, patience, 0.0, pick % 3, 0, False, False)
        self.open[ident], self.deadline[ident], self.legs[ident] = request, self.now + patience, 0
        self.feed(request)

    def end(self, pick: int) -> None:
        if not self.out:
            return
        ident, leg = list(self.out)[pick % len(self.out)]
        sent, outcome = self.out.pop((ident, leg)), ENDS[pick % len(ENDS)]
        closed = ident not in self.open
        if outcome == Outcome.OK and not closed:
            del self.open[ident]
            closed = True
        if outcome not in NEVER_RAN:
            self.may_have_run.setdefault(ident, self.sent_at[ident, leg])
        self.feed(AttemptEnded(ident, outcome, 1000, 0, closed, pick % 11, sent.endpoint, leg, ()))

    def list(self, pick: int) -> None:
        endpoint, phase = (CACHES + PARENTS)[pick % 6], EndpointState(pick % 3)
        (self.unwelcome.discard if phase == EndpointState.READY else self.unwelcome.add)(endpoint)
        kind = CACHE if endpoint in CACHES else PARENT
        item = entry(endpoint, kind, state=phase, started_us=self.now if pick % 5 == 0 else 0)
        self.feed(EndpointListReceived(EndpointListKind.DELTA, 2, (item,)))

    def purge(self, pick: int) -> None:
        self.feed(PurgeReceived(pick % 7, pick % 3, pick * 10))

    def hangup(self, pick: int) -> None:
        if self.open:
            ident = list(self.open)[pick % len(self.open)]
            del self.open[ident]
            self.feed(ClientDisconnected(ident))

    def wait(self, pick: int) -> None:
        """Advance the clock; each timer fires when it is due."""
        until = self.now + pick * 100
        while (due := min((t for t in self.timers if t <= until), default=None)) is not None:
            self.timers.remove(due)
            self.now = max(self.now, due)
            self.feed(TimerFired(0))
        self.now = until


def play(script: list[tuple[str, int]]) -> Referee:
    referee = Referee()
    for name, pick in script:
        getattr(referee, name)(pick)
    for _ in range(60):
        referee.wait(10_000)
    while referee.out:
        referee.end(Outcome.MISS - 1)
    return referee


@settings(derandomize=True, max_examples=150, deadline=None)
@given(steps)
def test_promises_hold_under_any_valid_events(script: list[tuple[str, int]]) -> None:
    referee = play(script)
    assert not referee.open, "a request got no final answer"
    assert not referee.router.requests and not referee.router.attempts
    for endpoint in referee.router.endpoints.values():
        assert not any(endpoint.in_flight_by_kind) and endpoint.in_flight == 0 and not endpoint.queue
    assert referee.router.fills_in_flight == 0


@settings(derandomize=True, max_examples=30, deadline=None)
@given(steps)
def test_equal_events_and_seed_give_equal_actions(script: list[tuple[str, int]]) -> None:
    assert play(script).log == play(script).log
