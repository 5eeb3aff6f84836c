"""Runs a scenario on a cluster, checks the result, and saves both so that the run can be repeated."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from magpieshift.lab.fault_injection.admin_clients import STARTUP_TIMEOUT_S
from magpieshift.lab.fault_injection.cluster import Cluster
from magpieshift.lab.fault_injection.link_faults import LinkFault
from magpieshift.lab.fault_injection.scenario import (
    LINK_FAULTS,
    ROUTER_FAULTS,
    Fault,
    Scenario,
    format_scenario,
    to_json,
)

AGREEMENT_TIMEOUT_S = 30.0
"""Maximum time in seconds from the last fault until all routers have the same view;
``STARTUP_TIMEOUT_S`` is added to it for slow machines."""
SAMPLE_INTERVAL_S = 1.0
"""Interval of samples of the routers' views, in seconds."""


def _link_fault(fault: Fault) -> LinkFault:
    """Return the link fault for a scenario's fault on links."""
    match fault.kind:
        case "cut":
            return LinkFault(cut=True)
        case "lose":
            return LinkFault(loss_fraction=fault.magnitude)
        case "double":
            return LinkFault(duplicate_fraction=fault.magnitude)
        case "delay":
            return LinkFault(delay_ms=fault.magnitude, jitter_ms=fault.magnitude)
        case "reset":
            return LinkFault(reset=True)
        case "silence":
            return LinkFault(silent=True)
        case "throttle":
            return LinkFault(kb_per_s=fault.magnitude)
    raise ValueError(f"fault {fault.name}: found kind {fault.kind!r}, expected one of {LINK_FAULTS}")


async def _inject(cluster: Cluster, fault: Fault, started_s: float) -> None:
    """Inject a fault at its start time, and remove it after its duration."""
    await asyncio.sleep(max(0.0, started_s + fault.start_s - time.monotonic()))
    if fault.kind in LINK_FAULTS:
        cluster.network.add_fault(fault.name, fault.source, fault.target, _link_fault(fault))
        await asyncio.sleep(fault.duration_s)
        cluster.network.remove_fault(fault.name)
    elif fault.kind in ROUTER_FAULTS:
        await _inject_router_fault(cluster, fault)
    else:
        await cluster.endpoints.inject_fault(fault.kind, fault.component, fault.duration_s, fault.magnitude)


async def _inject_router_fault(cluster: Cluster, fault: Fault) -> None:
    match fault.kind:
        case "step":
            cluster.set_clock(fault.component, step_s=fault.magnitude)
            await asyncio.sleep(fault.duration_s)
            cluster.set_clock(fault.component)
        case "rate":
            cluster.set_clock(fault.component, rate=fault.magnitude)
            await asyncio.sleep(fault.duration_s)
            cluster.set_clock(fault.component)
        case "pause":
            cluster.pause(fault.component)
            await asyncio.sleep(fault.duration_s)
            cluster.resume(fault.component)
        case "kill":
            cluster.kill(fault.component)
            await cluster.wait_for_exit(fault.component)
            await asyncio.sleep(fault.duration_s)
            await cluster.start(fault.component)
        case _:
            await cluster.stop(fault.component)
            await asyncio.sleep(fault.duration_s)
            await cluster.start(fault.component)


