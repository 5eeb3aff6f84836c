"""Reading a settings file of either kind: S-expression, or the platform's JSON."""

from __future__ import annotations

import json
from pathlib import Path

from magpieshift.config import Config, ConfigError, parse
from magpieshift.control.schema import Loaded, load_text
from magpieshift.control.sexp import Unusable
from magpieshift.control.version_manager import as_loaded


def load_any(path: str) -> tuple[Loaded, Config | None]:
    """The settings of a file, with the platform's whole configuration where the file is the platform's.

    Raises ``ConfigError`` with one line where the file cannot be used.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, ValueError) as err:
        raise ConfigError(f"{path} cannot be read: {err}") from err
    if not text.lstrip().startswith("{"):
        try:
            return load_text(text, path), None
        except Unusable as err:
            raise ConfigError(f"{path}: {err}") from err
    try:
        config = parse(json.loads(text))
    except (ValueError, RecursionError) as err:
        raise ConfigError(f"{path} cannot be read: {err}") from err
    return as_loaded(config.document), config
