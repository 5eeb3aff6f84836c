"""Configures the standard ``logging`` to write lines through structlog, as key=value pairs or as JSON."""

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
    help="Format of log lines: key=value pairs or JSON.  [default: pairs]",
)


def _record_pairs(_: WrappedLogger, __: str, event: EventDict) -> EventDict:
    """A structlog processor: puts time, level, logger name and event first, then the fields that
    ``magpieshift.log.fields`` attached to the record."""
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
    """The value if the renderers accept its type, otherwise its text."""
    return value if isinstance(value, str | int | float | bool) else str(value)


def setup(form: str = "pairs", level: str = "INFO") -> None:
    """Send all log records to standard error, one line per record; ``form`` is ``pairs`` or ``json``."""
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
    """A structlog processor: escapes line breaks, so that each record stays on one line."""
    return {
        name: value.replace("\r", "\\r").replace("\n", "\\n") if isinstance(value, str) else value
        for name, value in event.items()
    }
