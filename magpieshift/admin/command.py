"""One call at the door as a state machine: fed bytes, it gives the one answer, and knows no socket."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from magpieshift.lifecycle import InvalidStateError

MOST_LINE = 256  # bytes; the longest call has eight
END = b"\n"

Commands = Mapping[str, Callable[[], str]]
CommandsWithArgument = Mapping[str, Callable[[str], str]]  # calls that take the rest of the line


def ok(text: str) -> bytes:
    return f"OK {text}\n".encode()


def err(reason: str) -> bytes:
    return f"ERR {reason}\n".encode()


class AdminCommand:
    """One connection's call. What comes behind its first line is not read."""

    def __init__(self, calls: Commands, worded: CommandsWithArgument | None = None) -> None:
        self._calls = calls
        self._worded = worded or {}
        self._got = bytearray()

    def feed(self, data: bytes) -> bytes | None:
        """The answer, once these bytes make the line whole or too long for one."""
        self._got += data
        line, end, _ = self._got.partition(END)
        if len(line) > MOST_LINE:
            return err(f"line: found more than {MOST_LINE} bytes, expected one of {self._known}")
        return self._answer(bytes(line).removesuffix(b"\r")) if end else None

    def late(self, after_s: float) -> bytes:
        """The answer to a line that did not become whole."""
        found = f"{len(self._got)} bytes" if self._got else "nothing"
        return err(f"line: found {found} and no end after {after_s} s, expected one of {self._known}")

    @property
    def _known(self) -> str:
        return ", ".join([*self._calls, *self._worded])

    def _answer(self, line: bytes) -> bytes:
        word = line.decode("ascii", "backslashreplace").strip(" ")
        first, _, rest = word.partition(" ")
        call = self._calls.get(word)
        if call is None and (worded := self._worded.get(first)) is not None:
            call = lambda: worded(rest.strip(" "))  # noqa: E731
        if call is None:  # shown so that it is one line again, whatever bytes came
            return err(f"call: found {ascii(word)[:80]}, expected one of {self._known}")
        try:
            return ok(call())
        except InvalidStateError as why:
            return err(f"{word} not now: {why}")
