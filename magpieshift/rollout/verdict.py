"""The possible results of a canary analysis."""

from __future__ import annotations

from enum import Enum


class Verdict(Enum):
    """Result of comparing the new side with the old one; the value is written to the status."""

    UNDECIDED = "not known yet"
    NO_WORSE = "no worse"
    WORSE = "worse"
    COMMON_FAULT = "trouble on both sides"
