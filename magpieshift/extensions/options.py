"""The options with which the command line starts a router."""

from __future__ import annotations

from dataclasses import dataclass

from magpieshift.config import parse_address
from magpieshift.control.version_content import Overrides


@dataclass(frozen=True)
class Options:
    """The options of a router's start; an empty string means that an option was not given."""

    config: str = ""  # settings file, S-expression or the platform's JSON; optional if a version is stored
    state: str = ""  # folder in which versions are stored
    control: str = ""  # address of the control service, host:port
    name: str = ""  # replaces the router's name in the settings
    listen: str = ""  # replaces the clients' address in the settings, host:port
    console: str = ""  # replaces the admin server's address in the settings, host:port
    capture: str = ""  # folder to which captures are written
    capture_mb: int = 512  # disk budget of that folder
    hash_key: str = ""  # file with the key with which object ids are hashed to numbers
    label: str = ""  # name that a rollout gave to this program and settings; shown with the counters
    term: int = -1  # term of the rollout coordinator that starts this process, see fencing; -1: none
    relays: str = ""  # relays to follow in place of the change log: [REGION/]host:port,...
    region: str = ""  # the router's region; relays of the same region are preferred

    @property
    def overrides(self) -> Overrides:
        """The options that replace values in the settings; ``ConfigError`` if an address cannot be parsed."""
        listen = parse_address(self.listen, "listen") if self.listen else None
        console = parse_address(self.console, "console") if self.console else None
        return Overrides(self.name, listen, console)
