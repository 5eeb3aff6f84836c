"""Types of parameters that turn bad values down before a command begins, each saying what was found and what
was expected. ``magpieshift.cli.errors`` puts the command and the parameter before it."""

from __future__ import annotations

import math
import os
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import click

from magpieshift.config import ConfigError, parse_address

MOST_COUNT = 1_000_000
MOST_NUMBER = 1e6
SEEDS = (1 << 63) - 1


class Whole(click.IntRange):
    """A whole number from ``least`` to ``most``."""

    name = "number"

    def __init__(self, least: int = 1, most: int = MOST_COUNT) -> None:
        super().__init__(least, most)

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> Any:
        try:
            return super().convert(value, param, ctx)
        except click.BadParameter:
            self.fail(f"found {value!r}, expected a whole number from {self.min} to {self.max}", param, ctx)


class Number(click.FloatRange):
    """A number from ``least`` to ``most``; never one that is not finite."""

    name = "number"

    def __init__(self, least: float = 0.0, most: float = MOST_NUMBER, above: bool = False) -> None:
        """``above``: the least itself is no such number."""
        super().__init__(least, most, min_open=above)

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> Any:
        try:
            found = super().convert(value, param, ctx)
        except click.BadParameter:
            found = math.nan
        if math.isnan(found):
            least = f"above {self.min:g} and up" if self.min_open else f"from {self.min:g}"
            self.fail(f"found {value!r}, expected a number {least} to {self.max:g}", param, ctx)
        return found


class Sizes(click.ParamType[Any]):
    """Whole numbers with commas between them, as a tuple."""

    name = "numbers"

    def __init__(self, least: int = 1, most: int = MOST_COUNT) -> None:
        self._each = Whole(least, most)

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> Any:
        if isinstance(value, tuple):
            return value
        try:
            return tuple(self._each.convert(word, param, ctx) for word in str(value).split(","))
        except click.BadParameter:
            self.fail(
                f"found {value!r}, expected whole numbers from {self._each.min} to {self._each.max} "
                "with commas between them",
                param,
                ctx,
            )


class Address(click.ParamType[Any]):
    """``host:port``, kept as text; an empty one stands for none."""

    name = "host:port"

    def __init__(self, any_port: bool = False) -> None:
        """``any_port``: port 0 stands for one that is free."""
        self._any_port = any_port

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> Any:
        host, _, port = str(value).rpartition(":")
        if not value or (self._any_port and host and port == "0"):
            return value
        try:
            parse_address(value, "it")
        except ConfigError:
            self.fail(f"found {value!r}, expected host:port", param, ctx)
        return value


class OneOf(click.ParamType[Any]):
    """One of several names, which are looked up only when a value is given; an empty one stands for none."""

    name = "name"

    def __init__(self, names: Callable[[], Iterable[str]]) -> None:
        self._names = names

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> Any:
        if value and value not in (names := list(self._names())):
            self.fail(f"found {value!r}, expected one of {', '.join(names)}", param, ctx)
        return value


def _existing(path: Path) -> Path:
    """The path, or the nearest folder above it that there is."""
    whole = path.absolute()
    return next(each for each in (whole, *whole.parents) if each.exists())


class NewFile(click.ParamType[Any]):
    """A path that a file can be written to; an empty one stands for none."""

    name = "file"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> Any:
        if not value:
            return value
        path = Path(value)
        if path.is_dir():
            self.fail(f"found the folder {value!r}, expected a file to write", param, ctx)
        folder = path.absolute().parent
        if not folder.is_dir() or not os.access(path if path.exists() else folder, os.W_OK):
            self.fail(f"found {value!r}, expected a file in a folder that can be written to", param, ctx)
        return value


class NewFolder(click.ParamType[Any]):
    """A path of a folder to write into, made where there is none; an empty one stands for none."""

    name = "folder"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> Any:
        if not value:
            return value
        there = _existing(Path(value))
        if not there.is_dir() or not os.access(there, os.W_OK):
            self.fail(f"found {value!r}, expected a folder that can be made or written to", param, ctx)
        return value


SEED = Whole(0, SEEDS)
SHARE = Number(0.0, 1.0)
RATE = Number(0.0, 100_000.0, above=True)
