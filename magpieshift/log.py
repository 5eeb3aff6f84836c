"""Log lines as ``key=value`` pairs, through the standard ``logging`` module."""

from __future__ import annotations

import logging
import sys
from typing import Any


def _quote(value: object) -> str:
    """A value as one word: quoted if it could be taken for two, or would break the line."""
    text = str(value)
    if text and text.isprintable() and not any(character in text for character in ' ="\\'):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n").replace("\r", "\\r")
    return f'"{escaped}"'


class KeyValueFormatter(logging.Formatter):
    """``time=… level=… logger=… event=…`` and then the pairs of ``fields(...)``."""

    def format(self, record: logging.LogRecord) -> str:
        """The line of one record."""
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
    """The value of ``extra`` for a logging call with these pairs."""
    return {"fields": pairs}


def setup(level: str = "INFO") -> None:
    """Log to standard error from this level on, one line a record."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
