"""Many soak runs, a few of them in parallel."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Sequence

from magpieshift.lab.soak.plan import draw_plan
from magpieshift.lab.soak.soak_run import PROGRAM, SoakReport, run_plan

DEFECT_MODULE = "magpieshift.lab.soak.defective_router"


def defective_program(defect: str) -> tuple[str, ...]:
    """Return the program of a router with this defect, see ``defective_router``."""
    return ("-m", DEFECT_MODULE, defect)


async def run_seeds(
    seeds: Iterable[int],
    parallel: int,
    program: Sequence[str] = PROGRAM,
    on_report: Callable[[SoakReport], None] = lambda report: None,
) -> list[SoakReport]:
    """Run these seeds, at most ``parallel`` at a time; return the reports in the order of the seeds."""
    slots = asyncio.Semaphore(parallel)

    async def run_seed(seed: int) -> SoakReport:
        async with slots:
            report = await run_plan(draw_plan(seed), program)
            on_report(report)
            return report

    return list(await asyncio.gather(*(run_seed(seed) for seed in seeds)))
