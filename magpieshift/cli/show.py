"""How results are shown: tables for people, JSON for machines."""

from __future__ import annotations

import json
from collections.abc import Sequence

import click


def as_json(value: object) -> None:
    click.echo(json.dumps(value))


def table(head: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Columns as wide as what is in them."""
    text = [list(map(str, row)) for row in [head, *rows]]
    widths = [max(len(row[i]) for row in text) for i in range(len(head))]
    for row in text:
        click.echo("  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip())
