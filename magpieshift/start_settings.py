"""Settings that cannot change while the router runs."""

from __future__ import annotations

from collections.abc import Callable

from magpieshift.config import Document, shown_membership
from magpieshift.config_transaction import SettingsRejectedError


def start_settings(document: Document) -> dict[str, object]:
    """A document's settings that take effect at the start only, under the names that operators are shown."""
    return {
        "name": document.name,
        "listen": list(document.listen),
        "console": list(document.admin_address) if document.admin_address else None,
        "members": shown_membership(document.membership) if document.membership else None,
    }


class StartSettings:
    """The part that rejects a document which changes them."""

    part = "start"
    """Its name among the parts that take a new document."""

    def __init__(self, document: Document) -> None:
        self._settings = start_settings(document)

    def prepare(self, old: Document, new: Document) -> Callable[[], None]:
        """Check a new document; ``SettingsRejectedError`` where it needs a restart."""
        for name, wanted in start_settings(new).items():
            current = self._settings[name]
            if current != wanted:
                reason = f"{name} is {current} and cannot become {wanted} without a restart"
                raise SettingsRejectedError(reason, needs_restart=True)
        return lambda: None

    def running(self) -> dict[str, object]:
        """The settings in force since the start."""
        return self._settings
