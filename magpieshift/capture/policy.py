"""The decision policy of this checkout, or of another folder, side by side in one process."""

from __future__ import annotations

import hashlib
import importlib
import sys
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path
from types import ModuleType
from typing import Any

from magpieshift.capture.recorded_names import AS_RECORDED, CURRENT, RecordedNames


class PolicyError(Exception):
    """A folder has no decision policy that can be loaded; the text says why."""


@dataclass(frozen=True)
class Layout:
    """Where a version keeps its policy, and under which names."""

    package: str
    types: tuple[str, ...]  # modules of the classes that captures hold
    policy: tuple[str, str]  # module and class that decide
    reconfigure: tuple[str, str]  # module and function
    override: tuple[str, str, str, str]  # module, function, and its classes to eject and to readmit
    digested: tuple[str, ...]  # files whose text makes the digest
    names: RecordedNames


LAYOUT = Layout(
    package="magpieshift.policy",
    types=("settings", "events", "actions", "outcomes", "state"),
    policy=("router_policy", "RouterPolicy"),
    reconfigure=("reconfigure", "reconfigure"),
    override=("health_override", "apply_overrides", "Eject", "Readmit"),
    digested=(
        "router_policy.py",
        "adaptive_timeout.py",
        "admission.py",
        "attempt_results.py",
        "endpoint_list.py",
        "forwarding.py",
        "hashing.py",
        "health_override.py",
        "invalidation.py",
        "latency.py",
        "outlier_detection.py",
        "placement.py",
        "reconfigure.py",
        "rejection.py",
        "retry.py",
        "slow_start.py",
        "state.py",
    ),
    names=CURRENT,
)
FORMER_LAYOUT = Layout(  # of versions up to 723f792
    package="molecleat",
    types=("interface", "records"),
    policy=("control", "Router"),
    reconfigure=("retune", "retune"),
    override=("heed", "heed", "Leave", "Allow"),
    digested=("control.py", "records.py"),
    names=AS_RECORDED,
)


@dataclass(frozen=True)
class Policy:
    """One version of the policy: its classes by their recorded names, and a digest of its text."""

    types: Sequence[ModuleType]
    new_router: Callable[[Any, int], Any]
    """A policy instance, of settings and a seed."""
    reconfigure: Callable[[Any, Any, frozenset[int]], None]
    """Puts settings in force in an instance; see ``magpieshift.policy.reconfigure``."""
    apply_overrides: Callable[[Any, int, Iterable[Any]], None]
    eject: Callable[[int, int], Any]
    readmit: Callable[[int, int, int], Any]
    names: RecordedNames
    digest: str

    def named(self, recorded: str) -> Any:
        """A class by its recorded name; None where this version has none."""
        own_name = self.names.own_class(recorded)
        for module in self.types:
            found = getattr(module, own_name, None)
            if found is not None:
                return found
        return None


def text_digest(folder: Path, layout: Layout = LAYOUT) -> str:
    """A digest of the policy files in a package's folder."""
    found = hashlib.blake2b(digest_size=16)
    for name in layout.digested:
        found.update((folder / name).read_bytes() + b"\0")
    return found.hexdigest()


def own() -> Policy:
    """This checkout's."""
    return _policy(LAYOUT)


def load(folder: str) -> Policy:
    """Another folder's, which holds a package ``magpieshift.policy`` or, up to 723f792, ``molecleat``. Its
    code runs: load only what you trust."""
    home = Path(folder).resolve()
    layout = _layout_of(home)
    if layout is None:
        first, former = (_folder_of(home, each) / each.digested[0] for each in (LAYOUT, FORMER_LAYOUT))
        wanted = f"{first.relative_to(home)} or {former.relative_to(home)}"
        raise PolicyError(f"{folder} has no {wanted}")
    top = layout.package.split(".")[0]
    aside = {name: module for name, module in sys.modules.items() if name.split(".")[0] == top}
    for name in aside:
        del sys.modules[name]
    sys.path.insert(0, str(home))
    importlib.invalidate_caches()
    try:
        found = _policy(layout)
    except Exception as err:  # whatever a foreign module raises when it is imported
        raise PolicyError(f"{folder}: {type(err).__name__}: {err}") from err
    finally:
        sys.path.remove(str(home))
        for name in [name for name in sys.modules if name.split(".")[0] == top]:
            del sys.modules[name]
        sys.modules.update(aside)
    at = Path(str(found.types[0].__file__)).resolve().parent
    if at != _folder_of(home, layout):
        raise PolicyError(f"{folder}: loaded {at} instead")
    return found


def _folder_of(home: Path, layout: Layout) -> Path:
    return home.joinpath(*layout.package.split("."))


def _layout_of(home: Path) -> Layout | None:
    for layout in (LAYOUT, FORMER_LAYOUT):
        if (_folder_of(home, layout) / layout.digested[0]).is_file():
            return layout
    return None


def _policy(layout: Layout) -> Policy:
    def module(name: str) -> ModuleType:
        return importlib.import_module(f"{layout.package}.{name}")

    types = [module(name) for name in layout.types]
    override = module(layout.override[0])
    _, apply_overrides, eject, readmit = layout.override
    return Policy(
        types=types,
        new_router=getattr(module(layout.policy[0]), layout.policy[1]),
        reconfigure=getattr(module(layout.reconfigure[0]), layout.reconfigure[1]),
        apply_overrides=getattr(override, apply_overrides),
        eject=getattr(override, eject),
        readmit=getattr(override, readmit),
        names=layout.names,
        digest=text_digest(Path(str(types[0].__file__)).parent, layout),
    )
