"""The sub-commands; ``magpieshift.cli.errors`` has their exit codes."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Any

import click

from magpieshift.cli import captures, rollouts
from magpieshift.cli import fleet as fleet_commands
from magpieshift.cli.errors import PROGRAM, guarded
from magpieshift.cli.hinting import JSON, Hinting
from magpieshift.cli.logs import setup
from magpieshift.cli.parameters import RATE, SEED, SHARE, Address, Sizes, Whole
from magpieshift.config import ConfigError

EXAMPLES = """\b
Examples:
  magpieshift config check deploy/magpieshift.sexp
  magpieshift control serve versions/ --listen 127.0.0.1:7080
  magpieshift run --config deploy/magpieshift.sexp --state state/ --control 127.0.0.1:7080
"""


@click.group(cls=Hinting, epilog=EXAMPLES, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="magpieshift")
def cli() -> None:
    """An edge router for the caches of a small content network. Without a word, one is run as EDGE_CONFIG,
    EDGE_LISTEN and EDGE_NAME say."""


LOG = click.option(
    "--log", "log_form", type=click.Choice(["pairs", "json"]), default="pairs", envvar="EDGE_LOG",
    help="Form of the log's lines.  [pairs]",
)  # fmt: skip


@cli.command(
    "run", epilog="\b\nExample:\n  magpieshift run --config router.sexp --state /var/lib/magpieshift"
)
@click.option("--config", envvar="EDGE_CONFIG", default="", help="Settings file.")
@click.option("--state", envvar="EDGE_STATE", default="", help="Folder where versions are kept.")
@click.option(
    "--control", envvar="EDGE_CONTROL", default="", type=Address(), help="host:port of the control service."
)
@click.option("--name", envvar="EDGE_NAME", default="", help="Wins over the settings' name.")
@click.option(
    "--listen", envvar="EDGE_LISTEN", default="", type=Address(), help="Wins over the settings' listen."
)
@click.option(
    "--console", envvar="EDGE_CONSOLE", default="", type=Address(), help="host:port for operators' calls."
)
@click.option("--capture", envvar="EDGE_CAPTURE", default="", help="Folder to record all decisions into.")
@click.option(
    "--capture-mb", envvar="EDGE_CAPTURE_MB", default=512, show_default=True, type=Whole(64, 1 << 30)
)
@click.option(
    "--hash-key", envvar="EDGE_HASH_KEY", default="", help="File with a key to hash object ids under."
)
@click.option("--label", envvar="EDGE_LABEL", default="", help="What this process runs, as a rollout says.")
@click.option(
    "--term",
    envvar="EDGE_TERM",
    default=-1,
    type=Whole(-1, 1 << 53),
    help="Of the rollout that starts it; -1: none.",
)
@LOG
def run_(
    config: str,
    state: str,
    control: str,
    name: str,
    listen: str,
    console: str,
    capture: str,
    capture_mb: int,
    hash_key: str,
    label: str,
    term: int,
    log_form: str,
) -> None:
    """Run an edge router, with versions kept and followed where it is told to."""
    from magpieshift.installation.runner import Options, run

    setup(log_form)
    options = Options(
        config, state, control, name, listen, console, capture, capture_mb, hash_key, label, term
    )
    try:
        run(options)
    except OSError as err:
        raise click.ClickException(str(err)) from err


@cli.group(cls=Hinting)
def config() -> None:
    """Settings files and versions."""


@config.command(epilog="\b\nExample:\n  magpieshift config check router.sexp")
@click.argument("file")
@JSON
def check(file: str, as_json: bool) -> None:
    """Check a settings file; exit code 1 if it cannot be used."""
    from magpieshift.cli import show
    from magpieshift.control import schema
    from magpieshift.control.sexp import Unusable

    try:
        loaded = schema.load_file(file)
    except Unusable as err:
        if as_json:
            show.as_json({"file": file, "usable": False, "problems": [vars(p) for p in err.problems]})
        else:
            for problem in err.problems:
                click.echo(f"{file}: {problem}", err=True)
        raise SystemExit(1) from None
    if as_json:
        show.as_json({"file": file, "usable": True, "version": loaded.version, "digest": loaded.digest})
    else:
        document = loaded.document
        click.echo(
            f"{file}: can be used; {len(document.names.classes)} classes, {len(document.names.zones)} zones, "
            f"digest {loaded.digest}"
        )


STATE = click.option("--state", envvar="EDGE_STATE", default="", help="Folder where a router keeps versions.")


def _data(what: str, state: str) -> dict[str, Any]:
    """A document's data: a file's, or by its number that of a version kept."""
    from magpieshift.control import schema
    from magpieshift.control import store as stores
    from magpieshift.installation import runner

    if state and what.isdecimal():
        for kept in reversed(stores.read(state).kept):
            if kept.record.number == int(what) and kept.text:
                return dict(schema.load_text(kept.text).data)
        raise ConfigError(f"{state} has no version {what}")
    loaded, _ = runner.load_any(what)
    return dict(loaded.data)


@config.command("show", epilog="\b\nExample:\n  magpieshift config show --state state/ 12")
@click.argument("what", default="")
@STATE
@JSON
def show_(what: str, state: str, as_json: bool) -> None:
    """Show WHAT as a settings file: a file of either kind, or with --state a version's number; the version in
    force where WHAT is left out."""
    from magpieshift.cli import show
    from magpieshift.control import sexp
    from magpieshift.control import store as stores

    if not what and not state:
        raise click.UsageError("name a file, or a folder with --state")
    if not what:
        force = stores.read(state).in_force
        if force is None:
            raise ConfigError(f"{state} has no version in force")
        what = str(force.record.number)
    data = _data(what, state)
    if as_json:
        show.as_json({"digest": sexp.digest(data), "settings": data})
    else:
        click.echo(f"; digest {sexp.digest(data)}\n{sexp.write(data)}", nl=False)


@config.command(epilog="\b\nExample:\n  magpieshift config diff old.sexp new.sexp")
@click.argument("a")
@click.argument("b")
@STATE
@JSON
def diff(a: str, b: str, state: str, as_json: bool) -> None:
    """What makes B of A, each a file or with --state a version's number; exit code 1 if anything does."""
    from magpieshift.cli import show
    from magpieshift.control import sexp

    changes = sexp.differences(_data(a, state), _data(b, state))
    if as_json:
        show.as_json([{"path": c.path, "gone": c.value is None, "value": c.value} for c in changes])
    for change in [] if as_json else changes:
        click.echo(str(change))
    raise SystemExit(1 if changes else 0)


