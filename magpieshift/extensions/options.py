"""The options of a router's start, as the command line gives them."""

from __future__ import annotations

from dataclasses import dataclass

from magpieshift.config import parse_address
from magpieshift.control.content import Overrides


@dataclass(frozen=True)
class Options:
    """What a router is started with; an empty text stands for an option that was not given."""

    config: str = ""  # a settings file, S-expression or the platform's JSON; optional with a stored version
    state: str = ""  # the folder where versions are stored
    control: str = ""  # host:port of the control service
    name: str = ""  # in place of the name in the settings
    listen: str = ""  # host:port in place of the one in the settings
    console: str = ""  # host:port of the admin server, in place of the one in the settings
    capture: str = ""  # the folder to record into
    capture_mb: int = 512  # the room for recordings there
    hash_key: str = ""  # a file with a key: object numbers become hashes under it
    label: str = ""  # the rollout's name of what this process runs; its counters carry it
    term: int = -1  # of the rollout that starts it: commands of older terms are rejected; -1: none
    relays: str = ""  # [REGION/]host:port,...: followed in place of the change log
    region: str = ""  # where the router stands: relays of the same region are preferred

    @property
    def overrides(self) -> Overrides:
        """What replaces parts of the settings; ``ConfigError`` where an address cannot be read."""
        listen = parse_address(self.listen, "listen") if self.listen else None
        console = parse_address(self.console, "console") if self.console else None
        return Overrides(self.name, listen, console)
