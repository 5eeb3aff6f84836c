"""Applies a new document to the engine in two steps: prepare, which may reject it, and commit."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from magpieshift.config import Document
from magpieshift.config_transaction import SettingsRejectedError
from magpieshift.engine.class_numbers import renumber_classes
from magpieshift.engine.effective_settings import SettingsInForce
from magpieshift.engine.endpoint_table import EndpointTable
from magpieshift.engine.policy_calls import PolicyCalls
from magpieshift.engine.request_table import RequestTable
from magpieshift.policy.settings import Settings


def roles_change(old: Settings, new: Settings) -> bool:
    """Whether endpoints change roles (own zone, parent, origin).

    The policy assigns roles only when it receives a complete endpoint list.
    """
    return (old.zone, old.parent_kind, old.origin_kind) != (new.zone, new.parent_kind, new.origin_kind)


class Reconfiguration:
    """Moves the engine from one document to the next."""

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
        """Prepare a document whose zones and kinds are numbered as in the old one (``name_numbers``).

        Returns the function that commits it. Raises ``SettingsRejectedError`` if the document omits a zone or
        kind that listed endpoints belong to.
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
            self._policy_calls.flush()  # earlier events are decided under the old settings
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
