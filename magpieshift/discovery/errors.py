"""Errors of reading the change log."""

from __future__ import annotations

from magpieshift.errors import MagpieshiftError


class DiscoveryError(MagpieshiftError):
    """The change log cannot be read further on this connection; the client reconnects."""


class MissingChangesError(DiscoveryError):
    """Changes before the received one are missing: the log must be read again from the last one applied."""


class EventStreamError(DiscoveryError):
    """The event stream contains an event that is too large or takes too long."""
