"""The names that operators use stay unchanged: commands, options, settings and keys of answers.

Operators' scripts, settings files and dashboards were written against commit 723f792, whose names are listed
in ``public_names.json``. A rename inside the code must not change these names, so the test generates the same
list from this version and compares the two. ``python -m tests.test_public_names`` prints the list.
"""

from __future__ import annotations

import copy
import json
import subprocess
import sys
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import click

import magpieshift
from magpieshift.cli.main import cli
from magpieshift.control.document_form import DocumentForm
from magpieshift.control.document_to_data import to_data
from magpieshift.expected_settings import expected_settings

ROOT = Path(__file__).resolve().parents[1]
LISTED_NAMES = Path(__file__).with_name("public_names.json")
CAPTURE = "tests/capture/captures/hub-and-box-die-with-a-late-list.seg"
SETTINGS = "deploy/magpieshift.sexp"
JSON_COMMANDS = (
    ("replay", CAPTURE, "--json"),
    ("capture", "info", CAPTURE, "--json"),
    ("config", "check", SETTINGS, "--json"),
    ("config", "show", SETTINGS, "--json"),
    ("lab", "decisions", "--help"),
)


def option(parameter: click.Parameter) -> str:
    """A parameter of a command as listed: its names, and whether it is a flag or required."""
    if not isinstance(parameter, click.Option):
        return f"<{parameter.name}>"
    names = "/".join(sorted([*parameter.opts, *parameter.secondary_opts]))
    return names + (" flag" if parameter.is_flag else "") + (" required" if parameter.required else "")


def commands(command: click.Command, path: tuple[str, ...] = ()) -> Iterator[tuple[str, list[str]]]:
    """The full names of all commands, each with its parameters."""
    if isinstance(command, click.Group):
        for name, inner in command.commands.items():
            yield from commands(inner, (*path, name))
    else:
        yield " ".join(path), sorted(map(option, command.params))


def leaves(value: Any, path: tuple[str, ...] = ()) -> Iterator[tuple[str, ...]]:
    """The paths of all values in nested settings."""
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from leaves(inner, (*path, key))
    elif isinstance(value, list) and value and isinstance(value[0], dict):
        yield from leaves(value[0], (*path, "0"))
    else:
        yield path


def error_without(data: dict[str, Any], path: tuple[str, ...]) -> str:
    """The error message for a configuration that lacks the value at this path."""
    changed = copy.deepcopy(data)
    place: Any = changed
    for key in path[:-1]:
        place = place[int(key) if isinstance(place, list) else key]
    del place[path[-1]]
    try:
        magpieshift.parse(changed)
    except magpieshift.ConfigError as err:
        return str(err)
    return "may be left out"


def platform_settings() -> dict[str, Any]:
    """A complete configuration in the platform's JSON format."""
    data: dict[str, Any] = json.loads((ROOT / "tests/recorded/config.json").read_text())
    return data | {"changelog": "127.0.0.1:9"}


def keys(value: Any) -> Any:
    """The keys of an answer; each value is replaced by the name of its type."""
    if isinstance(value, dict):
        return {key: keys(inner) for key, inner in value.items()}
    if isinstance(value, list):
        return [keys(value[0])] if value else []
    return type(value).__name__


def answer(*words: str) -> Any:
    """The exit code of a command, and its output: the keys of a JSON answer, or the text."""
    command = [sys.executable, "-m", "magpieshift", *words]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    found = keys(json.loads(done.stdout)) if done.stdout.startswith(("{", "[")) else done.stdout
    return {"exit code": done.returncode, "output": found}


def schema(value: Any) -> Any:
    """A JSON schema without descriptions and titles, which are no public names."""
    if isinstance(value, dict):
        return {key: schema(inner) for key, inner in value.items() if key not in ("description", "title")}
    return [schema(inner) for inner in value] if isinstance(value, list) else value


def public_names() -> dict[str, Any]:
    """The public names of this version, in the structure of ``public_names.json``."""
    data = platform_settings()
    document = magpieshift.parse(data).document
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    return {
        "commands": dict(commands(cli)),
        "answers": {" ".join(words): answer(*words) for words in JSON_COMMANDS},
        "settings file": schema(DocumentForm.model_json_schema()),
        "settings file of the platform's settings": to_data(document),
        "platform settings": {
            ".".join(path): error_without(data, path)
            for path in leaves(data)
            if path[0] not in ("known", "listen")
        },
        "shown as running": expected_settings(document),
        "deploy keys": sorted(deploy),
    }


def json_round_trip(found: dict[str, Any]) -> dict[str, Any]:
    """The value after a round trip through JSON, comparable with the stored list."""
    read: dict[str, Any] = json.loads(json.dumps(found))
    return read


def test_public_names_are_unchanged() -> None:
    listed = json.loads(LISTED_NAMES.read_text())
    found = json_round_trip(public_names())
    assert sorted(found) == sorted(listed)
    for part in listed:
        assert found[part] == listed[part], part


def test_environment_variable_names_are_unchanged() -> None:
    data = platform_settings()
    variables = {"EDGE_LISTEN": "127.0.0.1:2", "EDGE_NAME": "other", "EDGE_CONSOLE": "127.0.0.1:3"}
    path = ROOT / "tests/recorded/config.json"
    try:
        magpieshift.load({})
    except magpieshift.ConfigError as err:
        assert str(err) == "EDGE_CONFIG is not set"
    else:
        raise AssertionError("load() accepted an environment without EDGE_CONFIG")
    document = magpieshift.parse(data, *variables.values()).document
    assert (document.listen, document.name, document.admin_address) == (
        ("127.0.0.1", 2),
        "other",
        ("127.0.0.1", 3),
    )
    try:
        magpieshift.load({"EDGE_CONFIG": str(path)} | variables)
    except magpieshift.ConfigError as err:  # the file's change log address is a placeholder
        assert "changelog" in str(err)
    else:
        raise AssertionError("load() accepted a change log without a valid address")


if __name__ == "__main__":
    print(json.dumps(public_names(), indent=1, sort_keys=True))
