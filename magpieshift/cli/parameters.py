"""Types of parameters that reject bad values before a command begins, saying what was found and what was
expected. ``magpieshift.cli.errors`` puts the command and the parameter before it."""

from __future__ import annotations

import math
import os
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import click

from magpieshift.config import ConfigError, parse_address

MAX_COUNT = 1_000_000
"""Largest count where a parameter names no bound of its own; beyond it is a slip of the keyboard."""
MAX_NUMBER = 1e6
"""Likewise of numbers that need not be whole."""
MAX_SEED = (1 << 63) - 1
"""Largest seed: what a signed number of 64 bits holds."""


class WholeNumber(click.IntRange):
    """A whole number from a minimum to a maximum, both included."""

    name = "number"

    def __init__(self, minimum: int = 1, maximum: int = MAX_COUNT) -> None:
        super().__init__(minimum, maximum)

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> Any:
        """The number."""
        try:
            return super().convert(value, param, ctx)
        except click.BadParameter:
            self.fail(f"found {value!r}, expected a whole number from {self.min} to {self.max}", param, ctx)


class FiniteNumber(click.FloatRange):
    """A finite number from a minimum to a maximum."""

    name = "number"

    def __init__(
        self, minimum: float = 0.0, maximum: float = MAX_NUMBER, above_minimum: bool = False
    ) -> None:
        """``above_minimum``: the minimum itself is rejected."""
        super().__init__(minimum, maximum, min_open=above_minimum)

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> Any:
        """The number."""
        try:
            number = super().convert(value, param, ctx)
        except click.BadParameter:
            number = math.nan
        if math.isnan(number):
            lower = f"above {self.min:g} and up" if self.min_open else f"from {self.min:g}"
            self.fail(f"found {value!r}, expected a number {lower} to {self.max:g}", param, ctx)
        return number


class WholeNumberList(click.ParamType[Any]):
    """Whole numbers with commas between them, as a tuple."""

    name = "numbers"

    def __init__(self, minimum: int = 1, maximum: int = MAX_COUNT) -> None:
        self._element = WholeNumber(minimum, maximum)

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> Any:
        """The numbers."""
        if isinstance(value, tuple):
            return value
        try:
            return tuple(self._element.convert(text, param, ctx) for text in str(value).split(","))
        except click.BadParameter:
            self.fail(
                f"found {value!r}, expected whole numbers from {self._element.min} to {self._element.max} "
                "with commas between them",
                param,
                ctx,
            )


class Address(click.ParamType[Any]):
    """``host:port``, which stays text; an empty one stands for none."""

    name = "host:port"

    def __init__(self, any_port: bool = False) -> None:
        """``any_port``: port 0 stands for one that is free."""
        self._any_port = any_port

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> Any:
        """The text."""
        host, _, port = str(value).rpartition(":")
        if not value or (self._any_port and host and port == "0"):
            return value
        try:
            parse_address(value, "it")
        except ConfigError:
            self.fail(f"found {value!r}, expected host:port", param, ctx)
        return value


class LazyChoice(click.ParamType[Any]):
    """One of several names, which are looked up only when a value is given, since that may import optional
    libraries; an empty one stands for none."""

    name = "name"

    def __init__(self, names: Callable[[], Iterable[str]]) -> None:
        self._names = names

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> Any:
        """The name."""
        if value and value not in (names := list(self._names())):
            self.fail(f"found {value!r}, expected one of {', '.join(names)}", param, ctx)
        return value


def _nearest_existing(path: Path) -> Path:
    """The path, or the nearest folder above it that exists."""
    absolute = path.absolute()
    return next(candidate for candidate in (absolute, *absolute.parents) if candidate.exists())


class WritableFile(click.ParamType[Any]):
    """A path that a file can be written to; an empty one stands for none."""

    name = "file"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> Any:
        """The path."""
        if not value:
            return value
        path = Path(value)
        if path.is_dir():
            self.fail(f"found the folder {value!r}, expected a file to write", param, ctx)
        folder = path.absolute().parent
        if not folder.is_dir() or not os.access(path if path.exists() else folder, os.W_OK):
            self.fail(f"found {value!r}, expected a file in a folder that can be written to", param, ctx)
        return value


class WritableFolder(click.ParamType[Any]):
    """A path of a folder to write into, made where there is none; an empty one stands for none."""

    name = "folder"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> Any:
        """The path."""
        if not value:
            return value
        existing = _nearest_existing(Path(value))
        if not existing.is_dir() or not os.access(existing, os.W_OK):
            self.fail(f"found {value!r}, expected a folder that can be made or written to", param, ctx)
        return value


SEED_TYPE = WholeNumber(0, MAX_SEED)
FRACTION_TYPE = FiniteNumber(0.0, 1.0)
REQUEST_RATE_TYPE = FiniteNumber(0.0, 100_000.0, above_minimum=True)
"""Requests a second; beyond the maximum is a slip of the keyboard."""
