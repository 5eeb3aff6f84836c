"""Log lines by structlog on the standard ``logging``, as key=value pairs or as JSON."""

from __future__ import annotations

import logging
import sys
from typing import Any

import click
import structlog
from structlog.typing import EventDict, WrappedLogger

KEY_ORDER = ["time", "level", "logger", "event"]
LOG_OPTION = click.option(
    "--log",
    "log_form",
    type=click.Choice(["pairs", "json"]),
    default="pairs",
    envvar="EDGE_LOG",
    help="Form of the log's lines.  [pairs]",
)


def _record_pairs(_: WrappedLogger, __: str, event: EventDict) -> EventDict:
    """The pairs that ``magpieshift.log.fields`` put on the record, the time and the logger's name."""
    record: logging.LogRecord = event["_record"]
    pairs: dict[str, Any] = {
        "time": f"{record.created:.3f}",
        "level": record.levelname.lower(),
        "logger": record.name,
        "event": event.pop("event"),
    }
    fields = {name: _loggable(value) for name, value in getattr(record, "fields", {}).items()}
    return pairs | fields | dict(event)


def _loggable(value: object) -> object:
    """The value if a renderer shows it as it is; its text else."""
    return value if isinstance(value, str | int | float | bool) else str(value)


def setup(form: str = "pairs", level: str = "INFO") -> None:
    """Send everything to standard error, one line a record; ``form`` is ``pairs`` or ``json``."""
    renderer: Any = (
        structlog.processors.JSONRenderer()
        if form == "json"
        else structlog.processors.LogfmtRenderer(key_order=KEY_ORDER, drop_missing=True, bool_as_flag=False)
    )
    formatter = structlog.stdlib.ProcessorFormatter(
        foreign_pre_chain=[structlog.stdlib.ExtraAdder(allow=())],
        processors=[
            _record_pairs,
            structlog.stdlib.ProcessorFormatter.remove_processors_meta,
            structlog.processors.format_exc_info,
            _one_line,
            renderer,
        ],
    )
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)


def _one_line(_: WrappedLogger, __: str, event: EventDict) -> EventDict:
    """The event with its line ends escaped: one record must stay one line."""
    return {
        name: value.replace("\r", "\\r").replace("\n", "\\n") if isinstance(value, str) else value
        for name, value in event.items()
    }
