"""The errors of captures; each text is one plain line that says what was found and what was expected."""

from __future__ import annotations

from magpieshift.errors import MagpieshiftError


class CaptureError(MagpieshiftError):
    """A file is no capture that this version can read, or holds nothing to replay."""


class PolicyError(CaptureError):
    """A folder has no policy that can be loaded."""


class StateError(CaptureError):
    """The bytes of a keyframe are no state of the policy that is to take it over."""
