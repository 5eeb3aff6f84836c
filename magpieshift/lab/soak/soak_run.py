"""Runs a router with emulated endpoints and clients by a plan, and checks the results."""

from __future__ import annotations

import asyncio
import json
import random
import signal
import tempfile
import time
from collections.abc import Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from magpieshift.control import sexp
from magpieshift.control.publisher import PublishedVersion
from magpieshift.control.service import ControlService
from magpieshift.lab.emulators import peers
from magpieshift.lab.emulators.client_connection import RESEND_WINDOW_S, NoAnswer
from magpieshift.lab.emulators.emulated_installation import EmulatedInstallation, router_settings
from magpieshift.lab.emulators.load import TIME_LIMITS_MS
from magpieshift.lab.emulators.protocol_checker import ProtocolChecker
from magpieshift.lab.experiments.processor_cost import platform_json
from magpieshift.lab.fault_injection.ports import free_port
from magpieshift.lab.soak.clients import ClientGroup, Unanswered
from magpieshift.lab.soak.plan import SoakFault, SoakPlan, StartMode, TimedSignal
from magpieshift.lab.soak.router_process import RouterProcess

PROGRAM = ("-m", "magpieshift")
CACHES = 3
CHECKER_SLACK_S = 1.0
"""Tolerance on the time limits that endpoints check, in seconds: the machine may be busy."""
NEW_CONNECTIONS_AFTER_SIGTERM_S = 0.2
"""Minimum time in seconds for which the platform opens new connections after SIGTERM."""
RELEASE_TIMEOUT_S = 1.0
"""Maximum time in seconds until endpoints notice that a router's connections have ended."""
FAULT_DURATION_S = 8.0
"""Duration of a fault in seconds: longer than the rest of a run."""
OVERLAP_S = 0.6
"""Seconds from the second process's readiness to the first one's SIGTERM, and from the first one's exit until
the second one is ended."""
MAX_FINDING_LENGTH = 400


@dataclass
class SoakReport:
    """The results of one run."""

    plan: SoakPlan
    sent: int = 0
    served: int = 0
    rejected: int = 0
    failed: int = 0
    ready_s: float = 0.0
    """Seconds from the start of the router until it was ready."""
    ended_s: float = 0.0
    """Seconds from SIGTERM to the exit of the last process."""
    lag_ms: float = 0.0
    """Maximum delay of the clients' event loop in ms; time limits of the clients are extended by it."""
    findings: list[str] = field(default_factory=list)
    """Descriptions of the violations found."""

    def as_row(self) -> dict[str, object]:
        """Return the run's row of the printed table."""
        return {
            "seed": self.plan.seed,
            "form": str(self.plan.start_mode),
            "fault": str(self.plan.fault),
            "sent": self.sent,
            "served": self.served,
            "refused": self.rejected,
            "failed": self.failed,
            "ready s": round(self.ready_s, 2),
            "ended s": round(self.ended_s, 2),
            "lag ms": round(self.lag_ms),
            "findings": len(self.findings),
        }


