"""An edge router for caches that fill from parent caches and an origin.

The embedding API is loaded on first use: the decision policy and its simulator adapter run without Tornado.
"""

from __future__ import annotations

import importlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from magpieshift.app import EdgeRouter
    from magpieshift.config import Config, ConfigError, Document, load, parse

__all__ = ["Config", "ConfigError", "Document", "EdgeRouter", "load", "parse"]

_MODULE_OF = {
    "Config": "magpieshift.config",
    "ConfigError": "magpieshift.config",
    "Document": "magpieshift.config",
    "EdgeRouter": "magpieshift.app",
    "load": "magpieshift.config",
    "parse": "magpieshift.config",
}


def __getattr__(name: str) -> object:
    """Load a public name of the embedding API (PEP 562)."""
    if name not in _MODULE_OF:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(_MODULE_OF[name]), name)
