"""Runs a rollout: a loop that connects observation, canary analysis, coordinator, journal and executor."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from magpieshift.log import fields
from magpieshift.rollout.canary_analysis import CanaryAnalysis
from magpieshift.rollout.coordinator import Coordinator
from magpieshift.rollout.errors import JournalError, StepFailedError, TermSupersededError
from magpieshift.rollout.executor import SERVING, Executor, StartProcess, start_by_command
from magpieshift.rollout.instructions import BeginStage, Instruction, RecordDecision, ReplaceProcess
from magpieshift.rollout.journal import Journal
from magpieshift.rollout.plan import Plan
from magpieshift.rollout.process_counters import ProcessCounters
from magpieshift.rollout.records import JournalRecord, RolloutPhase, from_rows, to_row
from magpieshift.rollout.state_folder import Request, StateFolder, make_status
from magpieshift.rollout.verdict import Verdict

log = logging.getLogger(__name__)

ROUND_INTERVAL_S = 1.0
"""Interval between two rounds of observations: an admin server answers within one second."""


def _now_us() -> int:
    return time.monotonic_ns() // 1000


class RolloutRunner:
    """Carries out one plan with its state in one folder."""

    def __init__(
        self,
        plan: Plan,
        folder: Path,
        start: StartProcess = start_by_command,
        on_status: Callable[[Mapping[str, Any]], None] = lambda status: None,
        roll_back: bool = False,
    ) -> None:
        """``start`` starts a process at a router, ``on_status`` receives the status after each round;
        ``roll_back`` starts with a rollback, whatever the journal says."""
        self._plan = plan
        self._folder = StateFolder(folder)
        self._start = start
        self._on_status = on_status
        self._roll_back = roll_back

    async def run(self) -> Mapping[str, Any]:
        """Start the rollout, or resume it from the folder's journal, and run it until it is over or held.

        Returns the last status. Raises ``JournalError`` if the journal cannot be read or written,
        ``JournalMismatchError`` if it belongs to another plan, ``TermUnknownError`` if fewer than a majority
        of routers report their term.
        """
        journal = Journal(self._folder.path)
        try:
            self._folder.clear_request()
            term = await self._next_term(journal)
            executor = Executor(self._plan, term, self._start)
            coordinator = Coordinator(self._plan, term, _now_us(), from_rows(journal.rows))
            run = _Run(coordinator, executor, journal, self._folder, self._on_status)
            try:
                return await run.run_to_end(self._roll_back)
            finally:
                await run.stop()
        finally:
            journal.close()

    async def _next_term(self, journal: Journal) -> int:
        """A term above all terms that routers report or the journal contains."""
        latest = await Executor(self._plan, 0).latest_term()
        return 1 + max([latest, *(int(row.get("term", 0)) for row in journal.rows)])


class _Run:
    """One run of a coordinator; owns the task of the step in flight."""

    def __init__(
        self,
        coordinator: Coordinator,
        executor: Executor,
        journal: Journal,
        folder: StateFolder,
        on_status: Callable[[Mapping[str, Any]], None],
    ) -> None:
        self._plan = coordinator.plan
        self._coordinator = coordinator
        self._executor = executor
        self._journal = journal
        self._folder = folder
        self._on_status = on_status
        # replaced at the start of each stage
        self._analysis = self._new_analysis()
        self._step_task: asyncio.Task[None] | None = None

    async def run_to_end(self, roll_back: bool) -> Mapping[str, Any]:
        """Run until the rollout is over, held or superseded; returns the last status."""
        coordinator = self._coordinator
        try:
            # from now on routers reject the commands of an older coordinator
            await self._executor.announce_term()
        except StepFailedError as err:
            log.warning("fencing term not accepted by a majority", extra=fields(reason=err))
        except TermSupersededError as err:
            coordinator.supersede(str(err))
            return self._publish(Verdict.UNDECIDED)
        await self._execute(coordinator.begin())
        if roll_back:
            await self._execute(coordinator.stop("asked for on resuming", roll_back=True))
        while not coordinator.is_over:
            began_s = time.monotonic()
            await self._round()
            if coordinator.state.phase is RolloutPhase.HELD and self._step_task is None:
                break
            await asyncio.sleep(max(0.0, ROUND_INTERVAL_S - (time.monotonic() - began_s)))
        return self._publish(coordinator.verdict)

    async def stop(self) -> None:
        """Cancel the step in flight."""
        if self._step_task is not None:
            self._step_task.cancel()
            await asyncio.wait([self._step_task])

    def _new_analysis(self) -> CanaryAnalysis:
        plan = self._plan
        zones = {name: router.zone for name, router in plan.routers.items()}
        return CanaryAnalysis(plan.tolerances, plan.new.label, plan.old.label, zones, _now_us())

    async def _round(self) -> None:
        """Observe all routers, and carry out the coordinator's instructions."""
        coordinator = self._coordinator
        await self._observe()
        now_us = _now_us()
        instructions = self._requested_instructions()
        verdict = self._analysis.verdict(now_us, coordinator.next_fraction)
        instructions += coordinator.tick(now_us, verdict, self._analysis.reason)
        await self._execute(instructions)
        self._publish(verdict)

    async def _observe(self) -> None:
        names = list(self._plan.routers)
        found = await asyncio.gather(*(self._executor.read_processes(name) for name in names))
        now_us = _now_us()
        answers: dict[str, ProcessCounters | None] = {}
        for name, processes in zip(names, found, strict=True):
            labels = frozenset(counters.label for counters in processes.values())
            self._coordinator.record_labels(now_us, name, labels)
            serving = [counters for counters in processes.values() if counters.state == SERVING]
            if len(processes) > 1:
                self._analysis.expect_restart(name)  # one process is replacing the other
            elif serving or not processes:
                answers[name] = serving[0] if serving else None
        self._analysis.record_round(now_us, answers)

    def _requested_instructions(self) -> list[Instruction]:
        """Instructions for the action that an operator has requested since the last round."""
        action = self._folder.take_request()
        if action is None:
            return []
        if action.request in (Request.PAUSE, Request.GO_ON):
            return self._coordinator.pause(action.request is Request.PAUSE)
        roll_back = action.request is Request.ROLL_BACK
        return self._coordinator.stop(action.reason or "asked for", roll_back)

    async def _execute(self, instructions: list[Instruction]) -> None:
        """Carry out instructions in order. If a record cannot be written, the instructions after it are not
        carried out."""
        for instruction in instructions:
            match instruction:
                case RecordDecision(record=record):
                    self._record(record)
                case BeginStage():
                    self._analysis = self._new_analysis()
                case ReplaceProcess():
                    self._analysis.expect_restart(instruction.router)
                    self._step_task = asyncio.ensure_future(self._step(instruction))

    def _record(self, record: JournalRecord) -> None:
        row = to_row(record)
        self._journal.append(row | {"at": round(time.time(), 3)})
        log.info(
            "rollout decision recorded", extra=fields(**{name: row[name] for name in row if name != "plan"})
        )

    async def _step(self, step: ReplaceProcess) -> None:
        failure = ""
        try:
            await self._executor.replace_process(step.router, step.label)
        except StepFailedError as err:
            failure = str(err)
        except TermSupersededError as err:
            self._step_task = None
            self._coordinator.supersede(str(err))
            return
        except Exception as err:  # an unexpected error fails the step, but must not end the loop
            log.exception("rollout step raised an exception")
            failure = f"{type(err).__name__}: {err}"
        self._analysis.expect_restart(step.router)
        self._step_task = None
        try:
            await self._execute(self._coordinator.step_finished(_now_us(), step.step, failure))
        except JournalError as err:
            # without a journal no further decision may be carried out
            self._coordinator.supersede(str(err))
        except Exception as err:  # the run would wait forever for a step that has ended unseen
            log.exception("rollout step raised an exception")
            self._coordinator.supersede(f"{type(err).__name__}: {err}")

    def _publish(self, verdict: Verdict) -> Mapping[str, Any]:
        """Write the status and a line of history, and return the status."""
        status = make_status(self._coordinator, self._analysis, verdict, _now_us())
        self._folder.write_status(status)
        self._folder.append_history(status)
        self._on_status(status)
        return status
