"""Every decision of the request router. The types it speaks in are in magpieshift/policy/interface.py."""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any

from magpieshift.policy import invalidation as purges
from magpieshift.policy import rejection, retry
from magpieshift.policy.actions import (
    Action,
    CacheRequestFlag,
    CancelAttempt,
    FailRequest,
    RejectRequest,
    SendCacheRequest,
    SendPlainRequest,
    SetTimer,
    SubscribeToEndpointList,
)
from magpieshift.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    Endpoint,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    Event,
    PurgeReceived,
    RequestReceived,
    ResponseStarted,
    TimerFired,
)
from magpieshift.policy.hashing import MASK, mix
from magpieshift.policy.outcomes import NEVER_RAN, CacheStatus, Outcome
from magpieshift.policy.settings import Idempotency, Settings
from magpieshift.policy.state import (
    FILL,
    LOOKUP,
    SAMPLE_WEIGHT,
    WRITE,
    AnswerTimes,
    Attempt,
    EndpointRecord,
    PendingRequest,
)

UNANSWERED = (Outcome.TIMEOUT, Outcome.CONNECT_FAILED, Outcome.CANCELLED, Outcome.SUPERSEDED)
LEAST_CAP = 4  # fills in flight a source is good for, from each of as many routers, until it has shown more
PEAK_US = 10_000_000  # the design's memory of that peak
LINK_CARE = 1.25  # more fills begin on a link while one is under way
SPREAD = 1.4  # root-mean deviations over its part of what is in flight: above, a cache passes requests on
COLD_CARE = 0.5  # of a cold store's budget at most: routers that have yet to hear of it use the rest
COLD_SIGMAS = 3  # deviations of chance, when many routers send at random, that the budget must still cover
ASK_AGAIN = 2  # times, half a fill apart, that a part already being filled is asked for before filling it too
CAUTION = 2  # the slowing seen counts double: what is sent now meets that of what is already on its way
SHUN_AT = 0.4  # share of recent failures above which a store is passed over
# a failing store's pause, longer while what is then tried fails
SHUN_US = 1_000_000
MOST_SHUN = 4
SLUGGISH = 2.0  # by so many sending times slower than a median neighbour, a cache is left aside
# answers taken for lost, for each good one, and saved up at most
AGAIN = 0.1
MOST_AGAIN = 10.0
# share lost from which late ones are, unless so much slower
LOSSY = 0.005
LOSS_SMOOTH = 0.01
WELL = 0.2
RATE_US = 8_000_000  # memory of a slowness that no hit confirms


