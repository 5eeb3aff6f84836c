"""The answer to one admin command: whether it succeeded, was refused, or nothing answered. No I/O.

On the wire an answer is one line, ``OK text`` or ``ERR reason``. Any other line is taken for a refusal:
something answers at that address, but it has not done what was asked.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

OK_WORD = "OK"
ERROR_WORD = "ERR"


class AnswerStatus(Enum):
    """How an admin command ended, as its client sees it."""

    SUCCEEDED = "succeeded"
    REFUSED = "refused"
    """The server answered that it did not do it, or something that is no answer to a command."""
    NO_ANSWER = "no answer"
    """Something may hold the address, but no whole line came in time: nothing is known."""
    UNREACHABLE = "unreachable"
    """Nothing listens at the address, so no process holds it."""


@dataclass(frozen=True)
class AdminAnswer:
    """The answer to one admin command."""

    status: AnswerStatus
    text: str = ""
    """What was answered behind the status word; the reason where it did not succeed."""

    @property
    def succeeded(self) -> bool:
        """Whether the server did what was asked."""
        return self.status is AnswerStatus.SUCCEEDED

    @property
    def refused(self) -> bool:
        """Whether the server answered that it did not do it."""
        return self.status is AnswerStatus.REFUSED

    @property
    def is_address_free(self) -> bool:
        """Whether no process holds the address; one that answers holds it, whatever it says."""
        return self.status is AnswerStatus.UNREACHABLE

    def __str__(self) -> str:
        """In words, as log lines and errors show it."""
        return f"{self.status.value}: {self.text}" if self.text else self.status.value


def parse_answer(line: str) -> AdminAnswer:
    """The answer that a line from an admin server holds, without its line end."""
    word, _, text = line.partition(" ")
    if word == OK_WORD:
        return AdminAnswer(AnswerStatus.SUCCEEDED, text)
    if word == ERROR_WORD:
        return AdminAnswer(AnswerStatus.REFUSED, text)
    return AdminAnswer(AnswerStatus.REFUSED, f"found {line!r}, expected {OK_WORD} or {ERROR_WORD}")