async def run_scenario(
    scenario: Scenario, folder: Path, progress: Callable[[str], None] = lambda line: None
) -> dict[str, Any]:
    """Run a scenario; return the verdict, which is also saved in the folder with settings and logs."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "scenario.sexp").write_text(format_scenario(scenario))  # from which the run can be repeated
    (folder / "scenario.json").write_text(json.dumps(to_json(scenario), indent=1))
    verdict: dict[str, Any] = {"routers": scenario.routers, "seed": scenario.seed}
    problems: list[str] = []
    async with Cluster(
        folder,
        scenario.routers,
        scenario.seed,
        scenario.solo_quota,
        scenario.requests_per_s,
        boxes=scenario.boxes,
        hubs=scenario.hubs,
        clocks=scenario.clocks,
    ) as cluster:
        names = list(cluster.routers)
        await cluster.start(*names)
        await cluster.wait_until_serving(*names)
        await cluster.wait_until(cluster.views_agree, "all membership views agree after the start")
        cluster.start_load()
        samples = await _inject_faults(cluster, scenario, problems, progress)
        try:
            took_s = await cluster.wait_until(
                cluster.views_agree,
                "all agree after the last fault",
                AGREEMENT_TIMEOUT_S + STARTUP_TIMEOUT_S,
            )
            verdict["agree_after_s"] = round(took_s, 1)
        except AssertionError as error:
            problems.append(str(error))
        verdict |= await _finish_and_check(cluster, len(scenario.faults), problems)
    verdict["left_running"] = cluster.left_running()
    (folder / "samples.json").write_text(json.dumps(samples))
    (folder / "verdict.json").write_text(json.dumps(verdict, indent=1))
    return verdict


async def _inject_faults(
    cluster: Cluster, scenario: Scenario, problems: list[str], progress: Callable[[str], None]
) -> list[dict[str, Any]]:
    """Inject all faults; return samples of the routers' views, and add failed injections to ``problems``."""
    samples: list[dict[str, Any]] = []
    started_s = time.monotonic()
    tasks = [asyncio.ensure_future(_inject(cluster, fault, started_s)) for fault in scenario.faults]
    while time.monotonic() - started_s < scenario.duration_s or not all(task.done() for task in tasks):
        sample = _sample(cluster, await cluster.membership_views(), time.monotonic() - started_s)
        samples.append(sample)
        progress(
            f"{sample['at_s']:6.1f} s  views {sorted(set(sample['here'].values()))}  suspected "
            f"{sample['suspected']}  gone {sample['gone']}"
        )
        await asyncio.sleep(SAMPLE_INTERVAL_S)
    for fault, task in zip(scenario.faults, tasks, strict=True):
        if (error := task.exception()) is not None:
            problems.append(f"fault {fault.name}: {error}")
    return samples


def _sample(cluster: Cluster, views: dict[str, dict[str, Any]], at_s: float) -> dict[str, Any]:
    """Return a summary of the routers' present views, by the keys of ``samples.json``."""
    states = [member["standing"] for view in views.values() for member in view["members"]]
    return {
        "at_s": round(at_s, 1),
        "here": {name: len(cluster.present_members(view)) for name, view in views.items()},
        "suspected": states.count("suspected"),
        "gone": states.count("gone"),
        "share": {name: view["share"] for name, view in views.items()},
    }


async def _finish_and_check(cluster: Cluster, fault_count: int, problems: list[str]) -> dict[str, Any]:
    """Stop the load; return the results of the checks by the verdict's keys."""
    counts = await cluster.finish()
    max_total, _ = cluster.max_total_quota()
    return {
        "asked": counts["sent"],
        "served": counts["served"],
        "refused": counts["refused"],
        "failed": counts["failed"],
        "lost": counts["lost"],
        "cut": counts["cut"],
        "faults": fault_count,
        "most_share": round(max_total, 4),
        "rules_broken": problems + cluster.violations + cluster.unexpected_exits,
        "datagrams": cluster.switch.forwarded,
        "dropped": cluster.switch.dropped,
    }


def plot(folder: Path) -> Path:
    """Draw the timeline of a saved run; return the path of the image."""
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    samples = json.loads((folder / "samples.json").read_text())
    scenario = json.loads((folder / "scenario.json").read_text())
    figure, (above, below) = plt.subplots(2, 1, sharex=True, figsize=(10, 6))
    names = sorted({name for sample in samples for name in sample["here"]})
    for name in names:
        rows = [sample for sample in samples if name in sample["here"]]
        times = [row["at_s"] for row in rows]
        above.plot(times, [row["here"][name] for row in rows], label=name, alpha=0.7)
        below.plot(times, [row["share"][name] for row in rows], alpha=0.7)
    for fault in scenario["faults"]:
        for axis in (above, below):
            axis.axvspan(fault["at_s"], fault["at_s"] + fault["for_s"], alpha=0.1, color="red")
    above.set_ylabel("members in the view")
    below.set_ylabel("share of the whole")
    below.set_xlabel("seconds; red: faults")
    above.legend(fontsize=7, ncol=4)
    path = folder / "timeline.png"
    figure.savefig(path, dpi=90)
    plt.close(figure)
    return path
