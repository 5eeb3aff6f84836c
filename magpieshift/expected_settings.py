"""The settings that a router's parts should report under a document, to compare with those they do report."""

from __future__ import annotations

from magpieshift.config import Document, settings_by_name
from magpieshift.limits import ResourceBudget
from magpieshift.start_settings import start_settings


def expected_settings(document: Document) -> dict[str, dict[str, object]]:
    """The value that ``EdgeRouter.running`` should return under this document, by part name."""
    settings = document.settings
    names = document.names
    classes = dict(zip(names.classes, settings.classes, strict=True))
    return {
        "start": start_settings(document),
        "engine": settings_by_name(settings, names, classes),
        "front": {"classes": sorted(names.classes)},
        "back": {
            "report": list(settings.load_report_columns),
            "connect_timeout_us": settings.connect_timeout_us,
            "streams": document.streams_per_connection,
            "idle_us": document.idle_timeout_us,
        },
        "feed": {
            "address": list(document.change_log_address),
            "zones": sorted(names.zones),
            "kinds": sorted(names.kinds),
        },
        "limits": dict(ResourceBudget.of(document.limits).by_name()),
    }
