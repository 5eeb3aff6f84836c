"""Commands that check, show, compare and roll back settings files and configuration versions."""

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
"""Length to which digests are cut in tables; enough to tell versions apart."""
MAX_SHOWN_REASON_CHARACTERS = 100
"""Length to which rejection reasons are cut, to keep tables readable."""


@click.group(cls=SuggestingGroup)
def config() -> None:
    """Check, show and compare settings files and stored configuration versions."""


@config.command(epilog="\b\nExample:\n  magpieshift config check router.sexp")
@click.argument("file")
@JSON_OPTION
def check(file: str, as_json: bool) -> None:
    """Validate a settings file; exit code 1 if it is invalid."""
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
            f"{file}: valid; {len(document.names.classes)} classes, {len(document.names.zones)} zones, "
            f"digest {loaded.digest}"
        )


STATE_OPTION = click.option(
    "--state", envvar="EDGE_STATE", default="", help="Folder where a router stores its versions."
)


def _read_data(name: str, state: str) -> dict[str, Any]:
    """The data of a document: the file ``name``, or, given a state folder, the stored version with that
    number."""
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
    """Print WHAT in the form of a settings file. WHAT is a settings file, the platform's JSON file or, with
    --state, the number of a stored version; without WHAT, the version in force is printed."""
    from magpieshift.control import sexp
    from magpieshift.control.document_changes import document_digest
    from magpieshift.control.stored_versions import read_store

    if not what and not state:
        raise click.UsageError("found neither WHAT nor --state, expected a settings file or --state FOLDER")
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
    """Show the changes from A to B, each a settings file or, with --state, the number of a stored version;
    exit code 1 if there are any."""
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
    """List a router's stored versions: when each came into force, or when and why it was rejected."""
    from magpieshift.control.stored_versions import read_store, stored_history

    if not state:
        raise click.UsageError(
            "--state: found nothing, expected the folder where a router stores its versions"
        )
    contents = read_store(state)
    records = [stored.record for stored in stored_history(contents)]
    if as_json:
        versions = [_record_figures(record) for record in records]
        output.print_json(
            {"damaged": contents.damaged_ranges, "torn_bytes": contents.torn_bytes, "versions": versions}
        )
        return
    header = ("version", "state", "since (UTC)", "from", "digest", "why")
    output.print_table(header, [_record_row(record) for record in records])
    if contents.damaged_ranges or contents.torn_bytes:
        click.echo(
            f"version store: {contents.damaged_ranges} damaged byte ranges, "
            f"{contents.torn_bytes} bytes of an incomplete record at the end",
            err=True,
        )


def _record_figures(record: VersionRecord) -> dict[str, object]:
    """A version record for JSON output."""
    return {
        "number": record.number,
        "state": record.state.value,
        "at_us": record.since_us,
        "digest": record.digest,
        "source": record.source,
        "reason": record.reason.shown_name,
        "detail": record.detail,
        "skipped": record.skipped_numbers,
    }


def _record_row(record: VersionRecord) -> tuple[object, ...]:
    """A version record as a row of the history table."""
    since = datetime.datetime.fromtimestamp(record.since_us / 1e6, datetime.UTC).strftime("%Y-%m-%d %H:%M:%S")
    reason = f"{record.reason.shown_name}: {record.detail}" if record.detail else ""
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
@click.option("--versions", required=True, help="Folder of versions that the control service serves.")
@JSON_OPTION
def rollback(number: int, versions: str, as_json: bool) -> None:
    """Publish the content of version NUMBER again as a new version, numbered one above the highest so far."""
    import os
    from pathlib import Path

    from magpieshift.control import schema, sexp
    from magpieshift.control.errors import UnusableDocumentError
    from magpieshift.control.publisher import read_version_folder

    if not Path(versions).is_dir():
        raise ConfigError(f"--versions: found {versions!r}, expected a folder")
    published = {version.number: version for version in read_version_folder(versions)}
    if number not in published:
        raise ConfigError(f"{versions} has no version {number}")
    try:
        data = schema.load_text(published[number].text).data
    except UnusableDocumentError as err:
        raise ConfigError(f"{Path(versions) / f'{number}.sexp'}: {err}") from err
    new_number = max(published) + 1
    path = Path(versions) / f"{new_number}.sexp"
    temporary_path = path.with_suffix(".new")
    temporary_path.write_text(f"; version {number} again\n{sexp.format_document(data)}", encoding="utf-8")
    os.rename(temporary_path, path)  # atomic: the service must not read a partly written file
    if as_json:
        output.print_json({"version": new_number, "of": number, "digest": published[number].digest})
    else:
        click.echo(f"version {new_number} has the content of version {number}")
