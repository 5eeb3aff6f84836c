"""Report of a rollout: one HTML file with embedded plots, made from the files that the coordinator wrote."""

from __future__ import annotations

import base64
import html
import io
import json
from pathlib import Path
from typing import Any

from magpieshift.rollout.journal import read_rows
from magpieshift.rollout.state_folder import HISTORY_FILE, STATUS_FILE


def _rows(folder: Path) -> list[dict[str, Any]]:
    try:
        lines = (folder / HISTORY_FILE).read_text(encoding="utf-8").splitlines()
    except OSError:
        return []
    rows = []
    for line in lines:
        try:
            rows.append(json.loads(line))
        except ValueError:
            continue  # a line cut off because the coordinator died while it wrote
    return rows


def _plot_png(rows: list[dict[str, Any]]) -> bytes:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (routers_axes, served_axes, difference_axes) = pyplot.subplots(3, 1, figsize=(9, 8), sharex=True)
    start_s = rows[0]["at"]
    all_times_s = [row["at"] - start_s for row in rows]
    routers_axes.step(all_times_s, [row["new"] for row in rows], label="new")
    routers_axes.step(all_times_s, [row["old"] for row in rows], label="old")
    routers_axes.step(all_times_s, [row["away"] for row in rows], label="away")
    for name in sorted({name for row in rows for name in row["classes"]}):
        rows_with_class = [row for row in rows if name in row["classes"]]
        times_s = [row["at"] - start_s for row in rows_with_class]
        for version_name, first in (("new", 0), ("old", 2)):
            counts = [row["classes"][name][first : first + 2] for row in rows_with_class]
            shares = [served_in_time / max(1, requests) for served_in_time, requests in counts]
            served_axes.plot(
                times_s,
                shares,
                label=f"{name}, {version_name}",
                linestyle="-" if version_name == "new" else ":",
            )
        difference_axes.fill_between(
            times_s,
            [row["classes"][name][4] for row in rows_with_class],
            [row["classes"][name][5] for row in rows_with_class],
            alpha=0.3,
            label=name,
        )
    for row, before in zip(rows[1:], rows, strict=False):
        if (row["stage"], row["way"]) != (before["stage"], before["way"]):
            for axes in (routers_axes, served_axes, difference_axes):
                axes.axvline(row["at"] - start_s, color="grey", linewidth=0.8)
    difference_axes.set_ylim(-0.2, 0.2)
    routers_axes.set_ylabel("routers")
    served_axes.set_ylabel("share served in time in this stage")
    difference_axes.set_ylabel("share of new minus old, bounds")
    difference_axes.set_xlabel("seconds; grey: end of a stage, or rollback")
    for axes in (routers_axes, served_axes, difference_axes):
        axes.legend(fontsize=7, ncol=3)
    out = io.BytesIO()
    figure.savefig(out, dpi=90)
    pyplot.close(figure)
    return out.getvalue()


def write(folder: Path) -> Path:
    """Write the report of the rollout whose files are in ``folder``. Returns the report's path.

    Raises ``ValueError`` if the folder contains no records of a rollout.
    """
    records = read_rows(folder)
    rows = _rows(folder)
    if not records:
        raise ValueError(
            f"{folder}: found no records of a rollout, expected the state folder of a rollout coordinator"
        )
    try:
        status = json.loads((folder / STATUS_FILE).read_text(encoding="utf-8"))
    except (OSError, ValueError):
        status = {"name": records[0].get("name", "-"), "way": "broken off", "why": ""}
    picture = base64.b64encode(_plot_png(rows)).decode() if rows else ""
    steps = "\n".join(
        "<tr>"
        + "".join(
            f"<td>{html.escape(str(record.get(key, '')))}</td>"
            for key in ("at", "term", "what", "step", "router", "label", "stage", "way", "why")
        )
        + "</tr>"
        for record in records
    )
    path = folder / "report.html"
    name = html.escape(status["name"])
    result = html.escape(status["way"])
    path.write_text(
        f"""<!doctype html><meta charset="utf-8"><title>Rollout {name}</title>
<style>body {{ font-family: sans-serif; max-width: 60em; margin: 2em auto }} td {{ padding: 0 .6em }}</style>
<h1>Rollout {name}: {result}</h1>
<p>{html.escape(str(status["why"]))}</p>
{f'<img src="data:image/png;base64,{picture}" alt="routers, shares served, differences">' if picture else ""}
<h2>What was decided</h2>
<table><tr><th>at<th>term<th>what<th>step<th>router<th>label<th>stage<th>way<th>why</tr>
{steps}</table>
""",
        encoding="utf-8",
    )
    return path
