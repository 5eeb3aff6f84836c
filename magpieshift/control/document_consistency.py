"""Checks across the entries of a settings file, each of which is valid by itself."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from magpieshift.config import ConfigError, parse_address
from magpieshift.control import sexp
from magpieshift.control.document_form import DocumentForm, MembersForm, ZoneForm

MAX_LISTED_NAMES = 8
"""Most names that an error lists."""


class Inconsistency(NamedTuple):
    """An entry that is inconsistent with another one."""

    path: sexp.EntryPath
    """Path of the entry."""
    found: str
    """The entry's value, as an error shows it."""
    expected: str
    """A description of consistent values."""


def inconsistencies(form: DocumentForm) -> Iterator[Inconsistency]:
    """Find the entries that are inconsistent with each other."""
    yield from _address_problems(form)
    if form.members is not None:
        yield from _membership_problems(form.members)
    yield from _zone_problems(form)
    yield from _kind_problems(form)
    if form.router_index >= form.routers:
        yield Inconsistency(("router-index",), str(form.router_index), f"less than routers, {form.routers}")
    yield from _class_problems(form)


def _address_problems(form: DocumentForm) -> Iterator[Inconsistency]:
    addresses = {"listen": form.listen, "console": form.console or form.listen, "change-log": form.change_log}
    for name, text in addresses.items():
        if not _is_address(text):
            yield Inconsistency((name,), sexp.shorten(text), "host:port")


def _is_address(text: str) -> bool:
    try:
        parse_address(text, "it")
    except ConfigError:
        return False
    return True


def _membership_problems(members: MembersForm) -> Iterator[Inconsistency]:
    addresses = [("listen", members.listen), ("advertise", members.advertise or members.listen)]
    for key, text in [*addresses, *(("seeds", seed) for seed in members.seeds)]:
        if not _is_address(text):
            yield Inconsistency(("members", key), sexp.shorten(text), "host:port")
    if members.hand_over and not members.digests:
        yield Inconsistency(
            ("members", "hand-over"), "yes", "no, or digests yes: it goes by what neighbours say"
        )
    if members.alone < 1.0 and len(members.council) % 2 == 0:
        found = f"{len(members.council)} names"
        yield Inconsistency(
            ("members", "council"), found, "an odd number of routers' names, as alone is less than 1"
        )


def _zone_problems(form: DocumentForm) -> Iterator[Inconsistency]:
    one_of = f"one of the zones: {', '.join(list(form.zones)[:MAX_LISTED_NAMES])}"
    if form.zone not in form.zones:
        yield Inconsistency(("zone",), sexp.shorten(form.zone), one_of)
    for name, zone in form.zones.items():
        if isinstance(zone, list) and zone:
            yield Inconsistency(("zones", name), sexp.shorten(zone), "entries, each in brackets")
        hub = zone.attached_to if isinstance(zone, ZoneForm) else None
        if hub is not None and hub not in form.zones:
            yield Inconsistency(("zones", name, "attached-to"), sexp.shorten(hub), one_of)


def _kind_problems(form: DocumentForm) -> Iterator[Inconsistency]:
    kinds = form.kinds
    if len(set(kinds)) < len(kinds):
        yield Inconsistency(("kinds",), " ".join(kinds), "each kind once")
    for key, kind in (("parent-kind", form.parent_kind), ("origin-kind", form.origin_kind)):
        if kind not in kinds:
            yield Inconsistency(
                (key,), sexp.shorten(kind), f"one of the kinds: {', '.join(kinds[:MAX_LISTED_NAMES])}"
            )
    if form.parent_kind == form.origin_kind:
        yield Inconsistency(("parent-kind",), sexp.shorten(form.parent_kind), "another kind than origin-kind")


def _class_problems(form: DocumentForm) -> Iterator[Inconsistency]:
    for name, row in form.classes.items():
        if row.aim_ms > row.deadline_ms:
            yield Inconsistency(
                ("classes", name, "aim-ms"), str(row.aim_ms), f"at most deadline-ms, {row.deadline_ms}"
            )
        if row.effect == "keyed" and not row.dedup_ms:
            yield Inconsistency(
                ("classes", name, "dedup-ms"), "0", "how long stores know a key, as its effect is keyed"
            )
