"""Errors of rollouts."""

from __future__ import annotations

from magpieshift.errors import MagpieshiftError


class RolloutError(MagpieshiftError):
    """The base of all errors of rollouts."""


class JournalError(RolloutError):
    """The journal cannot be used; the text says why, in one line."""


class JournalMismatchError(RolloutError, ValueError):
    """The journal is of another plan, or of a term as late as this one."""


class StepFailedError(RolloutError):
    """A step did not work; the text says why."""


class TermUnknownError(RolloutError):
    """Too few routers tell the latest term, so a new one could be one that another coordinator has."""


class TermSupersededError(RolloutError):
    """A router knows a later term: another coordinator goes on."""


class UnreadableCountersError(RolloutError):
    """A router's answer holds no counters; the text says what was found."""
