"""Sub-commands of captures and episodes."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterable, Iterator
from typing import Any

import click

from magpieshift.cli import show
from magpieshift.cli.hinting import JSON, Hinting
from magpieshift.cli.parameters import SEED, NewFile, NewFolder, Number, Whole
from magpieshift.config import ConfigError


def _records(file: str) -> Iterator[Any]:
    from magpieshift.capture import segments

    return segments.read(file)


@click.group(cls=Hinting)
def capture() -> None:
    """Captures of what the deciding module was told (recorded by run --capture)."""


@capture.command(epilog="\b\nExample:\n  magpieshift capture info capture/")
@click.argument("file")
@JSON
def info(file: str, as_json: bool) -> None:
    """What a capture holds, and what it lacks."""
    from magpieshift.capture import segments
    from magpieshift.capture.explanation import clock

    count: dict[str, int] = {}
    missing: list[str] = []
    first = 0
    last = 0
    batches = 0
    header: Any = None
    for record in _records(file):
        if isinstance(record, segments.Missing):
            missing.append(str(record))
            continue
        what = record.WhichOneof("what")
        count[what] = count.get(what, 0) + 1
        if what == "header":
            header = record.header
        elif what == "gap":
            missing.append(f"{record.gap.batches} batches dropped: {record.gap.reason}")
        elif what == "batch":
            first = first or record.batch.now_us
            last = record.batch.now_us
            batches = batches + 1
    paths = segments.files(file)
    size = sum(path.stat().st_size for path in paths)
    found = {
        "files": len(paths),
        "bytes": size,
        "batches": batches,
        "keyframes": count.get("keyframe", 0),
        "retunes": count.get("retune", 0),
        "from_us": first,
        "to_us": last,
        "missing": missing,
        "router": header.router if header else "",
        "program": header.program if header else "",
        "policy": header.policy_digest if header else "",
        "hashed": bool(header and header.hashed),
        "config_version": header.config_version if header else 0,
    }
    if as_json:
        return show.as_json(found)
    rows = [(name, value) for name, value in found.items() if name not in ("missing", "from_us", "to_us")]
    rows[2:2] = [("from (UTC)", clock(first)), ("to (UTC)", clock(last))] if batches else []
    show.table(("what", "value"), rows)
    for text in missing:
        click.echo(f"missing: {text}")
    return None


@capture.command(epilog="\b\nExample:\n  magpieshift capture why capture/ 1f00aa55c3d29b40")
@click.argument("file")
@click.argument("request")
def why(file: str, request: str) -> None:
    """Explain what happened to REQUEST, given as its id in the log or as the module's number."""
    from magpieshift.capture import explanation

    try:
        for line in explanation.why(
            lambda: _records(file), explanation.find_request(lambda: _records(file), request)
        ):
            click.echo(line)
    except LookupError as err:
        raise ConfigError(f"{file}: {err.args[0]}") from None


@capture.command(epilog="\b\nExample:\n  magpieshift capture cut capture/ part.seg --from 120 --to 125")
@click.argument("file")
@click.argument("out", type=NewFile())
@click.option(
    "--from", "from_s", type=Number(), required=True, help="Seconds after the capture's first batch."
)
@click.option("--to", "to_s", type=Number(), required=True, help="Likewise.")
@JSON
def cut(file: str, out: str, from_s: float, to_s: float, as_json: bool) -> None:
    """Copy a part of a capture, with a keyframe at its beginning, to the file OUT."""
    from pathlib import Path

    from magpieshift.capture import cut as cutting

    first = next((r.batch.now_us for r in _records(file) if getattr(r, "batch", None) and r.batch.now_us), 0)
    span = first + int(1e6 * from_s), first + int(1e6 * to_s)
    batches, size = cutting.cut(lambda: _records(file), Path(out), *span)
    if as_json:
        show.as_json({"file": out, "batches": batches, "bytes": size})
    else:
        click.echo(f"{out}: {batches} batches, {size} bytes")


@capture.command(epilog="\b\nExample:\n  magpieshift capture verify capture/")
@click.argument("file")
@JSON
def verify(file: str, as_json: bool) -> None:
    """Whether a capture is whole and this checkout's module decides as recorded; exit code 1 if not."""
    from magpieshift.capture.replay import Replay

    result = Replay().run(_records(file))
    if as_json:
        show.as_json(result.figures())
    else:
        show.table(("what", "value"), list(result.figures().items()))
        for text in result.missing:
            click.echo(f"missing: {text}")
    raise SystemExit(0 if not result.missing and not result.differences and result.batches else 1)


