"""Errors of the configuration."""

from __future__ import annotations

from magpieshift.errors import MagpieshiftError


class ConfigError(MagpieshiftError):
    """A setting is missing or invalid; the message is a single line."""
