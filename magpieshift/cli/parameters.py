"""Parameter types that reject invalid values before a command starts. The message says what was found and
what was expected; ``magpieshift.cli.errors`` prefixes it with the command and the parameter."""

from __future__ import annotations

import math
import os
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import click

from magpieshift.config import ConfigError, parse_address

MAX_COUNT = 1_000_000
"""Default upper bound of counts; a larger one is taken for a typing error."""
MAX_NUMBER = 1e6
"""Default upper bound of numbers that need not be whole; a larger one is taken for a typing error."""
MAX_SEED = (1 << 63) - 1
"""Largest seed: the largest signed 64-bit number."""


class WholeNumber(click.IntRange):
    """A whole number between a minimum and a maximum, both included."""

    name = "number"

    def __init__(self, minimum: int = 1, maximum: int = MAX_COUNT) -> None:
        super().__init__(minimum, maximum)

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> Any:
        """The value as a number; ``BadParameter`` if it is none or out of range."""
        try:
            return super().convert(value, param, ctx)
        except click.BadParameter:
            self.fail(f"found {value!r}, expected a whole number from {self.min} to {self.max}", param, ctx)


class FiniteNumber(click.FloatRange):
    """A finite number between a minimum and a maximum, both included."""

    name = "number"

    def __init__(
        self, minimum: float = 0.0, maximum: float = MAX_NUMBER, above_minimum: bool = False
    ) -> None:
        """``above_minimum``: the minimum itself is rejected, so the number must be greater."""
        super().__init__(minimum, maximum, min_open=above_minimum)

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> Any:
        """The value as a number; ``BadParameter`` if it is none or out of range."""
        try:
            number = super().convert(value, param, ctx)
        except click.BadParameter:
            number = math.nan
        if math.isnan(number):
            lower = f"above {self.min:g} and up" if self.min_open else f"from {self.min:g}"
            self.fail(f"found {value!r}, expected a number {lower} to {self.max:g}", param, ctx)
        return number


class WholeNumberList(click.ParamType[Any]):
    """Whole numbers separated by commas, converted to a tuple."""

    name = "numbers"

    def __init__(self, minimum: int = 1, maximum: int = MAX_COUNT) -> None:
        self._element = WholeNumber(minimum, maximum)

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> Any:
        """The value as a tuple; ``BadParameter`` if one of the numbers is invalid."""
        if isinstance(value, tuple):
            return value
        try:
            return tuple(self._element.convert(text, param, ctx) for text in str(value).split(","))
        except click.BadParameter:
            self.fail(
                f"found {value!r}, expected whole numbers from {self._element.min} to {self._element.max} "
                "separated by commas",
                param,
                ctx,
            )


class Address(click.ParamType[Any]):
    """A ``host:port`` address, checked but left as text; an empty text means no address."""

    name = "host:port"

    def __init__(self, any_port: bool = False) -> None:
        """``any_port``: port 0 is accepted; the operating system then picks a free port."""
        self._any_port = any_port

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> Any:
        """The address as given; ``BadParameter`` if it is invalid."""
        host, _, port = str(value).rpartition(":")
        if not value or (self._any_port and host and port == "0"):
            return value
        try:
            parse_address(value, "it")
        except ConfigError:
            self.fail(f"found {value!r}, expected host:port", param, ctx)
        return value


class LazyChoice(click.ParamType[Any]):
    """One of several names; an empty text means no name. The names are looked up only when a value is given,
    because the lookup may import optional libraries."""

    name = "name"

    def __init__(self, names: Callable[[], Iterable[str]]) -> None:
        self._names = names

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> Any:
        """The name as given; ``BadParameter`` if it is unknown."""
        if value and value not in (names := list(self._names())):
            self.fail(f"found {value!r}, expected one of {', '.join(names)}", param, ctx)
        return value


def _nearest_existing(path: Path) -> Path:
    """The path if it exists, otherwise its nearest existing parent folder."""
    absolute = path.absolute()
    return next(candidate for candidate in (absolute, *absolute.parents) if candidate.exists())


class WritableFile(click.ParamType[Any]):
    """The path of a file that can be written; an empty text means no file."""

    name = "file"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> Any:
        """The path as given; ``BadParameter`` if the file cannot be written."""
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
    """The path of a folder to write into, which the command creates if it does not exist; an empty text means
    no folder."""

    name = "folder"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> Any:
        """The path as given; ``BadParameter`` if the folder cannot be created or written to."""
        if not value:
            return value
        existing = _nearest_existing(Path(value))
        if not existing.is_dir() or not os.access(existing, os.W_OK):
            self.fail(
                f"found {value!r}, expected a folder that exists or can be created, and can be written to",
                param,
                ctx,
            )
        return value


SEED_TYPE = WholeNumber(0, MAX_SEED)
FRACTION_TYPE = FiniteNumber(0.0, 1.0)
REQUEST_RATE_TYPE = FiniteNumber(0.0, 100_000.0, above_minimum=True)
"""Requests per second; a rate above the maximum is taken for a typing error."""
