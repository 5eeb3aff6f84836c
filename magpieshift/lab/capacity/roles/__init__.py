"""The roles of a fleet, each with the quantity that it grows with and the budgets of its resources."""

from __future__ import annotations

from magpieshift.lab.capacity.role import Role
from magpieshift.lab.capacity.roles.capture import Capture
from magpieshift.lab.capacity.roles.changelog import ChangeLogSource
from magpieshift.lab.capacity.roles.commands import ConfigCheck
from magpieshift.lab.capacity.roles.control import (
    ControlService,
    KnownVersionsScan,
    SourceScan,
    VersionFolderScan,
)
from magpieshift.lab.capacity.roles.decisions import Decisions
from magpieshift.lab.capacity.roles.digests import Digests
from magpieshift.lab.capacity.roles.endpoint_lists import RouterLists
from magpieshift.lab.capacity.roles.membership import Membership
from magpieshift.lab.capacity.roles.objects import Objects
from magpieshift.lab.capacity.roles.purges import RouterPurges
from magpieshift.lab.capacity.roles.relays import (
    RelayFollowers,
    RelayPurges,
    RouterBehindRelay,
    SourceFollowers,
)
from magpieshift.lab.capacity.roles.requests import Requests, ResponseBytes
from magpieshift.lab.capacity.roles.rollouts import RolloutMemory, RolloutRound
from magpieshift.lab.capacity.roles.snapshots import Snapshots
from magpieshift.lab.capacity.roles.versions import RouterVersions
from magpieshift.lab.capacity.routers import REPOSITORY_ROOT


def every_role(router_folder: str = REPOSITORY_ROOT) -> list[Role]:
    """All roles. Roles that start a router process start that of the checkout in ``router_folder``."""
    return [
        Decisions(),
        Objects(),
        Requests(router_folder),
        ResponseBytes(router_folder),
        RouterPurges(router_folder),
        RouterLists(router_folder),
        RouterVersions(),
        ChangeLogSource(),
        SourceFollowers(),
        RelayFollowers(),
        RelayPurges(),
        Snapshots(),
        RouterBehindRelay(router_folder),
        ControlService(),
        VersionFolderScan(),
        KnownVersionsScan(),
        SourceScan(),
        Membership(),
        Digests(),
        RolloutRound(),
        RolloutMemory(),
        ConfigCheck(),
        Capture(),
    ]
