"""Prints results on standard output: as tables, or as JSON for programs."""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence

import click


def print_json(value: object) -> None:
    """Print a value as one line of JSON."""
    click.echo(json.dumps(value))


def print_table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print a table whose columns are as wide as their widest cell."""
    cells = [list(map(str, row)) for row in [header, *rows]]
    widths = [max(len(row[column]) for row in cells) for column in range(len(header))]
    for row in cells:
        click.echo("  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip())


def print_rows(rows: Sequence[Mapping[str, object]], as_json: bool) -> None:
    """Print rows that have the same keys: as a JSON list of objects, or as a table. An empty table is not
    printed."""
    if as_json:
        print_json(list(rows))
    elif rows:
        cells = [["" if value is None else value for value in row.values()] for row in rows]
        print_table(list(rows[0]), cells)
