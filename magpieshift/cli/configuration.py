"""Sub-commands of settings files and versions."""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING, Any

import click

from magpieshift.cli import output
from magpieshift.cli.groups import JSON_OPTION, SuggestingGroup
from magpieshift.cli.parameters import WholeNumber
from magpieshift.config import ConfigError

if TYPE_CHECKING:
    from magpieshift.control.version_records import VersionRecord

SHOWN_DIGEST_CHARACTERS = 12
"""Of a digest in tables; enough to tell versions apart."""
MAX_SHOWN_REASON_CHARACTERS = 100
"""Of a reason in tables, which must stay readable."""


@click.group(cls=SuggestingGroup)
def config() -> None:
    """Settings files and versions."""


@config.command(epilog="\b\nExample:\n  magpieshift config check router.sexp")
@click.argument("file")
@JSON_OPTION
def check(file: str, as_json: bool) -> None:
    """Check a settings file; exit code 1 if it cannot be used."""
    from magpieshift.control import schema
    from magpieshift.control.errors import UnusableDocumentError

    try:
        loaded = schema.load_file(file)
    except UnusableDocumentError as err:
        if as_json:
            output.print_json({"file": file, "usable": False, "problems": [vars(p) for p in err.problems]})
        else:
            for problem in err.problems:
                click.echo(f"{file}: {problem}", err=True)
        raise SystemExit(1) from None
    if as_json:
        output.print_json({"file": file, "usable": True, "version": loaded.version, "digest": loaded.digest})
    else:
        document = loaded.document
        click.echo(
            f"{file}: can be used; {len(document.names.classes)} classes, {len(document.names.zones)} zones, "
            f"digest {loaded.digest}"
        )


STATE_OPTION = click.option(
    "--state", envvar="EDGE_STATE", default="", help="Folder where a router keeps versions."
)


def _read_data(name: str, state: str) -> dict[str, Any]:
    """A document's data: that of a file, or with a state folder that of the version of this number."""
    from magpieshift.control import schema
    from magpieshift.control.stored_versions import read_store
    from magpieshift.extensions import runner

    if state and name.isdecimal():
        for stored in reversed(read_store(state).versions):
            if stored.record.number == int(name) and stored.text:
                return dict(schema.load_text(stored.text).data)
        raise ConfigError(f"{state} has no version {name}")
    loaded, _ = runner.load_settings_file(name)
    return dict(loaded.data)


@config.command("show", epilog="\b\nExample:\n  magpieshift config show --state state/ 12")
@click.argument("what", default="")
@STATE_OPTION
@JSON_OPTION
def show_(what: str, state: str, as_json: bool) -> None:
    """Show WHAT as a settings file: a file of either kind, or with --state a version's number; the version in
    force where WHAT is left out."""
    from magpieshift.control import sexp
    from magpieshift.control.document_changes import document_digest
    from magpieshift.control.stored_versions import read_store

    if not what and not state:
        raise click.UsageError("name a file, or a folder with --state")
    if not what:
        in_force = read_store(state).in_force
        if in_force is None:
            raise ConfigError(f"{state} has no version in force")
        what = str(in_force.record.number)
    data = _read_data(what, state)
    if as_json:
        output.print_json({"digest": document_digest(data), "settings": data})
    else:
        click.echo(f"; digest {document_digest(data)}\n{sexp.format_document(data)}", nl=False)


@config.command(epilog="\b\nExample:\n  magpieshift config diff old.sexp new.sexp")
@click.argument("a")
@click.argument("b")
@STATE_OPTION
@JSON_OPTION
def diff(a: str, b: str, state: str, as_json: bool) -> None:
    """What makes B of A, each a file or with --state a version's number; exit code 1 if anything does."""
    from magpieshift.control.document_changes import differences

    changes = differences(_read_data(a, state), _read_data(b, state))
    if as_json:
        output.print_json(
            [{"path": change.path, "gone": change.value is None, "value": change.value} for change in changes]
        )
    else:
        for change in changes:
            click.echo(str(change))
    raise SystemExit(1 if changes else 0)


@config.command(epilog="\b\nExample:\n  magpieshift config history --state state/")
@STATE_OPTION
@JSON_OPTION
def history(state: str, as_json: bool) -> None:
    """The versions that a router has kept: what came into force when, and what was turned down and why."""
    from magpieshift.control.stored_versions import read_store, stored_history

    if not state:
        raise click.UsageError("name the folder with --state")
    contents = read_store(state)
    records = [stored.record for stored in stored_history(contents)]
    if as_json:
        versions = [_record_figures(record) for record in records]
        output.print_json(
            {"damaged": contents.damaged_stretches, "torn_bytes": contents.torn_bytes, "versions": versions}
        )
        return
    head = ("version", "state", "since (UTC)", "from", "digest", "why")
    output.print_table(head, [_record_row(record) for record in records])
    if contents.damaged_stretches or contents.torn_bytes:
        click.echo(
            f"{contents.damaged_stretches} damaged stretches, {contents.torn_bytes} bytes torn off", err=True
        )


def _record_figures(record: VersionRecord) -> dict[str, object]:
    """A version's record for machines."""
    return {
        "number": record.number,
        "state": record.state.value,
        "at_us": record.since_us,
        "digest": record.digest,
        "source": record.source,
        "reason": record.reason.word,
        "detail": record.detail,
        "skipped": record.skipped_numbers,
    }


def _record_row(record: VersionRecord) -> tuple[object, ...]:
    """A version's record for people."""
    since = datetime.datetime.fromtimestamp(record.since_us / 1e6, datetime.UTC).strftime("%Y-%m-%d %H:%M:%S")
    reason = f"{record.reason.word}: {record.detail}" if record.detail else ""
    return (
        record.number,
        record.state.value,
        since,
        record.source,
        record.digest[:SHOWN_DIGEST_CHARACTERS],
        reason[:MAX_SHOWN_REASON_CHARACTERS],
    )


@config.command(epilog="\b\nExample:\n  magpieshift config rollback 12 --versions versions/")
@click.argument("number", type=WholeNumber(0, 10**18 - 1))
@click.option("--versions", required=True, help="The control service's folder.")
@JSON_OPTION
def rollback(number: int, versions: str, as_json: bool) -> None:
    """Publish the content of version NUMBER again, as a new version above all others."""
    import os
    from pathlib import Path

    from magpieshift.control import schema, sexp
    from magpieshift.control.errors import UnusableDocumentError
    from magpieshift.control.publisher import read_version_folder

    if not Path(versions).is_dir():
        raise ConfigError(f"{versions} is no folder")
    published = {version.number: version for version in read_version_folder(versions)}
    if number not in published:
        raise ConfigError(f"{versions} has no version {number}")
    try:
        data = schema.load_text(published[number].text).data
    except UnusableDocumentError as err:
        raise ConfigError(f"{Path(versions) / f'{number}.sexp'}: {err}") from err
    new_number = max(published) + 1
    path = Path(versions) / f"{new_number}.sexp"
    unfinished = path.with_suffix(".new")
    unfinished.write_text(f"; version {number} again\n{sexp.format_document(data)}", encoding="utf-8")
    os.rename(unfinished, path)  # the service must not read half of it
    if as_json:
        output.print_json({"version": new_number, "of": number, "digest": published[number].digest})
    else:
        click.echo(f"version {new_number} has the content of version {number}")
