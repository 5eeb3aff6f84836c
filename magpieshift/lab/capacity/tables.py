"""Markdown tables of saved results."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from magpieshift.lab.capacity.measure import Row
from magpieshift.lab.capacity.results import Result, ranked

Results = Mapping[str, Result]  # results by name, oldest first

MAX_INTERVAL_WIDTH = 2.0  # width of the exponent's confidence interval from which on it is inconclusive
NO_VALUE = "–"
INCONCLUSIVE = "not told"


def table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """A Markdown table."""
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join(f"| {' | '.join(line)} |" for line in lines)


def format_number(value: float | None) -> str:
    """A number for a table: three significant digits below 100, otherwise rounded to a whole number with
    commas between thousands."""
    if value is None:
        return NO_VALUE
    if value >= 100 or value == int(value):
        return f"{value:,.0f}"
    return f"{value:.3g}"


def format_exponent(row: Row) -> str:
    """The exponent and its confidence interval, if the measurements determine one."""
    if row.exponent is None or row.interval is None:
        return NO_VALUE
    if row.exponent == 0:
        return "none seen"
    if row.interval[1] - row.interval[0] >= MAX_INTERVAL_WIDTH:
        return INCONCLUSIVE
    return f"{row.exponent:g} ({row.interval[0]:g} to {row.interval[1]:g})"


def format_prediction_error(row: Row) -> str:
    """The prediction error in percent."""
    return NO_VALUE if row.prediction_error is None else f"{100 * row.prediction_error:.0f}%"


def origins(results: Results) -> str:
    """A table of the runs that the results come from."""
    head = ("result", "command", "commit", "seed", "UTC", "cores", "Python", "s", "failed")
    rows = []
    for name, result in results.items():
        origin = result.origin
        command = f"`{origin.command}`"
        rows.append(
            (
                name,
                command,
                origin.commit,
                str(origin.seed),
                origin.date,
                str(origin.cores),
                origin.python,
                format_number(origin.took_s),
                "; ".join(origin.failures) or "none",
            )
        )
    return table(head, rows)


def ranking(results: Results) -> str:
    """A table of resources by their ratio to the budget, the largest first. The order uses the newest result
    that has a ratio; the table shows the ratios of all results."""
    newest: dict[tuple[str, str], Row] = {}
    for row in (row for result in results.values() for row in result.rows):
        if row.ratio is not None or (row.role, row.resource) not in newest:
            newest[row.role, row.resource] = row
    lines = []
    for row in ranked(list(newest.values())):
        if row.budget is None:
            continue
        ratios = [_ratio_or_reason(result, row) for result in results.values()]
        lines.append((row.role, row.resource, format_number(row.budget), row.unit, *ratios))
    return table(("role", "resource", "budget", "unit", *(f"ratio, {name}" for name in results)), lines)


def _ratio_or_reason(result: Result, wanted: Row) -> str:
    for row in result.rows:
        if (row.role, row.resource) == (wanted.role, wanted.resource):
            return f"{row.ratio:.3g}" if row.ratio is not None else row.how
    return "not run"


def superlinear(results: Results) -> str:
    """A list of the resources whose cost grows faster than linearly, for each result."""
    lines = [
        f"- {name}: {row.role}, {row.resource}, by {row.by}: exponent {format_exponent(row)}, measured to"
        f" {format_number(row.measured_to)}"
        for name, result in results.items()
        for row in result.rows
        if row.superlinear
    ]
    return "\n".join(lines or ["- nothing in these results"])


ROLE_COLUMNS = (
    "resource",
    "by (target)",
    "result",
    "measured to",
    "at half",
    "at target",
    "at twice",
    "unit",
    "slope",
    "exponent",
    "error",
    "budget",
    "ratio",
    "how",
)


def role_table(results: Results, *names: str) -> str:
    """A table of all measurements of these roles, one line for each resource and result."""
    chosen = [(name, row) for name, result in results.items() for row in result.rows if row.role in names]
    if not chosen:
        return "Not run."
    commands = dict.fromkeys(f"`{row.command}`" for _, row in chosen)
    budgets = dict.fromkeys(f"{row.resource}: {row.derivation}" for _, row in chosen if row.derivation)
    return "\n".join(
        [
            table(ROLE_COLUMNS, [_role_cells(name, row) for name, row in chosen]),
            "",
            f"Run: {'; '.join(commands)}. Budgets: {'; '.join(budgets) or 'none'}.",
        ]
    )


def _role_cells(result: str, row: Row) -> tuple[str, ...]:
    """The cells of one row of this result, in the order of ``ROLE_COLUMNS``."""
    return (
        f"{row.role}: {row.resource}",
        f"{row.by} ({format_number(row.target)})",
        result,
        format_number(row.measured_to),
        format_number(row.at_half),
        format_number(row.at_target),
        format_number(row.at_twice),
        row.unit,
        format_number(row.slope),
        format_exponent(row),
        format_prediction_error(row),
        format_number(row.budget),
        format_number(row.ratio),
        row.how,
    )
