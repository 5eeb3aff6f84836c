"""Every decision of the request router. The types it speaks in are in molecleat/interface.py."""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any

from molecleat import interface as api
from molecleat import purges
from molecleat.hashing import MASK, mix
from molecleat.interface import NEVER_RAN, Effect, Mode, Note, Outcome, Phase, Scope
from molecleat.records import FILL, LOOK, SMOOTH, WRITE, Attempt, Job, Pace, Store

UNANSWERED = (Outcome.TIMEOUT, Outcome.CONNECT_FAILED, Outcome.CANCELLED, Outcome.MOOT)
LEAST_CAP = 4  # fills in flight a source is good for, from each of as many routers, until it has shown more
PEAK_US = 10_000_000  # the design's memory of that peak
LINK_CARE = 1.25  # more fills begin on a link while one is under way
SPREAD = 1.4  # root-mean deviations over its part of what is in flight: above, a cache passes requests on
COLD_CARE = 0.5  # of a cold store's budget at most: routers that have yet to hear of it use the rest
COLD_SIGMAS = 3  # deviations of chance, when many routers send at random, that the budget must still cover
ASK_AGAIN = 2  # times, half a fill apart, that a part already being filled is asked for before filling it too
CAUTION = 2  # the slowing seen counts double: what is sent now meets that of what is already on its way
SHUN_AT = 0.4  # share of recent failures above which a store is passed over
SHUN_US, MOST_SHUN = 1_000_000, 4  # a failing store's pause, longer while what is then tried fails
SLUGGISH = 2.0  # by so many sending times slower than a median neighbour, a cache is left aside
AGAIN, MOST_AGAIN = 0.1, 10.0  # answers taken for lost, for each good one, and saved up at most
LOSSY, LOSS_SMOOTH, WELL = 0.005, 0.01, 0.2  # share lost from which late ones are, unless so much slower
RATE_US = 8_000_000  # memory of a slowness that no hit confirms


