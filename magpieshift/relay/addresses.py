"""Parses the addresses of relays and sources from settings."""

from __future__ import annotations

from magpieshift.config import ConfigError, parse_address
from magpieshift.relay.selection import RelayAddress


def read_relays(text: str, region: str, setting: str) -> tuple[RelayAddress, ...]:
    """Parse a list ``[REGION/]HOST:PORT,...``; an entry without a region gets ``region``. Raises
    ``ConfigError``, which names ``setting``, if the list is malformed or contains an address twice."""
    relays = [_read_relay(entry.strip(), region, setting) for entry in text.split(",")]
    if len({relay.address for relay in relays}) < len(relays):
        raise ConfigError(f"{setting}: found {text!r}, expected each address once")
    return tuple(relays)


def _read_relay(entry: str, region: str, setting: str) -> RelayAddress:
    given_region, slash, host_port = entry.rpartition("/")
    if not host_port or (slash and not given_region):
        raise ConfigError(f"{setting}: found {entry!r}, expected [REGION/]HOST:PORT")
    try:
        host, port = parse_address(host_port, setting)
    except ConfigError:
        raise ConfigError(f"{setting}: found {entry!r}, expected [REGION/]HOST:PORT") from None
    return RelayAddress(host_port, given_region or region, f"{host}:{port}")
