"""Measures how long it takes to apply a version in a router with a long endpoint list, and how long this
blocks the event loop.

A router runs in this process, with its version storage on disk. A ticker on its event loop records how late
it wakes up. Versions of three kinds alternate: one changes a single value, one adds or removes a request
class, one reorders the zones. After each version follows an idle time as long as its application took.
"""

from __future__ import annotations

import asyncio
import copy
import gc
import os
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from magpieshift.control import sexp
from magpieshift.control.document_changes import document_digest
from magpieshift.control.version_content import FullContent
from magpieshift.control.version_records import OfferOutcome, VersionOffer
from magpieshift.extensions.runner import THREAD_SWITCH_INTERVAL_S, Installation, Options
from magpieshift.lab.emulators.loopback_installation import LoopbackInstallation

KINDS = ("a figure", "classes", "zones anew")
TICK_INTERVAL_S = 0.001  # interval of the ticker
IDLE = "none"  # kind of the lateness recorded while no version is applied


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, 60_000_000, 3)


@dataclass
class ApplyHistograms:
    """Histograms in microseconds, by kind of version."""

    apply_us: dict[str, HdrHistogram] = field(default_factory=lambda: {k: _histogram() for k in KINDS})
    pause_us: dict[str, HdrHistogram] = field(default_factory=lambda: {k: _histogram() for k in KINDS})
    lateness_us: dict[str, HdrHistogram] = field(
        default_factory=lambda: {k: _histogram() for k in (*KINDS, IDLE)}
    )

    def rows(self) -> list[dict[str, Any]]:
        """Return a row of the report for each kind of version, with times in milliseconds."""
        rows = []
        for kind, lateness in self.lateness_us.items():
            row: dict[str, Any] = {"version changes": kind}
            for name, histograms in (("apply", self.apply_us), ("pause", self.pause_us)):
                for percent in (50, 99):
                    histogram = histograms.get(kind)
                    milliseconds = (
                        histogram.get_value_at_percentile(percent) / 1000 if histogram is not None else None
                    )
                    row[f"{name} p{percent} ms"] = milliseconds
            row["loop late p99 ms"] = lateness.get_value_at_percentile(99) / 1000
            row["loop late max ms"] = lateness.get_max_value() / 1000
            rows.append(row)
        return rows


def _changed_data(data: dict[str, Any], kind: str, number: int) -> dict[str, Any]:
    data = copy.deepcopy(data)
    data["stores"]["answer-slack-ms"] = number / 1000
    if kind == "classes":
        name = f"extra{number % 7}"
        if data["classes"].pop(name, None) is None:
            data["classes"][name] = copy.deepcopy(data["classes"]["picture"])
    elif kind == "zones anew":
        data["zones"] = dict(reversed(data["zones"].items()))
    return data


async def measure(members: int, rounds: int) -> ApplyHistograms:
    """Apply ``rounds`` versions of each kind in a router with ``members`` caches in its endpoint list."""
    histograms = ApplyHistograms()
    loopback = LoopbackInstallation()
    await loopback.start(members)
    with tempfile.TemporaryDirectory(prefix="magpieshift-lab-") as folder:
        settings_path = loopback.write_settings(Path(folder))
        installation = Installation(Options(str(settings_path), os.path.join(folder, "state")))
        router = installation.router
        manager = installation.manager
        router.start()
        manager.start()
        engine = router.engine
        async with asyncio.timeout(30):
            while engine.endpoint_count < members + 1:
                await asyncio.sleep(0.01)
        outcomes: asyncio.Queue[tuple[OfferOutcome, int, int]] = asyncio.Queue()
        manager.listeners.append(lambda *outcome: outcomes.put_nowait(outcome))
        kind = IDLE

        async def tick() -> None:
            while True:
                due_s = time.perf_counter() + TICK_INTERVAL_S
                await asyncio.sleep(TICK_INTERVAL_S)
                histograms.lateness_us[kind].record_value(max(1, int(1e6 * (time.perf_counter() - due_s))))

        sys.setswitchinterval(THREAD_SWITCH_INTERVAL_S)
        data = loopback.settings()
        offers = list[tuple[str, VersionOffer]]()
        # All versions are made in advance, so that only the router's work is measured.
        for number in range(1, rounds * len(KINDS) + 1):
            change = KINDS[number % len(KINDS)]
            data = _changed_data(data, change, number)
            offers.append(
                (
                    change,
                    VersionOffer(
                        number, document_digest(data), "lab", payload=FullContent(sexp.format_document(data))
                    ),
                )
            )
        gc.collect()
        gc.freeze()  # as a router does once it is ready
        ticking = asyncio.ensure_future(tick())
        for kind, offer in offers:  # noqa: B007  # read by the ticker
            started_s = time.perf_counter()
            manager.offer(offer)
            answer, apply_us, pause_us = await outcomes.get()
            if not answer.accepted:
                raise RuntimeError(
                    f"version {offer.number} was rejected, expected it to be accepted: {answer.detail}"
                )
            duration_s = time.perf_counter() - started_s
            histograms.apply_us[kind].record_value(max(1, apply_us))
            histograms.pause_us[kind].record_value(max(1, pause_us))
            kind = IDLE
            await asyncio.sleep(duration_s)
        ticking.cancel()
        await manager.stop()
        router.close()
        loopback.stop()
    return histograms