@config.command(epilog="\b\nExample:\n  magpieshift config history --state state/")
@STATE
@JSON
def history(state: str, as_json: bool) -> None:
    """The versions that a router has kept: what came into force when, and what was turned down and why."""
    import datetime

    from magpieshift.cli import show
    from magpieshift.control import store as stores

    if not state:
        raise click.UsageError("name the folder with --state")
    contents = stores.read(state)
    records = [kept.record for kept in stores.history(contents)]
    if as_json:
        show.as_json(
            {
                "damaged": contents.damaged, "torn_bytes": contents.torn,
                "versions": [
                    {
                        "number": r.number, "state": r.state.value, "at_us": r.at_us, "digest": r.digest,
                        "source": r.source, "reason": r.reason.name.lower(), "detail": r.detail,
                        "skipped": r.skipped,
                    }
                    for r in records
                ],
            }
        )  # fmt: skip
        return
    rows = []
    for r in records:
        at = datetime.datetime.fromtimestamp(r.at_us / 1e6, datetime.UTC).strftime("%Y-%m-%d %H:%M:%S")
        why = f"{r.reason.name.lower()}: {r.detail}" if r.detail else ""
        rows.append((r.number, r.state.value, at, r.source, r.digest[:12], why[:100]))
    show.table(("version", "state", "since (UTC)", "from", "digest", "why"), rows)
    if contents.damaged or contents.torn:
        click.echo(f"{contents.damaged} damaged stretches, {contents.torn} bytes torn off", err=True)


@config.command(epilog="\b\nExample:\n  magpieshift config rollback 12 --versions versions/")
@click.argument("number", type=Whole(0, 10**18 - 1))
@click.option("--versions", required=True, help="The control service's folder.")
@JSON
def rollback(number: int, versions: str, as_json: bool) -> None:
    """Publish the content of version NUMBER again, as a new version above all others."""
    import os
    from pathlib import Path

    from magpieshift.cli import show
    from magpieshift.control import schema, sexp
    from magpieshift.control.publisher import read_folder

    if not Path(versions).is_dir():
        raise ConfigError(f"{versions} is no folder")
    found = {version.number: version for version in read_folder(versions)}
    if number not in found:
        raise ConfigError(f"{versions} has no version {number}")
    try:
        data = schema.load_text(found[number].text).data
    except sexp.Unusable as err:
        raise ConfigError(f"{Path(versions) / f'{number}.sexp'}: {err}") from err
    new = max(found) + 1
    path = Path(versions) / f"{new}.sexp"
    part = path.with_suffix(".new")
    part.write_text(f"; version {number} again\n{sexp.write(data)}", encoding="utf-8")
    os.rename(part, path)  # the service must not read half of it
    if as_json:
        show.as_json({"version": new, "of": number, "digest": found[number].digest})
    else:
        click.echo(f"version {new} has the content of version {number}")


