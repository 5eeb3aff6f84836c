"""Rollouts of real processes on the proving ground: the cluster starts what the coordinator's executor asks
for."""

from __future__ import annotations

import asyncio
import sys
import time
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

from magpieshift.config import Address
from magpieshift.lab.fault_injection.cluster import Cluster
from magpieshift.rollout.plan import Build, Plan, RouterPlace
from magpieshift.rollout.plan_reader import load_plan
from magpieshift.rollout.runner import RolloutRunner

OLD = "old"
NEW = "new"
SCENARIOS: dict[str, tuple[str, float, bool]] = {  # the new version's defect, by how much, whether it is bad
    "same": ("none", 0.0, False),
    "same-with-outage": ("none", 0.0, False),
    "worse-class": ("worse", 0.3, True),
    "leak": ("leak", 0.05, True),
    "slower": ("slower", 3.0, True),
    "no-start": ("no-start", 0.0, True),
    "mute": ("mute", 0.0, True),
    "late-crash": ("late-crash", 8.0, True),
}


def plan_for(cluster: Cluster, **more: Any) -> Plan:
    """A plan of two stages for a cluster's routers; what of it is otherwise in ``more``."""
    routers = {
        name: {"doors": [f"127.0.0.1:{door}" for door in place.doors]}
        for name, place in cluster.places.items()
    }
    stages = {"one": {"routers": 1, "soak-s": 3.0, "most-s": 120.0}, "all": {"share": 1.0, "soak-s": 3.0}}
    data: dict[str, Any] = {
        "name": "proving",
        "new": {"label": NEW, "start": "-"},
        "old": {"label": OLD, "start": "-"},
        "routers": routers,
        "stages": stages,
        "worse-by": {"served": 0.1},
        "most-away": 1,
        "step-s": 15.0,
    }
    return load_plan(data | more)


def starter(cluster: Cluster, defect: str = "none", by: float = 0.0) -> Callable[..., Any]:
    """The executor's way of starting a process: the cluster does, and owns it."""

    async def start(router: RouterPlace, door: Address, side: Build, term: int) -> None:
        words = ("--label", side.label, "--term", str(term))
        program: Sequence[str] = ()
        if side.label == NEW and defect != "none":
            program = (sys.executable, "-m", "magpieshift.lab.fault_injection.faulty", defect, str(by))
        await cluster.beside(router.name, door[1], words, program)

    return start


async def begin(cluster: Cluster) -> None:
    """All routers up, on the old side."""
    names = list(cluster.places)
    await cluster.start(*names, words=("--label", OLD, "--term", "0"))
    await cluster.serving(*names)


async def play(
    name: str,
    folder: Path,
    routers: int,
    seed: int,
    told: Callable[[Mapping[str, Any]], None] = lambda status: None,
) -> dict[str, Any]:
    """One rollout of real processes under load, judged by the cluster as well."""
    defect, by, bad = SCENARIOS[name]
    began = time.monotonic()
    async with Cluster(folder, routers, seed, rate=40.0, slack_s=1.0, boxes=3) as cluster:
        await begin(cluster)
        cluster.load()
        await asyncio.sleep(5.0)  # caches fill
        usual = cluster.service()
        runner = RolloutRunner(plan_for(cluster), folder / "rollout", starter(cluster, defect, by), told)
        outage = None
        if name == "same-with-outage":
            outage = asyncio.ensure_future(cluster.stores.inject_fault("slow", "origin", 8.0, by=400))
        status = await runner.run()
        if outage is not None:
            await outage
        service = cluster.service(8)
        counted = await cluster.settle()
        stopped = status["way"] != "ended" or status["new"] != sorted(cluster.places)
        verdict = {
            "scenario": name,
            "routers": routers,
            "seed": seed,
            "runs": 1,
            "stopped_wrongly": int(stopped and not bad),
            "caught": int(stopped and bad),
            "exposed_share": round(max(len(status["new"]), 1) / routers, 3),
            "lost": counted["lost"],
            "cut": counted["cut"],
            "asked": counted["sent"],
            "served": counted["served"],
            "service_before": round(usual, 4),
            "service_after": round(service, 4),
            "why": status["why"],
            "rules_broken": cluster.broken + cluster.ended_wrong,
            "seconds": round(time.monotonic() - began, 1),
        }
    return verdict | {"left_running": cluster.left_running()}
