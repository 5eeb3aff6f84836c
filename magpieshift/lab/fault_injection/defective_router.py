"""Runs a router with a deliberate defect:
``python -m magpieshift.lab.fault_injection.defective_router DEFECT MAGNITUDE run ...``.

A rollout has to detect it. Defects are injected from outside: the router's own code contains none.
"""

from __future__ import annotations

import asyncio
import os
import random
import sys
import time
from argparse import ArgumentParser
from collections.abc import Callable
from dataclasses import replace
from itertools import count

from magpieshift.engine.engine import Engine
from magpieshift.engine.model import ClientRequest
from magpieshift.extensions import runner
from magpieshift.log import setup

DEFECTS = ("none", "worse", "leak", "slower", "no-start", "mute", "late-crash")
"""Names of the defects; for their magnitudes see ``inject_defect`` and ``main``."""
FAILING_CLASS = "picture"
"""Request class affected by the defect ``worse``: frequent enough in the load for detection."""
FAILING_TIME_LEFT_US = 1_000
"""Remaining time limit, in microseconds, of a request that must fail: shorter than any endpoint's response
time."""
FIRST_UNUSED_ID = 1 << 40
"""First id returned for requests that are not passed to the engine: far above the engine's own ids."""
LEAK_INTERVAL_S = 0.1
"""Interval in seconds between allocations of the leak: short enough for a nearly continuous growth."""
START_FAILURE_EXIT_CODE = 3
"""Exit code of ``no-start``: any except 0."""
CRASH_EXIT_CODE = 7
"""Exit code of ``late-crash``: any except 0 and the one of ``no-start``."""


def inject_defect(engine: Engine, defect: str, magnitude: float) -> None:
    """Wrap ``Engine.submit``, through which all requests enter the engine.

    ``magnitude`` is, for ``worse``, the share of one class that fails; for ``slower``, the processor time
    added to a request, in milliseconds. ``mute`` ignores it, and other defects do not change the engine.
    """
    submit: Callable[..., int] = engine.submit
    draw = random.Random(1)
    unused_ids = count(FIRST_UNUSED_ID)

    def fail_class(request: ClientRequest, *arguments: object) -> int:
        if request.class_name == FAILING_CLASS and draw.random() < magnitude:
            return submit(replace(request, time_left_us=FAILING_TIME_LEFT_US), *arguments)
        return submit(request, *arguments)

    def add_processor_time(request: ClientRequest, *arguments: object) -> int:
        end = time.process_time() + magnitude * 1e-3
        while time.process_time() < end:
            pass
        return submit(request, *arguments)

    def leave_unanswered(request: ClientRequest, *arguments: object) -> int:
        return next(unused_ids)  # never answered

    wrapper = {"worse": fail_class, "slower": add_processor_time, "mute": leave_unanswered}.get(defect)
    if wrapper is not None:
        engine.submit = wrapper  # type: ignore[method-assign, assignment]


async def leak_memory(mb_per_s: float) -> None:
    """Allocate this many megabytes per second and never free them, until cancelled."""
    held: list[bytes] = []
    while True:
        held.append(os.urandom(int(mb_per_s * 1e6 * LEAK_INTERVAL_S)))
        await asyncio.sleep(LEAK_INTERVAL_S)


def _parser() -> ArgumentParser:
    parser = ArgumentParser(prog="faulty")
    parser.add_argument("defect", choices=DEFECTS)
    parser.add_argument("magnitude", type=float)
    parser.add_argument("run")
    parser.add_argument("--config", required=True)
    parser.add_argument("--console", default="")
    parser.add_argument("--label", default="")
    parser.add_argument("--term", type=int, default=-1)
    return parser


def main() -> None:
    """Run a router with a defect. MAGNITUDE: of ``leak`` in MB/s, of ``late-crash`` the delay in seconds."""
    arguments = _parser().parse_args()
    if arguments.defect == "no-start":
        sys.exit(START_FAILURE_EXIT_CODE)
    setup("INFO")
    tasks: list[asyncio.Task[None]] = []

    def install_defect(installation: runner.Installation) -> None:
        inject_defect(installation.router.engine, arguments.defect, arguments.magnitude)
        if arguments.defect == "leak":
            tasks.append(asyncio.ensure_future(leak_memory(arguments.magnitude)))
        if arguments.defect == "late-crash":
            asyncio.get_running_loop().call_later(arguments.magnitude, os._exit, CRASH_EXIT_CODE)

    options = runner.Options(
        config=arguments.config, console=arguments.console, label=arguments.label, term=arguments.term
    )
    runner.run(options, install_defect)


if __name__ == "__main__":
    main()
