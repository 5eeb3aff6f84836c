"""A router with a defect that is put in on purpose:
``python -m magpieshift.lab.fault_injection.faulty DEFECT BY run ...``.

What a rollout has to notice. The defects are put round the engine from outside: the program itself has none
of this."""

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
from typing import Any

from magpieshift.engine.engine import Engine
from magpieshift.engine.model import ClientRequest
from magpieshift.extensions import runner
from magpieshift.log import setup

DEFECTS = ("none", "worse", "leak", "slower", "no-start", "mute", "late-crash")
WORSE_CLASS = "picture"


def put_in(engine: Engine, defect: str, by: float) -> None:
    """Round the one place where requests are taken. ``by``: the share of one class that fails; times the
    processor time of a request."""
    submit: Callable[..., int] = engine.submit
    draw = random.Random(1)
    dummies = count(1 << 40)

    def worse(call: ClientRequest, *more: Any) -> int:
        if call.class_name == WORSE_CLASS and draw.random() < by:
            return submit(replace(call, time_left_us=1_000), *more)  # given up before any answer
        return submit(call, *more)

    def slower(call: ClientRequest, *more: Any) -> int:
        end = time.process_time() + by * 1e-3
        while time.process_time() < end:
            pass
        return submit(call, *more)

    def mute(call: ClientRequest, *more: Any) -> int:
        return next(dummies)  # nothing is ever heard of it

    changed = {"worse": worse, "slower": slower, "mute": mute}.get(defect)
    if changed is not None:
        engine.submit = changed  # type: ignore[method-assign, assignment]


async def grow(mb_per_s: float) -> None:
    held: list[bytes] = []
    while True:
        held.append(os.urandom(int(mb_per_s * 1e6 / 10)))
        await asyncio.sleep(0.1)


def main() -> None:
    words = ArgumentParser(prog="faulty")
    words.add_argument("defect", choices=DEFECTS)
    words.add_argument("by", type=float)
    words.add_argument("run")
    words.add_argument("--config", required=True)
    words.add_argument("--console", default="")
    words.add_argument("--label", default="")
    words.add_argument("--term", type=int, default=-1)
    told = words.parse_args()
    if told.defect == "no-start":
        sys.exit(3)
    setup("INFO")
    tasks: list[asyncio.Task[None]] = []

    def prepared(installation: runner.Installation) -> None:
        put_in(installation.router.engine, told.defect, told.by)
        if told.defect == "leak":
            tasks.append(asyncio.ensure_future(grow(told.by)))
        if told.defect == "late-crash":
            asyncio.get_running_loop().call_later(told.by, os._exit, 7)

    options = runner.Options(config=told.config, console=told.console, label=told.label, term=told.term)
    runner.run(options, prepared)


if __name__ == "__main__":
    main()