class RouterPolicy:
    """The decisions of one router instance."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.now_us = 0
        self.next_timer_us = 0
        self.fills_in_flight = 0
        self.actions: list[Action] = []
        self.endpoints: dict[int, EndpointRecord] = {}
        self.caches: dict[
            int, EndpointRecord
        ] = {}  # of the own zone; no other may be asked, so no other is known
        self.parents: dict[int, EndpointRecord] = {}
        self.origins: dict[int, EndpointRecord] = {}
        self.requests: dict[int, PendingRequest] = {}
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.purges: purges.Purges = {}
        self.purge_sweep_size = purges.LEAST_SIZE
        self.timers: list[tuple[int, int]] = []
        self.loss_rate = 0.0  # running share of answers that never came, of stores well and heard since
        self.retry_budget = MOST_AGAIN  # how many answers may be taken for lost
        self.service_times_us = [
            c.latency_objective_us / (1 + c.latency_objective_stretch) for c in settings.classes
        ]  # mean sending time
        self.fill_times_us = [0.0] * len(settings.classes)  # mean of good fills
        self.us_per_kb = 1e6 / settings.client_kb_per_s if settings.client_kb_per_s else 0.0
        self.subscribed = not settings.must_subscribe
        self.handlers: dict[type, Callable[[Any], None]] = {
            RequestReceived: self._request,
            AttemptEnded: self._ended,
            ResponseStarted: self._left,
            ClientDisconnected: self._left,
            TimerFired: self._elapsed,
            EndpointListReceived: self._list,
            PurgeReceived: self._purged,
        }

    def handle(self, now_us: int, events: Iterable[Event]) -> list[Action]:
        """Take in what happened at ``now_us``; return what to do, in order."""
        self.now_us = now_us
        self.actions = [] if self.subscribed else [SubscribeToEndpointList(True)]
        self.subscribed = True
        for event in events:
            if (react := self.handlers.get(type(event))) is not None:
                react(event)
        while (
            self.timers and self.timers[0][1] not in self.requests
        ):  # or each request would wake us once more
            heapq.heappop(self.timers)
        if self.timers and (self.next_timer_us <= now_us or self.timers[0][0] < self.next_timer_us):
            self.next_timer_us = max(self.timers[0][0], now_us + 1)
            self.actions.append(SetTimer(self.next_timer_us - now_us, 0))
        return self.actions

    def _list(self, event: EndpointListReceived) -> None:
        if event.kind == EndpointListKind.FAILED:
            self.subscribed = not self.settings.must_subscribe
        here = {e.number: e for e in event.endpoints}
        for ident, store in list(self.endpoints.items()):
            if ident not in here and event.kind in (EndpointListKind.COMPLETE, EndpointListKind.CACHED):
                self._drop(store)
        for entry in here.values():
            self._enlist(entry)

    def _drop(self, store: EndpointRecord) -> None:
        """Forget a departed store; attempts out there keep what they need of it, waiting fills go on."""
        for role in (self.endpoints, self.caches, self.parents, self.origins):
            role.pop(store.endpoint.number, None)
        store.endpoint = replace(store.endpoint, state=EndpointState.REMOVED)
        self._wake(store)

    def _enlist(self, entry: Endpoint) -> None:
        above = {self.settings.parent_kind: self.parents, self.settings.origin_kind: self.origins}
        own = self.caches if entry.zone == self.settings.zone else None
        role = above.get(entry.kind, own) if entry.state != EndpointState.REMOVED else None
        if (old := self.endpoints.get(entry.number)) and (
            role is None or entry.number not in role or entry.started_us != old.endpoint.started_us
        ):
            self._drop(old)  # a fresh process has no past
        if role is not None:
            store = role.setdefault(entry.number, EndpointRecord(entry, mix(entry.number)))
            if self.endpoints.setdefault(entry.number, store) is not old:  # all routers hear of it at once
                wait = max(self.service_times_us) / self._cold_rate(store)
                store.next_warming_us = self.now_us + int(self.random.random() * wait)
            store.endpoint = entry
            self._wake(store)

    def _purged(self, event: PurgeReceived) -> None:
        purges.add(self.purges, event.object_key, event.group, self.now_us - event.age_us)
        self.purge_sweep_size = purges.expire(
            self.purges, self.purge_sweep_size, self.now_us, self.settings.purge_propagation_us
        )

    def _age(self, job: PendingRequest) -> int:
        """Oldest copy that will do, by class and purge; never 0 for a purge: that would mean the default."""
        return purges.oldest_copy(
            self.purges,
            job.request,
            job.request_class.max_age_us,
            self.now_us,
            self.settings.purge_propagation_us,
        )

    def _cold_rate(self, store: EndpointRecord) -> float:
        """Work a microsecond this router may send a store that started lately; infinite once warm."""
        cfg = self.settings
        entry = store.endpoint
        span = cfg.slow_start_us
        start = cfg.slow_start_fraction
        fall = cfg.overload_multiple
        sharers = cfg.zone_router_counts[entry.zone]
        alike = self.caches
        if entry.kind == cfg.parent_kind:
            span = cfg.parent_slow_start_us
            start = cfg.parent_slow_start_fraction
            fall = cfg.parent_overload_multiple
            sharers = cfg.router_count
            alike = self.parents
        age = max(self.now_us - entry.started_us, 0)
        if entry.kind == cfg.origin_kind or not entry.started_us or age >= span:
            return math.inf
        sharers = max(1, sharers)
        size = max(entry.weight, 0.1)
        if not cfg.weights_are_sizes:  # it bears what others of its kind carry for all routers, on average
            size = max(1.0, sharers * sum(s.in_flight for s in alike.values()) / max(1, len(alike)))
        whole = size * fall * max(start + (1 - start) * age / span, 0.001)
        bears = (
            whole * cfg.overload_window_us / max(1.0, *self.service_times_us)
        )  # sends in the time that the rule looks at
        mean = ((math.sqrt(COLD_SIGMAS**2 + 4 * bears) - COLD_SIGMAS) / 2) ** 2  # and chance fills the rest
        return whole / sharers * min(COLD_CARE, mean / bears)

    def _turn(self, store: EndpointRecord) -> bool:
        """Whether it may be sent something now: turns at a cold store are not saved up for a common burst."""
        gap = max(self.service_times_us) / self._cold_rate(store)  # 0 once it is warm
        if gap and (past := self.now_us - store.next_warming_us - self.settings.overload_window_us) > 0:
            store.next_warming_us += int(math.ceil(past / gap) * gap)
        return self.now_us >= store.next_warming_us

    def _usable(self, store: EndpointRecord) -> bool:
        """A store that failed is asked one at a time until what is tried there comes back well."""
        tried = store.failure_rate > SHUN_AT and store.in_flight > 0
        return (
            store.endpoint.state == EndpointState.READY
            and self.now_us >= store.ejected_until_us
            and not tried
        )

    def _blame(self, store: EndpointRecord, weight: float) -> None:
        """Refusals, errors and silence shift one share, once an instant: a break fails all that is open."""
        if store.last_failure_us == self.now_us:
            return
        store.last_failure_us = self.now_us
        store.failure_rate += weight * (1 - store.failure_rate)
        if (
            store.failure_rate > SHUN_AT and self.now_us >= store.ejected_until_us
        ):  # many routers must not try it all at once
            pause = SHUN_AT / max(SHUN_AT / MOST_SHUN, 1 - store.failure_rate) * (1 + self.random.random())
            store.ejected_until_us = self.now_us + int(SHUN_US * pause)
            self._wake(store)

    def _request(self, req: RequestReceived) -> None:
        work = req.size_kb * self.us_per_kb or self.service_times_us[
            req.class_index
        ] * self.random.expovariate(1.0)
        job = PendingRequest(
            req,
            self.settings.classes[req.class_index],
            self.now_us + req.time_left_us - 2 * self.settings.tick_us,
            work,
        )
        self.requests[req.request_id] = job
        job.objective_at_us = (
            self.now_us
            + job.request_class.latency_objective_us
            + job.request_class.latency_objective_stretch * max(work, self.service_times_us[req.class_index])
        )
        if req.size_kb:
            self.service_times_us[req.class_index] += SAMPLE_WEIGHT * (
                min(work, req.time_left_us) - self.service_times_us[req.class_index]
            )
        heapq.heappush(self.timers, (job.answer_by_us, req.request_id))
        self._advance(job)

    def _advance(self, job: PendingRequest) -> None:
        """Next step of a request with no attempt out: ask its cache, fill, wait, or end."""
        cache = None if job.request_class.is_write and self.settings.may_bypass_caches else self._edge(job)
        if not self._may_send(job) or (cache is None and not self.settings.may_bypass_caches):
            return self._end(job)
        if (
            cache is None
            or job.request_class.is_write
            or job.missed_at is cache
            or self._cold_rate(cache) < math.inf
        ):
            return self._fill(job, cache)
        slow = job.missed_at is None and not self._prompt(job, cache)
        return self._end(job) if slow else self._send(job, cache, None)

    def _prompt(self, job: PendingRequest, store: EndpointRecord) -> bool:
        """Whether the answer can come within the aim, as slow as its hits were; those of old fade."""
        slower = store.slowdown_at(store.in_flight + 1) * math.exp(
            (store.last_hit_us - self.now_us) / RATE_US
        )
        return (
            job.service_time_us * (1 + CAUTION * slower)
            <= job.request_class.latency_objective_us
            + job.request_class.latency_objective_stretch * job.service_time_us
        )

    def _may_send(self, job: PendingRequest) -> bool:
        """Whether a further attempt is lawful and can still be answered."""
        need = (
            self.settings.tick_us
            if job.request_class.is_write
            else self.service_times_us[job.request.class_index]
        )
        first = job.first_execution
        exhausted = retry.is_exhausted(
            job.attempts_started, self.settings.max_attempts, self.now_us, need, job.answer_by_us
        )
        return not exhausted and retry.is_repeat_permitted(
            job.request_class, first[1] if first else None, self.now_us, self.settings.tick_us
        )

    def _in_group(self, job: PendingRequest, store: EndpointRecord) -> bool:
        """Whether the store would discard a repeat of what may already have run."""
        if job.first_execution is None:
            return True
        return retry.is_within_scope(job.request_class, job.first_execution[0].endpoint, store.endpoint)

    def _edge(self, job: PendingRequest) -> EndpointRecord | None:
        """The object's cache: weighted rendezvous over ready ones that are well and not over their part."""
        ready = [s for s in self.caches.values() if s.endpoint.state == EndpointState.READY]
        usual = sorted(s.slowdown for s in ready)[(len(ready) - 1) // 2] if ready else 0.0
        quick = [s for s in ready if s.slowdown <= SLUGGISH + 2 * usual]
        per_weight = sum(s.in_flight for s in quick) / max(sum(s.endpoint.weight for s in quick), 1e-6)
        best: tuple[tuple[bool, int, float], EndpointRecord | None] = (
            (self.settings.may_bypass_caches, 0, -1.0),
            None,
        )
        salt = mix(job.request.object_key) + job.request.part
        for store in (s for s in ready if s.endpoint.number not in job.failed_endpoints):
            weight = max(store.endpoint.weight, 1e-6)
            unit = (mix(salt ^ store.hash_salt) + 1) / (MASK + 2)
            part = per_weight * weight
            if store in quick:
                calm = int(store.in_flight < max(LEAST_CAP, part + SPREAD * math.sqrt(part)))
            else:  # one at a time, to learn when it is well again
                calm = 1 if store.in_flight == 0 and self._prompt(job, store) else -1
            rank = (self._usable(store), calm + 2 * (job.missed_at is store), weight / -math.log(unit))
            if rank > best[0] and self._turn(store) and self._in_group(job, store):
                best = (rank, store)
        return best[1]

    def _sources(self, job: PendingRequest) -> list[EndpointRecord]:
        """First and second parent in a hash order over all listed ones, then the origin."""
        salt = mix(job.request.object_key)
        above = [] if job.request_class.is_write else self.parents.values()
        return heapq.nlargest(2, above, key=lambda s: mix(salt ^ s.hash_salt)) + list(self.origins.values())

    def _lane(self, job: PendingRequest, source: EndpointRecord) -> int:
        """What it takes of a source. Past the cap of fills, what a parent holds need not wait."""
        parent = (
            source.endpoint.kind == self.settings.parent_kind
            and source.endpoint.number not in job.lookup_misses
        )
        full = parent and source.in_flight_by_kind[FILL] >= self._cap(source, FILL)
        return WRITE if job.request_class.is_write else LOOKUP if full else FILL

    def _link_bears(self, job: PendingRequest) -> bool:
        """Whether the zone's link in brings it within its aim, shared with all fills that are under way."""
        sharers = (
            LINK_CARE * self.settings.zone_router_counts[self.settings.zone] * (self.fills_in_flight + 1)
        )
        link = self.settings.zone_link_kb_per_s[self.settings.zone] or math.inf
        return 1e6 * job.request.size_kb * sharers / link <= max(
            job.objective_at_us - self.now_us, job.request_class.latency_objective_us
        )

    def _fill(self, job: PendingRequest, cache: EndpointRecord | None) -> None:
        """Send under the source's cap, or wait in its queue, or spill to the next source."""
        for source in self._sources(job) if self._link_bears(job) else ():
            lane = job.work_kind = self._lane(job, source)
            takes = (self.service_times_us if lane == LOOKUP else self.fill_times_us)[job.request.class_index]
            last = (
                source.endpoint.kind == self.settings.origin_kind
                and source.endpoint.state == EndpointState.READY
            )
            fit = self._in_group(job, source) and source.endpoint.number not in job.failed_endpoints
            now = self._turn(source) and self.now_us + takes <= job.answer_by_us
            if not (fit and now and (last or self._usable(source))):
                continue
            cap = self._cap(source, lane)
            busy = source.in_flight_by_kind[lane]
            ahead = [j for j in source.queue.values() if j.work_kind == lane]
            if busy == 0 or (busy < cap and not ahead):
                return self._send(job, cache or source, source)
            until = int(min(job.objective_at_us, job.answer_by_us) - takes)  # then a fill is in its aim
            turn = self.now_us + takes * (len(ahead) + 1) / cap
            if turn <= until and len(ahead) < cap and self._cold_rate(source) == math.inf:
                job.queued_at = source
                job.queued_until_us = until
                source.queue[job.request.request_id] = job
                heapq.heappush(self.timers, (job.queued_until_us, job.request.request_id))
                return
        return self._end(job)

    def _cap(self, source: EndpointRecord, lane: int) -> int:
        """One more than the most in flight that lately took 0.7 of their aim, half after each late one."""
        peak, when = source.concurrency_peaks[lane]
        least = min(LEAST_CAP, max(1, LEAST_CAP**2 // max(1, self.settings.router_count)))
        return 1 + peak if when and self.now_us <= when + PEAK_US else least

    def _send(self, job: PendingRequest, store: EndpointRecord, source: EndpointRecord | None) -> None:
        timeout = job.answer_by_us - self.settings.tick_us - self.now_us
        req = job.request
        pace = store.answer_times.setdefault((req.class_index, source is not None), AnswerTimes())
        aim = job.request_class.latency_objective_us + job.request_class.latency_objective_stretch * (
            job.service_time_us if req.size_kb else self.service_times_us[req.class_index]
        )
        lost = aim * pace.lost_after()  # then it may be asked again in time, once, where that is lawful
        within = {
            Idempotency.IDEMPOTENT: timeout,
            Idempotency.WITH_KEY: job.request_class.deduplication_us / 2,
        }.get(job.request_class.idempotency, 0)
        if self.loss_rate > LOSSY and self.retry_budget >= 1 and not job.was_interrupted:
            timeout = (
                int(lost) if lost < min(within, timeout - self.service_times_us[req.class_index]) else timeout
            )
        if store.endpoint.kind == self.settings.origin_kind:
            self.actions.append(SendPlainRequest(req.request_id, store.endpoint.number, timeout))
        else:
            by = source or store
            keep = 0 if job.request_class.is_write else 1
            if (
                source is store and job.work_kind != LOOKUP
            ):  # passing the caches by, a parent needs the origin named
                by = next(
                    (s for s in self.origins.values() if s.endpoint.state == EndpointState.READY), store
                )
            age = self._age(job)
            mode = CacheRequestFlag.COALESCE_FILL if self.settings.coalesces_fills and keep else 0
            mode |= (
                CacheRequestFlag.SOURCE_CACHED_ONLY if source is not None and job.work_kind == LOOKUP else 0
            )
            self.actions.append(
                SendCacheRequest(
                    req.request_id, store.endpoint.number, timeout, by.endpoint.number, keep, age, mode
                )
            )
        both = (store,) if source is None or source is store else (store, source)
        for s in both:
            s.in_flight += 1
            s.next_warming_us = max(s.next_warming_us, self.now_us) + int(
                self.service_times_us[req.class_index] / self._cold_rate(s)
            )
        sent = Attempt(job, store, source, both, self.now_us, pace, aim, store.in_flight, job.work_kind)
        self.attempts[req.request_id, job.attempts_started] = sent
        job.attempt_in_flight = job.attempts_started
        job.attempts_started += 1
        if source is not None:
            source.in_flight_by_kind[job.work_kind] += 1
            self.fills_in_flight += 1

    def _wake(self, source: EndpointRecord) -> None:
        """Let waiting fills go while there are slots, the newest first, each judged anew; all if down."""
        down = not self._usable(source)
        for job in list(reversed(source.queue.values())):
            full = source.in_flight_by_kind[job.work_kind] >= self._cap(
                source, job.work_kind
            ) or not self._turn(source)
            if (down or not full) and source.queue.pop(job.request.request_id, None) is not None:
                job.queued_at = None
                waiting = source.queue
                source.queue = {}
                self._advance(job)
                source.queue = waiting | source.queue

    def _ended(self, event: AttemptEnded) -> None:
        if (attempt := self.attempts.pop((event.request_id, event.attempt), None)) is None:
            return
        job = attempt.pending
        job.attempt_in_flight = -1
        self._settle(attempt, event)
        if event.outcome == Outcome.OK and job.suspect not in (None, attempt.endpoint):
            self._blame(
                job.suspect, 2 * SAMPLE_WEIGHT
            )  # others can use the request: the fault was the store's
        job.first_execution = job.first_execution or (
            None if event.outcome in NEVER_RAN else (attempt.endpoint, attempt.sent_us)
        )
        if event.request_closed or event.request_id not in self.requests:
            self._forget(job)
        else:
            self._next(job, attempt, event)
        if attempt.source is not None:
            self._wake(attempt.source)

    def _settle(self, attempt: Attempt, event: AttemptEnded) -> None:
        """Give the slots back, once, and learn: a source is worked as hard as it answers in time."""
        source = attempt.source
        cls = attempt.pending.request.class_index
        ok = event.outcome == Outcome.OK
        share = event.latency_us / max(1.0, attempt.latency_objective_us)
        if ok or event.outcome == Outcome.TIMEOUT:
            self.retry_budget = min(MOST_AGAIN, self.retry_budget + AGAIN) if ok else self.retry_budget - 1
            lost = not ok and attempt.endpoint.slowdown < WELL and attempt.others_answered_since()
            if not lost:  # what never came says nothing of how long answers take
                attempt.answer_times.record(share)
            if ok or lost:
                self.loss_rate += LOSS_SMOOTH * (lost - self.loss_rate)
        if source is not None and (ok or event.outcome == Outcome.TIMEOUT):
            busy = source.in_flight_by_kind[attempt.work_kind]
            (peak, when) = source.concurrency_peaks[attempt.work_kind]
            if not ok or (share > 1 and attempt.pending.request.size_kb):  # not just big
                source.concurrency_peaks[attempt.work_kind] = (peak // 2 if ok else 0, self.now_us)
            elif share < 0.7 and (busy >= peak or self.now_us > when + PEAK_US):
                source.concurrency_peaks[attempt.work_kind] = (busy, self.now_us)
            if ok and attempt.work_kind != LOOKUP:
                self.fill_times_us[cls] += SAMPLE_WEIGHT * (event.latency_us - self.fill_times_us[cls])
        elif ok and event.cache_status in (
            CacheStatus.NONE,
            CacheStatus.HIT,
        ):  # a hit is as slow as its cache, whatever fills do
            at = attempt.endpoint
            ought = attempt.pending.request.size_kb * self.us_per_kb or self.service_times_us[cls]
            if (
                not attempt.pending.request.size_kb
            ):  # untold: about the least that hits take; slow ones hardly count
                off = event.latency_us - self.service_times_us[cls]
                self.service_times_us[cls] += (SAMPLE_WEIGHT if off < 0 else SAMPLE_WEIGHT / 20) * off
            at.last_hit_us = self.now_us
            at.hit_time_sum_us = (1 - SAMPLE_WEIGHT) * at.hit_time_sum_us + event.latency_us
            at.expected_time_sum_us = (1 - SAMPLE_WEIGHT) * at.expected_time_sum_us + ought
            at.weighted_in_flight_sum_us = (
                1 - SAMPLE_WEIGHT
            ) * at.weighted_in_flight_sum_us + ought * attempt.in_flight_at_start
        for at in attempt.involved:
            at.in_flight -= 1
            if event.outcome not in UNANSWERED and (at is attempt.endpoint or ok):
                at.last_heard_us = self.now_us
            if ok or (event.outcome == Outcome.MISS and at is attempt.endpoint):
                at.failure_rate *= 1 - 2 * SAMPLE_WEIGHT
        if source is not None:
            source.in_flight_by_kind[attempt.work_kind] -= 1
            self.fills_in_flight -= 1

    def _culprit(self, attempt: Attempt, event: AttemptEnded) -> EndpointRecord:
        """Whom a failure speaks against. A fill follows a cache's prompt 'miss', so its source is suspect."""
        own = (
            self.settings.reports_cache_status
            and event.cache_status in (CacheStatus.NONE, CacheStatus.NO_CAPACITY)
            and event.outcome not in UNANSWERED
        )
        if attempt.source is None or own or event.outcome in (Outcome.CONNECT_FAILED, Outcome.RESET):
            return attempt.endpoint
        failed = event.cache_status == CacheStatus.ORIGIN_FAILED
        return next(iter(self.origins.values()), attempt.source) if failed else attempt.source

    def _next(self, job: PendingRequest, attempt: Attempt, event: AttemptEnded) -> None:
        """The attempt failed and the request goes on: put the blame somewhere and step on."""
        store = attempt.endpoint
        source = attempt.source
        outcome = event.outcome
        if outcome in (Outcome.SUPERSEDED, Outcome.CANCELLED):
            return self._end(job)
        missed = outcome == Outcome.MISS and source is None
        if (
            missed and event.cache_status == CacheStatus.COALESCED and job.attempts_started <= ASK_AGAIN
        ):  # another router is filling it
            job.ask_again_us = self.now_us + int(self.fill_times_us[job.request.class_index] / 2)
            return heapq.heappush(self.timers, (job.ask_again_us, job.request.request_id))
        if missed:
            job.missed_at = store
        elif outcome == Outcome.MISS and attempt.work_kind == LOOKUP:
            job.lookup_misses.add(attempt.involved[-1].endpoint.number)
        elif outcome == Outcome.TIMEOUT and not job.was_interrupted and attempt.others_answered_since():
            job.was_interrupted = True  # it is asked once more; whoever answers others is well
        elif outcome == Outcome.RESET:  # asked once more: it may hold the copy, and if down a connect fails
            if job.was_interrupted:
                job.failed_endpoints.add(store.endpoint.number)
            job.was_interrupted = True
            self._blame(store, 2 * SAMPLE_WEIGHT)
        elif outcome == Outcome.ERROR and event.cache_status == CacheStatus.NONE:
            if job.suspect is not None:  # two say so: the request is what cannot be used
                return self._end(job)
            job.suspect = store
            if not job.request_class.is_write:  # a write has nowhere else to go
                job.failed_endpoints.add(store.endpoint.number)
        else:
            culprit = self._culprit(attempt, event)
            if outcome != Outcome.MISS:
                job.failed_endpoints.add(culprit.endpoint.number)
                soft = (
                    0.0 if event.cache_status == CacheStatus.NO_CAPACITY else SAMPLE_WEIGHT
                )  # it still serves what it holds
                silent = outcome in UNANSWERED or (
                    culprit is source and event.cache_status == CacheStatus.SOURCE_LOST
                )
                mute = silent and culprit.last_heard_us <= attempt.sent_us
                self._blame(
                    culprit, 0.5 if mute else soft if outcome == Outcome.OVERLOADED else 2 * SAMPLE_WEIGHT
                )
            if source is not None and culprit is not store:
                job.failed_endpoints.add(source.endpoint.number)
        self._advance(job)

    def _left(self, event: ResponseStarted | ClientDisconnected) -> None:
        if (job := self.requests.get(event.request_id)) and isinstance(event, ClientDisconnected):
            self._forget(job)
        elif job:  # a stream has begun, no deadline runs any more
            job.answer_by_us += MASK

    def _elapsed(self, event: TimerFired) -> None:
        while self.timers and self.timers[0][0] <= self.now_us:
            job = self.requests.get(heapq.heappop(self.timers)[1])
            if job and self.now_us >= (job.queued_until_us if job.queued_at else job.answer_by_us):
                self._end(job)
            elif job and job.attempt_in_flight < 0 and not job.queued_at and job.ask_again_us <= self.now_us:
                self._advance(job)

    def _end(self, job: PendingRequest) -> None:
        """The final answer: a refusal where it is lawful, else a failure."""
        spare_us = job.objective_at_us - self.fill_times_us[job.request.class_index] - self.now_us
        # drawn for a failure as well: all instances of a version draw in the same order
        after_us = rejection.retry_after_us(spare_us, self.settings.max_retry_after_us, self.random)
        may_have_run = job.first_execution is not None or job.attempt_in_flight >= 0
        if rejection.may_reject(job.request_class, may_have_run):
            self.actions.append(RejectRequest(job.request.request_id, after_us))
        else:
            self.actions.append(FailRequest(job.request.request_id))
        if job.attempt_in_flight >= 0 and self.settings.can_cancel_attempts:
            self.actions.append(CancelAttempt(job.request.request_id, job.attempt_in_flight))
        self._forget(job)

    def _forget(self, job: PendingRequest) -> None:
        self.requests.pop(job.request.request_id, None)
        if job.queued_at is not None:
            job.queued_at.queue.pop(job.request.request_id, None)
