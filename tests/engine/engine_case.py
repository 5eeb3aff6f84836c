"""Test case with an engine on a fake clock and a fake upstream, without sockets."""

import itertools
import unittest
from collections.abc import Callable
from dataclasses import replace
from typing import Any
from unittest import mock

from magpieshift.config import parse
from magpieshift.engine.engine import Engine
from magpieshift.engine.model import (
    AttemptResult,
    ClientRequest,
    ListedEndpoint,
    Response,
    UpstreamRequest,
    endpoint_number,
)
from magpieshift.policy.actions import Action
from magpieshift.policy.events import (
    AttemptEnded,
    Endpoint,
    EndpointListKind,
    EndpointState,
    Event,
)
from magpieshift.policy.outcomes import Outcome
from tests.recorded.exchange import config

SECOND = 1_000_000
READ_REQUEST = ClientRequest(
    "00000000000000a1", 0, "picture", "7f3a9c21e0b4d655", 3, 17, 9.5, 4 * SECOND, False, "", "", b""
)
WRITE_REQUEST = replace(
    READ_REQUEST, class_index=1, class_name="basket", idempotency_key="5c0f", body=b"eggs"
)


class FakeClock:
    """A clock that advances, and fires timers, only in ``run``."""

    def __init__(self) -> None:
        self.now = 1_764_576_000 * SECOND
        self.timers: list[tuple[int, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def now_us(self) -> int:
        return self.now

    def after(self, delay_us: int, call: Callable[[], None]) -> Any:
        timer = (self.now + max(delay_us, 0), next(self._numbers), call)
        self.timers.append(timer)
        return mock.Mock(cancel=lambda: self.timers.remove(timer) if timer in self.timers else None)

    def soon(self, call: Callable[[], None]) -> None:
        self.after(0, call)

    def run(self, for_us: int = 0) -> None:
        end = self.now + for_us
        while (due := min((t for t in self.timers if t[0] <= end), default=None)) is not None:
            self.timers.remove(due)
            self.now = max(self.now, due[0])
            due[2]()
        self.now = end


class FakeUpstream:
    """Records started attempts; the test ends them by calling their ``done``."""

    def __init__(self) -> None:
        self.started: list[tuple[UpstreamRequest, Callable[[AttemptResult], None]]] = []
        self.cancelled: list[UpstreamRequest] = []
        self.reached = True

    def start(self, request: UpstreamRequest, done: Callable[[AttemptResult], None]) -> Any:
        self.started.append((request, done))
        return mock.Mock(cancel=lambda: self.cancelled.append(request) or self.reached)  # type: ignore[func-returns-value]

    def probe(self, endpoint: ListedEndpoint, done: Callable[[AttemptResult], None]) -> None:
        done(AttemptResult(Outcome.OK))

    def close_idle(self, endpoint: ListedEndpoint) -> None: ...


class EngineCase(unittest.TestCase):
    """An engine with two ready endpoints, one cache and one origin."""

    def setUp(self) -> None:
        ports = {"cache": "127.0.0.1:1", "origin": "127.0.0.1:2", "log": "127.0.0.1:3"}
        self.clock, self.upstream, self.answers = FakeClock(), FakeUpstream(), list[Response]()
        self.engine = Engine(
            parse(config(ports)).document.settings, 7, self.clock, self.upstream, max_body_bytes=100
        )
        self.endpoints = [self.listed_endpoint("s-cache", 0, 1, 1), self.listed_endpoint("s-origin", 2, 0, 2)]
        self.engine.list_changed(EndpointListKind.CACHED, 1, self.endpoints)
        self.clock.run()
        self.events: list[Event] = []
        self.policy_handle = self.engine.policy_calls.policy.handle
        self.engine.policy_calls.policy.handle = self.record_events  # type: ignore[method-assign, assignment]
        self.forced_actions: list[Action] | Exception | None = None

    def listed_endpoint(
        self, name: str, kind: int, zone: int, port: int, state: EndpointState = EndpointState.READY
    ) -> ListedEndpoint:
        entry = Endpoint(endpoint_number(name), zone, kind, port, state, 4.0, 0)
        return ListedEndpoint(name, ("127.0.0.1", port), entry)

    def record_events(self, now_us: int, events: list[Event]) -> list[Action]:
        """Record the events and call the policy.

        ``forced_actions`` replaces the policy's actions, or is raised: an empty list at every call, anything
        else at the next call only.
        """
        self.events += events
        forced = self.forced_actions
        self.forced_actions = None if forced else forced
        if isinstance(forced, Exception):
            raise forced
        actions = self.policy_handle(now_us, events)
        return actions if forced is None else forced

    def submit(self, request: ClientRequest = READ_REQUEST) -> int:
        """Submit a request under a unique id; returns its number."""
        request = replace(request, request_id=f"{self.engine.requests_submitted + 1:016x}")
        number = self.engine.submit(request, self.answers.append)
        self.clock.run()
        return number

    def finish_attempt(self, result: AttemptResult) -> None:
        self.upstream.started[-1][1](result)
        self.clock.run()

    def attempt_ends(self) -> list[tuple[int, Outcome, bool]]:
        return [(e.attempt, e.outcome, e.request_closed) for e in self.events if isinstance(e, AttemptEnded)]
