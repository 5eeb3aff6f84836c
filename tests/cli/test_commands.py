"""Invalid input to every command must give one line on standard error and exit code 2.

``INVALID_CALLS`` lists the invalid calls of each command; a command without an entry fails the test. Unknown
options and option values that the parameter type rejects need no entry: they are tried with every command of
the tree.
"""

from __future__ import annotations

import contextlib
import io
import logging
import os
import signal
import socket
import tempfile
import threading
import unittest
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import click

from magpieshift.cli import parameters
from magpieshift.cli.main import cli, run
from magpieshift.rollout import journal
from tests.control.test_schema import EXAMPLE
from tests.recorded.exchange import ROOT

REJECTION_TIMEOUT_S = 30  # a command that runs longer has accepted the input and started
INVALID_VALUE = "?"  # not a number, an address or a valid name

# The arguments after the command's name, and a text that the error line must contain. Placeholders: {good} is
# a valid settings file, {plan} a valid rollout plan, {text} a text file in no accepted format, {bytes} a file
# that is not UTF-8, {json} a JSON file that is not a saved episode, {folder} an empty folder, {versions} a
# folder of unusable versions, {logs} a folder with a folder in place of a log file, {capture} a valid
# capture, {none} a path that does not exist, {under} a path below a file, {garbage_server} the address of a
# server that gives invalid answers, {closed_port} an address without a listener, {state} the folder of a
# rollout whose status file is invalid.
InvalidCall = tuple[str, str]
BAD_FILES: list[InvalidCall] = [
    ("{none}", "{none}"),
    ("{folder}", "{folder}"),
    ("{bytes}", "{bytes}"),
    ("{text}", "{text}"),
    ("", "Missing"),
]
BAD_CAPTURES: list[InvalidCall] = [
    ("{none}", "not a capture"),
    ("{folder}", "not a capture"),
    ("{text}", "expected"),
]
BAD_ADMIN_ADDRESSES: list[InvalidCall] = [
    ("--console {none}", "expected host:port"),
    ("--console 127.0.0.1:0", "expected host:port"),
    ("--console 127.0.0.1:99999", "expected host:port"),
    ("--console {closed_port}", "no answer"),
    ("--console {garbage_server}", "found"),
    ("", "--console"),
]
BAD_STATE_FOLDERS: list[InvalidCall] = [
    ("--state {none}", "{none}"),
    ("--state {folder}", "{folder}"),
    ("--state {text}", "{text}"),
    ("", "--state"),
]
BAD_PLANS: list[InvalidCall] = [
    (f"{words} --state {{none}}".strip(), expected_text) for words, expected_text in BAD_FILES
]
INVALID_CALLS: dict[str, list[InvalidCall]] = {
    "run": [
        ("", "no settings"),
        ("--config {none}", "{none}"),
        ("--config {folder}", "{folder}"),
        ("--config {bytes}", "{bytes}"),
        ("--config {text}", "{text}"),
        ("--config {good} --control nowhere", "--control: found 'nowhere', expected host:port"),
        ("--config {good} --listen 127.0.0.1:65536", "--listen: found"),
        ("--config {good} --relays nowhere", "relays: found 'nowhere', expected [REGION/]HOST:PORT"),
        ("--config {good} --console :1", "--console: found"),
        ("--config {good} --term -2", "--term: found"),
        ("--config {good} --capture-mb 63", "--capture-mb: found '63', expected a whole number from 64"),
        ("--config {good} --hash-key {none}", "{none}"),
        ("--config {good} --hash-key {text}", "{text}"),
        ("--log loud", "--log"),
    ],
    "config check": [("{none}", "{none}"), ("{folder}", "{folder}"), ("{bytes}", "{bytes}"), ("", "FILE")],
    "config show": [
        *BAD_FILES[:-1],
        ("", "--state"),
        ("--state {none}", "{none}"),
        ("--state {folder}", "no version in force"),
        ("--state {folder} 3", "{folder} has no version 3"),
        ("--state {text} 3", "{text}"),
    ],
    "config diff": [
        *((f"{{good}} {words}".strip(), expected_text) for words, expected_text in BAD_FILES),
        ("--state {none} 1 2", "{none}"),
        ("1 2", "1 cannot be read"),
    ],
    "config history": [("--state {none}", "{none}"), ("--state {text}", "{text}"), ("", "--state")],
    "config rollback": [
        ("1 --versions {none}", "{none}"),
        ("1 --versions {text}", "{text}"),
        ("1 --versions {folder}", "{folder} has no version 1"),
        ("1 --versions {versions}", "1.sexp: line 1"),
        ("2 --versions {versions}", "has no version 2"),  # 2.sexp is a folder
        ("-- -1 --versions {folder}", "NUMBER: found '-1'"),
        ("1", "--versions"),
    ],
    "control serve": [
        ("{none}", "{none}"),
        ("{text}", "{text}"),
        ("{folder} --listen nowhere", "expected host:port"),
    ],
    "members": BAD_ADMIN_ADDRESSES,
    "talk": BAD_ADMIN_ADDRESSES,
    "relay source": [
        ("--changelog {closed_port} --listen nowhere", "--listen: found 'nowhere', expected host:port"),
        ("--changelog nowhere --listen 127.0.0.1:0", "--changelog: found 'nowhere', expected host:port"),
        ("--changelog {closed_port} --listen 127.0.0.1:0 --versions {none}", "--versions: found '{none}'"),
        ("--changelog {closed_port} --listen 127.0.0.1:0 --versions {text}", "--versions: found '{text}'"),
        ("--changelog {closed_port}", "--listen"),
        ("--listen 127.0.0.1:0", "--changelog"),
    ],
    "relay serve": [
        ("--source nowhere --listen 127.0.0.1:0 --name n --region r", "--source: found 'nowhere', expected"),
        ("--source /1.1.1.1:1 --listen 127.0.0.1:0 --name n --region r", "expected [REGION/]HOST:PORT"),
        (
            "--source {garbage_server},{garbage_server} --listen 127.0.0.1:0 --name n --region r",
            "expected each address once",
        ),
        ("--source {closed_port} --listen 127.0.0.1:99999 --name n --region r", "--listen: found"),
        ("--source {closed_port} --listen 127.0.0.1:0 --region r", "--name"),
        ("--source {closed_port} --listen 127.0.0.1:0 --name n", "--region"),
    ],
    "relay status": [
        ("nowhere", "expected host:port"),
        ("127.0.0.1:0", "expected host:port"),
        ("", "HOST:PORT"),
    ],
    "rollout check": BAD_FILES,
    "rollout start": [
        *BAD_PLANS,
        ("{plan} --state {text}", "{text}"),
        ("{plan} --state {state}", "already"),
        ("{plan}", "--state"),
    ],
    "rollout resume": [*BAD_PLANS, ("{plan} --state {text}", "{text}"), ("{plan}", "--state")],
    "rollout status": [*BAD_STATE_FOLDERS, ("--state {state}", "status.json: found")],
    "rollout report": BAD_STATE_FOLDERS,
    "rollout pause": BAD_STATE_FOLDERS,
    "rollout go-on": BAD_STATE_FOLDERS,
    "rollout stop": BAD_STATE_FOLDERS,
    "rollout back": BAD_STATE_FOLDERS,
    "capture info": BAD_CAPTURES,
    "capture why": [
        *((f"{words} 1", expected_text) for words, expected_text in BAD_CAPTURES),
        ("{capture} 1", "{capture}"),
    ],
    "capture cut": [
        *((f"{words} {{none}} --from 0 --to 1", expected_text) for words, expected_text in BAD_CAPTURES),
        ("{capture} {none} --from 5 --to 1", "no batch that can be replayed lies between"),
        ("{capture} {folder} --from 0 --to 1", "OUT"),
        ("{capture} {under} --from 0 --to 1", "OUT"),
        ("{capture} {none} --from nan --to 1", "--from"),
        ("{capture} {none} --from 0", "--to"),
    ],
    "capture verify": BAD_CAPTURES,
    "replay": [
        *BAD_CAPTURES,
        ("{capture} --against {none}", "{none}"),
        ("{capture} --against {folder}", "{folder}"),
        ("{capture} --times 0", "--times: found '0', expected a whole number from 1"),
    ],
    "lab versions": [
        ("--invalid 1.1", "--invalid: found"),
        ("--rate 0", "--rate: found"),
        ("--kills -1", "--kills"),
    ],
    "lab apply": [("--members 0", "--members: found"), ("--rounds 0", "--rounds: found")],
    "lab cost": [("--against {folder}", "{folder}"), ("--rounds 0", "--rounds"), ("--rate inf", "--rate")],
    "lab decisions": [
        ("--caches 4,x", "--caches: found '4,x'"),
        ("--caches 0", "--caches"),
        ("--caches ,", "--caches"),
    ],
    "lab door": [("--calls 0", "--calls"), ("--rate nan", "--rate")],
    "lab handover": [("--rounds 0", "--rounds"), ("--clients 0", "--clients")],
    "lab fleet": [("{none}", "{none}"), ("{folder}", "{folder}"), ("{text}", "{text}"), ("{logs}", "{logs}")],
    "lab members": [
        ("--routers 8,1", "--routers"),
        ("--loss 2", "--loss"),
        ("--minutes -1", "--minutes"),
        ("--without care", "--without"),
        ("--explore -1", "--explore"),
    ],
    "lab overload": [
        ("--scenario none", "--scenario: found 'none', expected one of routers-killed"),
        ("--routers 4 --liars 5", "--liars: found 5"),
        ("--load 0", "--load"),
        ("--routers 0", "--routers"),
    ],
    "lab fleet-run": [
        ("", "SCENARIO"),
        ("none", "none: found no such file, expected a scenario file or one of quiet"),
        ("{folder}", "{folder}"),
        ("{bytes}", "{bytes}"),
        ("{text}", "{text}"),
        ("quiet --routers 17", "--routers"),
        ("quiet --routers 1", "quiet: routers: found 1"),
        ("paused --routers 2", "faults two who: found 'r2'"),
        ("quiet --folder {under}", "--folder"),
    ],
    "lab trials": [("--runs 0", "--runs"), ("--routers 17", "--routers"), ("--folder {text}", "--folder")],
    "lab floods": [
        ("--kind none", "'none' is not one of"),
        ("--seconds 0", "--seconds: found '0'"),
        ("--against {none}", "--against"),
    ],
    "lab soak": [
        ("--seeds 0", "--seeds: found '0'"),
        ("--parallel 9", "--parallel: found '9', expected a whole number from 1 to 8"),
        ("--only x", "--only"),
    ],
    "lab rollout": [
        ("--scenario none", "expected one of same"),
        ("--routers 1", "--routers: found 1"),
        ("--simulated --scenario none", "--scenario: found none"),
        ("--folder {under}", "--folder"),
    ],
    "lab episode": [
        ("--scenario {none}", "{none}"),
        ("--scenario {folder}", "{folder}"),
        ("--scenario {text}", "{text}"),
        ("--scenario {bytes}", "{bytes}"),
        ("--seconds 0", "--seconds"),
        ("--report {under}", "--report"),
        ("--save {folder}", "--save"),
        ("--capture {text}", "--capture"),
    ],
    "lab report": [
        *BAD_FILES,
        ("{json}", "{json} is no saved episode: slices: found 3, expected a valid"),
        ("{json} --out {folder}", "--out"),
    ],
    "lab capacity": [
        ("--role none", "--role: found 'none'"),
        ("--save {under}", "--save: found"),
        ("--router {none}", "--router: found"),
    ],
    "lab scale": [
        ("", "found nothing, expected one of steady"),
        ("none", "found 'none', expected one of steady"),
        ("steady --routers 0", "--routers"),
        ("steady --feed none", "--feed"),
        ("steady --topology {none}", "{none}"),
        ("steady --topology {text}", "{text}"),
        ("steady --save {under}", "--save"),
        ("calibrate --sizes 1,x", "--sizes: found '1,x'"),
    ],
    "lab scale-process": [("none", "expected one of")],
    "lab demo": [("--seconds nan", "--seconds"), ("--out {under}", "--out")],
}


