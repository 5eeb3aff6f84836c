"""Settings that cannot change without a restart."""

from __future__ import annotations

from collections.abc import Callable

from magpieshift.config import Document, shown_membership
from magpieshift.config_transaction import SettingsRejectedError


def start_settings(document: Document) -> dict[str, object]:
    """The settings of a document that take effect at the start only, under the names that operators see."""
    return {
        "name": document.name,
        "listen": list(document.listen),
        "console": list(document.admin_address) if document.admin_address else None,
        "members": shown_membership(document.membership) if document.membership else None,
    }


class StartSettings:
    """The part that rejects documents which change start settings."""

    part = "start"
    """Name of this part in a configuration transaction."""

    def __init__(self, document: Document) -> None:
        self._settings = start_settings(document)

    def prepare(self, old: Document, new: Document) -> Callable[[], None]:
        """Check a new document; raises ``SettingsRejectedError`` if it needs a restart."""
        for name, wanted in start_settings(new).items():
            current = self._settings[name]
            if current != wanted:
                reason = f"{name} is {current} and cannot become {wanted} without a restart"
                raise SettingsRejectedError(reason, needs_restart=True)
        return lambda: None

    def running(self) -> dict[str, object]:
        """The settings in force since the start."""
        return self._settings
