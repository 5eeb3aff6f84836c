"""The settings that the engine and the policy use: the document's, adjusted to this process's share."""

from __future__ import annotations

from dataclasses import replace
from typing import NamedTuple

from magpieshift.config import Names, settings_by_name
from magpieshift.engine.class_numbers import ClassNumbers, initial_class_numbers
from magpieshift.engine.policy_calls import PolicyCalls
from magpieshift.policy.settings import Settings


class RouterCounts(NamedTuple):
    """Number of routers that share the budgets; replaces the document's counts."""

    total: int
    own_zone: int


def effective_settings(settings: Settings, counts: RouterCounts | None, sibling_processes: int) -> Settings:
    """The document's settings with the router counts that the policy divides budgets by.

    All processes of one router together may use only one router's share. Since the policy divides budgets by
    the number of routers, the counts are multiplied by the number of processes.
    """
    if counts is not None:
        zone_counts = tuple(
            counts.own_zone if zone == settings.zone else count
            for zone, count in enumerate(settings.zone_router_counts)
        )
        settings = replace(settings, router_count=counts.total, zone_router_counts=zone_counts)
    if sibling_processes:
        processes = 1 + sibling_processes
        zone_counts = tuple(count * processes for count in settings.zone_router_counts)
        router_count = settings.router_count * processes
        settings = replace(settings, router_count=router_count, zone_router_counts=zone_counts)
    return settings


class SettingsInForce:
    """Owner of the settings in force and of their class numbers and names."""

    def __init__(self, settings: Settings, names: Names, policy_calls: PolicyCalls) -> None:
        self.settings = settings
        """The effective settings, which the policy and the engine use."""
        self.document_settings = settings
        """The document's settings, before the adjustment to this process's share."""
        self.names = names
        """The document's names for the numbers in the settings."""
        self.numbering: ClassNumbers = initial_class_numbers(
            names.classes or [str(number) for number in range(len(settings.classes))], settings.classes
        )
        self.class_numbers = dict(self.numbering.by_name)
        """Class numbers by name. Other parts hold a reference to this dictionary, so it is updated in
        place."""
        self.sibling_processes = 0
        """Number of other processes that share this router's budgets."""
        self._router_counts: RouterCounts | None = None  # None: use the document's counts
        self._policy_calls = policy_calls

    def apply(self, settings: Settings, reset_classes: frozenset[int] = frozenset()) -> None:
        """Put a document's settings in force in the policy and the engine."""
        self.document_settings = settings
        settings = effective_settings(settings, self._router_counts, self.sibling_processes)
        self._policy_calls.reconfigure(settings, reset_classes)
        self.settings = settings

    def set_sibling_processes(self, count: int) -> None:
        """Set how many other processes share this router's budgets."""
        if count != self.sibling_processes:
            self._policy_calls.flush()  # earlier events are decided under the old share
            self.sibling_processes = count
            self.apply(self.document_settings)

    def set_router_counts(self, counts: RouterCounts) -> None:
        """Divide budgets by these counts instead of the document's, from the next batch on."""
        if counts != self._router_counts:
            self._router_counts = counts
            self.apply(self.document_settings)

    def adopt(self, settings: Settings, names: Names, numbering: ClassNumbers) -> None:
        """Put a new document in force, with its names and class numbers."""
        self.numbering = numbering
        self.names = names
        self.apply(settings, numbering.reset)
        self.class_numbers.clear()
        self.class_numbers.update(numbering.by_name)

    def by_name(self) -> dict[str, object]:
        """The document's settings under the names that operators see.

        If policy and engine have different settings, the result holds only an error message.
        """
        if self._policy_calls.policy.settings is not self.settings:
            return {"module": "runs on other settings than the engine"}
        settings = self.document_settings
        classes = {name: settings.classes[number] for name, number in self.class_numbers.items()}
        return settings_by_name(settings, self.names, classes)
