"""Sub-commands of settings files and versions."""

from __future__ import annotations

from typing import Any

import click

from magpieshift.cli.hinting import JSON, Hinting
from magpieshift.cli.parameters import Whole
from magpieshift.config import ConfigError


@click.group(cls=Hinting)
def config() -> None:
    """Settings files and versions."""


@config.command(epilog="\b\nExample:\n  magpieshift config check router.sexp")
@click.argument("file")
@JSON
def check(file: str, as_json: bool) -> None:
    """Check a settings file; exit code 1 if it cannot be used."""
    from magpieshift.cli import show
    from magpieshift.control import schema
    from magpieshift.control.errors import UnusableDocumentError

    try:
        loaded = schema.load_file(file)
    except UnusableDocumentError as err:
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
    from magpieshift.control.stored_versions import read_store
    from magpieshift.extensions import runner

    if state and what.isdecimal():
        for kept in reversed(read_store(state).versions):
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
    from magpieshift.control.document_changes import document_digest
    from magpieshift.control.stored_versions import read_store

    if not what and not state:
        raise click.UsageError("name a file, or a folder with --state")
    if not what:
        force = read_store(state).in_force
        if force is None:
            raise ConfigError(f"{state} has no version in force")
        what = str(force.record.number)
    data = _data(what, state)
    if as_json:
        show.as_json({"digest": document_digest(data), "settings": data})
    else:
        click.echo(f"; digest {document_digest(data)}\n{sexp.format_document(data)}", nl=False)


@config.command(epilog="\b\nExample:\n  magpieshift config diff old.sexp new.sexp")
@click.argument("a")
@click.argument("b")
@STATE
@JSON
def diff(a: str, b: str, state: str, as_json: bool) -> None:
    """What makes B of A, each a file or with --state a version's number; exit code 1 if anything does."""
    from magpieshift.cli import show
    from magpieshift.control.document_changes import differences

    changes = differences(_data(a, state), _data(b, state))
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
    from magpieshift.control.stored_versions import read_store, stored_history

    if not state:
        raise click.UsageError("name the folder with --state")
    contents = read_store(state)
    records = [kept.record for kept in stored_history(contents)]
    if as_json:
        show.as_json(
            {
                "damaged": contents.damaged_stretches,
                "torn_bytes": contents.torn_bytes,
                "versions": [
                    {
                        "number": r.number,
                        "state": r.state.value,
                        "at_us": r.since_us,
                        "digest": r.digest,
                        "source": r.source,
                        "reason": r.reason.word,
                        "detail": r.detail,
                        "skipped": r.skipped_numbers,
                    }
                    for r in records
                ],
            }
        )
        return
    rows = []
    for r in records:
        at = datetime.datetime.fromtimestamp(r.since_us / 1e6, datetime.UTC).strftime("%Y-%m-%d %H:%M:%S")
        why = f"{r.reason.word}: {r.detail}" if r.detail else ""
        rows.append((r.number, r.state.value, at, r.source, r.digest[:12], why[:100]))
    show.table(("version", "state", "since (UTC)", "from", "digest", "why"), rows)
    if contents.damaged_stretches or contents.torn_bytes:
        click.echo(
            f"{contents.damaged_stretches} damaged stretches, {contents.torn_bytes} bytes torn off", err=True
        )


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
    from magpieshift.control.errors import UnusableDocumentError
    from magpieshift.control.publisher import read_version_folder

    if not Path(versions).is_dir():
        raise ConfigError(f"{versions} is no folder")
    found = {version.number: version for version in read_version_folder(versions)}
    if number not in found:
        raise ConfigError(f"{versions} has no version {number}")
    try:
        data = schema.load_text(found[number].text).data
    except UnusableDocumentError as err:
        raise ConfigError(f"{Path(versions) / f'{number}.sexp'}: {err}") from err
    new = max(found) + 1
    path = Path(versions) / f"{new}.sexp"
    part = path.with_suffix(".new")
    part.write_text(f"; version {number} again\n{sexp.format_document(data)}", encoding="utf-8")
    os.rename(part, path)  # the service must not read half of it
    if as_json:
        show.as_json({"version": new, "of": number, "digest": found[number].digest})
    else:
        click.echo(f"version {new} has the content of version {number}")
