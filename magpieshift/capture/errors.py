"""The errors of captures. Each message is a single line that says what was found and what was expected."""

from __future__ import annotations

from magpieshift.errors import MagpieshiftError


class CaptureError(MagpieshiftError):
    """A file is not a capture that this version can read, or contains nothing that can be replayed."""


class PolicyError(CaptureError):
    """A folder does not contain a policy that can be loaded."""


class StateError(CaptureError):
    """The bytes of a keyframe cannot be restored as a state of the policy."""
