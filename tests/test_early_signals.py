"""Signals sent to a serving process that is blocked at each step of its start, for every serving command."""

from __future__ import annotations

import signal
import subprocess
import sys
import threading
import time
import unittest
from contextlib import suppress
from pathlib import Path

from magpieshift.control import sexp
from magpieshift.early_signals import is_serving_command
from magpieshift.lab.fault_injection.ports import free_ports
from tests.blocked_start import ANY_NAME
from tests.control.test_program import FolderCase
from tests.recorded.exchange import ROOT, WAIT_TIMEOUT_S

POLL_INTERVAL_S = 0.01
"""Interval for polling a process's log."""
Step = tuple[str, str]
"""An audit event and the module or file that it concerns (``tests.blocked_start``)."""

CLICK: Step = ("import", "click")
GRPC: Step = ("import", "grpc")
BIND: Step = ("socket.bind", ANY_NAME)
ROUTER_STEPS: tuple[Step, ...] = (
    ("import", "magpieshift.cli.main"),
    CLICK,
    ("import", "magpieshift.extensions.runner"),
    GRPC,
    ("open", "start.sexp"),
    BIND,
)
SERVICE_STEPS: tuple[Step, ...] = (CLICK, GRPC)


class BlockedProcess:
    """A process that is blocked at a step of its start."""

    def __init__(self, step: Step, arguments: list[str], folder: Path) -> None:
        self.log = folder / f"{'-'.join(arguments[:2])}-{step[1]}.log".replace("/", "_")
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "tests.blocked_start", *step, *arguments],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=log,
                cwd=ROOT,
            )
        self._watchdog = threading.Timer(WAIT_TIMEOUT_S, self.process.kill)
        self._watchdog.start()

    def wait_until_blocked(self) -> None:
        """Wait until the step is reached; raises ``AssertionError`` if the process ends before that."""
        assert self.process.stdout is not None
        assert self.process.stdout.readline() == b"held\n", self.log.read_text()

    def release(self) -> None:
        """Unblock the process."""
        assert self.process.stdin is not None
        with suppress(BrokenPipeError):  # the process has ended
            self.process.stdin.write(b"\n")
            self.process.stdin.flush()

    def close(self) -> None:
        """Kill the process if it is still running, and close its pipes."""
        self._watchdog.cancel()
        self.process.kill()
        self.process.wait(WAIT_TIMEOUT_S)
        for stream in (self.process.stdin, self.process.stdout):
            assert stream is not None
            with suppress(BrokenPipeError):
                stream.close()


class EarlySignals(FolderCase):
    def start_blocked(self, step: Step, arguments: list[str]) -> BlockedProcess:
        blocked = BlockedProcess(step, arguments, self.folder)
        self.addCleanup(blocked.close)
        blocked.wait_until_blocked()
        return blocked

    def router_arguments(self) -> list[str]:
        start = self.folder / "start.sexp"
        start.write_text(sexp.format_document(self.settings()))
        return [
            "run",
            "--config",
            str(start),
            "--state",
            str(self.folder / "state"),
            "--control",
            "127.0.0.1:9",
        ]

    def service_arguments(self) -> list[list[str]]:
        versions = self.folder / "versions"
        versions.mkdir()
        listen = f"127.0.0.1:{free_ports(1)[0]}"
        return [
            ["relay", "source", "--changelog", "127.0.0.1:9", "--listen", listen],
            ["relay", "serve", "--source", "127.0.0.1:9", "--listen", listen, "--name", "n", "--region", "r"],
            ["control", "serve", str(versions), "--listen", listen],
        ]

    def wait_for_log(self, blocked: BlockedProcess, text: str) -> None:
        """Wait until the process has logged this text; fail if it ends before that."""
        with blocked.log.open() as log:
            written = ""
            while text not in written:
                time.sleep(POLL_INTERVAL_S)
                ended = blocked.process.poll() is not None  # the watchdog kills it after a timeout
                written += log.read()
                self.assertFalse(ended and text not in written, written)

    def test_sigterm_at_any_step_of_the_start_ends_with_0(self) -> None:
        """Guards against a process that SIGTERM kills (exit code -15) while it starts."""
        forms = [(self.router_arguments(), ROUTER_STEPS)]
        forms += [(arguments, SERVICE_STEPS) for arguments in self.service_arguments()]
        for arguments, steps in forms:
            for step in steps:
                with self.subTest(arguments=arguments[:2], step=step):
                    blocked = self.start_blocked(step, arguments)
                    blocked.process.send_signal(signal.SIGHUP)  # must not end the process
                    blocked.process.terminate()
                    blocked.release()  # the event loop handles signals in its next iteration
                    self.assertEqual(blocked.process.wait(WAIT_TIMEOUT_S), 0, blocked.log.read_text())

    def test_sighup_at_any_step_of_a_routers_start_reloads_once_it_serves(self) -> None:
        """Guards against a router that SIGHUP kills (exit code -1) while it starts, when all routers are
        reloaded."""
        arguments = self.router_arguments()
        for step in ROUTER_STEPS:
            with self.subTest(step=step):
                blocked = self.start_blocked(step, arguments)
                for _ in range(2):  # one after the other
                    blocked.process.send_signal(signal.SIGHUP)
                blocked.release()
                self.wait_for_log(blocked, "event=ready")
                self.wait_for_log(blocked, 'event="configuration unchanged"')
                for _ in range(2):
                    blocked.process.terminate()
                self.assertEqual(blocked.process.wait(WAIT_TIMEOUT_S), 0, blocked.log.read_text())

    def test_sighup_never_ends_a_relay_or_a_control_service(self) -> None:
        """Guards against a relay or control service that SIGHUP kills while it starts or serves."""
        for arguments in self.service_arguments():
            with self.subTest(arguments=arguments[:2]):
                blocked = self.start_blocked(GRPC, arguments)
                blocked.process.send_signal(signal.SIGHUP)
                blocked.release()
                self.wait_for_log(blocked, 'event="reload ignored"')
                blocked.process.send_signal(signal.SIGHUP)
                for _ in range(2):
                    blocked.process.terminate()
                self.assertEqual(blocked.process.wait(WAIT_TIMEOUT_S), 0, blocked.log.read_text())


class ServingCommands(unittest.TestCase):
    def test_only_serving_commands_exit_with_0_on_a_signal(self) -> None:
        """A command that is interrupted, such as a check, must not exit with 0 as if it had succeeded."""
        for words in (
            [],
            ["run"],
            ["run", "--config", "x"],
            ["relay", "serve", "-h"],
            ["control", "serve"],
        ):
            self.assertTrue(is_serving_command(words), words)
        for words in (
            ["config", "check"],
            ["relay", "status"],
            ["rollout", "start"],
            ["lab"],
            ["control"],
        ):
            self.assertFalse(is_serving_command(words), words)


if __name__ == "__main__":
    unittest.main()