class Router:
    """The decisions of one router instance."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.cfg = settings
        self.random = random.Random(seed)
        self.now = self.timer_us = self.filling = 0
        self.actions: list[api.Action] = []
        self.stores: dict[int, Store] = {}
        self.caches: dict[int, Store] = {}  # of the own zone; no other may be asked, so no other is known
        self.parents: dict[int, Store] = {}
        self.origins: dict[int, Store] = {}
        self.jobs: dict[int, Job] = {}
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.purges: purges.Purges = {}
        self.purges_most = purges.LEAST_SIZE
        self.timers: list[tuple[int, int]] = []
        self.lost = 0.0  # running share of answers that never came, of stores well and heard since
        self.again = MOST_AGAIN  # how many answers may be taken for lost
        self.work_us = [c.aim_us / (1 + c.aim_stretch) for c in settings.classes]  # mean sending time
        self.fill_us = [0.0] * len(settings.classes)  # mean of good fills
        self.us_per_kb = 1e6 / settings.flow_kb_per_s if settings.flow_kb_per_s else 0.0
        self.subscribed = not settings.must_subscribe
        self.reactions: dict[type, Callable[[Any], None]] = {
            api.Request: self._request,
            api.Ended: self._ended,
            api.Begun: self._left,
            api.Hangup: self._left,
            api.Elapsed: self._elapsed,
            api.StoreList: self._list,
            api.Purged: self._purged,
        }

    def handle(self, now_us: int, events: Iterable[api.Event]) -> list[api.Action]:
        """Take in what happened at ``now_us``; return what to do, in order."""
        self.now, self.actions = now_us, [] if self.subscribed else [api.Subscribe(True)]
        self.subscribed = True
        for event in events:
            if (react := self.reactions.get(type(event))) is not None:
                react(event)
        while self.timers and self.timers[0][1] not in self.jobs:  # or each request would wake us once more
            heapq.heappop(self.timers)
        if self.timers and (self.timer_us <= now_us or self.timers[0][0] < self.timer_us):
            self.timer_us = max(self.timers[0][0], now_us + 1)
            self.actions.append(api.SetTimer(self.timer_us - now_us, 0))
        return self.actions

    def _list(self, event: api.StoreList) -> None:
        if event.kind == api.ListKind.FAILED:
            self.subscribed = not self.cfg.must_subscribe
        here = {e.store: e for e in event.entries}
        for ident, store in list(self.stores.items()):
            if ident not in here and event.kind in (api.ListKind.FULL, api.ListKind.CACHED):
                self._drop(store)
        for entry in here.values():
            self._enlist(entry)

    def _drop(self, store: Store) -> None:
        """Forget a departed store; attempts out there keep what they need of it, waiting fills go on."""
        for role in (self.stores, self.caches, self.parents, self.origins):
            role.pop(store.entry.store, None)
        store.entry = replace(store.entry, phase=Phase.GONE)
        self._wake(store)

    def _enlist(self, entry: api.Entry) -> None:
        above = {self.cfg.parent_kind: self.parents, self.cfg.origin_kind: self.origins}
        own = self.caches if entry.zone == self.cfg.zone else None
        role = above.get(entry.kind, own) if entry.phase != Phase.GONE else None
        if (old := self.stores.get(entry.store)) and (
            role is None or entry.store not in role or entry.up_since_us != old.entry.up_since_us
        ):
            self._drop(old)  # a fresh process has no past
        if role is not None:
            store = role.setdefault(entry.store, Store(entry, mix(entry.store)))
            if self.stores.setdefault(entry.store, store) is not old:  # all routers hear of it at once
                wait = max(self.work_us) / self._cold_rate(store)
                store.next_cold_us = self.now + int(self.random.random() * wait)
            store.entry = entry
            self._wake(store)

    def _purged(self, event: api.Purged) -> None:
        purges.add(self.purges, event.key, event.group, self.now - event.age_us)
        self.purges_most = purges.expire(self.purges, self.purges_most, self.now, self.cfg.purge_done_us)

    def _age(self, job: Job) -> int:
        """Oldest copy that will do, by class and purge; never 0 for a purge: that would mean the default."""
        return purges.oldest_copy(self.purges, job.req, job.cls.fresh_us, self.now, self.cfg.purge_done_us)

    def _cold_rate(self, store: Store) -> float:
        """Work a microsecond this router may send a store that started lately; infinite once warm."""
        cfg, entry = self.cfg, store.entry
        span, start, fall = cfg.cold_us, cfg.cold_from, cfg.fall_multiple
        sharers, alike = cfg.zone_routers[entry.zone], self.caches
        if entry.kind == cfg.parent_kind:
            span, start, fall = cfg.parent_cold_us, cfg.parent_cold_from, cfg.parent_fall_multiple
            sharers, alike = cfg.routers, self.parents
        age = max(self.now - entry.up_since_us, 0)
        if entry.kind == cfg.origin_kind or not entry.up_since_us or age >= span:
            return math.inf
        sharers, size = max(1, sharers), max(entry.weight, 0.1)
        if not cfg.weights_are_sizes:  # it bears what others of its kind carry for all routers, on average
            size = max(1.0, sharers * sum(s.flying for s in alike.values()) / max(1, len(alike)))
        whole = size * fall * max(start + (1 - start) * age / span, 0.001)
        bears = whole * cfg.fall_us / max(1.0, *self.work_us)  # sends in the time that the rule looks at
        mean = ((math.sqrt(COLD_SIGMAS**2 + 4 * bears) - COLD_SIGMAS) / 2) ** 2  # and chance fills the rest
        return whole / sharers * min(COLD_CARE, mean / bears)

    def _turn(self, store: Store) -> bool:
        """Whether it may be sent something now: turns at a cold store are not saved up for a common burst."""
        gap = max(self.work_us) / self._cold_rate(store)  # 0 once it is warm
        if gap and (past := self.now - store.next_cold_us - self.cfg.fall_us) > 0:
            store.next_cold_us += int(math.ceil(past / gap) * gap)
        return self.now >= store.next_cold_us

    def _usable(self, store: Store) -> bool:
        """A store that failed is asked one at a time until what is tried there comes back well."""
        tried = store.bad > SHUN_AT and store.flying > 0
        return store.entry.phase == Phase.READY and self.now >= store.shun_until and not tried

    def _blame(self, store: Store, weight: float) -> None:
        """Refusals, errors and silence shift one share, once an instant: a break fails all that is open."""
        if store.blamed_us == self.now:
            return
        store.blamed_us = self.now
        store.bad += weight * (1 - store.bad)
        if store.bad > SHUN_AT and self.now >= store.shun_until:  # many routers must not try it all at once
            pause = SHUN_AT / max(SHUN_AT / MOST_SHUN, 1 - store.bad) * (1 + self.random.random())
            store.shun_until = self.now + int(SHUN_US * pause)
            self._wake(store)

    def _request(self, req: api.Request) -> None:
        work = req.size_kb * self.us_per_kb or self.work_us[req.cls] * self.random.expovariate(1.0)
        job = Job(req, self.cfg.classes[req.cls], self.now + req.patience_us - 2 * self.cfg.tick_us, work)
        self.jobs[req.id] = job
        job.due_us = self.now + job.cls.aim_us + job.cls.aim_stretch * max(work, self.work_us[req.cls])
        if req.size_kb:
            self.work_us[req.cls] += SMOOTH * (min(work, req.patience_us) - self.work_us[req.cls])
        heapq.heappush(self.timers, (job.end_us, req.id))
        self._advance(job)

    def _advance(self, job: Job) -> None:
        """Next step of a request with no attempt out: ask its cache, fill, wait, or end."""
        cache = None if job.cls.write and self.cfg.may_pass_by else self._edge(job)
        if not self._may_send(job) or (cache is None and not self.cfg.may_pass_by):
            return self._end(job)
        if cache is None or job.cls.write or job.missed is cache or self._cold_rate(cache) < math.inf:
            return self._fill(job, cache)
        slow = job.missed is None and not self._prompt(job, cache)
        return self._end(job) if slow else self._send(job, cache, None)

    def _prompt(self, job: Job, store: Store) -> bool:
        """Whether the answer can come within the aim, as slow as its hits were; those of old fade."""
        slower = store.slower_beside(store.flying + 1) * math.exp((store.hit_us - self.now) / RATE_US)
        return job.work_us * (1 + CAUTION * slower) <= job.cls.aim_us + job.cls.aim_stretch * job.work_us

    def _may_send(self, job: Job) -> bool:
        """Whether a further attempt is lawful and can still be answered."""
        need = self.cfg.tick_us if job.cls.write else self.work_us[job.req.cls]
        if job.legs >= self.cfg.max_attempts or self.now + need >= job.end_us:
            return False
        if job.ran is None or job.cls.effect != Effect.KEYED:
            return job.ran is None or job.cls.effect == Effect.FREE
        return self.now + self.cfg.tick_us < job.ran[1] + job.cls.dedup_us

    def _in_group(self, job: Job, store: Store) -> bool:
        """Whether the store would discard a repeat of what may already have run."""
        if job.ran is None or job.cls.effect == Effect.FREE or job.cls.scope == Scope.ALL:
            return True
        first, again = job.ran[0].entry, store.entry
        return again.zone == first.zone if job.cls.scope == Scope.ZONE else again.cell == first.cell

    def _edge(self, job: Job) -> Store | None:
        """The object's cache: weighted rendezvous over ready ones that are well and not over their part."""
        ready = [s for s in self.caches.values() if s.entry.phase == Phase.READY]
        usual = sorted(s.slower for s in ready)[(len(ready) - 1) // 2] if ready else 0.0
        quick = [s for s in ready if s.slower <= SLUGGISH + 2 * usual]
        per_weight = sum(s.flying for s in quick) / max(sum(s.entry.weight for s in quick), 1e-6)
        best: tuple[tuple[bool, int, float], Store | None] = ((self.cfg.may_pass_by, 0, -1.0), None)
        salt = mix(job.req.key) + job.req.part
        for store in (s for s in ready if s.entry.store not in job.failed):
            weight, unit = max(store.entry.weight, 1e-6), (mix(salt ^ store.salt) + 1) / (MASK + 2)
            part = per_weight * weight
            if store in quick:
                calm = int(store.flying < max(LEAST_CAP, part + SPREAD * math.sqrt(part)))
            else:  # one at a time, to learn when it is well again
                calm = 1 if store.flying == 0 and self._prompt(job, store) else -1
            rank = (self._usable(store), calm + 2 * (job.missed is store), weight / -math.log(unit))
            if rank > best[0] and self._turn(store) and self._in_group(job, store):
                best = (rank, store)
        return best[1]

    def _sources(self, job: Job) -> list[Store]:
        """First and second parent in a hash order over all listed ones, then the origin."""
        salt, above = mix(job.req.key), [] if job.cls.write else self.parents.values()
        return heapq.nlargest(2, above, key=lambda s: mix(salt ^ s.salt)) + list(self.origins.values())

    def _lane(self, job: Job, source: Store) -> int:
        """What it takes of a source. Past the cap of fills, what a parent holds need not wait."""
        parent = source.entry.kind == self.cfg.parent_kind and source.entry.store not in job.looked
        full = parent and source.busy[FILL] >= self._cap(source, FILL)
        return WRITE if job.cls.write else LOOK if full else FILL

    def _link_bears(self, job: Job) -> bool:
        """Whether the zone's link in brings it within its aim, shared with all fills that are under way."""
        sharers = LINK_CARE * self.cfg.zone_routers[self.cfg.zone] * (self.filling + 1)
        link = self.cfg.zone_link_kb_per_s[self.cfg.zone] or math.inf
        return 1e6 * job.req.size_kb * sharers / link <= max(job.due_us - self.now, job.cls.aim_us)

    def _fill(self, job: Job, cache: Store | None) -> None:
        """Send under the source's cap, or wait in its queue, or spill to the next source."""
        for source in self._sources(job) if self._link_bears(job) else ():
            lane = job.lane = self._lane(job, source)
            takes = (self.work_us if lane == LOOK else self.fill_us)[job.req.cls]
            last = source.entry.kind == self.cfg.origin_kind and source.entry.phase == Phase.READY
            fit = self._in_group(job, source) and source.entry.store not in job.failed
            now = self._turn(source) and self.now + takes <= job.end_us
            if not (fit and now and (last or self._usable(source))):
                continue
            cap, busy = self._cap(source, lane), source.busy[lane]
            ahead = [j for j in source.queue.values() if j.lane == lane]
            if busy == 0 or (busy < cap and not ahead):
                return self._send(job, cache or source, source)
            until = int(min(job.due_us, job.end_us) - takes)  # then a fill is in its aim
            turn = self.now + takes * (len(ahead) + 1) / cap
            if turn <= until and len(ahead) < cap and self._cold_rate(source) == math.inf:
                job.held, job.hold_us = source, until
                source.queue[job.req.id] = job
                heapq.heappush(self.timers, (job.hold_us, job.req.id))
                return
        return self._end(job)

    def _cap(self, source: Store, lane: int) -> int:
        """One more than the most in flight that lately took 0.7 of their aim, half after each late one."""
        peak, when = source.peaks[lane]
        least = min(LEAST_CAP, max(1, LEAST_CAP**2 // max(1, self.cfg.routers)))
        return 1 + peak if when and self.now <= when + PEAK_US else least

    def _send(self, job: Job, store: Store, source: Store | None) -> None:
        timeout, req = job.end_us - self.cfg.tick_us - self.now, job.req
        pace = store.paces.setdefault((req.cls, source is not None), Pace())
        aim = job.cls.aim_us + job.cls.aim_stretch * (job.work_us if req.size_kb else self.work_us[req.cls])
        lost = aim * pace.lost_at()  # then it may be asked again in time, once, where that is lawful
        within = {Effect.FREE: timeout, Effect.KEYED: job.cls.dedup_us / 2}.get(job.cls.effect, 0)
        if self.lost > LOSSY and self.again >= 1 and not job.broken:
            timeout = int(lost) if lost < min(within, timeout - self.work_us[req.cls]) else timeout
        if store.entry.kind == self.cfg.origin_kind:
            self.actions.append(api.Send(req.id, store.entry.store, timeout))
        else:
            by, keep = source or store, 0 if job.cls.write else 1
            if source is store and job.lane != LOOK:  # passing the caches by, a parent needs the origin named
                by = next((s for s in self.origins.values() if s.entry.phase == Phase.READY), store)
            age, mode = self._age(job), Mode.JOIN if self.cfg.joins_fills and keep else 0
            mode |= Mode.SOURCE_HELD_ONLY if source is not None and job.lane == LOOK else 0
            self.actions.append(api.Get(req.id, store.entry.store, timeout, by.entry.store, keep, age, mode))
        both = (store,) if source is None or source is store else (store, source)
        for s in both:
            s.flying += 1
            s.next_cold_us = max(s.next_cold_us, self.now) + int(self.work_us[req.cls] / self._cold_rate(s))
        sent = Attempt(job, store, source, both, self.now, pace, aim, store.flying, job.lane)
        self.attempts[req.id, job.legs], job.out = sent, job.legs
        job.legs += 1
        if source is not None:
            source.busy[job.lane] += 1
            self.filling += 1

    def _wake(self, source: Store) -> None:
        """Let waiting fills go while there are slots, the newest first, each judged anew; all if down."""
        down = not self._usable(source)
        for job in list(reversed(source.queue.values())):
            full = source.busy[job.lane] >= self._cap(source, job.lane) or not self._turn(source)
            if (down or not full) and source.queue.pop(job.req.id, None) is not None:
                job.held, waiting, source.queue = None, source.queue, {}
                self._advance(job)
                source.queue = waiting | source.queue

    def _ended(self, event: api.Ended) -> None:
        if (attempt := self.attempts.pop((event.id, event.attempt), None)) is None:
            return
        job = attempt.job
        job.out = -1
        self._settle(attempt, event)
        if event.outcome == Outcome.OK and job.accused not in (None, attempt.store):
            self._blame(job.accused, 2 * SMOOTH)  # others can use the request: the fault was the store's
        job.ran = job.ran or (None if event.outcome in NEVER_RAN else (attempt.store, attempt.sent_us))
        if event.closed or event.id not in self.jobs:
            self._forget(job)
        else:
            self._next(job, attempt, event)
        if attempt.source is not None:
            self._wake(attempt.source)

    def _settle(self, attempt: Attempt, event: api.Ended) -> None:
        """Give the slots back, once, and learn: a source is worked as hard as it answers in time."""
        source, cls, ok = attempt.source, attempt.job.req.cls, event.outcome == Outcome.OK
        share = event.latency_us / max(1.0, attempt.aim_us)
        if ok or event.outcome == Outcome.TIMEOUT:
            self.again = min(MOST_AGAIN, self.again + AGAIN) if ok else self.again - 1
            lost = not ok and attempt.store.slower < WELL and attempt.heard_since()
            if not lost:  # what never came says nothing of how long answers take
                attempt.pace.learn(share)
            if ok or lost:
                self.lost += LOSS_SMOOTH * (lost - self.lost)
        if source is not None and (ok or event.outcome == Outcome.TIMEOUT):
            busy, (peak, when) = source.busy[attempt.lane], source.peaks[attempt.lane]
            if not ok or (share > 1 and attempt.job.req.size_kb):  # not just big
                source.peaks[attempt.lane] = (peak // 2 if ok else 0, self.now)
            elif share < 0.7 and (busy >= peak or self.now > when + PEAK_US):
                source.peaks[attempt.lane] = (busy, self.now)
            if ok and attempt.lane != LOOK:
                self.fill_us[cls] += SMOOTH * (event.latency_us - self.fill_us[cls])
        elif ok and event.note in (Note.NONE, Note.HIT):  # a hit is as slow as its cache, whatever fills do
            at, ought = attempt.store, attempt.job.req.size_kb * self.us_per_kb or self.work_us[cls]
            if not attempt.job.req.size_kb:  # untold: about the least that hits take; slow ones hardly count
                off = event.latency_us - self.work_us[cls]
                self.work_us[cls] += (SMOOTH if off < 0 else SMOOTH / 20) * off
            at.hit_us = self.now
            at.took_us = (1 - SMOOTH) * at.took_us + event.latency_us
            at.ought_us = (1 - SMOOTH) * at.ought_us + ought
            at.crowd = (1 - SMOOTH) * at.crowd + ought * attempt.beside
        for at in attempt.both:
            at.flying -= 1
            if event.outcome not in UNANSWERED and (at is attempt.store or ok):
                at.heard_us = self.now
            if ok or (event.outcome == Outcome.MISS and at is attempt.store):
                at.bad *= 1 - 2 * SMOOTH
        if source is not None:
            source.busy[attempt.lane] -= 1
            self.filling -= 1

    def _culprit(self, attempt: Attempt, event: api.Ended) -> Store:
        """Whom a failure speaks against. A fill follows a cache's prompt 'miss', so its source is suspect."""
        own = self.cfg.notes and event.note in (Note.NONE, Note.NO_PLACE) and event.outcome not in UNANSWERED
        if attempt.source is None or own or event.outcome in (Outcome.CONNECT_FAILED, Outcome.RESET):
            return attempt.store
        failed = event.note == Note.ORIGIN_FAILED
        return next(iter(self.origins.values()), attempt.source) if failed else attempt.source

    def _next(self, job: Job, attempt: Attempt, event: api.Ended) -> None:
        """The attempt failed and the request goes on: put the blame somewhere and step on."""
        store, source, outcome = attempt.store, attempt.source, event.outcome
        if outcome in (Outcome.MOOT, Outcome.CANCELLED):
            return self._end(job)
        missed = outcome == Outcome.MISS and source is None
        if missed and event.note == Note.JOINED and job.legs <= ASK_AGAIN:  # another router is filling it
            job.again_us = self.now + int(self.fill_us[job.req.cls] / 2)
            return heapq.heappush(self.timers, (job.again_us, job.req.id))
        if missed:
            job.missed = store
        elif outcome == Outcome.MISS and attempt.lane == LOOK:
            job.looked.add(attempt.both[-1].entry.store)
        elif outcome == Outcome.TIMEOUT and not job.broken and attempt.heard_since():
            job.broken = True  # it is asked once more; whoever answers others is well
        elif outcome == Outcome.RESET:  # asked once more: it may hold the copy, and if down a connect fails
            if job.broken:
                job.failed.add(store.entry.store)
            job.broken = True
            self._blame(store, 2 * SMOOTH)
        elif outcome == Outcome.ERROR and event.note == Note.NONE:
            if job.accused is not None:  # two say so: the request is what cannot be used
                return self._end(job)
            job.accused = store
            if not job.cls.write:  # a write has nowhere else to go
                job.failed.add(store.entry.store)
        else:
            culprit = self._culprit(attempt, event)
            if outcome != Outcome.MISS:
                job.failed.add(culprit.entry.store)
                soft = 0.0 if event.note == Note.NO_PLACE else SMOOTH  # it still serves what it holds
                silent = outcome in UNANSWERED or (culprit is source and event.note == Note.SOURCE_LOST)
                mute = silent and culprit.heard_us <= attempt.sent_us
                self._blame(culprit, 0.5 if mute else soft if outcome == Outcome.FULL else 2 * SMOOTH)
            if source is not None and culprit is not store:
                job.failed.add(source.entry.store)
        self._advance(job)

    def _left(self, event: api.Begun | api.Hangup) -> None:
        if (job := self.jobs.get(event.id)) and isinstance(event, api.Hangup):
            self._forget(job)
        elif job:  # a stream has begun, no deadline runs any more
            job.end_us += MASK

    def _elapsed(self, event: api.Elapsed) -> None:
        while self.timers and self.timers[0][0] <= self.now:
            job = self.jobs.get(heapq.heappop(self.timers)[1])
            if job and self.now >= (job.hold_us if job.held else job.end_us):
                self._end(job)
            elif job and job.out < 0 and not job.held and job.again_us <= self.now:
                self._advance(job)

    def _end(self, job: Job) -> None:
        """The final answer: a refusal where it is lawful, else a failure."""
        by_all = job.cls.effect == Effect.KEYED and job.cls.scope == Scope.ALL
        harmless = by_all or job.cls.effect == Effect.FREE or (job.ran is None and job.out < 0)
        spare = job.due_us - self.fill_us[job.req.cls] - self.now  # in which coming back is still of use:
        after = spare * self.random.random() / 2 if spare > 0 else self.cfg.max_retry_after_us  # and again
        self.actions.append(api.Refuse(job.req.id, int(after)) if harmless else api.Fail(job.req.id))
        if job.out >= 0 and self.cfg.may_cancel:
            self.actions.append(api.Cancel(job.req.id, job.out))
        self._forget(job)

    def _forget(self, job: Job) -> None:
        self.jobs.pop(job.req.id, None)
        if job.held is not None:
            job.held.queue.pop(job.req.id, None)
