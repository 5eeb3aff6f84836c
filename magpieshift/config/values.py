"""Parsers of values that several readers of settings share."""

from __future__ import annotations

from pathlib import Path

from magpieshift.config.document import Address
from magpieshift.config.errors import ConfigError

MAX_PORT = 65_535
"""Highest port number of TCP and UDP."""


def read_text(path: str | Path) -> str:
    """Read a UTF-8 text file; ``ConfigError`` if it cannot be read."""
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, ValueError) as err:
        raise ConfigError(f"{path} cannot be read: {err}") from err


def parse_address(text: object, name: str) -> Address:
    """Parse ``host:port``, the host an IPv4 address or a name; errors contain ``name``, that of the setting.

    Raises ``ConfigError`` if the text is not an address.
    """
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise ConfigError(f"{name} is not host:port: {text!r}")
    return host, int(port)
