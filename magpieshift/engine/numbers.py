"""Zones and kinds keep their numbers while the router runs, whatever order a new document names them in. No
I/O.

Stores are listed by these numbers. Numbering them anew would mean to list every store again with each such
change, 40 ms of a held event loop for a thousand; kept, a change costs nothing. The number of a name that
goes stays empty until the change after, so that no store listed meanwhile can slip into another zone, and may
then be given away.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

from magpieshift.config import Document

NOBODY = ""  # the name of a number that is not in use; no document can give it


def keep(old: Sequence[str], new: Sequence[str]) -> tuple[str, ...]:
    """The names by number: those that stay under their old ones, new ones in gaps or at the end."""
    order = [name if name in new else NOBODY for name in old]
    gaps = [number for number, name in enumerate(old) if name == NOBODY]
    for name in new:
        if name in order:
            continue
        if gaps:
            order[gaps.pop(0)] = name
        else:
            order.append(name)
    while gaps and gaps[-1] == len(order) - 1:
        order.pop()
        gaps.pop()
    return tuple(order)


def aligned(old: Document, new: Document) -> Document:
    """``new`` with its zones and kinds numbered as the running ``old`` has them."""
    zones = keep(old.names.zones, new.names.zones)
    kinds = keep(old.names.kinds, new.names.kinds)
    if (zones, kinds) == (new.names.zones, new.names.kinds):
        return new
    s = new.settings
    names = new.names
    at = [names.zones.index(name) if name else -1 for name in zones]  # by kept number, that in the document

    def number(zone: int) -> int:
        return zones.index(names.zones[zone])

    settings = replace(
        s,
        zone=number(s.zone),
        zone_hub=tuple(number(s.zone_hub[i]) if i >= 0 else kept for kept, i in enumerate(at)),
        zone_router_counts=tuple(s.zone_router_counts[i] if i >= 0 else 0 for i in at),
        zone_link_kb_per_s=tuple(s.zone_link_kb_per_s[i] if i >= 0 else 0.0 for i in at),
        parent_kind=kinds.index(names.kinds[s.parent_kind]),
        origin_kind=kinds.index(names.kinds[s.origin_kind]),
    )
    return replace(new, settings=settings, names=replace(names, zones=zones, kinds=kinds))
