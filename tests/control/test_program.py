"""The program as a process: killed at every step of applying a version, restarted without its control
service, and its command line."""

import asyncio
import json
import os
import re
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any

from magpieshift.control import sexp
from magpieshift.control.document_changes import document_digest
from magpieshift.control.publisher import PublishedVersion
from magpieshift.control.schema import load_data, to_data
from magpieshift.control.service import ControlService
from magpieshift.control.stored_versions import StoredVersion, read_store
from magpieshift.control.version_records import VersionRecord, VersionState
from magpieshift.control.version_store import VersionStore
from magpieshift.lab.experiments.versions import Plan, play
from magpieshift.lab.fault_injection.ports import free_ports
from tests.control.test_schema import EXAMPLE
from tests.recorded.exchange import ROOT, WAIT_TIMEOUT_S, config

STEPS = ("received", "started", "read", "prepared", "stored", "committed", "answered")
KILL_AT_STEP = """
import os, signal, sys
from magpieshift.cli import main
from magpieshift.extensions import runner
original_run = runner.run
def kill_at_step(name, installation):
    if name == sys.argv[1] and installation.router.version == 1 + (name in ("committed", "answered")):
        os.kill(os.getpid(), signal.SIGKILL)
def install_hook(installation):
    installation.manager.on_step = lambda name: kill_at_step(name, installation)
runner.run = lambda options: original_run(options, install_hook)
main.run(sys.argv[2:])
"""
POOL_WITHOUT_COMMIT = """
import sys
from magpieshift.upstream.pool import ConnectionPool
from magpieshift.cli.main import run
ConnectionPool.prepare = lambda self, old, new: lambda: None
sys.exit(run(sys.argv[1:]))
"""
OPTIONAL_MODULES = (
    "grpc",
    "google.protobuf",
    "pydantic",
    "msgspec",
    "click",
    "structlog",
    "sexpdata",
    "crc32c",
    "hdrh",
    "numpy",
    "zstandard",
    "matplotlib",
    "magpieshift.capture",
)


def program(*arguments: str, **environment: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "magpieshift", *arguments],
        capture_output=True,
        text=True,
        cwd=ROOT,
        env=os.environ | environment,
        timeout=WAIT_TIMEOUT_S,
    )


class FolderCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def settings(self, log_port: int = 9) -> dict[str, Any]:
        ports = {"cache": "127.0.0.1:1", "origin": "127.0.0.1:2", "log": f"127.0.0.1:{log_port}"}
        from magpieshift import parse

        data = to_data(parse(config(ports)).document)
        (port,) = free_ports(1)  # not an ephemeral port, as it must still be free when the router restarts
        return data | {"listen": f"127.0.0.1:{port}"}


class KilledAtEachStep(FolderCase):
    async def test_after_a_kill_at_any_step_the_version_in_force_is_complete(self) -> None:
        """The router restarts with the acknowledged version or the next one, without a control service."""
        for step in STEPS:
            with self.subTest(step):
                await self.kill_at(step, self.folder / step)

    async def kill_at(self, step: str, folder: Path) -> None:
        folder.mkdir()
        service, first = ControlService(), self.settings()
        await service.start("127.0.0.1:0")
        acknowledged: list[int] = []
        service.on_message = lambda stream, data: acknowledged.append(stream.subscriber.in_force)
        start, state = folder / "start.sexp", folder / "state"
        start.write_text(sexp.format_document(first))
        arguments = [
            "run",
            "--config",
            str(start),
            "--state",
            str(state),
            "--control",
            f"127.0.0.1:{service.port}",
        ]
        documents = {n: first | {"retry-after-ms": 100 + n} for n in (1, 2)}
        service.publish(PublishedVersion.parse(1, sexp.format_document(documents[1])))
        with (folder / "log").open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-c", KILL_AT_STEP, step, *arguments, stderr=log, cwd=ROOT
            )
            try:
                async with asyncio.timeout(WAIT_TIMEOUT_S):
                    while 1 not in acknowledged:
                        await asyncio.sleep(0.005)
                    service.publish(PublishedVersion.parse(2, sexp.format_document(documents[2])))
                    self.assertEqual(await process.wait(), -9, (folder / "log").read_text())
            finally:
                if process.returncode is None:
                    process.kill()
                await service.stop()
        stored = read_store(state).in_force
        assert stored is not None
        self.assertEqual(stored.record.number, 2 if step in ("stored", "committed", "answered") else 1)
        self.assertGreaterEqual(stored.record.number, max(acknowledged))
        self.assertEqual(sexp.parse(stored.text).data, documents[stored.record.number])
        # without the control service the router starts from its stored version and logs it
        text = await self.until_ready(arguments)
        self.assertRegex(text, rf"event=ready name=n1 seq=0 version={stored.record.number}\b")
        self.assertRegex(text, rf'event="control service lost".*version={stored.record.number}\b')

    async def until_ready(self, arguments: list[str]) -> str:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "magpieshift", *arguments, stderr=subprocess.PIPE, cwd=ROOT
        )
        assert process.stderr is not None
        text = ""
        try:
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                while not ("event=ready" in text and "control service lost" in text):
                    line = await process.stderr.readline()
                    self.assertTrue(line, text)
                    text += line.decode()
        finally:
            if process.returncode is None:
                process.kill()
            await process.wait()
        return text


