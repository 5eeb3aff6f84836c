"""Stable numbers of zones and endpoint kinds across configuration changes. No I/O.

Listed endpoints refer to zones and kinds by number, so a new document may list the names in any order without
renumbering them. Renumbering would require processing the whole endpoint list again at each such change,
which blocks the event loop meanwhile. The number of a removed name stays unused until the following change,
so that an endpoint listed in between cannot end up in another zone; after that it may be reassigned.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

from magpieshift.config import Document

UNUSED = ""
"""Name of an unused number; no document can contain it."""


def renumber(old: Sequence[str], new: Sequence[str]) -> tuple[str, ...]:
    """The names by number: kept names keep their numbers, new ones fill gaps or are appended."""
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
    """``new`` with its zones and kinds numbered as in ``old``, the document in force."""
    zones = renumber(old.names.zones, new.names.zones)
    kinds = renumber(old.names.kinds, new.names.kinds)
    if (zones, kinds) == (new.names.zones, new.names.kinds):
        return new
    settings = new.settings
    names = new.names
    # Maps each zone number to the zone's index in the new document, or -1 if the number is unused.
    document_index = [names.zones.index(zone) if zone else -1 for zone in zones]

    def zone_number(index: int) -> int:
        return zones.index(names.zones[index])

    def kind_number(index: int) -> int:
        return kinds.index(names.kinds[index]) if index >= 0 else index  # negative: there are no parents

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
        parent_kind=kind_number(settings.parent_kind),
        origin_kind=kind_number(settings.origin_kind),
    )
    return replace(new, settings=settings, names=replace(names, zones=zones, kinds=kinds))
