"""The roles of a fleet, each with what it grows by and what it may cost."""

from __future__ import annotations

from magpieshift.lab.capacity.role import Role
from magpieshift.lab.capacity.roles.decisions import Decisions
from magpieshift.lab.capacity.roles.purges import RouterPurges
from magpieshift.lab.capacity.routers import HERE


def every_role(router_folder: str = HERE) -> list[Role]:
    """All roles; routers that are started are those of this checkout."""
    return [
        Decisions(),
        RouterPurges(router_folder),
    ]
