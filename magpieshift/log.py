"""Log lines as ``key=value`` pairs, through the standard ``logging`` module."""

from __future__ import annotations

import logging
import sys
from typing import Any


def _quote(value: object) -> str:
    """One word stays bare; anything that could be taken for two, or that breaks the line, is quoted."""
    text = str(value)
    if text and text.isprintable() and not any(mark in text for mark in ' ="\\'):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n").replace("\r", "\\r")
    return f'"{escaped}"'


class KeyValueFormatter(logging.Formatter):
    """``time=… level=… logger=… event=…`` and then the pairs of ``fields(...)``."""

    def format(self, record: logging.LogRecord) -> str:
        pairs: dict[str, object] = {
            "time": f"{record.created:.3f}",
            "level": record.levelname.lower(),
            "logger": record.name,
            "event": record.getMessage(),
        }
        pairs |= getattr(record, "fields", {})
        if record.exc_info:
            pairs["trace"] = self.formatException(record.exc_info)
        return " ".join(f"{name}={_quote(value)}" for name, value in pairs.items())


def fields(**pairs: Any) -> dict[str, dict[str, Any]]:
    """What to pass as ``extra`` to a logging call."""
    return {"fields": pairs}


def setup(level: str = "INFO") -> None:
    """Send everything to standard error, one line a record."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
