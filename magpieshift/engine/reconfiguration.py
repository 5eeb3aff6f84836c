"""A new document in two steps: prepared, where it may still be rejected, and then committed."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from magpieshift.config import Document
from magpieshift.config_transaction import SettingsRejectedError
from magpieshift.engine.class_numbers import renumber_classes
from magpieshift.engine.endpoint_table import EndpointTable
from magpieshift.engine.policy_calls import PolicyCalls
from magpieshift.engine.request_table import RequestTable
from magpieshift.engine.settings_in_force import SettingsInForce
from magpieshift.policy.settings import Settings


def roles_change(old: Settings, new: Settings) -> bool:
    """Whether endpoints take on or lose a role, which the policy learns from a complete list only."""
    return (old.zone, old.parent_kind, old.origin_kind) != (new.zone, new.parent_kind, new.origin_kind)


class Reconfiguration:
    """Takes the engine from one document to the next."""

    def __init__(
        self,
        in_force: SettingsInForce,
        policy_calls: PolicyCalls,
        endpoints: EndpointTable,
        requests: RequestTable,
    ) -> None:
        self._in_force = in_force
        self._policy_calls = policy_calls
        self._endpoints = endpoints
        self._requests = requests

    def prepare(self, old: Document, new: Document) -> Callable[[], None]:
        """Make ready for a document that numbers zones and kinds as the old one (``name_numbers``).

        Returns the commit. Raises ``SettingsRejectedError`` if endpoints are listed in a zone or kind that it
        leaves out.
        """
        self._check_names_in_use(old, new)
        numbering = renumber_classes(
            self._in_force.numbering,
            new.names.classes,
            new.settings.classes,
            self._requests.class_numbers_in_use(),
        )
        settings = replace(new.settings, classes=numbering.classes)
        relist = roles_change(old.settings, new.settings)

        def commit() -> None:
            self._policy_calls.flush()  # what happened until now happened under the old settings
            self._in_force.adopt(settings, new.names, numbering)
            if relist:
                self._endpoints.resend_list()
                self._policy_calls.flush()

        return commit

    def _check_names_in_use(self, old: Document, new: Document) -> None:
        listed = [entry.endpoint for entry in self._endpoints.by_number.values()]
        self._check_still_named("zone", {e.zone for e in listed}, old.names.zones, new.names.zones)
        self._check_still_named("kind", {e.kind for e in listed}, old.names.kinds, new.names.kinds)

    @staticmethod
    def _check_still_named(
        what: str, in_use: set[int], before: tuple[str, ...], after: tuple[str, ...]
    ) -> None:
        for number in sorted(in_use):
            if before[number] not in after:
                raise SettingsRejectedError(
                    f"{what} {before[number]} is left out, and endpoints are listed in it"
                )