@cli.group(cls=Hinting)
def control() -> None:
    """The control service."""


@control.command(
    "serve", epilog="\b\nExample:\n  magpieshift control serve versions/ --listen 127.0.0.1:7080"
)
@click.argument("folder")
@click.option("--listen", default="127.0.0.1:7080", show_default=True, type=Address(any_port=True))
@LOG
def serve_(folder: str, listen: str, log_form: str) -> None:
    """Serve the versions in FOLDER (files NUMBER.sexp, also ones that come later) to all routers that ask."""
    from pathlib import Path

    from magpieshift.control.service import serve_folder

    setup(log_form)
    if not Path(folder).is_dir():
        raise ConfigError(f"{folder} is no folder")
    try:
        asyncio.run(serve_folder(folder, listen))
    except OSError as err:
        raise click.ClickException(str(err)) from err
    except KeyboardInterrupt:
        pass


@cli.group(cls=Hinting)
def lab() -> None:
    """The laboratory: failures on purpose, on loopback, and what they show."""
    import signal

    # ended from outside, it still ends the routers that it has started
    signal.signal(signal.SIGTERM, signal.default_int_handler)


@lab.command(epilog="\b\nExample:\n  magpieshift lab versions --count 1000 --invalid 0.2 --seed 7 --json")
@click.option("--count", default=1000, show_default=True, type=Whole(), help="Versions to send.")
@click.option(
    "--invalid", default=0.2, show_default=True, type=SHARE, help="Share of them that cannot be used."
)
@click.option(
    "--kills", default=6, show_default=True, type=Whole(0, 1000), help="Times the router is killed (SIGKILL)."
)
@click.option(
    "--breaks", default=10, show_default=True, type=Whole(0, 1000), help="Times the connection is broken."
)
@click.option("--rate", default=20.0, show_default=True, type=RATE, help="Requests a second meanwhile.")
@click.option("--seed", default=1, show_default=True, type=SEED)
@JSON
def versions(
    count: int, invalid: float, kills: int, breaks: int, rate: float, seed: int, as_json: bool
) -> None:
    """Send a real router numbered versions, break its connection, kill it, and check what it has in force."""
    from magpieshift.cli import show
    from magpieshift.lab.experiments.versions import Plan, play

    setup("pairs", "ERROR")
    report = asyncio.run(play(Plan(count, invalid, kills, breaks, rate, seed), progress=not as_json))
    if as_json:
        show.as_json(report.figures())
    else:
        show.table(("figure", "value"), list(report.figures().items()))
        for line in report.findings[:20]:
            click.echo(line, err=True)
    raise SystemExit(0 if report.good else 1)


@lab.command("apply", epilog="\b\nExample:\n  magpieshift lab apply --members 1000")
@click.option(
    "--members", default=1000, show_default=True, type=Whole(1, 100_000), help="Stores in the list."
)
@click.option("--rounds", default=100, show_default=True, type=Whole(), help="Versions of each kind.")
@JSON
def apply_(members: int, rounds: int, as_json: bool) -> None:
    """Measure how long versions take to come into force, and how long the event loop is held."""
    from magpieshift.cli import show
    from magpieshift.lab.experiments.apply import measure

    setup("pairs", "ERROR")
    rows = asyncio.run(measure(members, rounds)).rows()
    show.rows(rows, as_json)


