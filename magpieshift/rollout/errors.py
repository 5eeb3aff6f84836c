"""Errors that a rollout raises."""

from __future__ import annotations

from magpieshift.errors import MagpieshiftError


class RolloutError(MagpieshiftError):
    """Base class of all rollout errors."""


class JournalError(RolloutError):
    """The journal cannot be read or written; the message gives the reason in one line."""


class JournalMismatchError(RolloutError, ValueError):
    """The journal belongs to another plan, or its latest term is not below the term of this run."""


class StepFailedError(RolloutError):
    """A step failed; the message gives the reason."""


class TermUnknownError(RolloutError):
    """Fewer than a majority of routers reported their term, so a new term could collide with that of another
    coordinator."""


class TermSupersededError(RolloutError):
    """A router knows a later term: another coordinator has taken over."""


class UnreadableCountersError(RolloutError):
    """A router's answer contains no readable counters; the message shows what was found."""
