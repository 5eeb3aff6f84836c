"""Recognizes processes that another one has replaced at their address. No I/O.

A new endpoint may have the address of one that has gone, and be listed before that one is removed. What is
sent to the old one would reach the new one, which would be taken for it.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

from magpieshift.engine.model import ListedEndpoint
from magpieshift.policy.events import EndpointListKind, EndpointState


class ReplacedProcesses:
    """The listed endpoints by address, to tell which of them the address still leads to."""

    def __init__(self) -> None:
        self._listed: dict[str, ListedEndpoint] = {}
        """The endpoints that the list names, by name."""
        self._names_at: dict[tuple[str, int], set[str]] = {}
        """The names of those endpoints by address."""

    def apply(self, kind: EndpointListKind, endpoints: Sequence[ListedEndpoint]) -> list[ListedEndpoint]:
        """Apply an endpoint list event; returns its endpoints as they are to be taken.

        An endpoint at whose address one that started later is listed counts as removed, also if this event
        does not name it.
        """
        if kind != EndpointListKind.DELTA:
            self._listed = {}
            self._names_at = {}
        for listed in endpoints:
            self._forget(listed.name)
            if listed.endpoint.state != EndpointState.REMOVED:
                self._listed[listed.name] = listed
                self._names_at.setdefault(listed.address, set()).add(listed.name)
        named = {listed.name for listed in endpoints}
        taken = [self._removed(listed) if self._is_replaced(listed) else listed for listed in endpoints]
        addresses = {listed.address for listed in endpoints if listed.name in self._listed}
        for address in addresses:
            others = (self._listed[name] for name in sorted(self._names_at[address] - named))
            taken += [self._removed(other) for other in others if self._is_replaced(other)]
        return taken

    def _forget(self, name: str) -> None:
        listed = self._listed.pop(name, None)
        if listed is None:
            return
        names = self._names_at[listed.address]
        names.discard(name)
        if not names:
            del self._names_at[listed.address]

    def _is_replaced(self, listed: ListedEndpoint) -> bool:
        """Whether an endpoint that started later is listed at the same address."""
        names = self._names_at.get(listed.address, set())
        newest_us = max((self._listed[name].endpoint.started_us for name in names), default=0)
        return listed.endpoint.started_us < newest_us

    @staticmethod
    def _removed(listed: ListedEndpoint) -> ListedEndpoint:
        return replace(listed, endpoint=replace(listed.endpoint, state=EndpointState.REMOVED))
