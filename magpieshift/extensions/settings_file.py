"""Reads a settings file in either format, S-expression or the platform's JSON."""

from __future__ import annotations

import json
from pathlib import Path

from magpieshift.config import Config, ConfigError, parse
from magpieshift.control.errors import UnusableDocumentError
from magpieshift.control.schema import LoadedDocument, load_text
from magpieshift.control.version_startup import loaded_without_version


def load_settings_file(path: str) -> tuple[LoadedDocument, Config | None]:
    """The settings of a file, and the platform's whole configuration if the file is in the platform's format.

    Raises ``ConfigError`` with a one-line message if the file cannot be used.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, ValueError) as err:
        raise ConfigError(f"{path} cannot be read: {err}") from err
    if not text.lstrip().startswith("{"):
        try:
            return load_text(text, path), None
        except UnusableDocumentError as err:
            raise ConfigError(f"{path}: {err}") from err
    try:
        config = parse(json.loads(text))
    except (ValueError, RecursionError) as err:
        raise ConfigError(f"{path} cannot be read: {err}") from err
    return loaded_without_version(config.document), config
