"""Loads the policy of this checkout and of other checkouts side by side in one process."""

from __future__ import annotations

import hashlib
import importlib
import sys
from collections.abc import Callable, Iterable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from types import ModuleType
from typing import Any

from magpieshift.capture.errors import PolicyError
from magpieshift.capture.recorded_names import AS_RECORDED, CURRENT, RecordedNames

DIGEST_BYTES = 16
"""128 bits make it practically impossible that two versions have the same digest by chance."""


@dataclass(frozen=True)
class Layout:
    """The modules and names of the policy's parts in the source code of a version."""

    package: str
    type_modules: tuple[str, ...]
    """Modules with the classes whose instances captures contain."""
    policy_module: str
    policy_class: str
    reconfigure_module: str
    reconfigure: str
    """Name of the function that puts settings in force."""
    override_module: str
    apply_overrides: str
    """Name of the function that applies health overrides."""
    eject: str
    readmit: str
    """``eject`` and ``readmit`` are the names of the classes of the two health overrides."""
    digested_files: tuple[str, ...]
    """The files whose text the digest covers: every module that influences decisions."""
    names: RecordedNames

    def folder(self, checkout: Path) -> Path:
        """The package's folder in a checkout."""
        return checkout.joinpath(*self.package.split("."))

    def entry_file(self, checkout: Path) -> Path:
        """The file with the policy's main class, whose presence identifies the layout."""
        return self.folder(checkout) / f"{self.policy_module}.py"


LAYOUT = Layout(
    package="magpieshift.policy",
    type_modules=("settings", "events", "actions", "outcomes", "state"),
    policy_module="router_policy",
    policy_class="RouterPolicy",
    reconfigure_module="reconfigure",
    reconfigure="reconfigure",
    override_module="health_override",
    apply_overrides="apply_overrides",
    eject="Eject",
    readmit="Readmit",
    digested_files=(
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
        "router_policy.py",
        "slow_start.py",
        "state.py",
    ),
    names=CURRENT,
)
"""The layout of this version."""

FORMER_LAYOUT = Layout(
    package="molecleat",
    type_modules=("interface", "records"),
    policy_module="control",
    policy_class="Router",
    reconfigure_module="retune",
    reconfigure="retune",
    override_module="heed",
    apply_overrides="heed",
    eject="Leave",
    readmit="Allow",
    digested_files=("control.py", "records.py"),
    names=AS_RECORDED,
)
"""The layout of versions up to commit 723f792."""


@dataclass(frozen=True)
class Policy:
    """One version of the policy: its functions, its classes, and a digest of its source text."""

    type_modules: Sequence[ModuleType]
    new_router: Callable[[Any, int], Any]
    """Creates an instance of the policy from settings and a seed."""
    reconfigure: Callable[[Any, Any, frozenset[int]], None]
    """Puts settings in force in an instance; see ``magpieshift.policy.reconfigure``."""
    apply_overrides: Callable[[Any, int, Iterable[Any]], None]
    """Applies overrides to an instance; see ``magpieshift.policy.health_override``."""
    eject: Callable[[int, int], Any]
    readmit: Callable[[int, int, int], Any]
    names: RecordedNames
    digest: str

    def class_named(self, recorded: str) -> Any:
        """The class with this recorded name; None if this version has no such class."""
        own_name = self.names.own_class(recorded)
        for module in self.type_modules:
            found = getattr(module, own_name, None)
            if found is not None:
                return found
        return None


def text_digest(folder: Path, layout: Layout = LAYOUT) -> str:
    """The digest of the source text of a policy in its package's folder (``Layout.digested_files``)."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for name in layout.digested_files:
        digest.update((folder / name).read_bytes() + b"\0")
    return digest.hexdigest()


def own_policy() -> Policy:
    """This checkout's policy."""
    return _import_policy(LAYOUT)


def load(folder: str) -> Policy:
    """Load another checkout's policy: the package ``magpieshift.policy`` or, up to 723f792, ``molecleat``.

    Its code is executed: load only what you trust. Raises ``PolicyError`` if the checkout has no policy, or
    it cannot be imported.
    """
    checkout = Path(folder).resolve()
    layout = _layout_of(checkout)
    if layout is None:
        expected = (each.entry_file(checkout).relative_to(checkout) for each in (LAYOUT, FORMER_LAYOUT))
        raise PolicyError(f"{folder}: no policy, expected a file {' or '.join(map(str, expected))}")
    try:
        with _importing_from(checkout, layout.package.split(".")[0]):
            found = _import_policy(layout)
    except Exception as err:  # a foreign module may raise anything when it is imported
        raise PolicyError(f"{folder}: the policy cannot be imported: {type(err).__name__}: {err}") from err
    loaded_folder = Path(str(found.type_modules[0].__file__)).resolve().parent
    if loaded_folder != layout.folder(checkout):
        raise PolicyError(f"{folder}: its policy was imported from another folder, {loaded_folder}")
    return found


def _layout_of(checkout: Path) -> Layout | None:
    for layout in (LAYOUT, FORMER_LAYOUT):
        if layout.entry_file(checkout).is_file():
            return layout
    return None


@contextmanager
def _importing_from(checkout: Path, top_package: str) -> Iterator[None]:
    """While the context is open, import the package ``top_package`` from a checkout; afterwards restore the
    modules that were imported under its name before."""

    def loaded_modules() -> dict[str, ModuleType]:
        return {name: module for name, module in sys.modules.items() if name.split(".")[0] == top_package}

    saved_modules = loaded_modules()
    for name in saved_modules:
        del sys.modules[name]
    sys.path.insert(0, str(checkout))
    importlib.invalidate_caches()
    try:
        yield
    finally:
        sys.path.remove(str(checkout))
        for name in loaded_modules():
            del sys.modules[name]
        sys.modules.update(saved_modules)


def _import_policy(layout: Layout) -> Policy:
    def module(name: str) -> ModuleType:
        return importlib.import_module(f"{layout.package}.{name}")

    type_modules = [module(name) for name in layout.type_modules]
    override = module(layout.override_module)
    return Policy(
        type_modules=type_modules,
        new_router=getattr(module(layout.policy_module), layout.policy_class),
        reconfigure=getattr(module(layout.reconfigure_module), layout.reconfigure),
        apply_overrides=getattr(override, layout.apply_overrides),
        eject=getattr(override, layout.eject),
        readmit=getattr(override, layout.readmit),
        names=layout.names,
        digest=text_digest(Path(str(type_modules[0].__file__)).parent, layout),
    )
