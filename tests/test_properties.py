"""Whatever lawful but hostile events come, the promises of the module hold."""

from hypothesis import given, settings
from hypothesis import strategies as st

from molecleat import interface as api
from molecleat.control import LEAST_CAP, Router
from molecleat.interface import NEVER_RAN, Effect, Outcome, Phase
from tests.helpers import CACHE, CACHES, PARENT, PARENTS, SECOND, a_class, entry, whole_list
from tests.helpers import settings as make_settings

CLASSES = (
    a_class(),
    a_class(effect=Effect.KEYED, write=True),
    a_class(effect=Effect.UNSAFE),
    a_class(effect=Effect.KEYED, scope=api.Scope.ZONE),
)
CONFIG = make_settings(*CLASSES, joins_fills=False, drain_grace_us=0)
ENDS = [o for o in Outcome if o != Outcome.CANCELLED]

steps = st.lists(
    st.tuples(
        st.sampled_from(["ask", "ask", "end", "end", "end", "list", "purge", "hangup", "wait"]),
        st.integers(0, 10_000),
    ),
    max_size=120,
)


class Referee:
    """Feeds a router and checks each action as it comes."""

    def __init__(self) -> None:
        self.router, self.now = Router(CONFIG, 3), SECOND
        self.log: list[list[api.Action]] = []
        self.open: dict[int, api.Request] = {}
        self.deadline: dict[int, int] = {}
        self.legs: dict[int, int] = {}
        self.out: dict[tuple[int, int], api.Send | api.Get] = {}
        self.may_have_run: dict[int, int] = {}
        self.sent_at: dict[tuple[int, int], int] = {}
        self.unwelcome: set[int] = set()
        self.timers: list[int] = []
        self.bounds: dict[tuple[int, int], int] = {}
        self.feed(whole_list())

    def feed(self, *events: api.Event) -> None:
        actions = self.router.handle(self.now, events)
        self.log.append(actions)
        for action in actions:
            self.check(action)
        for store in self.router.stores.values():
            for lane, (peak, _) in enumerate(store.peaks):  # each waits apart, within a bound of its own
                bound = max(LEAST_CAP, 1 + peak)
                waiting, at = sum(j.lane == lane for j in store.queue.values()), (store.salt, lane)
                assert waiting <= max(bound, self.bounds.get(at, 0))
                self.bounds[at] = max(bound, waiting)
            assert min(store.busy) >= 0 and store.flying >= 0

    def check(self, action: api.Action) -> None:
        if isinstance(action, api.SetTimer):
            self.timers.append(self.now + action.delay_us)
        elif isinstance(action, api.Send | api.Get):
            self.check_send(action)
        elif isinstance(action, api.Refuse | api.Fail):
            cls = CLASSES[self.open.pop(action.id).cls]
            assert self.now <= self.deadline[action.id]
            ran = action.id in self.may_have_run or any(i == action.id for i, _ in self.out)
            if isinstance(action, api.Refuse) and ran:
                by_all = cls.effect == Effect.KEYED and cls.scope == api.Scope.ALL
                assert by_all or cls.effect == Effect.FREE

    def check_send(self, action: api.Send | api.Get) -> None:
        assert action.id in self.open, "a send for a request that is over"
        cls, leg = CLASSES[self.open[action.id].cls], self.legs[action.id]
        assert not any(i == action.id for i, _ in self.out), "two attempts out at once"
        assert leg < CONFIG.max_attempts
        assert action.timeout_us > 0 and self.now + action.timeout_us < self.deadline[action.id]
        assert action.store not in self.unwelcome
        assert not isinstance(action, api.Get) or action.source not in self.unwelcome
        if action.id in self.may_have_run:
            assert cls.effect != Effect.UNSAFE
            if cls.effect == Effect.KEYED:
                assert self.now < self.may_have_run[action.id] + cls.dedup_us
        self.out[action.id, leg] = action
        self.sent_at[action.id, leg] = self.now
        self.legs[action.id] = leg + 1

    def ask(self, pick: int) -> None:
        ident = len(self.legs) + 1
        patience = 200_000 + pick * 300
        request = api.Request(ident, pick % 4, 0, pick % 7, patience, 0.0, pick % 3, 0, False, False)
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
        self.feed(api.Ended(ident, outcome, 1000, 0, closed, pick % 11, sent.store, leg, ()))

    def list(self, pick: int) -> None:
        store, phase = (CACHES + PARENTS)[pick % 6], Phase(pick % 3)
        (self.unwelcome.discard if phase == Phase.READY else self.unwelcome.add)(store)
        kind = CACHE if store in CACHES else PARENT
        item = entry(store, kind, phase=phase, up_since_us=self.now if pick % 5 == 0 else 0)
        self.feed(api.StoreList(api.ListKind.DELTA, 2, (item,)))

    def purge(self, pick: int) -> None:
        self.feed(api.Purged(pick % 7, pick % 3, pick * 10))

    def hangup(self, pick: int) -> None:
        if self.open:
            ident = list(self.open)[pick % len(self.open)]
            del self.open[ident]
            self.feed(api.Hangup(ident))

    def wait(self, pick: int) -> None:
        """Time passes; every timer comes at its hour."""
        until = self.now + pick * 100
        while (due := min((t for t in self.timers if t <= until), default=None)) is not None:
            self.timers.remove(due)
            self.now = max(self.now, due)
            self.feed(api.Elapsed(0))
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
def test_promises_hold_under_any_lawful_events(script: list[tuple[str, int]]) -> None:
    referee = play(script)
    assert not referee.open, "a request was lost"
    assert not referee.router.jobs and not referee.router.attempts
    for store in referee.router.stores.values():
        assert not any(store.busy) and store.flying == 0 and not store.queue
    assert referee.router.filling == 0


@settings(derandomize=True, max_examples=30, deadline=None)
@given(steps)
def test_equal_events_and_seed_give_equal_actions(script: list[tuple[str, int]]) -> None:
    assert play(script).log == play(script).log