@click.command(epilog="\b\nExample:\n  magpieshift replay capture/ --against ../altered")
@click.argument("file")
@click.option("--times", default=1, show_default=True, type=Whole(1, 10_000))
@click.option("--against", default="", help="Folder of a checkout whose module is run beside this one's.")
@JSON
def replay(file: str, times: int, against: str, as_json: bool) -> None:
    """Feed a capture to the deciding module and compare; exit code 1 on any difference."""
    from magpieshift.capture import explanation, policy
    from magpieshift.capture.replay import Replay, Result

    own = policy.own()
    other = policy.load(against) if against else None
    differences = 0
    result = Result()
    names = explanation.Names({})
    began = time.process_time()
    for _ in range(times):
        run = Replay(own, other)
        result = run.run(_records(file))
        names = explanation.Names(run.names)
        differences += result.differences
    spent = time.process_time() - began
    figures = result.figures() | {
        "differences": differences,
        "runs": times,
        "cpu_seconds": round(spent, 3),
        "speed": round(times * result.span_us / 1e6 / spent, 1) if spent else 0.0,
        "policy_as_recorded": result.policies == {own.digest},
    }
    if as_json:
        show.as_json(figures)
    else:
        click.echo(
            f"{result.batches} batches, {result.decisions} decisions, {result.requests} requests in "
            f"{result.span_us / 1e6:.1f} s; {times} times in {spent:.2f} s of processor time"
        )
        if not figures["policy_as_recorded"]:
            click.echo(
                "the policy's text differs from that which recorded: " + ", ".join(sorted(result.policies))
            )
        for text in result.missing:
            click.echo(f"missing: {text}")
        for line in explanation.report(result, names, lambda: _records(file)):
            click.echo(line)
    raise SystemExit(1 if differences or not result.batches else 0)


def _scenario(file: str, seconds: float, seed: int, rate: float) -> Any:
    from magpieshift.control.errors import UnusableDocumentError
    from magpieshift.lab.experiments import scenario

    if not file:
        return scenario.bad_morning(seconds, seed, rate)
    try:
        return scenario.load_file(file)
    except UnusableDocumentError as err:
        raise ConfigError(f"{file}: {err}") from err


def _progress(seconds: float, shown: bool) -> Any:
    import contextlib
    import sys

    if not shown:
        return contextlib.nullcontext(None)
    return click.progressbar(length=int(seconds), label="episode", file=sys.stderr)


@click.command(
    epilog="\b\nExample:\n  magpieshift lab episode --seconds 60 --seed 3 --capture cap/ --report r.html"
)
@click.option("--seconds", default=30.0, show_default=True, type=Number(1, 3600))
@click.option("--seed", default=1, show_default=True, type=SEED)
@click.option(
    "--rate", default=120.0, show_default=True, type=Number(0, 10_000, above=True), help="Requests a second."
)
@click.option(
    "--scenario", "file", default="", help="A file of its own, in place of a bad morning from the seed."
)
@click.option("--capture", "folder", default="", type=NewFolder(), help="Record into this folder.")
@click.option("--report", default="", type=NewFile(), help="Write an HTML report here.")
@click.option("--save", default="", type=NewFile(), help="Write the run here, for lab report.")
@JSON
def episode(
    seconds: float, seed: int, rate: float, file: str, folder: str, report: str, save: str, as_json: bool
) -> None:
    """A real router amid stand-ins that fail: boxes and hubs die, the list runs late, the origin slows. Exit
    code 1 if a rule was broken."""
    outcome = _play(_scenario(file, seconds, seed, rate), folder, report, save, not as_json)
    if as_json:
        show.as_json(outcome.as_json())
    else:
        show.table(("figure", "value"), list(outcome.as_json().items()))
    for text in outcome.examples:
        click.echo(text, err=True)
    raise SystemExit(0 if outcome.good else 1)


def _play(scenario: Any, folder: str, report: str, save: str, progress: bool) -> Any:
    import json
    from pathlib import Path

    from magpieshift.lab.experiments import episode as episodes
    from magpieshift.lab.experiments import episode_report as reports

    with _progress(scenario.seconds, progress) as bar:
        done = [0]

        def tell(seconds: float) -> None:
            if bar is not None:
                bar.update(int(seconds) - done[0])
            done[0] = int(seconds)

        outcome = asyncio.run(episodes.play(scenario, ["--capture", folder] if folder else [], tell))
    text = episodes.saved(outcome)
    if save:
        Path(save).write_text(text, encoding="utf-8")
    if report:
        reports.write(report, {"this run": json.loads(text)})
    return outcome


@click.command(
    "report", epilog="\b\nExample:\n  magpieshift lab report before.json after.json --out both.html"
)
@click.argument("runs", nargs=-1, required=True)
@click.option("--out", default="report.html", show_default=True, type=NewFile())
def report_(runs: Iterable[str], out: str) -> None:
    """Put saved runs side by side in one HTML file."""
    from magpieshift.lab.experiments import episode_report as reports

    reports.write(out, {name: reports.load(name) for name in runs})
    click.echo(out)


@click.command()
@click.option("--seconds", default=20.0, show_default=True, type=Number(1, 3600))
@click.option(
    "--out",
    default="demo",
    show_default=True,
    type=NewFolder(),
    help="Folder for the report and the capture.",
)
def demo(seconds: float, out: str) -> None:
    """All at once for a first look: stand-ins, a router and load come up, stores die and return."""
    import shutil
    from pathlib import Path

    home = Path(out)
    shutil.rmtree(home / "capture", ignore_errors=True)
    home.mkdir(parents=True, exist_ok=True)
    scenario = _scenario("", seconds, 2, 100.0)
    click.echo("What will go wrong:")
    for failure in scenario.failures:
        click.echo(f"  {failure}")
    outcome = _play(scenario, str(home / "capture"), str(home / "report.html"), str(home / "run.json"), True)
    show.table(("figure", "value"), list(outcome.as_json().items()))
    click.echo(
        f"report: {home / 'report.html'}\ncapture: {home / 'capture'} (magpieshift replay {home / 'capture'})"
    )
    raise SystemExit(0 if outcome.good else 1)
