"""Changes a fleet in stages: which router is next, when a stage is over, when to stop and put back. Told
what was seen, what came of steps, and the time; says what to write down and what to do. No I/O.

Everything that is decided is written before it is done (``Write`` comes before what rests on it), and all
that a resumed coordinator knows is what was written (``fold``). What runs where is never believed from
there: it is looked at, and a step is "make this router run that label", which does nothing where it does so
already. So a step that was done and not written down is found done, and one that was broken off is taken
up.

One step at a time. Before each, all that do not answer are counted as away, the one to be changed as well;
with more than the plan allows, nothing is begun."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from magpieshift.rollout.judge import AWAY_US, Verdict
from magpieshift.rollout.plan import Plan, Stage

FAILED_AGAIN_US = 5_000_000  # before a step that failed is tried once more
MOST_TRIES = 3  # of one step on the way forward; on the way back it is tried until it works
Record = Mapping[str, Any]


class Way(Enum):
    """Where a rollout is going."""

    FORWARD = "forward"
    BACK = "back"
    HOLD = "hold"  # stopped where it stands
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class Write:
    """Keep this record for good, before anything that follows."""

    record: Record


@dataclass(frozen=True, slots=True)
class Replace:
    """Make this router run that label; answered by ``stepped``. Done already is done."""

    step: int
    router: str
    label: str


@dataclass(frozen=True, slots=True)
class Judged:
    """A new stage: the judge is to begin anew."""

    stage: str


Action = Write | Replace | Judged


@dataclass
class State:
    """What the records say."""

    way: Way = Way.FORWARD
    stage: int = 0
    step: int = 0
    paused: bool = False
    open: tuple[int, str, str] | None = None  # a step whose outcome was not written
    why: str = ""
    failed: dict[str, int] = field(default_factory=dict)  # tries that failed, by router, on this way
    term: int = 0
    plan: str = ""


def fold(records: Iterable[Record]) -> State:
    """All that was written, as one state."""
    state = State()
    for record in records:
        match record["what"]:
            case "begin":
                state.term = max(state.term, int(record["term"]))
                state.plan = state.plan or str(record["plan"])
            case "intent":
                state.step = int(record["step"])
                state.open = state.step, str(record["router"]), str(record["label"])
            case "done":
                state.open = None
                state.failed.pop(str(record["router"]), None)
            case "failed":
                state.open = None
                router = str(record["router"])
                state.failed[router] = state.failed.get(router, 0) + 1
            case "passed":
                state.stage += 1
            case "way":
                state.way = Way(record["way"])
                state.why = str(record["why"])
                state.failed = {}
            case "pause":
                state.paused = bool(record["paused"])
    return state


@dataclass(slots=True)
class _Router:
    """What is seen of one router."""

    label: str = ""  # that serves there, as last seen; two while one replaces another
    both: bool = False
    seen_us: int | None = None  # when it last answered


class Coordinator:
    """One run of a rollout under one term."""

    def __init__(self, plan: Plan, term: int, now_us: int, records: Iterable[Record] = ()) -> None:
        """``ValueError`` where the records are of another plan, or of a term as late as this one."""
        self.plan = plan
        self.term = term
        self.state = fold(records)
        if self.state.plan and self.state.plan != plan.digest:
            raise ValueError(f"the journal is of plan {self.state.plan}, this is {plan.digest}")
        if self.state.term >= term:
            raise ValueError(f"term {term} is not later than {self.state.term}, which the journal is of")
        self.routers = {name: _Router() for name in plan.routers}
        self.fenced = False
        self.verdict = Verdict.UNKNOWN
        self.waits = ""  # why nothing is done now, in words
        self._began_us = self._stage_us = now_us
        self._whole_us: int | None = None  # since when all of the stage are as they should be
        self._soaked_us = 0
        self._ticked_us = now_us
        self._not_before: dict[str, int] = {}
        self._step: Replace | None = None

    def begin(self) -> list[Action]:
        """To be carried out first. A rollout that was held goes on: who resumes it has decided that."""
        record = {"what": "begin", "term": self.term, "plan": self.plan.digest, "name": self.plan.name}
        out: list[Action] = [Write(record), Judged(self.stage.name)]
        if self.state.open is not None:
            # nobody knows how far it came: what runs there will be seen, and it is begun anew if need be
            step, router, label = self.state.open
            out.append(
                Write(
                    {
                        "what": "failed",
                        "step": step,
                        "router": router,
                        "label": label,
                        "why": "broken off",
                        "term": self.term,
                    }
                )
            )
            self.state.open = None
        if self.state.way == Way.HOLD:
            out += self._go(Way.FORWARD, "resumed")
        return out

    # --- what can be asked

    @property
    def stage(self) -> Stage:
        return self.plan.stages[min(self.state.stage, len(self.plan.stages) - 1)]

    @property
    def over(self) -> bool:
        return self.fenced or self.state.way == Way.ENDED

    @property
    def next_share(self) -> float:
        """The part of the fleet that is new once the next stage is reached."""
        after = self.plan.stages[min(self.state.stage + 1, len(self.plan.stages) - 1)]
        return len(after.targets) / len(self.plan.routers)

    def wanted(self, router: str) -> str:
        """The label that a router should run now."""
        new = self.state.way != Way.BACK and router in self.stage.targets
        return self.plan.new.label if new else self.plan.old.label

    def away(self, now_us: int) -> list[str]:
        """Who has not answered for long, or never has since this coordinator began."""
        return sorted(
            name
            for name, r in self.routers.items()
            if now_us - (r.seen_us if r.seen_us is not None else self._began_us) >= AWAY_US
        )

    # --- what comes

    def seen(self, now_us: int, router: str, labels: frozenset[str]) -> None:
        """Who serves there: none where nobody answered, two while one replaces the other."""
        if not labels:
            return
        its = self.routers[router]
        its.seen_us = now_us
        its.both = len(labels) > 1
        its.label = next(iter(labels)) if len(labels) == 1 else its.label

    def stepped(self, now_us: int, step: int, why: str = "") -> list[Action]:
        """What came of a step; ``why`` where it failed."""
        if self._step is None or self._step.step != step:
            return []
        its = self._step
        self._step = None
        record = {"step": step, "router": its.router, "label": its.label, "term": self.term}
        if not why:
            self.state.failed.pop(its.router, None)
            self.seen(now_us, its.router, frozenset({its.label}))
            return [Write({"what": "done"} | record)]
        failed = self.state.failed[its.router] = self.state.failed.get(its.router, 0) + 1
        self._not_before[its.router] = now_us + FAILED_AGAIN_US
        out: list[Action] = [Write({"what": "failed", "why": why} | record)]
        if self.state.way == Way.FORWARD and failed >= MOST_TRIES:
            out += self._turn(f"{its.router} could not be changed {failed} times: {why}")
        return out

    def overtaken(self, why: str) -> None:
        """A router knows a later term: another coordinator goes on, and this one does nothing any more."""
        self.fenced = True
        self.waits = why

    def pause(self, paused: bool) -> list[Action]:
        self.state.paused = paused
        return [Write({"what": "pause", "paused": paused, "term": self.term})]

    def stop(self, why: str, back: bool) -> list[Action]:
        """People say so."""
        if self.over or self.state.way in ((Way.BACK,) if back else (Way.BACK, Way.HOLD)):
            return []
        return self._go(Way.BACK if back else Way.HOLD, why)

    def _turn(self, why: str) -> list[Action]:
        """The plan says what follows when a stage does worse."""
        return self._go(Way.BACK if self.plan.on_stop == "back" else Way.HOLD, why)

    def _go(self, way: Way, why: str) -> list[Action]:
        self.state.way = way
        self.state.why = why
        self.state.failed = {}
        self._not_before.clear()
        self._whole_us = None
        return [Write({"what": "way", "way": way.value, "why": why, "term": self.term})]

    # --- time

    def tick(self, now_us: int, verdict: Verdict, why: str) -> list[Action]:
        """To be called now and then, after ``seen`` of all; with what the judge knows by now."""
        since = now_us - self._ticked_us
        self._ticked_us = now_us
        if self.over or self._step is not None:
            return []
        self.verdict = verdict
        out: list[Action] = []
        if self.state.way == Way.FORWARD and verdict == Verdict.WORSE:
            out += self._turn(f"stage {self.stage.name}: {why}")
        if self.state.way == Way.HOLD:
            self.waits = f"stopped: {self.state.why}"
            return out
        if self.state.paused and self.state.way == Way.FORWARD:
            self.waits = "paused"
            return out
        if (step := self._next(now_us, verdict)) is not None:
            self._whole_us = None
            return [*out, *step]
        if self.waits:
            return out
        return out + self._whole(now_us, since, verdict, why)

    def _next(self, now_us: int, verdict: Verdict) -> list[Action] | None:
        """The next step; none where nothing is to be changed, or (``waits``) where it can't be now."""
        self.waits = ""
        away = self.away(now_us)
        order = self.stage.targets if self.state.way == Way.FORWARD else ()
        rest = [name for name in self.routers if name not in order]
        ripe: list[str] = []
        for name in (*order, *rest):
            its = self.routers[name]
            if its.seen_us is None and name not in away:
                self.waits = f"{name} has not been looked at yet"
            elif name not in away and (its.both or its.label != self.wanted(name)):
                ripe.append(name)
        missing = [name for name in away if name in order or self.state.way == Way.BACK]
        if not ripe:
            if missing and not self.waits:
                self.waits = f"away: {', '.join(missing)}"
            return None
        if len(away) + 1 > self.plan.most_away:
            self.waits = f"away: {', '.join(away)}; {self.plan.most_away} may be, the next to change included"
            return None
        if verdict == Verdict.TROUBLE and self.state.way == Way.FORWARD:
            self.waits = "something strikes old and new alike"
            return None
        ready = [name for name in ripe if now_us >= self._not_before.get(name, 0)]
        if not ready:
            self.waits = f"{ripe[0]} is tried again soon"
            return None
        self.state.step += 1
        self._step = Replace(self.state.step, ready[0], self.wanted(ready[0]))
        record = {
            "what": "intent",
            "step": self._step.step,
            "router": self._step.router,
            "label": self._step.label,
            "term": self.term,
        }
        return [Write(record), self._step]

    def _whole(self, now_us: int, since_us: int, verdict: Verdict, why: str) -> list[Action]:
        """All are as they should be: how long for, and is it known that they do no worse?"""
        if self.state.way == Way.BACK:
            self.state.way = Way.ENDED
            return [
                Write(
                    {"what": "way", "way": "ended", "why": f"put back: {self.state.why}", "term": self.term}
                )
            ]
        if self._whole_us is None:
            self._whole_us = now_us
            self._soaked_us = 0
            self._stage_us = now_us
        elif verdict != Verdict.TROUBLE:  # time in which something strikes all tells nothing
            self._soaked_us += since_us
        stage = self.stage
        last = len(stage.targets) == len(self.plan.routers)
        if self._soaked_us < stage.soak_s * 1e6:
            self.waits = f"stage {stage.name} is being looked at"
            return []
        if verdict == Verdict.FINE or (last and verdict == Verdict.UNKNOWN):
            # with nobody left to compare with, that nothing was found worse in its time is all there can be
            record = {"what": "passed", "stage": stage.name, "why": why, "term": self.term}
            self.state.stage += 1
            self._whole_us = None
            out: list[Action] = [Write(record)]
            if self.state.stage >= len(self.plan.stages):
                self.state.way = Way.ENDED
                return [
                    *out,
                    Write({"what": "way", "way": "ended", "why": "all stages passed", "term": self.term}),
                ]
            return [*out, Judged(self.stage.name)]
        if self._soaked_us >= stage.most_s * 1e6:
            # not shown to be worse, nor that it is not: that is for people to decide
            return self._go(Way.HOLD, f"stage {stage.name}: not known in {stage.most_s:g} s: {why}")
        self.waits = f"stage {stage.name}: {verdict.value}: {why}"
        return []
