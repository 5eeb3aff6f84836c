"""Commands that inspect, cut, verify and replay captures."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

import click

from magpieshift.cli import output
from magpieshift.cli.groups import JSON_OPTION, SuggestingGroup
from magpieshift.cli.parameters import FiniteNumber, WholeNumber, WritableFile
from magpieshift.config import ConfigError


def _records(file: str) -> Iterator[Any]:
    """The records of a capture as protobuf messages; a ``segments.Missing`` stands where part of the capture
    is missing or damaged."""
    from magpieshift.capture import segments

    return segments.read(file)


@click.group(cls=SuggestingGroup)
def capture() -> None:
    """Inspect captures: recordings of the events that the policy received (made by run --capture)."""


@dataclass
class _Summary:
    """Counts over the records of a capture."""

    counts: Counter[str] = field(default_factory=Counter)
    """Number of records by kind."""
    missing: list[str] = field(default_factory=list)
    """One line for each gap or damaged part."""
    first_us: int = 0
    last_us: int = 0
    """Unix times of the first and the last batch in microseconds; 0 without batches."""
    header: Any = None
    """The last header, a protobuf message; None if no header was read."""

    def add(self, record: Any) -> None:
        """Count one record."""
        kind = record.WhichOneof("what")
        self.counts[kind] += 1
        if kind == "header":
            self.header = record.header
        elif kind == "gap":
            self.missing.append(f"{record.gap.batches} batches dropped: {record.gap.reason}")
        elif kind == "batch":
            self.first_us = self.first_us or record.batch.now_us
            self.last_us = record.batch.now_us

    def header_figures(self) -> dict[str, Any]:
        """The header's description of the process that recorded the capture, for the report."""
        if not self.header:
            return {"router": "", "program": "", "policy": "", "hashed": False, "config_version": 0}
        return {
            "router": self.header.router,
            "program": self.header.program,
            "policy": self.header.policy_digest,
            "hashed": bool(self.header.hashed),
            "config_version": self.header.config_version,
        }


@capture.command(epilog="\b\nExample:\n  magpieshift capture info capture/")
@click.argument("file")
@JSON_OPTION
def info(file: str, as_json: bool) -> None:
    """Show the contents of a capture, and what is missing from it."""
    from magpieshift.capture import segments
    from magpieshift.capture.explanation import time_of_day

    summary = _Summary()
    for record in _records(file):
        if isinstance(record, segments.Missing):
            summary.missing.append(str(record))
        else:
            summary.add(record)
    paths = segments.files(file)
    batches = summary.counts["batch"]
    figures: dict[str, Any] = {
        "files": len(paths),
        "bytes": sum(path.stat().st_size for path in paths),
        "batches": batches,
        "keyframes": summary.counts["keyframe"],
        "retunes": summary.counts["retune"],
        "from_us": summary.first_us,
        "to_us": summary.last_us,
        "missing": summary.missing,
        **summary.header_figures(),
    }
    if as_json:
        output.print_json(figures)
        return
    rows = [(name, value) for name, value in figures.items() if name not in ("missing", "from_us", "to_us")]
    if batches:
        rows[2:2] = [
            ("from (UTC)", time_of_day(summary.first_us)),
            ("to (UTC)", time_of_day(summary.last_us)),
        ]
    output.print_table(("what", "value"), rows)
    for line in summary.missing:
        click.echo(f"missing: {line}")


@capture.command(epilog="\b\nExample:\n  magpieshift capture why capture/ 1f00aa55c3d29b40")
@click.argument("file")
@click.argument("request")
def why(file: str, request: str) -> None:
    """Explain how the policy handled REQUEST: its id in the log, or its number in the policy."""
    from magpieshift.capture import explanation

    try:
        for line in explanation.explain_request(
            lambda: _records(file), explanation.find_request(lambda: _records(file), request)
        ):
            click.echo(line)
    except LookupError as err:
        raise ConfigError(f"{file}: {err.args[0]}") from None


