"""How results are shown: tables for people, JSON for machines."""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence

import click


def as_json(value: object) -> None:
    click.echo(json.dumps(value))


def table(head: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Columns as wide as what is in them."""
    text = [list(map(str, row)) for row in [head, *rows]]
    widths = [max(len(row[i]) for row in text) for i in range(len(head))]
    for row in text:
        click.echo("  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip())


def rows(found: Sequence[Mapping[str, object]], for_machines: bool) -> None:
    """Rows of the same figures, one object a row for machines."""
    if for_machines:
        as_json(list(found))
    elif found:
        table(list(found[0]), [["" if v is None else v for v in row.values()] for row in found])
