"""Compares processor time per request and peak memory of this and another version of the program, in
alternating runs.

Each run starts the program without a sub-command and with the platform's JSON configuration, as the platform
does, next to the emulators of ``LoopbackInstallation``, and sends it requests at a constant rate. Processor
time is that of the whole process while requests are counted; memory is the peak resident size of the process.
Both are read from the kernel.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import re
import statistics
import sys
import tempfile
from collections.abc import AsyncIterator, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from magpieshift.lab.emulators.loopback_installation import LoopbackInstallation
from magpieshift.lab.emulators.request_generator import RequestGenerator

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")  # unit of processor time in /proc


@dataclass(frozen=True)
class Variant:
    """A program to measure: its folder, its arguments after ``program``, and additional environment.

    In the values of ``environment``, ``{folder}`` stands for the run's temporary folder.
    """

    name: str
    folder: str
    arguments: Sequence[str] = ()
    environment: Mapping[str, str] | None = None
    program: Sequence[str] = ("-m", "magpieshift")


RUN_WITH_TICKER = """
import asyncio, os, sys, time
from hdrh.histogram import HdrHistogram
from magpieshift.capture import segments
from magpieshift.cli.main import run
from magpieshift.extensions import runner
run_router, lag_us, blocked_s = runner.run, HdrHistogram(1, 60_000_000, 3), float(sys.argv[1])
async def tick():
    while True:
        due = time.perf_counter() + 0.001
        await asyncio.sleep(0.001)
        lag_us.record_value(max(1, int(1e6 * (time.perf_counter() - due))))
def prepare(installation):
    installation.ticking = asyncio.ensure_future(tick())
    if blocked_s:
        write, started_s = segments.Segment.write, time.monotonic()
        def blocking_write(self, records):
            if 2 < time.monotonic() - started_s < 2 + blocked_s:
                time.sleep(2 + blocked_s - (time.monotonic() - started_s))
            write(self, records)
        segments.Segment.write = blocking_write