@capture.command(epilog="\b\nExample:\n  magpieshift capture cut capture/ part.seg --from 120 --to 125")
@click.argument("file")
@click.argument("out", type=WritableFile())
@click.option(
    "--from",
    "from_s",
    type=FiniteNumber(),
    required=True,
    help="Start of the part, in seconds after the capture's first batch.",
)
@click.option(
    "--to",
    "to_s",
    type=FiniteNumber(),
    required=True,
    help="End of the part, in seconds after the capture's first batch.",
)
@JSON_OPTION
def cut(file: str, out: str, from_s: float, to_s: float, as_json: bool) -> None:
    """Copy the part of a capture between two times to the file OUT; the copy begins with a keyframe."""
    from pathlib import Path

    from magpieshift.capture import cut as cutting

    batch_times_us = (
        record.batch.now_us
        for record in _records(file)
        if getattr(record, "batch", None) and record.batch.now_us
    )
    first_us = next(batch_times_us, 0)
    from_us = first_us + int(1e6 * from_s)
    to_us = first_us + int(1e6 * to_s)
    batches, size = cutting.cut(lambda: _records(file), Path(out), from_us, to_us)
    if as_json:
        output.print_json({"file": out, "batches": batches, "bytes": size})
    else:
        click.echo(f"{out}: {batches} batches, {size} bytes")


@capture.command(epilog="\b\nExample:\n  magpieshift capture verify capture/")
@click.argument("file")
@JSON_OPTION
def verify(file: str, as_json: bool) -> None:
    """Check that a capture is complete and that this checkout's policy makes the recorded decisions; exit
    code 1 if not."""
    from magpieshift.capture.replay import Replay

    result = Replay().run(_records(file))
    if as_json:
        output.print_json(result.figures())
    else:
        output.print_table(("what", "value"), list(result.figures().items()))
        for text in result.missing:
            click.echo(f"missing: {text}")
    raise SystemExit(0 if not result.missing and not result.differences and result.batches else 1)


@click.command(epilog="\b\nExample:\n  magpieshift replay capture/ --against ../altered")
@click.argument("file")
@click.option("--times", default=1, show_default=True, type=WholeNumber(1, 10_000))
@click.option(
    "--against",
    default="",
    help="Folder of another checkout; its policy is run beside this one's and compared with it.",
)
@JSON_OPTION
def replay(file: str, times: int, against: str, as_json: bool) -> None:
    """Replay a capture through the policy and compare its decisions with the recorded ones; exit code 1 if
    they differ or the capture contains no batches to replay."""
    from magpieshift.capture import explanation, policy
    from magpieshift.capture.replay import Replay, ReplayResult

    own = policy.own_policy()
    other = policy.load(against) if against else None
    differences = 0
    result = ReplayResult()
    names = explanation.LogIds({})
    started_s = time.process_time()
    for _ in range(times):
        run = Replay(own, other)
        result = run.run(_records(file))
        names = explanation.LogIds(run.names)
        differences += result.differences
    cpu_s = time.process_time() - started_s
    figures = result.figures() | {
        "differences": differences,
        "runs": times,
        "cpu_seconds": round(cpu_s, 3),
        "speed": round(times * result.span_us / 1e6 / cpu_s, 1) if cpu_s else 0.0,
        "policy_as_recorded": result.policy_digests == {own.digest},
    }
    if as_json:
        output.print_json(figures)
    else:
        click.echo(
            f"{result.batches} batches, {result.decisions} decisions, {result.requests} requests in "
            f"{result.span_us / 1e6:.1f} s; {times} times in {cpu_s:.2f} s of processor time"
        )
        if not figures["policy_as_recorded"]:
            click.echo(
                "this checkout's policy differs from the policy that made the recording, with digest "
                + ", ".join(sorted(result.policy_digests))
            )
        for text in result.missing:
            click.echo(f"missing: {text}")
        for line in explanation.difference_report(result, names, lambda: _records(file)):
            click.echo(line)
    raise SystemExit(1 if differences or not result.batches else 0)
