"""Values that several readers of settings check alike."""

from __future__ import annotations

from pathlib import Path

from magpieshift.config.document import Address
from magpieshift.config.errors import ConfigError

MAX_PORT = 65_535
"""Of TCP and UDP."""


def read_text(path: str | Path) -> str:
    """A file's text, as UTF-8; ``ConfigError`` where it cannot be read."""
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, ValueError) as err:
        raise ConfigError(f"{path} cannot be read: {err}") from err


def parse_address(text: object, name: str) -> Address:
    """``host:port``, the host as an IPv4 address or a name; ``ConfigError`` that gives the setting's name."""
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise ConfigError(f"{name} is not host:port: {text!r}")
    return host, int(port)
