"""Errors of the configuration."""

from __future__ import annotations

from magpieshift.errors import MagpieshiftError


class ConfigError(MagpieshiftError):
    """A value is missing or cannot be used; the text is one plain line."""
