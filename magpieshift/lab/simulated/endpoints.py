"""Models of endpoints: service slots, a bounded queue, cached objects, and faults. Times are microseconds."""

from __future__ import annotations

import random
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from magpieshift.engine.model import ListedEndpoint
from magpieshift.lab.simulated.time import ScheduledCall, SimulatedTime

US_PER_S = 1_000_000
ObjectKey = tuple[str, int]  # the object's key, and the number of its part


class EndpointCondition(Enum):
    """Whether an endpoint works, and how it fails."""

    RUNNING = "running"
    CRASHED = "crashed"  # connections are refused at once
    UNRESPONSIVE = "unresponsive"  # requests are accepted and never answered


@dataclass(frozen=True)
class EndpointCapacity:
    """How many requests an endpoint serves, how fast, and how many objects it caches."""

    slots: int  # requests served at the same time
    us_per_kb: float = 0.0  # service time for each kilobyte of the object
    min_service_us: float = 2_000.0  # lower bound of the service time
    max_queued: int = 64  # requests waiting for a slot; further ones are rejected
    max_objects: int = 500  # upper bound of cached objects


class Work:
    """One request at an endpoint: queued, in a slot, or in flight."""

    __slots__ = ("event", "is_over", "release_slot")

    def __init__(self) -> None:
        self.event: ScheduledCall | None = None  # its next step, if one is scheduled
        self.release_slot: Callable[[], None] | None = None  # releases the slot that it holds
        self.is_over = False

    def end(self) -> None:
        """End the request, completed or cancelled, and release its slot; a second call does nothing."""
        if self.is_over:
            return
        self.is_over = True
        if self.event is not None:
            self.event.cancel()
        self.release()

    def release(self) -> None:
        """Release the slot, if it holds one."""
        release_slot = self.release_slot
        self.release_slot = None
        if release_slot is not None:
            release_slot()


class SimulatedEndpoint:
    """One endpoint: a cache, a parent cache or the origin."""

    def __init__(
        self, listed: ListedEndpoint, capacity: EndpointCapacity, time: SimulatedTime, rand: random.Random
    ) -> None:
        self.listed = listed  # its entry in the endpoint list of routers
        self.capacity = capacity
        self.condition = EndpointCondition.RUNNING
        self.error_probability = 0.0  # probability that a request is answered with an error
        self.slowdowns: dict[str, float] = {}  # factors of service times by request class; "" for all classes
        self.cached: OrderedDict[ObjectKey, None] = OrderedDict()  # least recently used first
        self._time = time
        self._random = rand
        self._busy_slots = 0
        # each with its service time (us) and ``then``
        self._queue: deque[tuple[Work, float, Callable[[], None]]] = deque()

    @property
    def is_failing(self) -> bool:
        """Whether the endpoint has crashed or is unresponsive."""
        return self.condition != EndpointCondition.RUNNING

    @property
    def load(self) -> int:
        """Requests in slots and in the queue."""
        return self._busy_slots + len(self._queue)

    def has_capacity(self) -> bool:
        """Whether one more request is accepted."""
        return self.load < self.capacity.slots + self.capacity.max_queued

    def draws_error(self) -> bool:
        """Whether this request is answered with an error. Draws a random number only if
        ``error_probability`` is above 0."""
        return self.error_probability > 0 and self._random.random() < self.error_probability

    def lookup(self, key: ObjectKey) -> bool:
        """Whether an object is cached; if so, it becomes the most recently used one."""
        if key in self.cached:
            self.cached.move_to_end(key)
            return True
        return False

    def store(self, key: ObjectKey) -> None:
        """Cache an object, and evict the least recently used ones above ``max_objects``."""
        self.cached[key] = None
        self.cached.move_to_end(key)
        while len(self.cached) > self.capacity.max_objects:
            self.cached.popitem(last=False)

    def service_time_us(self, class_name: str, size_kb: float) -> float:
        """Time for which a request of this class and size holds a slot."""
        factor = self.slowdowns.get(class_name, self.slowdowns.get("", 1.0))
        return max(self.capacity.min_service_us, size_kb * self.capacity.us_per_kb) * factor

    def serve(self, work: Work, service_us: float, then: Callable[[], None]) -> None:
        """Hold a slot for the service time, then call ``then``. If no slot is free, the request waits in a
        first-in, first-out queue. ``then`` is not called if the request ends before."""
        if self._busy_slots < self.capacity.slots:
            self._begin(work, service_us, then)
        else:
            self._queue.append((work, service_us, then))

    def _begin(self, work: Work, service_us: float, then: Callable[[], None]) -> None:
        self._busy_slots += 1
        work.release_slot = self._release_slot

        def finished() -> None:
            work.release()
            if not work.is_over:
                then()

        work.event = self._time.after(service_us, finished)

    def _release_slot(self) -> None:
        self._busy_slots -= 1
        while self._queue:
            work, service_us, then = self._queue.popleft()
            if not work.is_over:
                self._begin(work, service_us, then)
                return


class ZoneLink:
    """The network link into a zone. Transfers run one at a time, in the order of their start."""

    def __init__(self, time: SimulatedTime, kb_per_s: float) -> None:
        self.kb_per_s = kb_per_s
        self._time = time
        self._idle_at_us = 0  # end of the last transfer scheduled

    def transfer(self, work: Work, size_kb: float, then: Callable[[], None]) -> None:
        """Transfer ``size_kb``, then call ``then`` unless the request was cancelled. A cancelled transfer
        still occupies the link for its whole duration."""
        start_us = max(self._idle_at_us, self._time.now_us)
        self._idle_at_us = start_us + int(US_PER_S * size_kb / self.kb_per_s)
        work.event = self._time.at(self._idle_at_us, lambda: None if work.is_over else then())
