"""Logging as ``key=value`` pairs, based on the standard ``logging`` module."""

from __future__ import annotations

import logging
import sys
from typing import Any


def _quote(value: object) -> str:
    """Format a value; quoted and escaped if it is empty or contains spaces, quotes or control characters."""
    text = str(value)
    if text and text.isprintable() and not any(character in text for character in ' ="\\'):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n").replace("\r", "\\r")
    return f'"{escaped}"'


class KeyValueFormatter(logging.Formatter):
    """Formats a record as ``time=… level=… logger=… event=…`` followed by the pairs of ``fields(...)``."""

    def format(self, record: logging.LogRecord) -> str:
        """Format one record as one line."""
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
    """The ``extra`` argument of a logging call that adds these pairs."""
    return {"fields": pairs}


def setup(level: str = "INFO") -> None:
    """Log records of at least this level to standard error, one line each."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
