"""Errors of the client side. Their texts are sent to clients and logged."""

from __future__ import annotations

from magpieshift.errors import MagpieshiftError


class DownstreamError(MagpieshiftError):
    """A client sent what cannot be used."""


class FrameError(DownstreamError):
    """Bytes that break the framing or its rules; the connection cannot go on."""


class InvalidFieldError(DownstreamError):
    """A request whose field cannot be used; the connection goes on."""
