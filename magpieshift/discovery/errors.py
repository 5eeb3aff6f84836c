"""Errors of reading the change log."""

from __future__ import annotations

from magpieshift.errors import MagpieshiftError


class DiscoveryError(MagpieshiftError):
    """The change log cannot be followed any further on this connection; it is read again."""


class MissingChangesError(DiscoveryError):
    """Changes are missing before the one that came: the log is to be read again from the last one applied."""


class EventStreamError(DiscoveryError):
    """The stream of events breaks its bounds."""
