"""The request table and the attempts, and the mapping of both to ``molecleat``'s events and actions.

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
from magpieshift.core.classes import first, plan
from magpieshift.core.model import Answer, Call, Member, Order, Result, Verdict, object_number
from magpieshift.log import fields
from magpieshift.transaction import TurnedDown
from molecleat import interface as api
from molecleat.control import Router
from molecleat.heed import Act, health, heed
from molecleat.interface import NEVER_RAN, Effect, Outcome, Phase, Scope
from molecleat.retune import retune

log = logging.getLogger(__name__)

Reply = Callable[[Answer], None]


class Exchange(Protocol):
    """An order on its way in the back."""

    def give_up(self) -> bool:
        """Stop it; say whether the store may have been reached."""
        ...


class Back(Protocol):
    """Whatever carries orders to stores."""

    def start(self, order: Order, done: Callable[[Result], None]) -> Exchange: ...

    def probe(self, member: Member, done: Callable[[Result], None]) -> None: ...

    def close_idle(self, member: Member) -> None: ...


class Tap(Protocol):
    """Who stands between the engine and the module, and hands on what passes as it is
    (``capture.recorder``)."""

    def handle(self, module: Router, now_us: int, events: Sequence[api.Event]) -> list[api.Action]: ...

    def name(self, number: int, ident: str) -> None: ...

    def retuned(self, settings: api.Settings, fresh: Collection[int]) -> None: ...

    def heeded(self, now_us: int, acts: Sequence[Act]) -> None: ...


class Watch(Protocol):
    """Who counts what becomes of requests and attempts; it is called on the way of each and must not fail."""

    def answered(self, call: Call, cls: api.RequestClass, verdict: Verdict | None, took_us: int) -> None:
        """A request has ended, with its final answer, or (None) because nobody waits for one."""
        ...

    def ended(self, outcome: Outcome, filled: bool, origin: bool) -> None:
        """An attempt has ended: whether it named a source, and whether it went to the origin or named it."""
        ...


class _Open:
    """A request. It stays in the table until its deadline, so that attempts are numbered to the end."""

    __slots__ = (
        "call", "cls", "deadline_us", "legs", "look", "op", "out", "owns_ident", "ran", "reply", "taken_us",
    )  # fmt: skip

    def __init__(
        self, op: int, call: Call, cls: api.RequestClass, reply: Reply, taken_us: int, patience_us: int,
        look: Callable[[], None],
    ) -> None:  # fmt: skip
        self.op, self.call, self.taken_us, self.deadline_us = op, call, taken_us, taken_us + patience_us
        self.cls = cls  # the figures it was taken under, whatever comes into force while it is open
        self.reply: Reply | None = reply  # None once the final answer is given, or nobody waits for it
        self.out: list[_Attempt] = []  # two at most, and that only where a copy is allowed
        self.legs, self.look = 0, look
        self.owns_ident = False
        self.ran: tuple[int, Member] | None = None  # when the first that may have run began, and where


class _Attempt:
    """An attempt that is out."""

    __slots__ = ("exchange", "member", "number", "request", "sent_us", "source", "store", "timer")

    def __init__(
        self, request: _Open, number: int, store: int, source: int, sent_us: int, member: Member | None
    ) -> None:
        self.request, self.number, self.store, self.sent_us = request, number, store, sent_us
        self.source, self.member = source, member  # as listed when it began
        self.exchange: Exchange | None = None
        self.timer: Handle | None = None


class Engine:
    """One router's requests, attempts and timers around one decision module."""

    part = "engine"

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        clock: Clock,
        back: Back,
        most_held: int = 32 << 20,
        names: Names = NO_NAMES,
    ) -> None:
        self._settings, self._clock, self._back, self.most_held = settings, clock, back, most_held
        self._told, self.beside = settings, 0  # as the document says; other processes of this router
        self._divisors: tuple[int, int] | None = None  # in place of the document's routers: all, own zone
        self.lease: Callable[[], None] | None = None  # asked before each batch: a share may have run out
        self._names = names
        self._plan = first(names.classes or [str(i) for i in range(len(settings.classes))], settings.classes)
        self.classes = dict(
            self._plan.numbers
        )  # by name; the front reads them here, so it is changed in place
        self._router = Router(settings, seed)
        self._draw = random.Random(seed)
        self._members: dict[int, Member] = {}
        self._requests: dict[int, _Open] = {}
        self._idents: set[str] = set()  # of open requests
        self._events: list[api.Event] = []
        self._flush_due = False
        self._last_op = self._module_us = 0
        self.tap: Tap | None = None
        self.watch: Watch | None = None
        self.copy_age_limit: Callable[[], int] | None = None
        """The largest age of a copy that any read may accept now, in microseconds, 0 for no limit: for a part
        that knows when purges may have been missed. Asked at each decision, and again as it is written."""
        self.object_number: Callable[[str], int] = object_number
        self.open_requests = 0
        self.held = 0  # bytes of the bodies of open requests

    # --- what a front says

    def submit(
        self, call: Call, reply: Reply, waits: bool = False, look: Callable[[], None] = lambda: None
    ) -> int:
        """Take a request; ``reply`` is called once with its final answer, unless it is abandoned, and never
        before this returns. One that ``waits`` is not decided on until ``go_on``; its deadline runs. ``look``
        is called right before an attempt is written, to take in what its client has said by then."""
        taken = call.ident in self._idents
        self._last_op += 1
        # nobody waits longer than the class allows; an entry kept for an hour, with its timer, is a leak
        cls = self._settings.classes[call.cls]
        patience_us = min(call.patience_us, cls.deadline_us)
        request = _Open(self._last_op, call, cls, reply, self._clock.now_us(), patience_us, look)
        self._requests[request.op] = request
        self.open_requests += 1
        self.held += len(call.body)
        self._clock.after(patience_us, lambda: self._overdue(request))
        if taken:  # stores know a request by its id: this would be a second attempt of the open one
            log.warning("id of an open request", extra=fields(id=call.ident))
            self._clock.soon(lambda: self._answer(request.op, Answer(Verdict.FAILED)))
            return request.op
        self._idents.add(call.ident)
        request.owns_ident = True
        if self.held > self.most_held:  # memory is bounded, whatever clients write
            log.warning("bodies fill the memory", extra=fields(held=self.held))
            no = Answer(Verdict.REFUSED, retry_after_us=self._settings.max_retry_after_us)
            self._clock.soon(lambda: self._answer(request.op, no))
            return request.op
        if self.tap is not None:
            self.tap.name(request.op, call.ident)
        if not waits:
            self.go_on(request.op)
        return request.op

    def go_on(self, op: int) -> None:
        """Let the module decide on a request that is open."""
        request = self._requests.get(op)
        if request is None or request.reply is None:
            return
        call, left_us = request.call, request.deadline_us - self._clock.now_us()
        self._post(
            api.Request(
                op, call.cls, 0, self.object_number(call.key), left_us, call.size_kb,
                call.group, call.part, call.repeat, request.cls.write,
            )
        )  # fmt: skip

    def abandon(self, op: int) -> None:
        """Nobody waits for this request any more."""
        request = self._requests.get(op)
        if request is not None and request.reply is not None:
            self._close(request, None)
            self._post(api.Hangup(op))

    def turned_away(self) -> Answer:
        """The answer to what is not taken because the router empties. Other routers can take it, so the time
        to return is short; it is drawn, or all who are turned away would be back at once."""
        back_us = self._draw.uniform(0.05, 0.3) * self._settings.max_retry_after_us
        return Answer(Verdict.REFUSED, retry_after_us=int(back_us))

    def end_all(self) -> None:
        """Answer all that is open: the program must end, whether or not the stores have answered."""
        for request in list(self._requests.values()):
            if request.reply is not None:
                self._close(request, self._sorry(request))

    # --- a new configuration

    def prepare(self, old: Document, new: Document) -> Callable[[], None]:
        """Make ready for a new document, which numbers zones and kinds as the old one does
        (``core.numbers.aligned``): give its classes their numbers, and see that no store loses its zone."""
        for what, before, after, used in (
            ("zone", old.names.zones, new.names.zones, {m.entry.zone for m in self._members.values()}),
            ("kind", old.names.kinds, new.names.kinds, {m.entry.kind for m in self._members.values()}),
        ):
            for number in sorted(used):
                if before[number] not in after:
                    raise TurnedDown(f"{what} {before[number]} is left out, and stores are listed in it")
        busy = {request.call.cls for request in self._requests.values()}
        classes = plan(self._plan, new.names.classes, new.settings.classes, busy)
        settings = replace(new.settings, classes=classes.figures)
        # stores take on or lose their part by these; the module learns that from a whole list
        roles = ("zone", "parent_kind", "origin_kind")
        relist = any(getattr(old.settings, role) != getattr(new.settings, role) for role in roles)

        def commit() -> None:
            self.flush()  # what has happened until now happened under the old settings
            self._plan, self._names = classes, new.names
            self._run_on(settings, classes.fresh)
            self.classes.clear()
            self.classes.update(classes.numbers)
            if relist:
                self.list_changed(api.ListKind.FULL, 0, tuple(self._members.values()))
                self.flush()

        return commit

    def running(self) -> dict[str, object]:
        """The figures that the module decides by and that the engine holds requests to."""
        cfg = self._router.cfg
        if cfg is not self._settings:
            return {"module": "runs on other settings than the engine"}
        cfg = self._told
        live = {name: cfg.classes[number] for name, number in self.classes.items()}
        return settings_by_name(cfg, self._names, live)

    def share(self, beside: int) -> None:
        """So many other processes of this router serve for now. The rules see all of them as one, so each
        has its part of the router's part of what a cold store and a source bear: the module divides those by
        the routers there are, and is told of so many times more."""
        if beside != self.beside:
            self.flush()
            self.beside = beside
            self._run_on(self._told, frozenset())

    def divide(self, routers: int, here: int) -> None:
        """Use one part in so many of what all routers share, and of what those of the own zone do, in place
        of what the document's count of them comes to. Holds from the next batch on."""
        if (routers, here) != self._divisors:
            self._divisors = routers, here
            self._run_on(self._told, frozenset())

    def _run_on(self, settings: api.Settings, fresh: frozenset[int]) -> None:
        """Put settings in force, for the module and for what it is held to."""
        self._told = settings
        if self._divisors is not None:
            routers, here = self._divisors
            zones = tuple(here if i == settings.zone else n for i, n in enumerate(settings.zone_routers))
            settings = replace(settings, routers=routers, zone_routers=zones)
        if self.beside:
            times = 1 + self.beside
            zones = tuple(n * times for n in settings.zone_routers)
            settings = replace(settings, routers=settings.routers * times, zone_routers=zones)
        retune(self._router, settings, fresh)
        if self.tap is not None:
            self.tap.retuned(settings, fresh)
        self._settings = settings

    # --- what other routers say

    @property
    def taken(self) -> int:
        """How many requests have been taken since the start."""
        return self._last_op

    def writes(self, cls: int) -> bool:
        """Whether requests of this class write."""
        return self._settings.classes[cls].write

    def store_health(self) -> Iterable[tuple[Member, bool, int | None, int | None]]:
        """Of each store that the module may ask: whether it passes it over for its failures, and how long
        ago it last failed and was last of use, in microseconds (None: never)."""
        now = max(self._module_us, self._clock.now_us())
        for number, shunned, *times in health(self._router):
            if (member := self._members.get(number)) is not None:
                failed, good = (None if at < 0 else max(0, now - at) for at in times)
                yield member, shunned, failed, good

    def heed(self, acts: Sequence[Act]) -> None:
        """Let the module leave stores alone, or try them again, by what other routers have seen."""
        if acts:
            now = max(self._module_us, self._clock.now_us())
            heed(self._router, now, acts)
            if self.tap is not None:
                self.tap.heeded(now, acts)

    # --- what the feed says

    def store_names(self) -> list[tuple[int, str]]:
        """The module's numbers of all listed stores, and their ids."""
        return [(number, member.ident) for number, member in self._members.items()]

    @property
    def listed(self) -> int:
        """How many stores are listed, of all zones."""
        return len(self._members)

    def list_changed(self, kind: api.ListKind, version: int, members: Iterable[Member]) -> None:
        """Stores have come, changed or gone; a whole list drops what it leaves out."""
        members = tuple(members)
        if kind != api.ListKind.DELTA:
            self._members.clear()
        for member in members:
            if member.entry.phase == Phase.GONE:
                self._members.pop(member.entry.store, None)
            else:
                self._members[member.entry.store] = member
                if self.tap is not None:
                    self.tap.name(member.entry.store, member.ident)
        self._post(api.StoreList(kind, version, tuple(m.entry for m in members)))

    def purged(self, key: str, group: int, made_us: int) -> None:
        """An object, or with no key a group, was purged at this time."""
        age = max(0, self._clock.now_us() - made_us)
        self._post(api.Purged(self.object_number(key) if key else 0, group, age))

    # --- the module

    def _post(self, event: api.Event) -> None:
        """Queue an event. The module is never entered from here: what comes in together goes in together."""
        self._events.append(event)
        if not self._flush_due:
            self._flush_due = True
            self._clock.soon(self.flush)

    def flush(self) -> None:
        """Hand the module what has happened, and do what it says."""
        self._flush_due = False
        # what is taken back before the module heard of it needs no decision; some do it by the hundreds
        events, self._events = [e for e in self._events if not self._taken_back(e)], []
        if not events:
            return
        if self.lease is not None:
            self.lease()
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

    def _decide(self, events: Sequence[api.Event]) -> list[api.Action]:
        if self.tap is None:
            return self._router.handle(self._module_us, events)
        return self.tap.handle(self._router, self._module_us, events)

    def _taken_back(self, event: api.Event) -> bool:
        if not isinstance(event, api.Request):
            return False
        request = self._requests.get(event.id)
        return request is None or request.reply is None

    def _tell_again(self, events: Iterable[api.Event]) -> list[api.Action]:
        """The module broke off, and may have missed what stays true: drains and purges, which the rules hold
        us to. Each is told once more, by itself; telling it twice does no harm."""
        actions: list[api.Action] = []
        for event in events:
            if isinstance(event, api.StoreList | api.Purged):
                try:
                    actions += self._decide([event])
                except Exception:
                    log.exception("module raised again", extra=fields(event_type=type(event).__name__))
        return actions

    def _answer_for_module(self, said: Iterable[api.Event | api.Action]) -> None:
        """The module broke off: what it was deciding on has no attempt out and would never be answered.
        Requests it had not come to are covered by their deadline."""
        for item in said:
            request = self._requests.get(getattr(item, "id", 0))
            if request is not None and request.reply is not None and not request.out:
                self._close(request, self._sorry(request))
                self._post(api.Hangup(request.op))

    def _do(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self._attempt(action.id, action.store, action.timeout_us, action.store, 0, 0, 0)
            case api.Get(id=op, store=store, timeout_us=timeout, source=source):
                self._attempt(op, store, timeout, source, action.keep, action.age_us, action.mode)
            case api.Refuse():
                self._refuse(action)
            case api.Fail():
                self._answer(action.id, Answer(Verdict.FAILED))
            case api.Cancel():
                request = self._requests.get(action.id)
                for attempt in list(request.out) if request is not None else ():
                    if attempt.number == action.attempt:
                        self._give_up(attempt, Outcome.CANCELLED)
            case api.SetTimer(delay_us=delay, token=token):
                self._clock.after(delay, lambda: self._post(api.Elapsed(token)))
            case api.Probe():
                self._probe(action.store)
            case api.Close() if action.store in self._members:
                self._back.close_idle(self._members[action.store])
            case api.FetchList():
                self.list_changed(api.ListKind.FULL, 0, tuple(self._members.values()))
            case api.Log():
                log.info("module", extra=fields(text=action.text))
            case _:  # the list is always subscribed to, and routers have no way to speak to each other
                log.debug("action without effect here", extra=fields(action=type(action).__name__))

    def _probe(self, store: int) -> None:
        start = self._clock.now_us()

        def done(result: Result) -> None:
            self._post(api.Probed(store, result.outcome, self._clock.now_us() - start, result.load))

        if (member := self._members.get(store)) is None:
            done(Result(Outcome.CONNECT_FAILED))
        else:
            self._back.probe(member, done)

    # --- attempts

    def _attempt(
        self, op: int, store: int, timeout_us: int, source: int, keep: int, age_us: int, mode: int
    ) -> None:
        request, now = self._requests.get(op), self._clock.now_us()
        if request is None:
            log.error("attempt for an unknown request", extra=fields(op=op))
            return
        if request.out and not self._copy_is_allowed(request, store):  # whatever the module believes
            log.error("attempt while one is out", extra=fields(op=op, id=request.call.ident))
            self._give_up_all(request)
        attempt = _Attempt(request, request.legs, store, source, now, self._members.get(store))
        request.legs += 1
        request.out.append(attempt)
        left = request.deadline_us - now
        timeout_us = min(timeout_us or left, left)
        if request.reply is None or timeout_us <= 0 or attempt.number >= self._settings.max_attempts:
            return self._settle(attempt, Result(Outcome.MOOT))
        if (unsent := self._barred(attempt)) is not None:
            log.error("unlawful attempt", extra=fields(id=request.call.ident, outcome=unsent.name.lower()))
            return self._settle(attempt, Result(unsent))
        target, supplier = self._members[store], self._members[source]
        if target.entry.kind == self._settings.parent_kind:
            keep = 0  # parents know no ranks
        by, deadline = (supplier if source != store else None), now + timeout_us
        attempt.timer = self._clock.after(timeout_us, lambda: self._give_up(attempt, Outcome.TIMEOUT))
        once = request.cls.effect != Effect.FREE
        barred, oldest = partial(self._barred_by_now, attempt), None
        if self.copy_age_limit is not None and not request.cls.write:
            age_us = self._oldest_copy(request.cls, age_us)
            oldest = partial(self._oldest_copy, request.cls, age_us)
        order = Order(request.call, target, by, keep, age_us, mode, deadline, once, barred, oldest)
        attempt.exchange = self._back.start(order, lambda result: self._settle(attempt, result))

    def _oldest_copy(self, cls: api.RequestClass, age_us: int) -> int:
        """The smaller of a decided bound on the copy's age (0: the class's fresh time, if it has one) and the
        limit that holds now."""
        limit_us = self.copy_age_limit() if self.copy_age_limit is not None else 0
        if not limit_us:
            return age_us
        return min(limit_us, age_us or cls.fresh_us or limit_us)

    def _copy_is_allowed(self, request: _Open, store: int) -> bool:
        """Whether a second copy may run beside the first: the settings say so, it does no harm to run twice,
        and it goes elsewhere, for a store knows a request by its id."""
        may = self._settings.second_copies and request.cls.effect == Effect.FREE
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
            if member is None or member.entry.phase != Phase.READY:
                return Outcome.CONNECT_FAILED
        gone = request.reply is None or self._clock.now_us() >= request.deadline_us
        return Outcome.MOOT if gone or not self._repeat_is_lawful(request, attempt.store) else None

    def _repeat_is_lawful(self, request: _Open, store: int) -> bool:
        """Whether the store may get a request now that may have run already."""
        cls = request.cls
        if request.ran is None or cls.effect == Effect.FREE:
            return True
        begun_us, first = request.ran
        late = self._clock.now_us() + self._settings.tick_us >= begun_us + cls.dedup_us
        if cls.effect != Effect.KEYED or late:
            return False
        entry, again = first.entry, self._members[store].entry
        alike = {Scope.ZONE: entry.zone == again.zone, Scope.CELL: entry.cell == again.cell}
        return alike.get(cls.scope, True)

    def _give_up(self, attempt: _Attempt, outcome: Outcome) -> None:
        """Call off an attempt that is out."""
        if attempt not in attempt.request.out:
            return
        reached = attempt.exchange.give_up() if attempt.exchange is not None else False
        if outcome == Outcome.TIMEOUT and not reached:
            outcome = Outcome.CONNECT_FAILED  # never up, so it never ran
        self._settle(attempt, Result(outcome))

    def _settle(self, attempt: _Attempt, result: Result) -> None:
        """The one place where an attempt ends: its slot, its timer and its exchange are given back here."""
        request = attempt.request
        if attempt not in request.out:
            return  # a late answer
        request.out.remove(attempt)
        if attempt.timer is not None:
            attempt.timer.cancel()
        attempt.exchange = attempt.timer = None
        if self.watch is not None:
            ends = (self._members.get(attempt.store), self._members.get(attempt.source))
            origin = any(m is not None and m.entry.kind == self._settings.origin_kind for m in ends)
            self.watch.ended(result.outcome, attempt.source != attempt.store, origin)
        if result.outcome not in NEVER_RAN and request.ran is None and attempt.member is not None:
            request.ran = attempt.sent_us, attempt.member
        if result.outcome == Outcome.OK and request.reply is not None:
            self._close(request, Answer(Verdict.SERVED, result.body, result.current))
        self._post(
            api.Ended(
                request.op, result.outcome, self._clock.now_us() - attempt.sent_us, result.fill_wait_us,
                request.reply is None, result.note, attempt.store, attempt.number, result.load,
            )
        )  # fmt: skip

    # --- final answers

    def _refusal_is_lawful(self, request: _Open) -> bool:
        cls = request.cls
        dropped_by_all = cls.effect == Effect.KEYED and cls.scope == Scope.ALL
        never_ran = request.ran is None and not request.out
        return cls.effect == Effect.FREE or dropped_by_all or never_ran

    def _refuse(self, action: api.Refuse) -> None:
        request = self._requests.get(action.id)
        if request is None or request.reply is None:
            return
        if not self._refusal_is_lawful(request):
            log.error("unlawful refusal", extra=fields(id=request.call.ident))
            return self._answer(action.id, Answer(Verdict.FAILED))
        self._answer(action.id, Answer(Verdict.REFUSED, retry_after_us=action.retry_after_us))

    def _answer(self, op: int, answer: Answer) -> None:
        request = self._requests.get(op)
        if request is not None and request.reply is not None:
            self._close(request, answer)

    def _sorry(self, request: _Open) -> Answer:
        """What a request is told when the module has no word for it."""
        lawful = self._refusal_is_lawful(request)
        return Answer(Verdict.REFUSED if lawful else Verdict.FAILED, retry_after_us=0)

    def _overdue(self, request: _Open) -> None:
        """The deadline: an answer still owed is given now, and the request leaves the table."""
        if request.reply is not None:
            log.warning("answered by the backstop", extra=fields(id=request.call.ident, legs=request.legs))
            self._close(request, self._sorry(request))
            self._post(api.Hangup(request.op))
        del self._requests[request.op]

    def _close(self, request: _Open, answer: Answer | None) -> None:
        """The one place where a request ends, with its final answer or because nobody waits for one."""
        reply, request.reply = request.reply, None
        self.open_requests -= 1
        if request.owns_ident:
            self._idents.discard(request.call.ident)
            request.owns_ident = False
        self.held -= len(request.call.body)
        if self.watch is not None:
            verdict = answer.verdict if answer is not None else None
            took_us = self._clock.now_us() - request.taken_us
            self.watch.answered(request.call, request.cls, verdict, took_us)
        self._give_up_all(request)
        if request.call.body:
            request.call = replace(request.call, body=b"")
        if answer is not None and reply is not None:
            try:
                reply(answer)
            except Exception:  # a front's trouble with one client must not reach the store that answered
                log.exception("answer not passed on", extra=fields(id=request.call.ident))
