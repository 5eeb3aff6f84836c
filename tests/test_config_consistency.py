"""Configuration files whose settings do not fit each other are rejected; the reason names the setting."""

from __future__ import annotations

import copy
import unittest
from collections.abc import Callable, Iterator
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from magpieshift.config import ConfigError, Document, parse
from magpieshift.engine.engine import Engine
from magpieshift.engine.model import AttemptResult, ListedEndpoint, endpoint_number
from magpieshift.policy.events import Endpoint, EndpointListKind, EndpointState
from magpieshift.policy.outcomes import Outcome
from tests.engine.engine_case import READ_REQUEST, SECOND, FakeClock, FakeUpstream
from tests.recorded.exchange import config

DATA = config({"cache": "127.0.0.1:1", "origin": "127.0.0.1:2", "log": "127.0.0.1:3"})
Path = tuple[str | int, ...]


def drop_last(values: list[Any]) -> None:
    values.pop()


def repeat_first(values: list[Any]) -> None:
    values[-1] = values[0]


INCONSISTENT: dict[str, tuple[Path, Callable[[list[Any]], object]]] = {
    "Zones without the last": (("Zones",), drop_last),
    "Zones empty": (("Zones",), list.clear),
    "Zones with a name twice": (("Zones",), repeat_first),
    "MachineTypes without the last": (("MachineTypes",), drop_last),
    "MachineTypes empty": (("MachineTypes",), list.clear),
    "MachineTypes with a name twice": (("MachineTypes",), repeat_first),
    **{
        f"{name} without an entry": (("Specifics", name), drop_last)
        for name in ("AttachedTo", "ZoneBalancers", "LinkInKbPerS", "ClassWrite", "InPieces", "StaleEarns")
    },
}
OUT_OF_RANGE: list[tuple[Path, object]] = [
    (("Locality",), 99),
    (("Locality",), -1),
    (("Locality",), True),
    (("Specifics", "AttachedTo", 0), 2),
    (("Specifics", "MasterKind"), 3),
    (("Specifics", "MasterKind"), -1),
    (("Specifics", "ShieldKind"), -2),
]


def value_at(settings: Any, path: Path) -> Any:
    """The value at a path in nested settings."""
    for key in path:
        settings = settings[key]
    return settings


class InconsistentFiles(unittest.TestCase):
    """Guards against a router that serves by a configuration of which a part is missing."""

    def assert_rejected(self, data: dict[str, Any]) -> None:
        with self.assertRaisesRegex(ConfigError, r"^settings\.[\w.]+: found .*, expected [^\n]*$"):
            parse(data)

    def test_lists_that_do_not_fit_each_other(self) -> None:
        for name, (path, change) in INCONSISTENT.items():
            with self.subTest(name):
                data = copy.deepcopy(DATA)
                change(value_at(data["settings"], path))
                self.assert_rejected(data)

    def test_references_out_of_range(self) -> None:
        for path, value in OUT_OF_RANGE:
            with self.subTest(path=path, value=value):
                data = copy.deepcopy(DATA)
                value_at(data["settings"], path[:-1])[path[-1]] = value
                self.assert_rejected(data)

    def test_a_negative_objective_and_no_memory_are_rejected(self) -> None:
        """Guards against a start that ends in a traceback by one value of the file."""
        for path, value in (
            (("settings", "Classes", 0, "AimStretch"), -1),
            (("limits", "memory_mb"), float("nan")),
            (("limits", "memory_mb"), 0),
            (("limits", "memory_mb"), -64),
        ):
            with self.subTest(path=path, value=value):
                data = copy.deepcopy(DATA)
                value_at(data, path[:-1])[path[-1]] = value
                name = ".".join(map(str, path))
                with self.assertRaisesRegex(ConfigError, f"^{name}: found .*, expected a number[^\n]*$"):
                    parse(data)

    def test_an_installation_without_parents_is_accepted(self) -> None:
        data = copy.deepcopy(DATA)
        data["settings"]["Specifics"]["ShieldKind"] = -1
        self.assertEqual(parse(data).document.settings.parent_kind, -1)


def paths(value: Any, path: Path = ()) -> Iterator[Path]:
    """The paths of all values in nested settings."""
    if path:
        yield path
    items = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for key, inner in items:
        yield from paths(inner, (*path, key))


DELETED = object()
ALTERATIONS: tuple[object, ...] = (
    DELETED,
    None,
    True,
    -1,
    0,
    1,
    99,
    0.5,
    float("nan"),
    "",
    "x",
    [],
    {},
    [[]],
    [1, 2, 3],
)


def serve_one_request(document: Document) -> None:
    """Have an engine under this document list endpoints and serve a request of each class."""
    clock, upstream = FakeClock(), FakeUpstream()
    engine = Engine(document.settings, 7, clock, upstream, names=document.names)
    own_zone = document.settings.zone
    cache_kind = next(kind for kind in range(3) if kind != document.settings.origin_kind)
    listed = [
        ListedEndpoint(
            name,
            ("127.0.0.1", kind + 1),
            Endpoint(endpoint_number(name), own_zone, kind, 1, EndpointState.READY, 4.0, 0),
        )
        for name, kind in (("s-cache", cache_kind), ("s-origin", document.settings.origin_kind))
    ]
    engine.list_changed(EndpointListKind.CACHED, 1, listed)
    engine.running()
    for index, name in enumerate(document.names.classes):
        request = copy.copy(READ_REQUEST)
        request.class_index, request.class_name = index, name
        engine.submit(request, lambda response: None)
        clock.run()
        for _, done in upstream.started:
            done(AttemptResult(Outcome.OK, body=b"copy"))
        clock.run(5 * SECOND)


class AlteredFiles(unittest.TestCase):
    @settings(max_examples=300)
    @given(st.sampled_from(list(paths(DATA["settings"]))), st.sampled_from(ALTERATIONS))
    def test_an_altered_file_is_rejected_with_a_reason_or_serves(self, path: Path, value: object) -> None:
        """Guards against errors other than a rejection, at the start or once requests come."""
        data = copy.deepcopy(DATA)
        parent = value_at(data["settings"], path[:-1])
        if value is DELETED:
            del parent[path[-1]]
        else:
            parent[path[-1]] = value
        try:
            document = parse(data).document
        except ConfigError as err:
            self.assertNotIn("\n", str(err))
            named = [str(key) for key in path if isinstance(key, str)]
            self.assertTrue(any(key in str(err) for key in named), f"{path} is not named: {err}")
        else:
            with self.assertNoLogs("magpieshift.engine", "ERROR"):
                serve_one_request(document)


if __name__ == "__main__":
    unittest.main()
