"""Rollouts of real processes on a cluster, which starts the processes for the rollout's executor."""

from __future__ import annotations

import asyncio
import sys
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from magpieshift.config import Address
from magpieshift.lab.fault_injection import defective_router
from magpieshift.lab.fault_injection.cluster import Cluster
from magpieshift.rollout.plan import Build, Plan, RouterPlace
from magpieshift.rollout.plan_reader import load_plan
from magpieshift.rollout.runner import RolloutRunner

OLD_LABEL = "old"
NEW_LABEL = "new"
OUTAGE_SCENARIO = "same-with-outage"
"""Scenario in which the origin is slow for a while, so that a good version looks bad."""
OUTAGE_S = 8.0
"""Duration of the origin's slowness in seconds: longer than a stage's soak."""
OUTAGE_DELAY_MS = 400
"""Delay of the slow origin in milliseconds: well above the latency objectives of the lab's classes."""
CACHE_FILL_S = 5.0
"""Duration of load in seconds before a rollout starts, in which the caches fill. With a shorter one, fewer
requests are served before the rollout than after it."""
SERVICE_SPAN_S = 8
"""Seconds over which the share of served requests is measured after the rollout."""
REQUESTS_PER_S = 40.0
"""Request rate of each router's clients: high enough that a small fleet has enough samples within a soak."""
RULES_SLACK_S = 1.0
"""Tolerance in seconds on the rules' time limits: the verdict must not depend on the machine's load."""
CACHES = 3


@dataclass(frozen=True)
class RolloutScenario:
    """A rollout of a version with a known defect, or without one."""

    defect: str
    """Defect of the new version, one of ``defective_router.DEFECTS``."""
    magnitude: float
    """Strength of the defect, in the unit of its kind."""
    is_bad: bool
    """Whether the rollout is expected to stop."""


SCENARIOS: dict[str, RolloutScenario] = {
    "same": RolloutScenario("none", 0.0, False),
    OUTAGE_SCENARIO: RolloutScenario("none", 0.0, False),
    "worse-class": RolloutScenario("worse", 0.3, True),
    "leak": RolloutScenario("leak", 0.05, True),
    "slower": RolloutScenario("slower", 3.0, True),
    "no-start": RolloutScenario("no-start", 0.0, True),
    "mute": RolloutScenario("mute", 0.0, True),
    "late-crash": RolloutScenario("late-crash", 8.0, True),
}
"""Rollout scenarios by name."""


def plan_for(cluster: Cluster, **overrides: Any) -> Plan:
    """Return a plan of two stages for a cluster's routers; ``overrides`` replace entries of its document."""
    routers = {
        name: {"doors": [f"127.0.0.1:{port}" for port in router.admin_ports]}
        for name, router in cluster.routers.items()
    }
    stages = {"one": {"routers": 1, "soak-s": 3.0, "most-s": 120.0}, "all": {"share": 1.0, "soak-s": 3.0}}
    data: dict[str, Any] = {
        "name": "proving",
        "new": {"label": NEW_LABEL, "start": "-"},
        "old": {"label": OLD_LABEL, "start": "-"},
        "routers": routers,
        "stages": stages,
        "worse-by": {"served": 0.1},
        "most-away": 1,
        "step-s": 15.0,
    }
    return load_plan(data | overrides)


def process_starter(cluster: Cluster, defect: str = "none", magnitude: float = 0.0) -> Callable[..., Any]:
    """Return the function with which the executor starts processes; the cluster owns them.

    Processes of the new version get the defect.
    """

    async def start(router: RouterPlace, admin_address: Address, build: Build, term: int) -> None:
        arguments = ("--label", build.label, "--term", str(term))
        program: tuple[str, ...] = ()
        if build.label == NEW_LABEL and defect != "none":
            program = (sys.executable, "-m", defective_router.__name__, defect, str(magnitude))
        await cluster.start_successor(router.name, admin_address[1], arguments, program)

    return start


async def start_old_version(cluster: Cluster) -> None:
    """Start all routers with the label of the old version, and wait until they serve."""
    names = list(cluster.routers)
    await cluster.start(*names, arguments=("--label", OLD_LABEL, "--term", "0"))
    await cluster.wait_until_serving(*names)


async def run_rollout(
    name: str,
    folder: Path,
    routers: int,
    seed: int,
    on_status: Callable[[Mapping[str, Any]], None] = lambda status: None,
) -> dict[str, Any]:
    """Run a rollout scenario under load; return its verdict, with the cluster's violations."""
    scenario = SCENARIOS[name]
    started_s = time.monotonic()
    async with Cluster(
        folder, routers, seed, requests_per_s=REQUESTS_PER_S, slack_s=RULES_SLACK_S, boxes=CACHES
    ) as cluster:
        await start_old_version(cluster)
        cluster.start_load()
        await asyncio.sleep(CACHE_FILL_S)
        served_before = cluster.served_fraction()
        starter = process_starter(cluster, scenario.defect, scenario.magnitude)
        runner = RolloutRunner(plan_for(cluster), folder / "rollout", starter, on_status)
        outage = None
        if name == OUTAGE_SCENARIO:
            slow_origin = cluster.endpoints.inject_fault(
                "slow", "origin", OUTAGE_S, magnitude=OUTAGE_DELAY_MS
            )
            outage = asyncio.ensure_future(slow_origin)
        status = await runner.run()
        if outage is not None:
            await outage
        served_after = cluster.served_fraction(SERVICE_SPAN_S)
        counts = await cluster.finish()
        verdict = {"scenario": name, "routers": routers, "seed": seed, "runs": 1}
        verdict |= _outcome(status, scenario.is_bad, list(cluster.routers))
        verdict |= {
            "lost": counts["lost"],
            "cut": counts["cut"],
            "asked": counts["sent"],
            "served": counts["served"],
            "service_before": round(served_before, 4),
            "service_after": round(served_after, 4),
            "why": status["why"],
            "rules_broken": cluster.violations + cluster.unexpected_exits,
            "seconds": round(time.monotonic() - started_s, 1),
        }
    return verdict | {"left_running": cluster.left_running()}


def _outcome(status: Mapping[str, Any], is_bad: bool, routers: list[str]) -> dict[str, Any]:
    """Return whether the rollout stopped as expected, and the share of routers with the new version."""
    stopped = status["way"] != "ended" or status["new"] != sorted(routers)
    return {
        "stopped_wrongly": int(stopped and not is_bad),
        "caught": int(stopped and is_bad),
        "exposed_share": round(max(len(status["new"]), 1) / len(routers), 3),
    }
