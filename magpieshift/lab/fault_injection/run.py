"""One run of the proving ground: a scenario played, judged, and left behind to be played again."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import asdict
from pathlib import Path
from typing import Any

from magpieshift.lab.fault_injection.admin_clients import UP_S
from magpieshift.lab.fault_injection.cluster import Cluster
from magpieshift.lab.fault_injection.scenario import ON_LINKS, ON_ROUTERS, Fault, Run, written

QUIET_S = 30.0  # after the last fault, within which all must agree


async def _fault(cluster: Cluster, fault: Fault, began: float) -> None:
    """Cause it, and take it away when its time is over."""
    await asyncio.sleep(max(0.0, began + fault.at_s - time.monotonic()))
    if fault.what in ON_LINKS:
        faults: dict[str, dict[str, Any]] = {
            "cut": {"cut": True},
            "lose": {"lose": fault.by},
            "double": {"double": fault.by},
            "delay": {"delay_ms": fault.by, "jitter_ms": fault.by},
            "reset": {"reset": True},
            "silence": {"silent": True},
            "throttle": {"kb_per_s": fault.by},
        }
        cluster.network.put(fault.name, fault.source, fault.target, **faults[fault.what])
        await asyncio.sleep(fault.for_s)
        return cluster.network.heal(fault.name)
    if fault.what in ("step", "rate"):
        cluster.set_clock(fault.who, **{"step_s" if fault.what == "step" else "rate": fault.by})
        await asyncio.sleep(fault.for_s)
        return cluster.set_clock(fault.who)
    if fault.what not in ON_ROUTERS:
        return await cluster.stores.inject_fault(fault.what, fault.who, fault.for_s, fault.by)
    if fault.what == "pause":
        cluster.pause(fault.who)
        await asyncio.sleep(fault.for_s)
        return cluster.wake(fault.who)
    if fault.what == "kill":
        cluster.kill(fault.who)
        await cluster.died(fault.who)
    else:
        await cluster.stop(fault.who)
    await asyncio.sleep(fault.for_s)
    await cluster.start(fault.who)


async def play(run: Run, folder: Path, progress: Callable[[str], None] = lambda line: None) -> dict[str, Any]:
    """Play it; the verdict, which is also left in the folder with settings and logs."""
    (folder).mkdir(parents=True, exist_ok=True)
    (folder / "scenario.sexp").write_text(written(run))  # from which it can be played again
    (folder / "scenario.json").write_text(json.dumps(asdict(run), indent=1))
    verdict: dict[str, Any] = {"routers": run.routers, "seed": run.seed}
    samples: list[dict[str, Any]] = []
    wrong: list[str] = []
    async with Cluster(
        folder, run.routers, run.seed, run.alone, run.rate, boxes=run.boxes, hubs=run.hubs, clocks=run.clocks
    ) as cluster:
        names = list(cluster.places)
        await cluster.start(*names)
        await cluster.serving(*names)
        await cluster.until(lambda: cluster.agreed(), "all agree at first")
        cluster.load()
        began = time.monotonic()
        faults = [asyncio.ensure_future(_fault(cluster, fault, began)) for fault in run.faults]
        while time.monotonic() - began < run.seconds or not all(task.done() for task in faults):
            views = await cluster.views()
            row = {
                "at_s": round(time.monotonic() - began, 1),
                "here": {name: len(cluster.here(view)) for name, view in views.items()},
                "suspected": sum(m["standing"] == "suspected" for v in views.values() for m in v["members"]),
                "gone": sum(m["standing"] == "gone" for v in views.values() for m in v["members"]),
                "share": {name: view["share"] for name, view in views.items()},
            }
            samples.append(row)
            progress(
                f"{row['at_s']:6.1f} s  views {sorted(set(row['here'].values()))}  suspected "
                f"{row['suspected']}  gone {row['gone']}"
            )
            await asyncio.sleep(1.0)
        for fault, task in zip(run.faults, faults, strict=True):
            if (error := task.exception()) is not None:
                wrong.append(f"fault {fault.name}: {error}")
        try:
            what = "all agree after the last fault"
            took = await cluster.until(lambda: cluster.agreed(), what, QUIET_S + UP_S)
            verdict["agree_after_s"] = round(took, 1)
        except AssertionError as err:
            wrong.append(str(err))
        counted = await cluster.settle()
        most, _ = cluster.most_shared()
        wrong += cluster.broken + cluster.ended_wrong
        verdict |= {
            "asked": counted["sent"],
            "served": counted["served"],
            "refused": counted["refused"],
            "failed": counted["failed"],
            "lost": counted["lost"],
            "cut": counted["cut"],
            "faults": len(run.faults),
            "most_share": round(most, 4),
            "rules_broken": wrong,
            "datagrams": cluster.switch.carried,
            "dropped": cluster.switch.dropped,
        }
    verdict["left_running"] = cluster.left_running()
    (folder / "samples.json").write_text(json.dumps(samples))
    (folder / "verdict.json").write_text(json.dumps(verdict, indent=1))
    return verdict


def plot(folder: Path) -> Path:
    """The timeline of a run that was left behind, as a picture."""
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    samples = json.loads((folder / "samples.json").read_text())
    run = json.loads((folder / "scenario.json").read_text())
    figure, (above, below) = plt.subplots(2, 1, sharex=True, figsize=(10, 6))
    names = sorted({name for row in samples for name in row["here"]})
    for name in names:
        rows = [row for row in samples if name in row["here"]]
        above.plot([r["at_s"] for r in rows], [r["here"][name] for r in rows], label=name, alpha=0.7)
        below.plot([r["at_s"] for r in rows], [r["share"][name] for r in rows], alpha=0.7)
    for fault in run["faults"]:
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
