"""What hollow routers are told of the installation around them: settings, and the list of caches."""

from __future__ import annotations

import copy
from collections.abc import Mapping
from typing import Any

from magpieshift.control import sexp
from magpieshift.lab.emulators.emulated import router_settings

# of all caches; the settings are those of the emulated installation
ZONE = "shop"
KIND = "box"
NOWHERE = 9  # port of loopback at which no cache listens: hollow routers never ask one
NEXT_PHASE = {"SERVING": "DRAINING", "DRAINING": "DELETED", "DELETED": "SERVING"}


def base_settings(routers: int, log_port: int, zones: Mapping[str, int]) -> dict[str, Any]:
    """Settings for a fleet of so many routers, with the routers of each zone."""
    data = router_settings("hollow", NOWHERE, log_port, routers)
    data["zones"] |= {name: {"routers": count, "attached-to": "hub"} for name, count in zones.items()}
    return data


def version_text(data: Mapping[str, Any], number: int) -> str:
    """The text of a version: the settings with one figure that no other version has."""
    changed = copy.deepcopy(dict(data))
    changed["stores"] = dict(changed.get("stores", {})) | {"answer-slack-ms": 1 + number / 1000}
    return sexp.format_document(changed)


def cache(place: int, phase: str = "SERVING", births: int = 0) -> dict[str, Any]:
    """A cache as the change log lists it; ``births`` counts the processes that its place has had before."""
    return {
        "id": f"s-{place:05d}-{births}",
        "host_port": f"127.0.0.1:{NOWHERE}",
        "locality": ZONE,
        "flavor": KIND,
        "cell": place + 1,
        "phase": phase,
        "size": 4,
        "up_since_ms": 0,
    }


class CacheList:
    """The list of caches, and the events that tell of it."""

    def __init__(self, caches: int) -> None:
        self._listed = {place: cache(place) for place in range(caches)}
        self._births = dict.fromkeys(range(caches), 0)
        self._revision = 1

    def whole(self) -> dict[str, Any]:
        """The event with all that are listed."""
        members = [member for member in self._listed.values() if member["phase"] != "DELETED"]
        return {"fleet": {"revision": self._revision, "complete": True, "members": members}}

    def change(self, place: int) -> dict[str, Any]:
        """A cache drains, goes, or a new process serves in its place; the event that tells so."""
        place %= max(1, len(self._listed))
        self._revision += 1
        phase = NEXT_PHASE[self._listed[place]["phase"]]
        self._births[place] += phase == "SERVING"
        self._listed[place] = cache(place, phase, self._births[place])
        return {"fleet": {"revision": self._revision, "complete": False, "members": [self._listed[place]]}}
