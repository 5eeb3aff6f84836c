"""The request table and the attempts, and the mapping of both to ``magpieshift.policy``'s events and actions.

The engine owns every open request and every attempt. It is told the time, hands the module what has happened
in one batch, and carries out what the module decides. Whatever the module does, each request gets exactly one
final answer in time, and no request ever has two attempts out, unless the settings and its class allow a
second copy.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import replace
from functools import partial
from typing import Protocol

from magpieshift.clock import Clock, Handle
from magpieshift.config import NO_NAMES, Document, Names, settings_by_name
from magpieshift.config_transaction import SettingsRejected
from magpieshift.engine.classes import first, plan
from magpieshift.engine.model import (
    AttemptResult,
    ClientRequest,
    ListedEndpoint,
    Response,
    UpstreamRequest,
    Verdict,
    object_number,
)
from magpieshift.log import fields
from magpieshift.policy.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    FetchEndpointList,
    RejectRequest,
    SendCacheRequest,
    SendPlainRequest,
    SetTimer,
    StartHealthCheck,
    WriteLog,
)
from magpieshift.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    Event,
    HealthCheckEnded,
    PurgeReceived,
    RequestReceived,
    TimerFired,
)
from magpieshift.policy.health_override import HealthOverride, apply_overrides, endpoint_health
from magpieshift.policy.outcomes import NEVER_RAN, Outcome
from magpieshift.policy.reconfigure import reconfigure
from magpieshift.policy.router_policy import RouterPolicy
from magpieshift.policy.settings import DeduplicationScope, Idempotency, RequestClass, Settings

log = logging.getLogger(__name__)

Reply = Callable[[Response], None]


class UpstreamExchange(Protocol):
    """An order on its way in the back."""

    def cancel(self) -> bool:
        """Stop it; say whether the store may have been reached."""
        ...


class Upstream(Protocol):
    """Whatever carries orders to stores."""

    def start(self, order: UpstreamRequest, done: Callable[[AttemptResult], None]) -> UpstreamExchange: ...

    def probe(self, member: ListedEndpoint, done: Callable[[AttemptResult], None]) -> None: ...

    def close_idle(self, member: ListedEndpoint) -> None: ...


class PolicyObserver(Protocol):
    """Who stands between the engine and the module, and hands on what passes as it is
    (``capture.recorder``)."""

    def handle(self, module: RouterPolicy, now_us: int, events: Sequence[Event]) -> list[Action]: ...

    def register_name(self, number: int, ident: str) -> None: ...

    def reconfigured(self, settings: Settings, fresh: Collection[int]) -> None: ...

    def overrides_applied(self, now_us: int, acts: Sequence[HealthOverride]) -> None: ...


class RequestObserver(Protocol):
    """Who counts what becomes of requests and attempts; it is called on the way of each and must not fail."""

    def request_ended(
        self, call: ClientRequest, cls: RequestClass, verdict: Verdict | None, took_us: int
    ) -> None:
        """A request has ended, with its final answer, or (None) because nobody waits for one."""
        ...

    def attempt_ended(self, outcome: Outcome, filled: bool, origin: bool) -> None:
        """An attempt has ended: whether it named a source, and whether it went to the origin or named it."""
        ...


class _Open:
    """A request. It stays in the table until its deadline, so that attempts are numbered to the end."""

    __slots__ = (
        "call",
        "cls",
        "deadline_us",
        "legs",
        "look",
        "op",
        "out",
        "owns_ident",
        "ran",
        "reply",
        "taken_us",
    )

    def __init__(
        self,
        op: int,
        call: ClientRequest,
        cls: RequestClass,
        reply: Reply,
        taken_us: int,
        patience_us: int,
        look: Callable[[], None],
    ) -> None:
        self.op = op
        self.call = call
        self.taken_us = taken_us
        self.deadline_us = taken_us + patience_us
        self.cls = cls  # the figures it was taken under, whatever comes into force while it is open
        self.reply: Reply | None = reply  # None once the final answer is given, or nobody waits for it
        self.out: list[_Attempt] = []  # two at most, and that only where a copy is allowed
        self.legs = 0
        self.look = look
        self.owns_ident = False
        self.ran: tuple[int, ListedEndpoint] | None = (
            None  # when the first that may have run began, and where
        )


class _Attempt:
    """An attempt that is out."""

    __slots__ = ("exchange", "member", "number", "request", "sent_us", "source", "store", "timer")

    def __init__(
        self,
        request: _Open,
        number: int,
        store: int,
        source: int,
        sent_us: int,
        member: ListedEndpoint | None,
    ) -> None:
        self.request = request
        self.number = number
        self.store = store
        self.sent_us = sent_us
        # as listed when it began
        self.source = source
        self.member = member
        self.exchange: UpstreamExchange | None = None
        self.timer: Handle | None = None


class Engine:
    """One router's requests, attempts and timers around one decision module."""

    part = "engine"

    def __init__(
        self,
        settings: Settings,
        seed: int,
        clock: Clock,
        back: Upstream,
        most_held: int = 32 << 20,
        names: Names = NO_NAMES,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._back = back
        self.max_body_bytes = most_held
        # as the document says; other processes of this router
        self._told = settings
        self.sibling_processes = 0
        self._divisors: tuple[int, int] | None = None  # in place of the document's routers: all, own zone
        self.refresh_quota: Callable[[], None] | None = (
            None  # asked before each batch: a share may have run out
        )
        self._names = names
        self._plan = first(names.classes or [str(i) for i in range(len(settings.classes))], settings.classes)
        self.classes = dict(
            self._plan.numbers
        )  # by name; the front reads them here, so it is changed in place
        self._router = RouterPolicy(settings, seed)
        self._draw = random.Random(seed)
        self._members: dict[int, ListedEndpoint] = {}
        self._requests: dict[int, _Open] = {}
        self._idents: set[str] = set()  # of open requests
        self._events: list[Event] = []
        self._flush_due = False
        self._last_op = 0
        self._module_us = 0
        self.policy_observer: PolicyObserver | None = None
        self.request_observer: RequestObserver | None = None
        self.copy_age_limit: Callable[[], int] | None = None
        """The largest age of a copy that any read may accept now, in microseconds, 0 for no limit: for a part
        that knows when purges may have been missed. Asked at each decision, and again as it is written."""
        self.object_number: Callable[[str], int] = object_number
        self.open_requests = 0
        self.held_body_bytes = 0  # bytes of the bodies of open requests

    # --- what a front says

    def submit(
        self, call: ClientRequest, reply: Reply, waits: bool = False, look: Callable[[], None] = lambda: None
    ) -> int:
        """Take a request; ``reply`` is called once with its final answer, unless it is abandoned, and never
        before this returns. One that ``waits`` is not decided on until ``resume``; its deadline runs.
        ``look`` is called right before an attempt is written, to take in what its client has said by then."""
        taken = call.request_id in self._idents
        self._last_op += 1
        # nobody waits longer than the class allows; an entry kept for an hour, with its timer, is a leak
        cls = self._settings.classes[call.class_index]
        patience_us = min(call.time_left_us, cls.deadline_us)
        request = _Open(self._last_op, call, cls, reply, self._clock.now_us(), patience_us, look)
        self._requests[request.op] = request
        self.open_requests += 1
        self.held_body_bytes += len(call.body)
        self._clock.after(patience_us, lambda: self._overdue(request))
        if taken:  # stores know a request by its id: this would be a second attempt of the open one
            log.warning("id of an open request", extra=fields(id=call.request_id))
            self._clock.soon(lambda: self._answer(request.op, Response(Verdict.FAILED)))
            return request.op
        self._idents.add(call.request_id)
        request.owns_ident = True
        if self.held_body_bytes > self.max_body_bytes:  # memory is bounded, whatever clients write
            log.warning("bodies fill the memory", extra=fields(held=self.held_body_bytes))
            no = Response(Verdict.REJECTED, retry_after_us=self._settings.max_retry_after_us)
            self._clock.soon(lambda: self._answer(request.op, no))
            return request.op
        if self.policy_observer is not None:
            self.policy_observer.register_name(request.op, call.request_id)
        if not waits:
            self.resume(request.op)
        return request.op

    def resume(self, op: int) -> None:
        """Let the module decide on a request that is open."""
        request = self._requests.get(op)
        if request is None or request.reply is None:
            return
        call = request.call
        left_us = request.deadline_us - self._clock.now_us()
        self._post(
            RequestReceived(
                op,
                call.class_index,
                0,
                self.object_number(call.object_key),
                left_us,
                call.size_kb,
                call.group,
                call.part,
                call.is_repeat,
                request.cls.is_write,
            )
        )

    def cancel(self, op: int) -> None:
        """Nobody waits for this request any more."""
        request = self._requests.get(op)
        if request is not None and request.reply is not None:
            self._close(request, None)
            self._post(ClientDisconnected(op))

    def draining_response(self) -> Response:
        """The answer to what is not taken because the router empties. Other routers can take it, so the time
        to return is short; it is drawn, or all who are turned away would be back at once."""
        back_us = self._draw.uniform(0.05, 0.3) * self._settings.max_retry_after_us
        return Response(Verdict.REJECTED, retry_after_us=int(back_us))

    def answer_all(self) -> None:
        """Answer all that is open: the program must end, whether or not the stores have answered."""
        for request in list(self._requests.values()):
            if request.reply is not None:
                self._close(request, self._sorry(request))

    # --- a new configuration

    def prepare(self, old: Document, new: Document) -> Callable[[], None]:
        """Make ready for a new document, which numbers zones and kinds as the old one does
        (``core.numbers.aligned``): give its classes their numbers, and see that no store loses its zone."""
        for what, before, after, used in (
            ("zone", old.names.zones, new.names.zones, {m.endpoint.zone for m in self._members.values()}),
            ("kind", old.names.kinds, new.names.kinds, {m.endpoint.kind for m in self._members.values()}),
        ):
            for number in sorted(used):
                if before[number] not in after:
                    raise SettingsRejected(
                        f"{what} {before[number]} is left out, and stores are listed in it"
                    )
        busy = {request.call.class_index for request in self._requests.values()}
        classes = plan(self._plan, new.names.classes, new.settings.classes, busy)
        settings = replace(new.settings, classes=classes.figures)
        # stores take on or lose their part by these; the module learns that from a whole list
        roles = ("zone", "parent_kind", "origin_kind")
        relist = any(getattr(old.settings, role) != getattr(new.settings, role) for role in roles)

        def commit() -> None:
            self.flush()  # what has happened until now happened under the old settings
            self._plan = classes
            self._names = new.names
            self._run_on(settings, classes.fresh)
            self.classes.clear()
            self.classes.update(classes.numbers)
            if relist:
                self.list_changed(EndpointListKind.COMPLETE, 0, tuple(self._members.values()))
                self.flush()

        return commit

    def running(self) -> dict[str, object]:
        """The figures that the module decides by and that the engine holds requests to."""
        cfg = self._router.settings
        if cfg is not self._settings:
            return {"module": "runs on other settings than the engine"}
        cfg = self._told
        live = {name: cfg.classes[number] for name, number in self.classes.items()}
        return settings_by_name(cfg, self._names, live)

    def set_sibling_processes(self, beside: int) -> None:
        """So many other processes of this router serve for now. The rules see all of them as one, so each
        has its part of the router's part of what a cold store and a source bear: the module divides those by
        the routers there are, and is told of so many times more."""
        if beside != self.sibling_processes:
            self.flush()
            self.sibling_processes = beside
            self._run_on(self._told, frozenset())

    def set_router_counts(self, routers: int, here: int) -> None:
        """Use one part in so many of what all routers share, and of what those of the own zone do, in place
        of what the document's count of them comes to. Holds from the next batch on."""
        if (routers, here) != self._divisors:
            self._divisors = routers, here
            self._run_on(self._told, frozenset())

    def _run_on(self, settings: Settings, fresh: frozenset[int]) -> None:
        """Put settings in force, for the module and for what it is held to."""
        self._told = settings
        if self._divisors is not None:
            routers, here = self._divisors
            zones = tuple(
                here if i == settings.zone else n for i, n in enumerate(settings.zone_router_counts)
            )
            settings = replace(settings, router_count=routers, zone_router_counts=zones)
        if self.sibling_processes:
            times = 1 + self.sibling_processes
            zones = tuple(n * times for n in settings.zone_router_counts)
            settings = replace(settings, router_count=settings.router_count * times, zone_router_counts=zones)
        reconfigure(self._router, settings, fresh)
        if self.policy_observer is not None:
            self.policy_observer.reconfigured(settings, fresh)
        self._settings = settings

    # --- what other routers say

    @property
    def requests_taken(self) -> int:
        """How many requests have been taken since the start."""
        return self._last_op

    def writes(self, cls: int) -> bool:
        """Whether requests of this class write."""
        return self._settings.classes[cls].is_write

    def endpoint_health(self) -> Iterable[tuple[ListedEndpoint, bool, int | None, int | None]]:
        """Of each store that the module may ask: whether it passes it over for its failures, and how long
        ago it last failed and was last of use, in microseconds (None: never)."""
        now = max(self._module_us, self._clock.now_us())
        for number, shunned, *times in endpoint_health(self._router):
            if (member := self._members.get(number)) is not None:
                failed, good = (None if at < 0 else max(0, now - at) for at in times)
                yield member, shunned, failed, good

    def apply_overrides(self, acts: Sequence[HealthOverride]) -> None:
        """Let the module leave stores alone, or try them again, by what other routers have seen."""
        if acts:
            now = max(self._module_us, self._clock.now_us())
            apply_overrides(self._router, now, acts)
            if self.policy_observer is not None:
                self.policy_observer.overrides_applied(now, acts)

    # --- what the feed says

    def endpoint_names(self) -> list[tuple[int, str]]:
        """The module's numbers of all listed stores, and their ids."""
        return [(number, member.name) for number, member in self._members.items()]

    @property
    def endpoint_count(self) -> int:
        """How many stores are listed, of all zones."""
        return len(self._members)

    def list_changed(self, kind: EndpointListKind, version: int, members: Iterable[ListedEndpoint]) -> None:
        """Stores have come, changed or gone; a whole list drops what it leaves out."""
        members = tuple(members)
        if kind != EndpointListKind.DELTA:
            self._members.clear()
        for member in members:
            if member.endpoint.state == EndpointState.REMOVED:
                self._members.pop(member.endpoint.number, None)
            else:
                self._members[member.endpoint.number] = member
                if self.policy_observer is not None:
                    self.policy_observer.register_name(member.endpoint.number, member.name)
        self._post(EndpointListReceived(kind, version, tuple(m.endpoint for m in members)))

    def purged(self, key: str, group: int, made_us: int) -> None:
        """An object, or with no key a group, was purged at this time."""
        age = max(0, self._clock.now_us() - made_us)
        self._post(PurgeReceived(self.object_number(key) if key else 0, group, age))

    # --- the module

    def _post(self, event: Event) -> None:
        """Queue an event. The module is never entered from here: what comes in together goes in together."""
        self._events.append(event)
        if not self._flush_due:
            self._flush_due = True
            self._clock.soon(self.flush)

    def flush(self) -> None:
        """Hand the module what has happened, and do what it says."""
        self._flush_due = False
        # what is taken back before the module heard of it needs no decision; some do it by the hundreds
        events = [e for e in self._events if not self._taken_back(e)]
        self._events = []
        if not events:
            return
        if self.refresh_quota is not None:
            self.refresh_quota()
        # the clock may be set back, and the module is promised that its time never is
        self._module_us = max(self._module_us, self._clock.now_us())
        try:
            actions = self._decide(events)
        except Exception:
            log.exception("module raised", extra=fields(events=len(events)))
            self._answer_for_module(events)
            actions = self._tell_again(events)
        for action in actions:
            try:
                self._do(action)
            except Exception:
                log.exception("action failed", extra=fields(action=type(action).__name__))
                self._answer_for_module([action])

    def _decide(self, events: Sequence[Event]) -> list[Action]:
        if self.policy_observer is None:
            return self._router.handle(self._module_us, events)
        return self.policy_observer.handle(self._router, self._module_us, events)

    def _taken_back(self, event: Event) -> bool:
        if not isinstance(event, RequestReceived):
            return False
        request = self._requests.get(event.request_id)
        return request is None or request.reply is None

    def _tell_again(self, events: Iterable[Event]) -> list[Action]:
        """The module broke off, and may have missed what stays true: drains and purges, which the rules hold
        us to. Each is told once more, by itself; telling it twice does no harm."""
        actions: list[Action] = []
        for event in events:
            if isinstance(event, EndpointListReceived | PurgeReceived):
                try:
                    actions += self._decide([event])
                except Exception:
                    log.exception("module raised again", extra=fields(event_type=type(event).__name__))
        return actions

    def _answer_for_module(self, said: Iterable[Event | Action]) -> None:
        """The module broke off: what it was deciding on has no attempt out and would never be answered.
        Requests it had not come to are covered by their deadline."""
        for item in said:
            request = self._requests.get(getattr(item, "request_id", 0))
            if request is not None and request.reply is not None and not request.out:
                self._close(request, self._sorry(request))
                self._post(ClientDisconnected(request.op))

    def _do(self, action: Action) -> None:
        match action:
            case SendPlainRequest():
                self._attempt(action.request_id, action.endpoint, action.timeout_us, action.endpoint, 0, 0, 0)
            case SendCacheRequest(request_id=op, endpoint=store, timeout_us=timeout, source=source):
                self._attempt(
                    op, store, timeout, source, action.retention_rank, action.max_age_us, action.flags
                )
            case RejectRequest():
                self._refuse(action)
            case FailRequest():
                self._answer(action.request_id, Response(Verdict.FAILED))
            case CancelAttempt():
                request = self._requests.get(action.request_id)
                for attempt in list(request.out) if request is not None else ():
                    if attempt.number == action.attempt:
                        self._give_up(attempt, Outcome.CANCELLED)
            case SetTimer(delay_us=delay, token=token):
                self._clock.after(delay, lambda: self._post(TimerFired(token)))
            case StartHealthCheck():
                self._probe(action.endpoint)
            case CloseIdleConnections() if action.endpoint in self._members:
                self._back.close_idle(self._members[action.endpoint])
            case FetchEndpointList():
                self.list_changed(EndpointListKind.COMPLETE, 0, tuple(self._members.values()))
            case WriteLog():
                log.info("module", extra=fields(text=action.text))
            case _:  # the list is always subscribed to, and routers have no way to speak to each other
                log.debug("action without effect here", extra=fields(action=type(action).__name__))

    def _probe(self, store: int) -> None:
        start = self._clock.now_us()

        def done(result: AttemptResult) -> None:
            self._post(HealthCheckEnded(store, result.outcome, self._clock.now_us() - start, result.load))

        if (member := self._members.get(store)) is None:
            done(AttemptResult(Outcome.CONNECT_FAILED))
        else:
            self._back.probe(member, done)

    # --- attempts

    def _attempt(
        self, op: int, store: int, timeout_us: int, source: int, keep: int, age_us: int, mode: int
    ) -> None:
        request = self._requests.get(op)
        now = self._clock.now_us()
        if request is None:
            log.error("attempt for an unknown request", extra=fields(op=op))
            return
        if request.out and not self._copy_is_allowed(request, store):  # whatever the module believes
            log.error("attempt while one is out", extra=fields(op=op, id=request.call.request_id))
            self._give_up_all(request)
        attempt = _Attempt(request, request.legs, store, source, now, self._members.get(store))
        request.legs += 1
        request.out.append(attempt)
        left = request.deadline_us - now
        timeout_us = min(timeout_us or left, left)
        if request.reply is None or timeout_us <= 0 or attempt.number >= self._settings.max_attempts:
            return self._settle(attempt, AttemptResult(Outcome.SUPERSEDED))
        if (unsent := self._barred(attempt)) is not None:
            log.error(
                "unlawful attempt", extra=fields(id=request.call.request_id, outcome=unsent.name.lower())
            )
            return self._settle(attempt, AttemptResult(unsent))
        target = self._members[store]
        supplier = self._members[source]
        if target.endpoint.kind == self._settings.parent_kind:
            keep = 0  # parents know no ranks
        by = supplier if source != store else None
        deadline = now + timeout_us
        attempt.timer = self._clock.after(timeout_us, lambda: self._give_up(attempt, Outcome.TIMEOUT))
        once = request.cls.idempotency != Idempotency.IDEMPOTENT
        barred = partial(self._barred_by_now, attempt)
        oldest = None
        if self.copy_age_limit is not None and not request.cls.is_write:
            age_us = self._oldest_copy(request.cls, age_us)
            oldest = partial(self._oldest_copy, request.cls, age_us)
        order = UpstreamRequest(request.call, target, by, keep, age_us, mode, deadline, once, barred, oldest)
        attempt.exchange = self._back.start(order, lambda result: self._settle(attempt, result))

    def _oldest_copy(self, cls: RequestClass, age_us: int) -> int:
        """The smaller of a decided bound on the copy's age (0: the class's fresh time, if it has one) and the
        limit that holds now."""
        limit_us = self.copy_age_limit() if self.copy_age_limit is not None else 0
        if not limit_us:
            return age_us
        return min(limit_us, age_us or cls.max_age_us or limit_us)

    def _copy_is_allowed(self, request: _Open, store: int) -> bool:
        """Whether a second copy may run beside the first: the settings say so, it does no harm to run twice,
        and it goes elsewhere, for a store knows a request by its id."""
        may = self._settings.hedged_requests and request.cls.idempotency == Idempotency.IDEMPOTENT
        return may and len(request.out) == 1 and request.out[0].store != store

    def _give_up_all(self, request: _Open) -> None:
        for attempt in list(request.out):
            self._give_up(attempt, Outcome.CANCELLED)

    def _barred_by_now(self, attempt: _Attempt) -> Outcome | None:
        """The same when it is about to be written. It may have waited for its connection, and its store or
        source drain by then, where the rule counts from when we were told; its client may have gone, and the
        loop be too busy to have read so; or the window for a repeat have passed."""
        attempt.request.look()
        return self._barred(attempt)

    def _barred(self, attempt: _Attempt) -> Outcome | None:
        """How an attempt that is not sent yet must end, if it may not be sent."""
        request = attempt.request
        for number in (attempt.store, attempt.source):
            member = self._members.get(number)
            if member is None or member.endpoint.state != EndpointState.READY:
                return Outcome.CONNECT_FAILED
        gone = request.reply is None or self._clock.now_us() >= request.deadline_us
        return Outcome.SUPERSEDED if gone or not self._repeat_is_lawful(request, attempt.store) else None

    def _repeat_is_lawful(self, request: _Open, store: int) -> bool:
        """Whether the store may get a request now that may have run already."""
        cls = request.cls
        if request.ran is None or cls.idempotency == Idempotency.IDEMPOTENT:
            return True
        begun_us, first = request.ran
        late = self._clock.now_us() + self._settings.tick_us >= begun_us + cls.deduplication_us
        if cls.idempotency != Idempotency.WITH_KEY or late:
            return False
        entry = first.endpoint
        again = self._members[store].endpoint
        alike = {
            DeduplicationScope.ZONE: entry.zone == again.zone,
            DeduplicationScope.CELL: entry.cell == again.cell,
        }
        return alike.get(cls.deduplication_scope, True)

    def _give_up(self, attempt: _Attempt, outcome: Outcome) -> None:
        """Call off an attempt that is out."""
        if attempt not in attempt.request.out:
            return
        reached = attempt.exchange.cancel() if attempt.exchange is not None else False
        if outcome == Outcome.TIMEOUT and not reached:
            outcome = Outcome.CONNECT_FAILED  # never up, so it never ran
        self._settle(attempt, AttemptResult(outcome))

    def _settle(self, attempt: _Attempt, result: AttemptResult) -> None:
        """The one place where an attempt ends: its slot, its timer and its exchange are given back here."""
        request = attempt.request
        if attempt not in request.out:
            return  # a late answer
        request.out.remove(attempt)
        if attempt.timer is not None:
            attempt.timer.cancel()
        attempt.exchange = None
        attempt.timer = None
        if self.request_observer is not None:
            ends = (self._members.get(attempt.store), self._members.get(attempt.source))
            origin = any(m is not None and m.endpoint.kind == self._settings.origin_kind for m in ends)
            self.request_observer.attempt_ended(result.outcome, attempt.source != attempt.store, origin)
        if result.outcome not in NEVER_RAN and request.ran is None and attempt.member is not None:
            request.ran = attempt.sent_us, attempt.member
        if result.outcome == Outcome.OK and request.reply is not None:
            self._close(request, Response(Verdict.SERVED, result.body, result.not_modified))
        self._post(
            AttemptEnded(
                request.op,
                result.outcome,
                self._clock.now_us() - attempt.sent_us,
                result.fill_wait_us,
                request.reply is None,
                result.cache_status,
                attempt.store,
                attempt.number,
                result.load,
            )
        )

    # --- final answers

    def _refusal_is_lawful(self, request: _Open) -> bool:
        cls = request.cls
        dropped_by_all = (
            cls.idempotency == Idempotency.WITH_KEY and cls.deduplication_scope == DeduplicationScope.ALL
        )
        never_ran = request.ran is None and not request.out
        return cls.idempotency == Idempotency.IDEMPOTENT or dropped_by_all or never_ran

    def _refuse(self, action: RejectRequest) -> None:
        request = self._requests.get(action.request_id)
        if request is None or request.reply is None:
            return
        if not self._refusal_is_lawful(request):
            log.error("unlawful refusal", extra=fields(id=request.call.request_id))
            return self._answer(action.request_id, Response(Verdict.FAILED))
        self._answer(action.request_id, Response(Verdict.REJECTED, retry_after_us=action.retry_after_us))

    def _answer(self, op: int, answer: Response) -> None:
        request = self._requests.get(op)
        if request is not None and request.reply is not None:
            self._close(request, answer)

    def _sorry(self, request: _Open) -> Response:
        """What a request is told when the module has no word for it."""
        lawful = self._refusal_is_lawful(request)
        return Response(Verdict.REJECTED if lawful else Verdict.FAILED, retry_after_us=0)

    def _overdue(self, request: _Open) -> None:
        """The deadline: an answer still owed is given now, and the request leaves the table."""
        if request.reply is not None:
            log.warning(
                "answered by the backstop", extra=fields(id=request.call.request_id, legs=request.legs)
            )
            self._close(request, self._sorry(request))
            self._post(ClientDisconnected(request.op))
        del self._requests[request.op]

    def _close(self, request: _Open, answer: Response | None) -> None:
        """The one place where a request ends, with its final answer or because nobody waits for one."""
        reply = request.reply
        request.reply = None
        self.open_requests -= 1
        if request.owns_ident:
            self._idents.discard(request.call.request_id)
            request.owns_ident = False
        self.held_body_bytes -= len(request.call.body)
        if self.request_observer is not None:
            verdict = answer.verdict if answer is not None else None
            took_us = self._clock.now_us() - request.taken_us
            self.request_observer.request_ended(request.call, request.cls, verdict, took_us)
        self._give_up_all(request)
        if request.call.body:
            request.call = replace(request.call, body=b"")
        if answer is not None and reply is not None:
            try:
                reply(answer)
            except Exception:  # a front's trouble with one client must not reach the store that answered
                log.exception("answer not passed on", extra=fields(id=request.call.request_id))
