"""State machine of one admin command: takes the received bytes and returns the answer. No I/O.

A command is one line: ``WORD``, or ``WORD argument``. The answer is ``OK text`` or ``ERR reason``.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping

from magpieshift.admin.answer import ERROR_WORD, OK_WORD
from magpieshift.lifecycle import InvalidStateError
from magpieshift.log import fields

log = logging.getLogger(__name__)

MAX_LINE_BYTES = 256
"""Maximum size of a command line, so that a client cannot fill the memory; valid commands are far shorter."""
MAX_SHOWN_CHARACTERS = 80
"""Maximum number of characters of an unknown command that the answer to it repeats."""
LINE_END = b"\n"

Commands = Mapping[str, Callable[[], str]]
"""Commands without an argument, by their word; each function returns the text of the answer."""
CommandsWithArgument = Mapping[str, Callable[[str], str]]
"""Commands with an argument, by their word; each function takes the rest of the line."""


def ok_answer(text: str) -> bytes:
    """Encode the answer to a command that succeeded."""
    return f"{OK_WORD} {text}\n".encode()


def error_answer(reason: str) -> bytes:
    """Encode the answer to a command that failed or is invalid."""
    return f"{ERROR_WORD} {reason}\n".encode()


class AdminCommand:
    """The command received on one connection. Input after the first line is ignored."""

    def __init__(
        self, commands: Commands, commands_with_argument: CommandsWithArgument | None = None
    ) -> None:
        self._commands = commands
        self._commands_with_argument = commands_with_argument or {}
        self._received = bytearray()

    def feed(self, data: bytes) -> bytes | None:
        """Add received bytes; returns the answer once the line is complete or too long, None before that."""
        self._received += data
        line, end, _ = self._received.partition(LINE_END)
        if len(line) > MAX_LINE_BYTES:
            return error_answer(f"line: found more than {MAX_LINE_BYTES} bytes, {self._expected}")
        return self._execute(bytes(line).removesuffix(b"\r")) if end else None

    def timed_out(self, timeout_s: float) -> bytes:
        """Return the answer to a line that was not completed within the timeout."""
        found = f"{len(self._received)} bytes" if self._received else "nothing"
        return error_answer(f"line: found {found} and no end after {timeout_s} s, {self._expected}")

    @property
    def _expected(self) -> str:
        return "expected one of " + ", ".join([*self._commands, *self._commands_with_argument])

    def _execute(self, line: bytes) -> bytes:
        text = line.decode("ascii", "backslashreplace").strip(" ")
        try:
            answer = self._run(text)
        except InvalidStateError as err:
            return error_answer(f"{text} not now: {err}")
        except Exception:  # the caller is owed an answer, and must not take its absence for an ended process
            log.exception("admin command raised an exception", extra=fields(command=text))
            return error_answer(f"{text} failed: internal error")
        if answer is None:  # escaped, so that the answer stays one line whatever bytes were sent
            return error_answer(f"call: found {ascii(text)[:MAX_SHOWN_CHARACTERS]}, {self._expected}")
        return ok_answer(answer)

    def _run(self, text: str) -> str | None:
        """Execute the command; returns the text of the answer, None if the command is unknown."""
        if (command := self._commands.get(text)) is not None:
            return command()
        word, _, argument = text.partition(" ")
        if (command_with_argument := self._commands_with_argument.get(word)) is not None:
            return command_with_argument(argument.strip(" "))
        return None