def commands_below(group: click.Group, before: str = "") -> Iterator[tuple[str, click.Command]]:
    """All commands below a group, each with its full name on the command line."""
    for name, command in group.commands.items():
        words = f"{before} {name}".strip()
        if isinstance(command, click.Group):
            yield from commands_below(command, words)
        else:
            yield words, command


def groups(group: click.Group, before: str = "") -> Iterator[str]:
    """The names of a group and of all groups below it."""
    yield before
    for name, command in group.commands.items():
        if isinstance(command, click.Group):
            yield from groups(command, f"{before} {name}".strip())


def accepts_any_text(option: click.Option) -> bool:
    """Whether an option cannot be tested with an invalid value: flags take no value, text and folder options
    take any text."""
    any_text_types = (click.STRING, parameters.WritableFile, parameters.WritableFolder)
    return option.is_flag or option.type is click.STRING or isinstance(option.type, any_text_types[1:])


class BadInput(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.inputs_folder = Path(folder.name)
        self.inputs = self.create_inputs()
        handlers = logging.getLogger().handlers[:]
        self.addCleanup(lambda: logging.getLogger().handlers.__setitem__(slice(None), handlers))
        for number in (signal.SIGTERM, signal.SIGALRM):
            self.addCleanup(signal.signal, number, signal.getsignal(number))
        signal.signal(signal.SIGALRM, self.time_out)

    @staticmethod
    def time_out(number: int, frame: object) -> None:
        raise AssertionError(f"the command was not rejected within {REJECTION_TIMEOUT_S} s")

    def create_inputs(self) -> dict[str, str]:
        """Create the files and servers that the placeholders of ``INVALID_CALLS`` stand for: their paths and
        addresses by placeholder."""
        inputs_folder = self.inputs_folder
        for name in ("folder", "versions", "versions/2.sexp", "logs", "logs/r0.log", "state"):
            (inputs_folder / name).mkdir()
        (inputs_folder / "versions" / "1.sexp").write_text("(half")
        (inputs_folder / "text").write_text("so\n")
        (inputs_folder / "bytes").write_bytes(b"\xff\xfe\x00")
        (inputs_folder / "json").write_text(
            '{"figures": {}, "slices": 3, "stores": {}, "examples": [], "failures": []}'
        )
        rollout_journal = journal.Journal(inputs_folder / "state")
        rollout_journal.append({"what": "begin", "term": 1})
        rollout_journal.close()
        (inputs_folder / "state" / "status.json").write_text("[]")
        places = {path.name: str(path) for path in inputs_folder.iterdir()}
        captures = ROOT / "tests" / "capture" / "captures"
        return places | {
            "none": str(inputs_folder / "none"),
            "under": str(inputs_folder / "text" / "x"),
            "good": str(EXAMPLE),
            "plan": str(ROOT / "deploy" / "rollout.sexp"),
            "capture": str(next(captures.iterdir())),
            "garbage_server": self.garbage_server(),
            "closed_port": self.closed_port(),
        }

    def garbage_server(self) -> str:
        """Start a server that answers each connection with invalid JSON; returns its address."""
        listener = socket.create_server(("127.0.0.1", 0))

        def answer() -> None:
            with contextlib.suppress(OSError):
                while True:
                    caller, _ = listener.accept()
                    caller.sendall(b"OK [\n")
                    caller.close()

        thread = threading.Thread(target=answer)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(listener.close)
        self.addCleanup(listener.shutdown, socket.SHUT_RDWR)
        return f"127.0.0.1:{listener.getsockname()[1]}"

    @staticmethod
    def closed_port() -> str:
        """An address without a listener."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            return f"127.0.0.1:{listener.getsockname()[1]}"

    def assert_rejected(self, words: list[str], expected_text: str) -> None:
        """Check that a call gives exit code 2, one line on standard error that contains the text
        ``expected_text``, and nothing on standard output."""
        out, err = io.StringIO(), io.StringIO()
        signal.alarm(REJECTION_TIMEOUT_S)
        try:
            with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
                code = run(words)
        finally:
            signal.alarm(0)
        text = err.getvalue()
        self.assertEqual((code, text.count("\n"), out.getvalue()), (2, 1, ""), text)
        self.assertTrue(text.startswith("magpieshift"), text)
        self.assertIn(expected_text, text)

    def test_invalid_calls_are_listed_for_exactly_the_existing_commands(self) -> None:
        self.assertEqual(sorted(INVALID_CALLS), sorted(words for words, _ in commands_below(cli)))
        self.assertEqual([words for words, rows in INVALID_CALLS.items() if not rows], [])

    def test_every_invalid_call_is_rejected_in_one_line(self) -> None:
        for words, rows in INVALID_CALLS.items():
            for arguments, expected_text in rows:
                with self.subTest(f"{words} {arguments}"):
                    command_line = [
                        *words.split(),
                        *(word.format(**self.inputs) for word in arguments.split()),
                    ]
                    self.assert_rejected(command_line, expected_text.format(**self.inputs))
        self.assertEqual({path.name for path in self.inputs_folder.iterdir()} - set(self.inputs), set())

    def test_every_command_rejects_unknown_options_and_invalid_values(self) -> None:
        for words, command in commands_below(cli):
            with self.subTest(words):
                self.assert_rejected([*words.split(), "--no-such-option"], "--no-such-option")
            for option in command.params:
                if not isinstance(option, click.Option) or accepts_any_text(option):
                    continue
                with self.subTest(f"{words} {option.opts[0]}"):
                    self.assert_rejected([*words.split(), option.opts[0], INVALID_VALUE], option.opts[0])
                if isinstance(option.type, parameters.FiniteNumber):
                    self.assert_rejected([*words.split(), option.opts[0], "nan"], option.opts[0])

    def test_unknown_commands_are_rejected_in_every_group(self) -> None:
        for words in groups(cli):
            with self.subTest(words):
                self.assert_rejected([*words.split(), "no-such-word"], "no such command 'no-such-word'")

    def test_option_values_from_the_environment_are_checked(self) -> None:
        os.environ["EDGE_CONSOLE"] = "nowhere"
        self.addCleanup(os.environ.pop, "EDGE_CONSOLE")
        self.assert_rejected(["members"], "--console: found 'nowhere', expected host:port")


class ParameterTypes(unittest.TestCase):
    def converted(self, kind: click.ParamType[Any], value: str) -> Any:
        return kind.convert(value, None, None)

    def test_valid_values_are_accepted(self) -> None:
        self.assertEqual(self.converted(parameters.WholeNumberList(), "4,12"), (4, 12))
        self.assertEqual(self.converted(parameters.FiniteNumber(), "0"), 0.0)
        self.assertEqual(self.converted(parameters.WholeNumber(-1, 3), "-1"), -1)
        self.assertEqual(self.converted(parameters.Address(any_port=True), "127.0.0.1:0"), "127.0.0.1:0")
        with tempfile.TemporaryDirectory() as folder:
            for kind in (parameters.WritableFile(), parameters.WritableFolder()):
                self.assertEqual(self.converted(kind, f"{folder}/new"), f"{folder}/new")
            self.assertEqual(self.converted(parameters.WritableFolder(), f"{folder}/a/b"), f"{folder}/a/b")


if __name__ == "__main__":
    unittest.main()
