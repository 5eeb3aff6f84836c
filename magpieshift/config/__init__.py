"""The configuration: the typed document, the reader of the platform's JSON, and the names of settings that
operators see."""

from magpieshift.config.document import (
    MIN_SOCKETS,
    NO_NAMES,
    Address,
    Config,
    Document,
    Limits,
    MembershipSettings,
    Names,
)
from magpieshift.config.errors import ConfigError
from magpieshift.config.platform_file import load, parse
from magpieshift.config.shown_names import settings_by_name, shown_membership
from magpieshift.config.values import parse_address, read_text

__all__ = [
    "MIN_SOCKETS",
    "NO_NAMES",
    "Address",
    "Config",
    "ConfigError",
    "Document",
    "Limits",
    "MembershipSettings",
    "Names",
    "load",
    "parse",
    "parse_address",
    "read_text",
    "settings_by_name",
    "shown_membership",
]
