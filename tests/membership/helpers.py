"""Helpers shared by the tests of the membership package."""

from __future__ import annotations

from dataclasses import replace

from magpieshift.lab.experiments import membership_network as lab
from magpieshift.membership.member import Member


def member(name: str, **more: object) -> Member:
    return replace(Member(name, "10.0.0." + name, 1, 5, 7, zone="z"), **more)  # type: ignore[arg-type]


def moved_address(name: str) -> tuple[str, int]:
    """The address of a router; r2 gets a different one than before, as if it started on another machine."""
    return ("10.9.9." if name == "r2" else "10.0.0.") + name, lab.PORT
