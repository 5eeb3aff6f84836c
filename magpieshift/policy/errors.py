"""The errors of the simulator adapter; the policy itself defines none."""

from __future__ import annotations

from magpieshift.errors import MagpieshiftError


class SimulatorError(MagpieshiftError):
    """The simulator sent invalid input; the message is a single line."""


class WireError(SimulatorError):
    """A frame does not follow the simulator's protocol; the message names the offset and the problem."""


class SettingsError(SimulatorError):
    """A required setting is missing or cannot be parsed; the message names it."""
