"""An edge router for caches that fill from parent caches and an origin."""

from magpieshift.app import EdgeRouter
from magpieshift.config import Config, ConfigError, Document, load, parse

__all__ = ["Config", "ConfigError", "Document", "EdgeRouter", "load", "parse"]