class SoakRun:
    """Owns the router processes, the emulated endpoints and the clients of one run."""

    def __init__(self, plan: SoakPlan, folder: Path, program: Sequence[str] = PROGRAM) -> None:
        """``program``: the Python interpreter's arguments; the router's own arguments follow them."""
        self._plan = plan
        self._folder = folder
        self._program = program
        self._random = random.Random(plan.seed)
        self._port = free_port()
        self._checker = ProtocolChecker(CHECKER_SLACK_S)
        self._logs = (peers.ChangeLog(), peers.ChangeLog())
        self._endpoints = EmulatedInstallation(CACHES, 1, self._checker, self._random, self._publish)
        self._control: ControlService | None = None
        classes = ["picture"] if plan.start_mode is StartMode.BARE else list(TIME_LIMITS_MS)
        self._clients = ClientGroup(self._port, self._random, classes)
        self._processes: list[RouterProcess] = []
        self._faults: list[asyncio.Task[None]] = []
        self._report = SoakReport(plan)

    async def run(self) -> SoakReport:
        """Run the plan; return the report."""
        async with AsyncExitStack() as stack:
            stack.callback(self._stop_environment)
            stack.push_async_callback(self._kill_all)
            await self._start_environment(stack)
            first = await self._start_router()
            await self._reload_during_start(first)
            if not await first.wait_until_ready():
                self._add_finding(
                    f"the router did not become ready: {first.log_text()[-MAX_FINDING_LENGTH:]}"
                )
                return self._report
            self._report.ready_s = time.monotonic() - first.started_s
            self._clients.start(self._plan.rate, self._plan.idle_clients)
            await asyncio.sleep(self._plan.serving_s)
            await self._serve_and_stop(first)
            await self._clients.stop()
            await self._check_results()
        return self._report

    # --- the steps of a run

    async def _serve_and_stop(self, first: RouterProcess) -> None:
        self._change_settings()
        await self._send_series(first, self._plan.reloads)
        last = first
        if self._plan.is_replaced:
            # valid settings for the second process: _change_settings may have written an invalid file
            self._settings_path.write_text(self._settings_text(0))
            last = await self._start_router()
            if not await last.wait_until_ready():
                self._add_finding(f"the second process is not ready: {last.log_text()[-MAX_FINDING_LENGTH:]}")
            await asyncio.sleep(OVERLAP_S)
            first.send(signal.SIGTERM)
            await self._wait_for_exit(first)
            await asyncio.sleep(OVERLAP_S)
        self._begin_fault()
        await self._send_series(last, self._plan.end_signals)
        await self._wait_for_exit(last)

    async def _send_series(self, router: RouterProcess, series: Sequence[TimedSignal]) -> None:
        for each in series:
            await asyncio.sleep(each.gap_s)
            router.send(each.number)
            if each.number is signal.SIGTERM and router is self._processes[-1]:
                self._clients.new_connections_until_s = min(
                    self._clients.new_connections_until_s, time.monotonic() + NEW_CONNECTIONS_AFTER_SIGTERM_S
                )

    async def _reload_during_start(self, router: RouterProcess) -> None:
        if self._plan.start_signals:
            await router.wait_until_handling_signals()
            await self._send_series(router, self._plan.start_signals)

    async def _wait_for_exit(self, router: RouterProcess) -> None:
        code = await router.wait_for_exit()
        assert router.terminated_s is not None
        self._report.ended_s = time.monotonic() - router.terminated_s
        if code is None:
            self._add_finding("a process did not end before the SIGKILL")
        elif code != 0:
            self._add_finding(f"a process ended with exit code {code}, expected 0")

    def _begin_fault(self) -> None:
        if self._plan.all_hang:
            for name in self._endpoints.places:
                fault = self._endpoints.inject_fault("hang", name, FAULT_DURATION_S)
                self._faults.append(asyncio.ensure_future(fault))
        match self._plan.fault:
            case SoakFault.HANG | SoakFault.DIE:
                fault = self._endpoints.inject_fault(str(self._plan.fault), "box1", FAULT_DURATION_S)
            case SoakFault.LATE_LOG:
                fault = self._endpoints.inject_fault("late-list", duration_s=FAULT_DURATION_S)
            case _:
                return
        self._faults.append(asyncio.ensure_future(fault))

    # --- the emulated environment

    def _publish(self, event: dict[str, Any]) -> None:
        for log in self._logs:
            log.publish(**event)

    async def _start_environment(self, stack: AsyncExitStack) -> None:
        await self._endpoints.start()
        for log in self._logs:
            await log.start()
        self._endpoints.start_publishing()
        for name, endpoint in self._endpoints.places.items():
            is_origin = name == "origin"
            endpoint.added_delay_ms = self._plan.origin_delay_ms if is_origin else self._plan.cache_delay_ms
        if self._plan.start_mode is StartMode.CONTROLLED:
            self._control = ControlService()
            await self._control.start("127.0.0.1:0")
            stack.push_async_callback(self._control.stop)
            text = sexp.format_document(self._settings(0) | {"retry-after-ms": 150})
            self._control.publish(PublishedVersion.parse(1, text))

    def _stop_environment(self) -> None:
        for task in self._faults:
            task.cancel()
        self._endpoints.stop()
        for log in self._logs:
            log.stop()

    async def _kill_all(self) -> None:
        for router in self._processes:
            await router.kill()

    def _settings(self, log: int) -> dict[str, Any]:
        return router_settings("soak", self._port, self._logs[log].port)

    def _settings_text(self, log: int) -> str:
        if self._plan.start_mode is StartMode.BARE:
            return json.dumps(platform_json(self._port, self._logs[log].port))
        return sexp.format_document(self._settings(log))

    @property
    def _settings_path(self) -> Path:
        return self._folder / ("config.json" if self._plan.start_mode is StartMode.BARE else "start.sexp")

    def _change_settings(self) -> None:
        """Replace the settings file, which the router reads again at SIGHUP."""
        match self._plan.fault:
            case SoakFault.BAD_SETTINGS:
                text = "{"
            case SoakFault.MOVED_LOG:
                text = self._settings_text(1)
            case _:
                return
        self._settings_path.write_text(text)

    async def _start_router(self) -> RouterProcess:
        number = len(self._processes) + 1
        if number == 1:
            self._settings_path.write_text(self._settings_text(0))
        environment = {"TMPDIR": str(self._folder)}
        if self._plan.is_replaced:
            environment["EDGE_CONSOLE"] = f"127.0.0.1:{free_port()}"
        arguments: list[str] = []
        if self._plan.start_mode is StartMode.BARE:
            environment["EDGE_CONFIG"] = str(self._settings_path)
        else:
            arguments = ["run", "--config", str(self._settings_path)]
        if self._control is not None:
            state = str(self._folder / "state")
            arguments += ["--state", state, "--control", f"127.0.0.1:{self._control.port}"]
        log = self._folder / f"router.{number}.log"
        router = await RouterProcess.start(self._program, arguments, environment, log)
        self._processes.append(router)
        return router

    # --- the checks of the results

    def _add_finding(self, text: str) -> None:
        self._report.findings.append(text)

    async def _check_results(self) -> None:
        clients = self._clients
        report = self._report
        report.sent, report.served = clients.sent, clients.served
        report.rejected, report.failed = clients.rejected, clients.failed
        report.lag_ms = 1000 * clients.max_lag_s
        lost = [each for each in clients.unanswered if self._is_lost(each)]
        if lost:
            self._add_finding(
                f"{len(lost)} requests lost: "
                + "; ".join(self._describe_lost(request) for request in lost[:3])
            )
        if clients.duplicate_answers:
            self._add_finding(f"{clients.duplicate_answers} duplicate answers")
        if clients.idle_resets:
            self._add_finding(f"{clients.idle_resets} idle connections were reset")
        if not clients.served:
            self._add_finding("no request was served")
        report.findings += [f"{rule}: {count}" for rule, count in self._checker.violations.items()]
        report.findings += self._checker.examples[:3]
        for router in self._processes:
            text = router.log_text()
            if "Traceback" in text:
                self._add_finding(text[text.index("Traceback") :][:MAX_FINDING_LENGTH])
        if not await self._are_connections_released():
            self._add_finding("connections to endpoints are still open after all routers have ended")

    def _is_lost(self, request: Unanswered) -> bool:
        """Return whether the request should have been answered.

        This excludes requests that raced with a close, and those that could not connect after the time until
        which the platform opens new connections.
        """
        match request.reason:
            case NoAnswer.RACED_WITH_CLOSE:
                return False
            case NoAnswer.NOT_CONNECTED:
                return request.ended_s <= self._clients.new_connections_until_s
            case NoAnswer.DISCONNECTED:
                return request.ended_s - request.sent_s > RESEND_WINDOW_S + self._clients.max_lag_s
        return True

    def _describe_lost(self, request: Unanswered) -> str:
        from_signal_s = request.sent_s - (self._processes[-1].terminated_s or 0.0)
        took_s = request.ended_s - request.sent_s
        return (
            f"{request.request_id} ({request.class_name}, {request.kind}) sent {from_signal_s:+.3f} s from "
            f"SIGTERM, after {took_s:.3f} s: {request.reason.value}"
        )

    async def _are_connections_released(self) -> bool:
        """Wait until no router has an open connection to an endpoint; return False after the time-out."""
        end_s = time.monotonic() + RELEASE_TIMEOUT_S + self._clients.max_lag_s
        while any(endpoint.open_connections for endpoint in self._endpoints.places.values()):
            if time.monotonic() > end_s:
                return False
            await asyncio.sleep(0.01)
        return True


async def run_plan(plan: SoakPlan, program: Sequence[str] = PROGRAM) -> SoakReport:
    """Run a plan in a temporary folder."""
    with tempfile.TemporaryDirectory(prefix="magpieshift-soak-") as folder:
        return await SoakRun(plan, Path(folder), program).run()
