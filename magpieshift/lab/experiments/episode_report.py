"""Reports of episodes: one HTML file with embedded plots, of one run or of several side by side."""

from __future__ import annotations

import base64
import html
import io
import json
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

from pydantic import BaseModel, ValidationError

from magpieshift.config import ConfigError, read_text

Run = Mapping[str, Any]  # in the form that ``episode.to_json`` writes


class SavedSecond(BaseModel):
    """One second of a run: request counts, and latencies in milliseconds."""

    second: int
    served: float
    refused: float
    failed: float
    lost: float
    p50_ms: float
    p99_ms: float


class SavedFault(BaseModel):
    """One fault that was injected into the run."""

    what: str
    who: str
    at_s: float
    for_s: float


class SavedRun(BaseModel):
    """Fields of a saved run, as far as they are validated."""

    figures: dict[str, Any]
    slices: list[SavedSecond]
    stores: dict[str, list[int]]  # requests in each second, by the endpoint's place; negative while down
    examples: list[str]
    failures: list[SavedFault]


def load(path: str) -> Run:
    """Load a saved run. Raises ``ConfigError`` if the file does not contain one."""
    text = read_text(path)
    try:
        SavedRun.model_validate_json(text)
    except ValidationError as err:
        first = err.errors(include_url=False)[0]
        place = " ".join(map(str, first["loc"])) or "the whole file"
        raise ConfigError(
            f"{path} is no saved episode: {place}: found {first['input']!r:.80}, "
            f"expected {first['msg'].removeprefix('Input should be ')}"
        ) from err
    run: Run = json.loads(text)
    return run


def _plot_png(run: Run, latest: float) -> bytes:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (service, latency, stores) = pyplot.subplots(3, 1, figsize=(9, 8), sharex=True)
    at = [row["second"] for row in run["slices"]]
    bottom = [0.0] * len(at)
    for name, colour in (("served", "#2a7"), ("refused", "#e90"), ("failed", "#c33"), ("lost", "#000")):
        values = [row[name] for row in run["slices"]]
        service.bar(at, values, bottom=bottom, color=colour, label=name, width=1.0, align="edge")
        bottom = [a + b for a, b in zip(bottom, values, strict=True)]
    service.set_ylabel("answers a second")
    service.legend(loc="upper right", fontsize=8, ncols=4)
    for name, colour in (("p50_ms", "#27a"), ("p99_ms", "#a27")):
        latency.step(at, [row[name] for row in run["slices"]], where="post", color=colour, label=name[:3])
    latency.set_yscale("log")
    latency.set_ylabel("latency, ms")
    latency.legend(loc="upper right", fontsize=8)
    for failure in run["failures"]:
        for axes in (service, latency):
            axes.axvspan(
                failure["at_s"], failure["at_s"] + max(failure["for_s"], 0.1), color="#888", alpha=0.12, lw=0
            )
    places = list(run["stores"])
    grid = [[max(-1, value) for value in run["stores"][place]] for place in places]
    most_requests = max((value for row in grid for value in row), default=1) or 1
    for y, row in enumerate(grid):
        for x, value in enumerate(row):
            shade: Any = (
                "#c33"
                if value < 0
                else (1 - 0.85 * value / most_requests, 1 - 0.5 * value / most_requests, 1.0)
            )
            stores.broken_barh([(x, 1)], (y - 0.4, 0.8), color=shade, lw=0)
    stores.set_ylim(-0.6, len(places) - 0.4)
    stores.set_yticks(range(len(places)), places)
    stores.set_xlim(0, latest)
    stores.set_xlabel("seconds; endpoints: darker has more requests, red is down; grey: a fault")
    figure.tight_layout()
    out = io.BytesIO()
    figure.savefig(out, format="png", dpi=110)
    pyplot.close(figure)
    return out.getvalue()


def write(path: str, runs: Mapping[str, Run]) -> None:
    """Write one HTML file with the runs side by side. ``runs`` is by name."""
    latest = max((len(run["slices"]) for run in runs.values()), default=1)
    columns = []
    for name, run in runs.items():
        picture = base64.b64encode(_plot_png(run, latest)).decode()
        failures = "".join(
            f"<li>{f['at_s']:g} s: {html.escape(f['what'])} {html.escape(f['who'])} ({f['for_s']:g} s)</li>"
            for f in run["failures"]
        )
        broken = "".join(f"<li>{html.escape(text)}</li>" for text in run["examples"]) or "<li>none</li>"
        columns.append(
            f"<td><h2>{html.escape(name)}</h2><img src='data:image/png;base64,{picture}' width='820'>"
            f"<h3>Violated rules</h3><ul>{broken}</ul>"
            f"<h3>Injected faults</h3><ul>{failures}</ul></td>"
        )
    rows = _rows(list(runs.values()))
    head = "".join(f"<th>{html.escape(name)}</th>" for name in runs)
    text = (
        "<!doctype html><meta charset='utf-8'><title>Episode</title>"
        "<style>body{font:14px sans-serif;margin:2em}"
        "td,th{vertical-align:top;padding:2px 12px;text-align:left}</style><h1>Episode</h1>"
        f"<table><tr><th></th>{head}</tr>{rows}</table><table><tr>{''.join(columns)}</tr></table>"
    )
    Path(path).write_text(text, encoding="utf-8")


def _rows(runs: Sequence[Run]) -> str:
    names = dict.fromkeys(name for run in runs for name in run["figures"])
    return "".join(
        f"<tr><td>{html.escape(name)}</td>"
        + "".join(f"<td>{html.escape(str(run['figures'].get(name, '')))}</td>" for run in runs)
        + "</tr>"
        for name in names
    )
