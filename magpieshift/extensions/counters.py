"""A router's own figures, for who compares versions: counters since its start, by class, as a fitting.

They are counted where requests and attempts end (``Engine.watch``) and read at the door. A process has an
incarnation, so that a restart is never read as a gain: who takes differences compares that first.
"""

from __future__ import annotations

import json
import os
import time
from collections.abc import Callable, Mapping
from importlib.metadata import version
from pathlib import Path

from hdrh.histogram import HdrHistogram

from magpieshift import clock
from magpieshift.app import EdgeRouter
from magpieshift.engine.model import ClientRequest, Verdict
from magpieshift.extensions.extension import BaseExtension
from magpieshift.policy.outcomes import NEVER_RAN, Outcome
from magpieshift.policy.settings import RequestClass

MOST_CLASSES = 64  # counted by themselves; settings may name more over time
MOST_US = 60_000_000
PAGE = os.sysconf("SC_PAGE_SIZE")


class ClassCounters:
    """What became of one class's requests. ``served`` are those within the wanted time."""

    __slots__ = ("asked", "failed", "late", "latency", "left", "refused", "served")

    def __init__(self) -> None:
        self.asked = 0
        self.served = 0
        self.late = 0
        self.refused = 0
        self.failed = 0
        self.left = 0
        self.latency = HdrHistogram(1, MOST_US, 2)  # microseconds of answers served; mergeable

    def plain(self) -> dict[str, object]:
        counts = {name: getattr(self, name) for name in self.__slots__ if name != "latency"}
        return counts | {"latency": self.latency.encode().decode()}


class RequestCounters(BaseExtension):
    """Counts, and answers ``FIGURES`` at the door with one line of JSON."""

    name = "figures"

    def __init__(self, router: EdgeRouter, label: str) -> None:
        self._router = router
        self._label = label
        self._classes: dict[str, ClassCounters] = {}
        self._attempts = 0
        self._fills = 0
        self._origin = 0
        self._errors = 0
        self._incarnation = f"{time.time_ns() // 1_000_000}.{os.getpid()}"
        self._began_us = clock.source.steady_us()
        router.engine.request_observer = self

    def commands(self) -> Mapping[str, Callable[[], str]]:
        return {"FIGURES": self._line}

    async def stop(self) -> None:
        self._router.engine.request_observer = None

    # --- as the engine's watch

    def request_ended(
        self, call: ClientRequest, cls: RequestClass, verdict: Verdict | None, took_us: int
    ) -> None:
        name = call.class_name
        counts = self._classes.get(name)
        if counts is None:
            if len(self._classes) >= MOST_CLASSES:
                return
            counts = self._classes[name] = ClassCounters()
        counts.asked += 1
        if verdict is None:
            counts.left += 1
        elif verdict == Verdict.SERVED:
            flow = self._router.document.settings.client_kb_per_s
            sending_us = 1e6 * call.size_kb / flow if flow else 0.0
            within = took_us <= cls.latency_objective_us + cls.latency_objective_stretch * sending_us
            counts.served += within
            counts.late += not within
            counts.latency.record_value(max(1, min(took_us, MOST_US)))
        elif verdict == Verdict.REJECTED:
            counts.refused += 1
        else:
            counts.failed += 1

    def attempt_ended(self, outcome: Outcome, filled: bool, origin: bool) -> None:
        self._attempts += 1
        self._fills += filled
        self._origin += origin
        self._errors += outcome not in NEVER_RAN and outcome != Outcome.OK

    # --- at the door

    def _line(self) -> str:
        try:
            pages = int(Path("/proc/self/statm").read_text().split()[1])
            descriptors = len(os.listdir("/proc/self/fd"))
        except (OSError, IndexError, ValueError):
            # not this system's way of telling: such figures are not compared
            pages = 0
            descriptors = 0
        return json.dumps(
            {
                "name": self._router.document.name,
                "label": self._label,
                "program": version("magpieshift"),
                "settings": self._router.version,
                "incarnation": self._incarnation,
                "state": self._router.lifecycle.state_name,
                "up_us": clock.source.steady_us() - self._began_us,
                "classes": {name: counts.plain() for name, counts in self._classes.items()},
                "attempts": self._attempts,
                "fills": self._fills,
                "origin": self._origin,
                "errors": self._errors,
                "cpu_us": time.process_time_ns() // 1000,
                "rss_kb": pages * PAGE // 1024,
                "descriptors": descriptors,
                "open": self._router.engine.open_requests,
            },
            separators=(",", ":"),
        )
