"""The decision module of this checkout, or of another folder, side by side in one process."""

from __future__ import annotations

import hashlib
import importlib
import sys
from dataclasses import dataclass
from pathlib import Path
from types import ModuleType
from typing import Any

FILES = ("control.py", "records.py")  # the policy; the rest of the package is how it is spoken to
PACKAGE = "molecleat"
NAMES = ("interface", "records", "control")


class PolicyError(Exception):
    """A folder has no decision module that can be loaded; the text says why."""


@dataclass(frozen=True)
class Policy:
    """One version of the module: its classes, and a digest of its text."""

    interface: ModuleType
    records: ModuleType
    control: ModuleType
    digest: str

    def new_router(self, settings: Any, seed: int) -> Any:
        return self.control.Router(settings, seed)

    def named(self, name: str) -> Any:
        """A class of the interface or the records, by name; None where this version has none."""
        return getattr(self.interface, name, None) or getattr(self.records, name, None)


def text_digest(folder: Path) -> str:
    """A digest of the policy files in a package's folder."""
    found = hashlib.blake2b(digest_size=16)
    for name in FILES:
        found.update((folder / name).read_bytes() + b"\0")
    return found.hexdigest()


def own() -> Policy:
    """This checkout's."""
    modules = [importlib.import_module(f"{PACKAGE}.{name}") for name in NAMES]
    return _policy(modules)


def load(folder: str) -> Policy:
    """Another folder's, which holds a package ``molecleat``. Its code runs: load only what you trust."""
    home = Path(folder).resolve()
    if not (home / PACKAGE / FILES[0]).is_file():
        raise PolicyError(f"{folder} has no {PACKAGE}/{FILES[0]}")
    aside = {name: m for name, m in sys.modules.items() if name == PACKAGE or name.startswith(f"{PACKAGE}.")}
    for name in aside:
        del sys.modules[name]
    sys.path.insert(0, str(home))
    importlib.invalidate_caches()
    try:
        modules = [importlib.import_module(f"{PACKAGE}.{name}") for name in NAMES]
    except Exception as err:
        raise PolicyError(f"{folder}: {type(err).__name__}: {err}") from err
    finally:
        sys.path.remove(str(home))
        for name in [name for name in sys.modules if name == PACKAGE or name.startswith(f"{PACKAGE}.")]:
            del sys.modules[name]
        sys.modules.update(aside)
    found = Path(str(modules[-1].__file__)).resolve().parent
    if found != home / PACKAGE:
        raise PolicyError(f"{folder}: loaded {found} instead")
    return _policy(modules)


def _policy(modules: list[ModuleType]) -> Policy:
    interface, records, control = modules
    return Policy(interface, records, control, text_digest(Path(str(control.__file__)).parent))
