"""What a coordinator decides is executed here: routers are asked at their doors, processes replaced. A thin
driver; what is to be done and when is the coordinator's."""

from __future__ import annotations

import asyncio
import logging
import shlex
from collections.abc import Awaitable, Callable

from magpieshift.config import Address
from magpieshift.log import fields
from magpieshift.rollout.figures import Figures, Unreadable, read
from magpieshift.rollout.plan import Plan, Router, Side

log = logging.getLogger(__name__)

ANSWER_S = 2.0  # for a door; it owes its answer within one second
LOOK_AGAIN_S = 0.1
MOST_LINE = 1 << 20
SERVES = "serving"

Start = Callable[[Router, Address, Side, int], Awaitable[None]]


class StepFailed(Exception):
    """A step did not work; the text says why."""


class Overtaken(Exception):
    """A router knows a later term."""


async def ask(door: Address, line: str) -> str | None:
    """The answer of a door without its end; None where there is none in time."""
    writer = None
    try:
        async with asyncio.timeout(ANSWER_S):
            reader, writer = await asyncio.open_connection(*door, limit=MOST_LINE)
            writer.write(f"{line}\n".encode())
            answer = await reader.readline()
    except (OSError, TimeoutError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()
    return answer.decode("utf-8", "replace").rstrip("\n") or None


async def by_command(router: Router, door: Address, side: Side, term: int) -> None:
    """Start a process by the plan's command, which returns once it is on its way; ``StepFailed`` if not."""
    words = [
        word.format(name=router.name, label=side.label, term=term, console="{}:{}".format(*door))
        for word in shlex.split(side.start)
    ]
    try:
        process = await asyncio.create_subprocess_exec(
            *words,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
            start_new_session=True,
        )
    except OSError as err:
        raise StepFailed(f"{words[0]} cannot be started: {err.strerror or err}") from err
    _, told = await process.communicate()
    if process.returncode:
        last = told.decode("utf-8", "replace").strip().splitlines()[-1:] or [""]
        raise StepFailed(f"{words[0]} ended with {process.returncode}: {last[0][:200]}")


class Executor:
    """Acts at routers in one term's name."""

    def __init__(self, plan: Plan, term: int, start: Start = by_command) -> None:
        self._plan = plan
        self._term = term
        self._start = start

    async def look(self, router: str) -> dict[Address, Figures]:
        """The processes of a router that answer, by their doors."""
        doors = self._plan.routers[router].doors
        answers = await asyncio.gather(*(ask(door, "FIGURES") for door in doors))
        found: dict[Address, Figures] = {}
        for door, answer in zip(doors, answers, strict=True):
            if answer is None:
                continue
            try:
                found[door] = read(answer.removeprefix("OK "))
            except Unreadable as err:
                log.warning("no figures", extra=fields(router=router, reason=err))
        return found

    async def latest_term(self, routers: list[str]) -> int:
        """The latest term that any of these routers has heard of; 0 where none answers."""
        latest = 0
        for router in routers:
            for door in self._plan.routers[router].doors:
                answer = await ask(door, "TERM")
                if answer is not None and answer.startswith("OK ") and answer[3:].isdecimal():
                    latest = max(latest, int(answer[3:]))
        return latest

    async def _as(self, door: Address, word: str) -> str | None:
        """A call in this term's name; None where nobody answers. ``Overtaken`` where a later one is known."""
        answer = await ask(door, f"AS {self._term} {word}")
        if answer is not None and " is over, the latest is " in answer:
            raise Overtaken(answer)
        return answer

    async def hold(self) -> None:
        """Tell all routers this term, and make sure that more than half of them go by it: of two coordinators
        that could at once, one hears of the other. ``Overtaken``, or ``StepFailed`` where too few answer."""

        async def tell(router: Router) -> bool:
            answers = await asyncio.gather(*(self._as(door, "PING") for door in router.doors))
            return any(answer is not None for answer in answers)

        told = await asyncio.gather(*(tell(router) for router in self._plan.routers.values()))
        if 2 * sum(told) <= len(told):
            raise StepFailed(f"{sum(told)} of {len(told)} routers answer, more than half must know the term")

    async def replace(self, router: str, label: str) -> None:
        """Make this router run that label, and it alone; done already is done. ``StepFailed`` where it did
        not work: then the old process still serves, unless it was gone before."""
        await self.hold()
        place = self._plan.routers[router]
        side = self._plan.new if label == self._plan.new.label else self._plan.old
        found = await self.look(router)
        right = [door for door, figures in found.items() if figures.label == label]
        if not right:
            free = [door for door in place.doors if door not in found]
            if not free:
                raise StepFailed("two processes answer, and neither is the one that is wanted")
            # a silent process may hold its door: the other one is tried first where nobody answers at all
            await self._start(place, free[-1], side, self._term)
            right = [await self._serving(router, label)]
        for door, figures in found.items():
            if figures.label != label:
                await self._end(door)

    async def _serving(self, router: str, label: str) -> Address:
        """Wait until a process of that label serves."""
        try:
            async with asyncio.timeout(self._plan.step_s):
                while True:
                    for door, figures in (await self.look(router)).items():
                        if figures.label == label and figures.state == SERVES:
                            return door
                    await asyncio.sleep(LOOK_AGAIN_S)
        except TimeoutError:
            for door, figures in (await self.look(router)).items():
                if figures.label == label:  # it is there and does not serve: it must not begin to later
                    await self._as(door, "END")
            raise StepFailed(f"{label} did not serve within {self._plan.step_s:g} s") from None

    async def _end(self, door: Address) -> None:
        """Have a process end as planned, and wait until it has."""
        try:
            async with asyncio.timeout(self._plan.step_s):
                while True:
                    answer = await self._as(door, "END")
                    if answer is None and await ask(door, "PING") is None:
                        return
                    await asyncio.sleep(LOOK_AGAIN_S)
        except TimeoutError:
            raise StepFailed(f"the process before did not end within {self._plan.step_s:g} s") from None
