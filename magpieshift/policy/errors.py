"""The errors of the simulator's adapter; the policy itself raises none of its own."""

from __future__ import annotations

from magpieshift.errors import MagpieshiftError


class SimulatorError(MagpieshiftError):
    """The simulator sent something that cannot be used; the text is one plain line."""


class WireError(SimulatorError):
    """A frame does not follow the wire; the text says where and how."""


class SettingsError(SimulatorError):
    """A needed setting is missing or cannot be read; the text names it."""
