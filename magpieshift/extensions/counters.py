"""The counters extension: counts requests by class and attempts since the start, to compare versions.

The engine reports each request and attempt when it ends; the admin command FIGURES returns the counters. The
incarnation identifies the process: a reader compares it before subtracting two answers, so that counters
reset by a restart are not mistaken for progress.
"""

from __future__ import annotations

import json
import os
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from importlib.metadata import version
from pathlib import Path

from hdrh.histogram import HdrHistogram

from magpieshift import clock
from magpieshift.app import EdgeRouter
from magpieshift.engine.model import ClientRequest, Verdict
from magpieshift.extensions.extension import BaseExtension
from magpieshift.policy.outcomes import NEVER_RAN, Outcome
from magpieshift.policy.settings import RequestClass

# Limits memory, as reconfigurations may add classes; requests of further classes are not counted.
MAX_CLASSES = 64
MAX_LATENCY_US = 60_000_000  # longer latencies are recorded as this
LATENCY_DIGITS = 2  # significant decimal digits of latencies in the histogram
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def _latency_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_LATENCY_US, LATENCY_DIGITS)


@dataclass(slots=True)
class ClassCounters:
    """The requests of one class, counted by how they ended."""

    received: int = 0
    served_in_time: int = 0  # within the latency objective
    served_late: int = 0
    rejected: int = 0
    failed: int = 0
    disconnected: int = 0  # the client disconnected before the answer
    # latencies of served answers; histograms of several routers can be merged
    latency_us: HdrHistogram = field(default_factory=_latency_histogram)

    def as_json(self) -> dict[str, object]:
        """Return the counters under the keys that the answer to FIGURES has for a class."""
        return {
            "asked": self.received,
            "failed": self.failed,
            "late": self.served_late,
            "left": self.disconnected,
            "refused": self.rejected,
            "served": self.served_in_time,
            "latency": self.latency_us.encode().decode(),
        }


@dataclass(slots=True)
class AttemptCounters:
    """The attempts at endpoints, counted by what they did and how they ended."""

    total: int = 0
    fills: int = 0  # attempts that named a source to fill the endpoint from
    origin: int = 0  # attempts whose endpoint or source was the origin
    errors: int = 0  # attempts that ran at the endpoint and did not succeed


class RequestCounters(BaseExtension):
    """Counts requests and attempts, and answers FIGURES with the counters as one line of JSON."""

    name = "figures"

    def __init__(self, router: EdgeRouter, label: str) -> None:
        """``label`` is the name that a rollout gave to the program and settings that this process runs."""
        self._router = router
        self._label = label
        self._classes: dict[str, ClassCounters] = {}  # by class name
        self._attempts = AttemptCounters()
        self._incarnation = f"{time.time_ns() // 1_000_000}.{os.getpid()}"
        self._started_us = clock.source.steady_us()
        router.engine.request_observer = self

    def commands(self) -> Mapping[str, Callable[[], str]]:
        """FIGURES returns the counters."""
        return {"FIGURES": self._status}

    async def stop(self) -> None:
        """Stop counting."""
        self._router.engine.request_observer = None

    # --- engine.interfaces.RequestObserver

    def request_ended(
        self, request: ClientRequest, request_class: RequestClass, verdict: Verdict | None, duration_us: int
    ) -> None:
        """Count a request; ``verdict`` is None if the client disconnected before the answer."""
        counters = self._classes.get(request.class_name)
        if counters is None:
            if len(self._classes) >= MAX_CLASSES:
                return
            counters = self._classes[request.class_name] = ClassCounters()
        counters.received += 1
        if verdict is None:
            counters.disconnected += 1
        elif verdict == Verdict.SERVED:
            is_in_time = duration_us <= self._latency_objective_us(request, request_class)
            counters.served_in_time += is_in_time
            counters.served_late += not is_in_time
            counters.latency_us.record_value(max(1, min(duration_us, MAX_LATENCY_US)))
        elif verdict == Verdict.REJECTED:
            counters.rejected += 1
        else:
            counters.failed += 1

    def _latency_objective_us(self, request: ClientRequest, request_class: RequestClass) -> float:
        """The class's latency objective, extended in proportion to the time that sending the body takes."""
        client_kb_per_s = self._router.document.settings.client_kb_per_s
        sending_us = 1e6 * request.size_kb / client_kb_per_s if client_kb_per_s else 0.0
        return request_class.latency_objective_us + request_class.latency_objective_stretch * sending_us

    def attempt_ended(self, outcome: Outcome, filled: bool, origin: bool) -> None:
        """Count an attempt at an endpoint."""
        self._attempts.total += 1
        self._attempts.fills += filled
        self._attempts.origin += origin
        self._attempts.errors += outcome not in NEVER_RAN and outcome != Outcome.OK

    # --- the admin command

    def _status(self) -> str:
        resident_kb, descriptors = _process_usage()
        return json.dumps(
            {
                "name": self._router.document.name,
                "label": self._label,
                "program": version("magpieshift"),
                "settings": self._router.version,
                "incarnation": self._incarnation,
                "state": self._router.lifecycle.state_name,
                "up_us": clock.source.steady_us() - self._started_us,
                "classes": {name: counters.as_json() for name, counters in self._classes.items()},
                "attempts": self._attempts.total,
                "fills": self._attempts.fills,
                "origin": self._attempts.origin,
                "errors": self._attempts.errors,
                "cpu_us": time.process_time_ns() // 1000,
                "rss_kb": resident_kb,
                "descriptors": descriptors,
                "open": self._router.engine.open_requests,
            },
            separators=(",", ":"),
        )


def _process_usage() -> tuple[int, int]:
    """Resident memory in kB and number of open descriptors; both 0 if the system has no ``/proc``."""
    try:
        pages = int(Path("/proc/self/statm").read_text().split()[1])
        descriptors = len(os.listdir("/proc/self/fd"))
    except (OSError, IndexError, ValueError):
        return 0, 0
    return pages * PAGE_BYTES // 1024, descriptors
