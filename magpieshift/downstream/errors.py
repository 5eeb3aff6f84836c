"""Errors in what clients send. The text of a ``FrameError`` is sent to the client; all are logged."""

from __future__ import annotations

from magpieshift.errors import MagpieshiftError


class DownstreamError(MagpieshiftError):
    """A client sent invalid data."""


class FrameError(DownstreamError):
    """The bytes violate the framing or the rules of the protocol; the connection has to be closed."""


class InvalidFieldError(DownstreamError):
    """A field of a request is missing or invalid; the request fails, and the connection stays open."""
