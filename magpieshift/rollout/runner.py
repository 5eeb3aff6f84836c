"""A rollout carried out: looks, judge, coordinator, journal and executor round one loop."""

from __future__ import annotations

import asyncio
import json
import logging
import os
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from magpieshift.log import fields
from magpieshift.rollout.coordinator import Action, Coordinator, Judged, Replace, Way, Write
from magpieshift.rollout.executor import Executor, Overtaken, Start, StepFailed, by_command
from magpieshift.rollout.figures import Figures
from magpieshift.rollout.journal import Journal, JournalError
from magpieshift.rollout.judge import Judge, Verdict
from magpieshift.rollout.plan import Plan

log = logging.getLogger(__name__)

LOOK_S = 1.0
# in the state's folder: what goes on, and what people ask of it
STATUS = "status.json"
ASKED = "asked"
# bytes: some days of looks
HISTORY = "history.jsonl"
MOST_HISTORY = 64 << 20
WORDS = ("pause", "go-on", "stop", "back")


def _now_us() -> int:
    return time.monotonic_ns() // 1000


class Runner:
    """Owner of one run of a rollout: of its journal and of the step that is under way."""

    def __init__(
        self,
        plan: Plan,
        folder: Path,
        start: Start = by_command,
        told: Callable[[Mapping[str, Any]], None] = lambda status: None,
        back: bool = False,
    ) -> None:
        """``back``: whatever was under way, put all back."""
        self.plan = plan
        self.folder = folder
        self._start = start
        self._told = told
        self._back = back
        self._journal: Journal | None = None
        self._stepping: asyncio.Task[None] | None = None
        self.status: dict[str, Any] = {}

    async def run(self) -> Mapping[str, Any]:
        """Begin, or go on with what the folder's journal holds, to the end; the last status. ``JournalError``
        where the journal cannot be used or written, ``ValueError`` where it is of another plan."""
        self._journal = Journal(self.folder)
        try:
            return await self._run(self._journal)
        finally:
            if self._stepping is not None:
                self._stepping.cancel()
                await asyncio.wait([self._stepping])
            self._journal.close()

    async def _run(self, journal: Journal) -> Mapping[str, Any]:
        (self.folder / ASKED).unlink(missing_ok=True)
        names = list(self.plan.routers)
        term = 1 + max(
            [
                await Executor(self.plan, 0).latest_term(names),
                *(int(r.get("term", 0)) for r in journal.records),
            ]
        )
        self._executor = Executor(self.plan, term, self._start)
        coordinator = Coordinator(self.plan, term, _now_us(), journal.records)
        self._judge = self._fresh()
        try:
            await self._executor.hold()  # an older one that wakes from now on is turned down wherever it goes
        except StepFailed as err:
            log.warning("term not held yet", extra=fields(reason=err))
        except Overtaken as err:
            coordinator.overtaken(str(err))
            self._tell(coordinator, Verdict.UNKNOWN)
            return self.status
        await self._do(coordinator, coordinator.begin())
        if self._back:
            await self._do(coordinator, coordinator.stop("asked for on resuming", back=True))
        while not coordinator.over:
            began = time.monotonic()
            await self._look(coordinator)
            now = _now_us()
            actions = self._asked(coordinator)
            verdict = self._judge.verdict(now, coordinator.next_share)
            actions += coordinator.tick(now, verdict, self._judge.why)
            await self._do(coordinator, actions)
            self._tell(coordinator, verdict)
            if coordinator.state.way == Way.HOLD and self._stepping is None:
                break
            await asyncio.sleep(max(0.0, LOOK_S - (time.monotonic() - began)))
        self._tell(coordinator, coordinator.verdict)
        return self.status

    def _fresh(self) -> Judge:
        zones = {name: router.zone for name, router in self.plan.routers.items()}
        return Judge(self.plan.worse, self.plan.new.label, self.plan.old.label, zones, _now_us())

    async def _look(self, coordinator: Coordinator) -> None:
        names = list(self.plan.routers)
        found = await asyncio.gather(*(self._executor.look(name) for name in names))
        now = _now_us()
        answers: dict[str, Figures | None] = {}
        for name, processes in zip(names, found, strict=True):
            coordinator.seen(now, name, frozenset(figures.label for figures in processes.values()))
            serving = [figures for figures in processes.values() if figures.state == "serving"]
            if len(processes) > 1:
                self._judge.expect(name)  # one takes over from the other
            elif serving or not processes:
                answers[name] = serving[0] if serving else None
        self._judge.look(now, answers)

    def _asked(self, coordinator: Coordinator) -> list[Action]:
        """What people have asked for since the last look."""
        path = self.folder / ASKED
        try:
            word, _, why = path.read_text().strip().partition(" ")
            path.unlink()
        except OSError:
            return []
        if word not in WORDS:
            log.warning("nothing that can be asked", extra=fields(found=word[:40]))
            return []
        log.info("asked", extra=fields(what=word, why=why))
        if word in ("pause", "go-on"):
            return coordinator.pause(word == "pause")
        return coordinator.stop(why or "asked for", back=word == "back")

    async def _do(self, coordinator: Coordinator, actions: list[Action]) -> None:
        """Carry out, in order: what rests on a record is not begun unless that is kept."""
        assert self._journal is not None
        for action in actions:
            match action:
                case Write(record=record):
                    self._journal.append(record | {"at": round(time.time(), 3)})  # type: ignore[operator]
                    log.info("rollout", extra=fields(**{k: v for k, v in record.items() if k != "plan"}))
                case Judged():
                    self._judge = self._fresh()
                case Replace():
                    self._judge.expect(action.router)
                    self._stepping = asyncio.ensure_future(self._step(coordinator, action))

    async def _step(self, coordinator: Coordinator, step: Replace) -> None:
        why = ""
        try:
            await self._executor.replace(step.router, step.label)
        except StepFailed as err:
            why = str(err)
        except Overtaken as err:
            self._stepping = None
            return coordinator.overtaken(str(err))
        except Exception as err:  # whatever it is: the step failed, and the loop goes on
            log.exception("step failed")
            why = f"{type(err).__name__}: {err}"
        self._judge.expect(step.router)
        self._stepping = None
        try:
            await self._do(coordinator, coordinator.stepped(_now_us(), step.step, why))
        except JournalError as err:
            coordinator.overtaken(str(err))  # nothing can be kept any more: nothing is done any more

    def _tell(self, coordinator: Coordinator, verdict: Verdict) -> None:
        state = coordinator.state
        sides = {name: its.label for name, its in coordinator.routers.items()}
        self.status = {
            "name": self.plan.name,
            "term": coordinator.term,
            "way": state.way.value,
            "fenced": coordinator.fenced,
            "paused": state.paused,
            "why": state.why or coordinator.waits,
            "stage": coordinator.stage.name,
            "stages": [stage.name for stage in self.plan.stages],
            "new": sorted(n for n, label in sides.items() if label == self.plan.new.label),
            "old": sorted(n for n, label in sides.items() if label == self.plan.old.label),
            "away": coordinator.away(_now_us()),
            "verdict": verdict.value,
            "figures": self._judge.row(),
        }
        path = self.folder / f"{STATUS}.{os.getpid()}"
        path.write_text(json.dumps(self.status, indent=1))
        path.replace(self.folder / STATUS)  # whole or not at all, for who reads it
        self._note()
        self._told(self.status)

    def _note(self) -> None:
        """A line for the report; it is no loss that matters where that cannot be written."""
        status = self.status
        path = self.folder / HISTORY
        classes = {
            name: [*row["new"], *row["old"], *row["between"]]
            for name, row in status["figures"]["classes"].items()
        }
        row = {
            "at": round(time.time(), 1),
            "way": status["way"],
            "stage": status["stage"],
            "new": len(status["new"]),
            "old": len(status["old"]),
            "away": len(status["away"]),
            "verdict": status["verdict"],
            "classes": classes,
        }
        try:
            with path.open("a", encoding="utf-8") as file:
                if file.tell() < MOST_HISTORY:
                    file.write(json.dumps(row, separators=(",", ":")) + "\n")
        except OSError as err:
            log.warning("history not written", extra=fields(reason=err.strerror or err))


def say(folder: Path, word: str, why: str = "") -> None:
    """Ask something of the coordinator that runs on this folder, at its next look."""
    path = folder / f"{ASKED}.{os.getpid()}"
    path.write_text(f"{word} {why}\n")
    path.replace(folder / ASKED)
