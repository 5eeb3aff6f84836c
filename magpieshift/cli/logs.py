"""Log lines by structlog on the standard ``logging``: the router's own lines, as key=value pairs or as
JSON."""

from __future__ import annotations

import logging
import sys
from typing import Any

import click
import structlog
from structlog.typing import EventDict, WrappedLogger

ORDER = ["time", "level", "logger", "event"]
LOG = click.option(
    "--log",
    "log_form",
    type=click.Choice(["pairs", "json"]),
    default="pairs",
    envvar="EDGE_LOG",
    help="Form of the log's lines.  [pairs]",
)


def _pairs(_: WrappedLogger, __: str, event: EventDict) -> EventDict:
    """The pairs that ``magpieshift.log.fields`` put on the record, the time and the logger's name."""
    record: logging.LogRecord = event["_record"]
    pairs: dict[str, Any] = {
        "time": f"{record.created:.3f}",
        "level": record.levelname.lower(),
        "logger": record.name,
        "event": event.pop("event"),
    }
    return pairs | {k: _plain(v) for k, v in getattr(record, "fields", {}).items()} | dict(event)


def _plain(value: object) -> object:
    return value if isinstance(value, str | int | float | bool) else str(value)


def setup(form: str = "pairs", level: str = "INFO") -> None:
    """Send everything to standard error, one line a record; ``form`` is ``pairs`` or ``json``."""
    render: Any = (
        structlog.processors.JSONRenderer()
        if form == "json"
        else structlog.processors.LogfmtRenderer(key_order=ORDER, drop_missing=True, bool_as_flag=False)
    )
    formatter = structlog.stdlib.ProcessorFormatter(
        foreign_pre_chain=[structlog.stdlib.ExtraAdder(allow=())],
        processors=[
            _pairs,
            structlog.stdlib.ProcessorFormatter.remove_processors_meta,
            structlog.processors.format_exc_info,
            _one_line,
            render,
        ],
    )
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)


def _one_line(_: WrappedLogger, __: str, event: EventDict) -> EventDict:
    return {
        k: v.replace("\r", "\\r").replace("\n", "\\n") if isinstance(v, str) else v for k, v in event.items()
    }