class Laboratory(unittest.IsolatedAsyncioTestCase):
    async def test_a_short_run_finds_no_faults(self) -> None:
        report = await play(Plan(count=60, invalid=0.3, kills=2, breaks=2, seed=5, rate=40))
        self.assertTrue(report.good, (report.figures(), report.findings))
        self.assertEqual((report.sent, report.kills, report.breaks), (60, 2, 2))
        self.assertGreater(min(report.accepted, report.rejected, report.requests), 10)

    async def test_a_part_that_does_not_commit_is_reported(self) -> None:
        """The check detects a part that does not commit: here the upstream pool (part ``back``) prepares new
        settings, but never applies them."""
        broken = (sys.executable, "-c", POOL_WITHOUT_COMMIT)
        report = await play(Plan(count=30, invalid=0, kills=0, breaks=0, seed=5, program=broken))
        self.assertFalse(report.good)
        self.assertGreater(report.half_applied, 0)
        self.assertIn("is not what runs in back", report.findings[0])


class Measurements(unittest.TestCase):
    def test_measurements_run_and_report_figures(self) -> None:
        """A small run; checks that figures are reported, not their size."""
        result = program("lab", "apply", "--members", "20", "--rounds", "2", "--json")
        rows = {row["version changes"]: row for row in json.loads(result.stdout)}
        self.assertEqual(set(rows), {"a figure", "classes", "zones anew", "none"})
        self.assertGreater(rows["classes"]["apply p50 ms"], 0)
        arguments = ["lab", "cost", "--rounds", "1", "--requests", "50", "--rate", "200", "--json"]
        (row,) = json.loads(program(*arguments).stdout)
        self.assertGreater(row["us a request"], 0)
        self.assertEqual(row["lost"], 0)


class CommandLine(FolderCase):
    def test_the_platforms_run_imports_no_optional_modules(self) -> None:
        found = f"print([m for m in {OPTIONAL_MODULES} if m in sys.modules])"
        code = f"import sys, magpieshift.__main__, magpieshift.app; {found}"
        result = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT)
        self.assertEqual(result.stdout, "[]\n", result.stderr)

    def test_check(self) -> None:
        bad = self.folder / "bad.sexp"
        bad.write_text(EXAMPLE.read_text().replace("(sockets 512)", "(sockets 12)"))
        good, wrong = program("config", "check", str(EXAMPLE)), program("config", "check", str(bad))
        self.assertEqual((good.returncode, wrong.returncode), (0, 1), good.stderr)
        self.assertRegex(wrong.stderr, r"line \d+: limits sockets: found 12, expected")
        report = json.loads(program("config", "check", str(bad), "--json").stdout)
        self.assertEqual([p["where"] for p in report["problems"]], ["limits sockets"])

    def test_unknown_commands_get_a_hint_and_help_has_examples(self) -> None:
        result = program("confg")
        self.assertEqual(result.returncode, 2)
        self.assertIn("did you mean 'config'?", result.stderr)
        for arguments in (["--help"], ["run", "-h"], ["config", "diff", "-h"], ["control", "serve", "-h"]):
            self.assertRegex(program(*arguments).stdout, r"Examples?:\n +magpieshift")
        for arguments in (
            ["run"],
            ["config", "show", "/no/such"],
            ["config", "history", "--state", "/no/such"],
        ):
            result = program(*arguments)
            self.assertEqual((result.returncode, result.stderr.count("\n")), (2, 1), result.stderr)

    def test_history_show_diff_and_rollback(self) -> None:
        first = self.settings()
        texts = {n: sexp.format_document(first | {"retry-after-ms": 100 + n}) for n in (1, 2)}
        store = VersionStore(self.folder / "state")
        for number, text in texts.items():
            digest = document_digest(sexp.parse(text).data)
            record = VersionRecord(number, digest, "control", VersionState.IN_FORCE, 1_764_576_000_000_000)
            store.append(StoredVersion(record, text))
        store.close()
        state = ["--state", str(self.folder / "state")]
        table = program("config", "history", *state).stdout.splitlines()
        self.assertRegex(table[1], r"^1 +replaced +2025-12-01 08:00:00 +control")
        self.assertRegex(table[2], r"^2 +in force")
        shown = json.loads(program("config", "show", *state, "--json").stdout)
        self.assertEqual(load_data(shown["settings"]), load_data(sexp.parse(texts[2]).data))
        result = program("config", "diff", "1", "2", *state)
        self.assertEqual((result.returncode, result.stdout), (1, "retry-after-ms: (retry-after-ms 102)\n"))
        folder = self.folder / "versions"
        folder.mkdir()
        for number, text in texts.items():
            (folder / f"{number}.sexp").write_text(text)
        result = program("config", "rollback", "1", "--versions", str(folder))
        self.assertEqual(result.stdout, "version 3 has the content of version 1\n")
        self.assertEqual(
            program("config", "diff", str(folder / "1.sexp"), str(folder / "3.sexp")).returncode, 0
        )

    def test_log_lines_are_pairs_or_json(self) -> None:
        bad = str(self.folder / "none" / "x")
        (self.folder / "none").write_text("")
        start = self.folder / "start.sexp"
        start.write_text(sexp.format_document(self.settings()))
        for form, found in (
            ("pairs", r"event=\"version store unavailable\""),
            ("json", r'"event": "version store unavailable"'),
        ):
            process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "magpieshift",
                    "run",
                    "--config",
                    str(start),
                    "--state",
                    bad,
                    "--log",
                    form,
                ],
                stderr=subprocess.PIPE,
                text=True,
                cwd=ROOT,
            )
            assert process.stderr is not None
            lines = [process.stderr.readline(), process.stderr.readline()]
            process.terminate()
            self.assertEqual(process.wait(WAIT_TIMEOUT_S), 0)
            process.stderr.close()
            self.assertRegex(lines[0], found)
            self.assertTrue(re.search("ready", lines[1]), lines)


if __name__ == "__main__":
    unittest.main()