@lab.command(epilog="\b\nExample:\n  magpieshift lab cost --against ../earlier")
@click.option("--against", default="", help="Folder of another checkout, measured in turn with this one.")
@click.option(
    "--capture", is_flag=True, help="Measure run with and without recording, in place of the bare program."
)
@click.option("--stuck", is_flag=True, help="Likewise, and with a disk that is stuck for 10 s.")
@click.option("--rounds", default=5, show_default=True, type=Whole())
@click.option("--requests", default=4000, show_default=True, type=Whole(), help="In each run.")
@click.option("--rate", default=400.0, show_default=True, type=RATE, help="Requests a second.")
@JSON
def cost(
    against: str, capture: bool, stuck: bool, rounds: int, requests: int, rate: float, as_json: bool
) -> None:
    """Measure processor time a request, memory and lateness of the event loop, of the bare program or of
    run."""
    from pathlib import Path

    from magpieshift.cli import show
    from magpieshift.lab.experiments.cost import Variant, compare, recording

    here = str(Path(__file__).parents[2])
    if against and not (Path(against) / "magpieshift" / "__main__.py").is_file():
        raise ConfigError(f"--against: found {against!r}, expected a folder with magpieshift/__main__.py")
    variants = [Variant("this", here), *([Variant("other", against)] if against else [])]
    if capture or stuck:
        variants = recording(here, stuck)
    show.rows(asyncio.run(compare(variants, rounds, requests, rate)), as_json)


@lab.command(epilog="\b\nExample:\n  magpieshift lab decisions --caches 4,12,100")
@click.option(
    "--caches",
    default="4,12,17,100,1000",
    show_default=True,
    type=Sizes(1, 100_000),
    help="Sizes of the zone.",
)
@click.option("--requests", default=3000, show_default=True, type=Whole(), help="In each run.")
@click.option("--rounds", default=3, show_default=True, type=Whole())
@JSON
def decisions(caches: tuple[int, ...], requests: int, rounds: int, as_json: bool) -> None:
    """Measure what the decisions alone cost a request, by the number of caches in the zone."""
    from magpieshift.cli import show
    from magpieshift.lab.experiments.decisions import measure

    show.rows(measure(caches, requests, rounds), as_json)


@lab.command(epilog="\b\nExample:\n  magpieshift lab door --calls 500")
@click.option("--calls", default=500, show_default=True, type=Whole())
@click.option("--rate", default=300.0, show_default=True, type=RATE, help="Requests a second meanwhile.")
@JSON
def door(calls: int, rate: float, as_json: bool) -> None:
    """Measure how long the operators' door takes to answer under load, with mute callers crowding it."""
    from magpieshift.cli import show
    from magpieshift.lab.experiments.door import measure

    show.rows([asyncio.run(measure(calls, rate))], as_json)


@lab.command(epilog="\b\nExample:\n  magpieshift lab handover --rounds 40")
@click.option("--rounds", default=40, show_default=True, type=Whole(), help="Handovers of each way.")
@click.option(
    "--clients", default=16, show_default=True, type=Whole(1, 1000), help="Threads that connect all the time."
)
@JSON
def handover(rounds: int, clients: int, as_json: bool) -> None:
    """Count connections lost while one listener takes an address over, by the way it is done."""
    from magpieshift.cli import show
    from magpieshift.lab.experiments.handover import OUTCOMES, measure

    found = measure(rounds, clients)
    show.rows([{"way": way} | {name: n[name] for name in OUTCOMES} for way, n in found.items()], as_json)


@lab.command(epilog="\b\nExample:\n  magpieshift lab fleet logs/")
@click.argument("folder")
@click.option("--stores", is_flag=True, help="A row a store in place of a row a second.")
@JSON
def fleet(folder: str, stores: bool, as_json: bool) -> None:
    """Count what all routers of a fleet did together, from their logs (one file a router, run with
    EDGE_TRACE=1)."""
    from pathlib import Path

    from magpieshift.cli import show
    from magpieshift.lab.experiments import fleet as fleets

    try:
        counts = fleets.count(fleets.read(Path(folder)))
    except ValueError as err:
        raise ConfigError(str(err)) from err
    show.rows(counts.store_rows() if stores else counts.rows(), as_json)
    if not as_json:
        for why, number in counts.refusals.most_common(10):
            click.echo(f"refused after {why}: {number}")


cli.add_command(fleet_commands.members)
cli.add_command(fleet_commands.talk)
cli.add_command(rollouts.rollout)
for command in (
    fleet_commands.lab_members, fleet_commands.lab_overload, fleet_commands.fleet_run, fleet_commands.trials,
    rollouts.lab_rollout,
):  # fmt: skip
    lab.add_command(command)
cli.add_command(captures.capture)
cli.add_command(captures.replay)
for command in (captures.episode, captures.report_, captures.demo):
    lab.add_command(command)


def run(args: Sequence[str]) -> int:
    """Run the command line; its exit code."""
    return guarded(lambda: cli.main(args=list(args), prog_name=PROGRAM, standalone_mode=False))
