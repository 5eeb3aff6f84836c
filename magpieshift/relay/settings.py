"""Where relays and sources are, as settings say it."""

from __future__ import annotations

from magpieshift.config import ConfigError, parse_address
from magpieshift.relay.selection import Relay


def read_relays(text: str, region: str, what: str) -> tuple[Relay, ...]:
    """The relays of a list ``[REGION/]HOST:PORT,...``; one without a region is of ``region``. ``ConfigError``
    with ``what`` as its place where the list cannot be used."""
    relays = [_read_relay(word.strip(), region, what) for word in text.split(",")]
    if len({relay.address for relay in relays}) < len(relays):
        raise ConfigError(f"{what}: found {text!r}, expected each address once")
    return tuple(relays)


def _read_relay(word: str, region: str, what: str) -> Relay:
    given, slash, place = word.rpartition("/")
    if not place or (slash and not given):
        raise ConfigError(f"{what}: found {word!r}, expected [REGION/]HOST:PORT")
    try:
        host, port = parse_address(place, what)
    except ConfigError:
        raise ConfigError(f"{what}: found {word!r}, expected [REGION/]HOST:PORT") from None
    return Relay(place, given or region, f"{host}:{port}")
