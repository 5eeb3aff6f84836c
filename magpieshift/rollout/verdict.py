"""What a canary analysis may find."""

from __future__ import annotations

from enum import Enum


class Verdict(Enum):
    """What is known of the new side; the value is its word in the status."""

    UNDECIDED = "not known yet"
    NO_WORSE = "no worse"
    WORSE = "worse"
    COMMON_FAULT = "trouble on both sides"
