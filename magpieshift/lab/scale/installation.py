"""The emulated installation that hollow routers are configured with: settings, and the list of caches."""

from __future__ import annotations

import copy
from collections.abc import Mapping
from typing import Any

from magpieshift.control import sexp
from magpieshift.lab.emulators.emulated_installation import router_settings

# zone and kind of every cache in the list, as named in the settings of the emulated installation
ZONE = "shop"
KIND = "box"
UNUSED_PORT = 9  # loopback port of every cache; nothing listens there, as hollow routers never connect
NEXT_PHASE = {"SERVING": "DRAINING", "DRAINING": "DELETED", "DELETED": "SERVING"}


def base_settings(routers: int, log_port: int, zones: Mapping[str, int]) -> dict[str, Any]:
    """Settings for a fleet of ``routers`` routers; ``zones`` is the number of routers in each zone."""
    data = router_settings("hollow", UNUSED_PORT, log_port, routers)
    data["zones"] |= {name: {"routers": count, "attached-to": "hub"} for name, count in zones.items()}
    return data


def version_text(data: Mapping[str, Any], number: int) -> str:
    """The text of a version: the settings with an answer slack that is unique to the version."""
    changed = copy.deepcopy(dict(data))
    changed["stores"] = dict(changed.get("stores", {})) | {"answer-slack-ms": 1 + number / 1000}
    return sexp.format_document(changed)


def listed_cache(index: int, phase: str = "SERVING", incarnation: int = 0) -> dict[str, Any]:
    """A cache as the change log lists it. ``incarnation`` counts the earlier cache processes at the same
    index of the list."""
    return {
        "id": f"s-{index:05d}-{incarnation}",
        "host_port": f"127.0.0.1:{UNUSED_PORT}",
        "locality": ZONE,
        "flavor": KIND,
        "cell": index + 1,
        "phase": phase,
        "size": 4,
        "up_since_ms": 0,
    }


class CacheList:
    """The list of caches, and the watch events that announce its changes."""

    def __init__(self, caches: int) -> None:
        self._listed = {index: listed_cache(index) for index in range(caches)}
        self._incarnations = dict.fromkeys(range(caches), 0)
        self._revision = 1

    def complete_event(self) -> dict[str, Any]:
        """The watch event with the complete list."""
        members = [member for member in self._listed.values() if member["phase"] != "DELETED"]
        return {"fleet": {"revision": self._revision, "complete": True, "members": members}}

    def change(self, index: int) -> dict[str, Any]:
        """Move the cache at index ``index`` to its next phase (draining, deleted, or serving as a new
        process), and return the watch event."""
        index %= max(1, len(self._listed))
        self._revision += 1
        phase = NEXT_PHASE[self._listed[index]["phase"]]
        self._incarnations[index] += phase == "SERVING"
        self._listed[index] = listed_cache(index, phase, self._incarnations[index])
        return {"fleet": {"revision": self._revision, "complete": False, "members": [self._listed[index]]}}
