"""The numbers of zones and endpoint kinds, which stay while the router runs. No I/O.

Endpoints are listed by these numbers, whatever order a new document names the zones and kinds in. To number
them anew would mean to list every endpoint again with each such change, which holds the event loop for
as long. The number of a name that goes stays empty until the change after, so that no endpoint listed
meanwhile can slip into another zone, and may then be given away.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

from magpieshift.config import Document

UNUSED = ""
"""The name of a number that is not in use; no document can give it."""


def renumber(old: Sequence[str], new: Sequence[str]) -> tuple[str, ...]:
    """The names by number: those that stay keep their numbers, new ones fill gaps or go to the end."""
    names = [name if name in new else UNUSED for name in old]
    gaps = [number for number, name in enumerate(old) if name == UNUSED]
    for name in new:
        if name in names:
            continue
        if gaps:
            names[gaps.pop(0)] = name
        else:
            names.append(name)
    while gaps and gaps[-1] == len(names) - 1:
        names.pop()
        gaps.pop()
    return tuple(names)


def align_numbers(old: Document, new: Document) -> Document:
    """``new`` with its zones and kinds numbered as the running ``old`` has them."""
    zones = renumber(old.names.zones, new.names.zones)
    kinds = renumber(old.names.kinds, new.names.kinds)
    if (zones, kinds) == (new.names.zones, new.names.kinds):
        return new
    settings = new.settings
    names = new.names
    # By new zone number, the index in the document, or -1 for a number not in use.
    document_index = [names.zones.index(zone) if zone else -1 for zone in zones]

    def zone_number(index: int) -> int:
        return zones.index(names.zones[index])

    settings = replace(
        settings,
        zone=zone_number(settings.zone),
        zone_hub=tuple(
            zone_number(settings.zone_hub[index]) if index >= 0 else number
            for number, index in enumerate(document_index)
        ),
        zone_router_counts=tuple(
            settings.zone_router_counts[index] if index >= 0 else 0 for index in document_index
        ),
        zone_link_kb_per_s=tuple(
            settings.zone_link_kb_per_s[index] if index >= 0 else 0.0 for index in document_index
        ),
        parent_kind=kinds.index(names.kinds[settings.parent_kind]),
        origin_kind=kinds.index(names.kinds[settings.origin_kind]),
    )
    return replace(new, settings=settings, names=replace(names, zones=zones, kinds=kinds))
