"""The answer to one admin command: that it succeeded, that it was refused, or that none arrived. No I/O.

On the wire an answer is one line, ``OK text`` or ``ERR reason``. Any other line counts as a refusal: a
process answers at that address, but it has not executed the command.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

OK_WORD = "OK"
ERROR_WORD = "ERR"


class AnswerStatus(Enum):
    """Result of an admin command, as far as the client knows."""

    SUCCEEDED = "succeeded"
    REFUSED = "refused"
    """The server answered that it did not execute the command, or sent a line that is not a valid answer."""
    NO_ANSWER = "no answer"
    """No complete line arrived in time. A process may hold the address; whether it executed the command is
    unknown."""
    UNREACHABLE = "unreachable"
    """Connecting failed: nothing listens at the address, so no process holds it."""


@dataclass(frozen=True)
class AdminAnswer:
    """The answer to one admin command."""

    status: AnswerStatus
    text: str = ""
    """The rest of the line after the status word or, if the command did not succeed, the reason."""

    @property
    def succeeded(self) -> bool:
        """Whether the server executed the command."""
        return self.status is AnswerStatus.SUCCEEDED

    @property
    def refused(self) -> bool:
        """Whether the server answered, but not that it executed the command."""
        return self.status is AnswerStatus.REFUSED

    @property
    def is_address_free(self) -> bool:
        """Whether no process holds the address. A process that answers holds it, whatever the answer is."""
        return self.status is AnswerStatus.UNREACHABLE

    def __str__(self) -> str:
        """Return the text that log lines and errors show."""
        return f"{self.status.value}: {self.text}" if self.text else self.status.value


def parse_answer(line: str) -> AdminAnswer:
    """Parse a line from an admin server, given without its line end."""
    word, _, text = line.partition(" ")
    if word == OK_WORD:
        return AdminAnswer(AnswerStatus.SUCCEEDED, text)
    if word == ERROR_WORD:
        return AdminAnswer(AnswerStatus.REFUSED, text)
    return AdminAnswer(AnswerStatus.REFUSED, f"found {line!r}, expected {OK_WORD} or {ERROR_WORD}")