runner.run = lambda options: run_router(options, prepare)
code = run(sys.argv[2:])
print(f"late={lag_us.get_value_at_percentile(99.9)}", file=sys.stderr, flush=True)
sys.exit(code)
"""
"""Program that executes ``run`` with a ticker on its event loop, which records how late it wakes up. The
first argument is the time in seconds for which writes to the capture block, from 2 s after the start on."""

DISK_BLOCKED_S = 10.0  # time for which the disk blocks


def recording_variants(folder: str, disk_blocked: bool) -> list[Variant]:
    """Return ``run`` without and with recording of a capture, and optionally with a blocked disk."""
    capture = {"EDGE_CAPTURE": "{folder}/capture"}
    variants = [
        Variant("not recording", folder, ("0", "run"), program=("-c", RUN_WITH_TICKER)),
        Variant("recording", folder, ("0", "run"), capture, ("-c", RUN_WITH_TICKER)),
    ]
    if disk_blocked:
        variants.append(
            Variant("disk stuck", folder, (str(DISK_BLOCKED_S), "run"), capture, ("-c", RUN_WITH_TICKER))
        )
    return variants


@dataclass(frozen=True)
class Cost:
    """Results of one run."""

    us_a_request: float
    peak_mb: float
    requests: int
    served: int
    lost: int
    loop_lag_ms: float | None  # 99.9th percentile of event loop lag; None without a ticker


def platform_json(router_port: int, change_log_port: int) -> dict[str, Any]:
    """Return the platform's configuration of a router that listens on ``router_port`` of loopback, with the
    change log on ``change_log_port``."""
    settings = {
        "Balancers": 1,
        "Discovery": "pushed",
        "Locality": 1,
        "QuantumUs": 2000,
        "SelfIndex": 0,
        "Weights": "rough",
        "Zones": ["hub", "shop"],
        "MachineTypes": ["box", "upper", "source"],
        "Caps": {
            "Cancelling": True,
            "ConnIdleUs": 15_000_000,
            "ConnectTimeoutUs": 400_000,
            "MaxAttempts": 8,
            "MaxRetryAfterUs": 900_000,
            "MaxStreams": 32,
            "PeerMessages": False,
            "Probes": True,
            "SecondCopies": False,
        },
        "Classes": [
            {
                "Name": "picture",
                "AimStretch": 2.0,
                "AimUs": 500_000,
                "DedupWindowUs": 0,
                "Effect": "free",
                "GiveUpUs": 2_000_000,
                "Group": "all",
                "LateWorth": 0.1,
                "Stream": False,
                "Worth": 2.0,
            }
        ],
        "Contract": {
            "AnswerSlackUs": 8000,
            "ColdFrom": 0.2,
            "ColdUs": 18_000_000,
            "DrainGraceUs": 250_000,
            "FallMultiple": 2.5,
            "FallUs": 1_000_000,
        },
        "LoadInfo": {"Columns": [], "How": "none"},
        "Specifics": {
            "AttachedTo": [0, 0],
            "ClassWrite": [False],
            "ClientKbPerS": 5000.0,
            "GraceForUs": [0],
            "InPieces": [True],
            "LinkInKbPerS": [0.0, 90_000.0],
            "MasterKind": 2,
            "MaxAgeUs": [0],
            "MayPassBy": True,
            "ParentBreaksAt": 2.0,
            "ParentRampUs": 19_000_000,
            "PurgeSlackUs": 500_000,
            "PurgeTakesUs": 6_000_000,
            "Says": "all",
            "SharesFills": False,
            "ShieldKind": 1,
            "Siblings": "location",
            "StaleEarns": [0.7],
            "UpperColdFrom": 0.1,
            "ZoneBalancers": [0, 1],
        },
    }
    return {
        "name": "lab",
        "listen": f"127.0.0.1:{router_port}",
        "seed": "a7",
        "changelog": f"127.0.0.1:{change_log_port}",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512},
        "known": {"seq": 0, "results": []},
        "settings": settings,
    }


def _processor_time_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


@contextlib.asynccontextmanager
async def serving_router(
    variant: Variant, loopback: LoopbackInstallation
) -> AsyncIterator[tuple[asyncio.subprocess.Process, Path]]:
    """Start a router's process; yields the process once it serves, and its log file.

    Raises ``RuntimeError`` if it is not ready within about 10 s.
    """
    with tempfile.TemporaryDirectory(prefix="magpieshift-lab-") as folder:
        config = Path(folder) / "config.json"
        log = Path(folder) / "log"
        config.write_text(json.dumps(platform_json(loopback.router_port, loopback.change_log.port)))
        environment = os.environ | {"EDGE_CONFIG": str(config)} | dict(variant.environment or {})
        with log.open("wb") as file:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                *variant.program,
                *variant.arguments,
                cwd=variant.folder,
                stderr=file,
                env={name: value.replace("{folder}", folder) for name, value in environment.items()},
            )
        try:
            for _ in range(1000):
                if "event=ready" in log.read_text():
                    break
                await asyncio.sleep(0.01)
            else:
                raise RuntimeError(
                    f"found no event=ready in the log of the program {variant.name!r} within about 10 s; "
                    f"end of its log: {log.read_text()[-500:]}"
                )
            yield process, log
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()


async def run_once(variant: Variant, requests: int, rate: float, seed: int) -> Cost:
    """Run one program under load and measure it."""
    loopback = LoopbackInstallation()
    await loopback.start()
    try:
        async with serving_router(variant, loopback) as (process, log):
            clients = [
                RequestGenerator(loopback.router_port, random.Random(seed + i), lambda: True)
                for i in range(4)
            ]
            loads = [asyncio.ensure_future(c.run(rate / len(clients), lambda: ["picture"])) for c in clients]
            await asyncio.sleep(0.5)
            time_before_s = _processor_time_s(process.pid)
            sent_before = sum(c.sent for c in clients)
            while sum(c.sent for c in clients) - sent_before < requests:
                await asyncio.sleep(0.02)
            processor_time_s = _processor_time_s(process.pid) - time_before_s
            measured_requests = sum(c.sent for c in clients) - sent_before
            for client in clients:
                client.stop_sending()
            await asyncio.gather(*loads)
            status = Path(f"/proc/{process.pid}/status").read_text()
            peak = re.search(r"VmHWM:\s+(\d+) kB", status)
            assert peak is not None
            process.terminate()
            await asyncio.wait_for(process.wait(), 20)
            lag = re.search(r"^late=(\d+)", log.read_text(), re.M)
            return Cost(
                1e6 * processor_time_s / measured_requests,
                int(peak[1]) / 1024,
                measured_requests,
                sum(c.served for c in clients),
                sum(c.lost for c in clients),
                int(lag[1]) / 1000 if lag else None,
            )
    finally:
        loopback.stop()


async def compare(
    variants: Sequence[Variant], rounds: int, requests: int, rate: float
) -> list[dict[str, Any]]:
    """Run all variants alternately for a number of rounds. Returns a row with median and range for each."""
    costs_by_name: dict[str, list[Cost]] = {variant.name: [] for variant in variants}
    for round_ in range(rounds):
        for variant in variants:
            costs_by_name[variant.name].append(await run_once(variant, requests, rate, seed=100 * round_))
    rows = []
    for name, costs in costs_by_name.items():
        row: dict[str, Any] = {
            "program": name,
            "runs": len(costs),
            "requests": sum(c.requests for c in costs),
        }
        for label, values in (
            ("us a request", [c.us_a_request for c in costs]),
            ("peak MB", [c.peak_mb for c in costs]),
        ):
            row[label] = round(statistics.median(values), 2)
            row[f"{label} from"] = round(min(values), 2)
            row[f"{label} to"] = round(max(values), 2)
        lags_ms = [c.loop_lag_ms for c in costs if c.loop_lag_ms is not None]
        row["loop late p99.9 ms"] = round(statistics.median(lags_ms), 2) if lags_ms else None
        row["lost"] = sum(c.lost for c in costs)
        rows.append(row)
    return rows
