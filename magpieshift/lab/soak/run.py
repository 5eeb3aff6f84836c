"""Many lives, a few at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Sequence

from magpieshift.lab.soak.life import PROGRAM, SoakReport, play_run
from magpieshift.lab.soak.plan import draw_plan

DEFECT_MODULE = "magpieshift.lab.soak.defective_router"


def defective_program(defect: str) -> tuple[str, ...]:
    """The program of a router with this defect, see ``defective_router``."""
    return ("-m", DEFECT_MODULE, defect)


async def play_runs(
    seeds: Iterable[int],
    parallel: int,
    program: Sequence[str] = PROGRAM,
    on_report: Callable[[SoakReport], None] = lambda report: None,
) -> list[SoakReport]:
    """Play the lives of these seeds, so many at a time; the reports in the seeds' order."""
    slots = asyncio.Semaphore(parallel)

    async def play(seed: int) -> SoakReport:
        async with slots:
            report = await play_run(draw_plan(seed), program)
            on_report(report)
            return report

    return list(await asyncio.gather(*(play(seed) for seed in seeds)))
