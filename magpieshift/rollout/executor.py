"""Carries out a coordinator's steps: admin commands to routers, and the replacement of processes. A thin
driver; what is to be done and when is the coordinator's."""

from __future__ import annotations

import asyncio
import logging
import shlex
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from magpieshift.admin.answer import AdminAnswer
from magpieshift.admin.client import send_admin_command
from magpieshift.config import Address
from magpieshift.log import fields
from magpieshift.rollout.errors import (
    StepFailedError,
    TermSupersededError,
    TermUnknownError,
    UnreadableCountersError,
)
from magpieshift.rollout.plan import Build, Plan, RouterPlace
from magpieshift.rollout.process_counters import ProcessCounters, parse_counters

log = logging.getLogger(__name__)

POLL_INTERVAL_S = 0.1
"""Between two looks whether a process serves, or has ended: a small part of its start."""
MAX_REASON_LENGTH = 200
"""Characters of a command's last line of errors."""
SERVING = "serving"
"""The state of a process that takes requests."""
SUPERSEDED_MARK = " is over, the latest is "
"""In the reason of a router that knows a later term, see ``extensions.fencing``."""
MAX_SHOWN_REFUSALS = 3
"""In the failure of a step; all are in the log."""

StartProcess = Callable[[RouterPlace, Address, Build, int], Awaitable[None]]
"""Starts a process of a build at a router, with an admin address and a term."""


async def start_by_command(router: RouterPlace, server: Address, build: Build, term: int) -> None:
    """Start a process by the plan's command, which returns once it is on its way; ``StepFailedError`` if
    not."""
    words = [
        word.format(name=router.name, label=build.label, term=term, console="{}:{}".format(*server))
        for word in shlex.split(build.start_command)
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
        raise StepFailedError(f"{words[0]} cannot be started: {err.strerror or err}") from err
    _, errors = await process.communicate()
    if process.returncode:
        last = errors.decode("utf-8", "replace").strip().splitlines()[-1:] or [""]
        raise StepFailedError(f"{words[0]} ended with {process.returncode}: {last[0][:MAX_REASON_LENGTH]}")


@dataclass(frozen=True)
class RouterProcesses:
    """What the admin addresses of one router hold."""

    counters: dict[Address, ProcessCounters] = field(default_factory=dict)
    """Of the processes that tell them, by address."""
    unreadable: dict[Address, str] = field(default_factory=dict)
    """Why a process that answers does not tell them, by address."""
    free: list[Address] = field(default_factory=list)
    """The addresses where nothing listens."""


def _routers_text(answers: dict[str, list[AdminAnswer]]) -> str:
    """What routers that did not succeed answered, for an error; empty where all did."""
    shown = [
        f"{name} {answer}"
        for name, all_answers in answers.items()
        if not any(answer.succeeded for answer in all_answers)
        for answer in all_answers[:1]
    ]
    more = f" and {len(shown) - MAX_SHOWN_REFUSALS} more" if len(shown) > MAX_SHOWN_REFUSALS else ""
    return "; ".join(shown[:MAX_SHOWN_REFUSALS]) + more


class Executor:
    """Acts at routers in one term's name."""

    def __init__(self, plan: Plan, term: int, start: StartProcess = start_by_command) -> None:
        """``start`` starts processes."""
        self._plan = plan
        self._term = term
        self._start = start

    async def read_processes(self, router: str) -> dict[Address, ProcessCounters]:
        """The processes of a router that tell their counters, by their admin addresses."""
        return (await self._inspect(router)).counters

    async def _inspect(self, router: str) -> RouterProcesses:
        """Ask for counters at all admin addresses of a router."""
        servers = self._plan.routers[router].admin_addresses
        answers = await asyncio.gather(*(send_admin_command(server, "FIGURES") for server in servers))
        found = RouterProcesses()
        for server, answer in zip(servers, answers, strict=True):
            if answer.is_address_free:
                found.free.append(server)
            elif answer.succeeded or answer.refused:
                self._read_counters(router, server, answer, found)
        return found

    @staticmethod
    def _read_counters(router: str, server: Address, answer: AdminAnswer, found: RouterProcesses) -> None:
        """Enter what a process answered to FIGURES."""
        try:
            if answer.refused:
                raise UnreadableCountersError(str(answer))
            found.counters[server] = parse_counters(answer.text)
        except UnreadableCountersError as err:
            log.warning("counters not read", extra=fields(router=router, reason=err))
            found.unreadable[server] = str(err)

    async def latest_term(self) -> int:
        """The latest term that more than half of the plan's routers tell. A term is in force once more than
        half hold it, so one of these has heard of it. ``TermUnknownError`` if too few tell theirs."""
        answers = await self._ask_all_routers("TERM")
        terms = {
            name: max(int(answer.text) for answer in told)
            for name, all_answers in answers.items()
            if (told := [a for a in all_answers if a.succeeded and a.text.isdecimal()])
        }
        if not self._is_majority(len(terms)):
            raise TermUnknownError(
                f"{len(terms)} of {len(answers)} routers tell their term, more than half must: "
                + _routers_text(answers)
            )
        return max(terms.values())

    async def announce_term(self) -> None:
        """Announce this term to all routers, and make sure that more than half of them go by it: of two
        coordinators that could at once, one hears of the other. ``TermSupersededError``, or
        ``StepFailedError`` if too few take it."""
        answers = await self._ask_all_routers(f"AS {self._term} PING")
        taken = sum(any(answer.succeeded for answer in each) for each in answers.values())
        if not self._is_majority(taken):
            raise StepFailedError(
                f"{taken} of {len(answers)} routers go by term {self._term}, more than half must: "
                + _routers_text(answers)
            )

    def _is_majority(self, count: int) -> bool:
        return 2 * count > len(self._plan.routers)

    async def _ask_all_routers(self, command: str) -> dict[str, list[AdminAnswer]]:
        """The answers of all admin addresses, by router."""

        async def ask_router(router: RouterPlace) -> list[AdminAnswer]:
            return await asyncio.gather(*(self._ask(server, command) for server in router.admin_addresses))

        routers = self._plan.routers
        answers = await asyncio.gather(*(ask_router(router) for router in routers.values()))
        return dict(zip(routers, answers, strict=True))

    async def _ask_in_term(self, server: Address, command: str) -> AdminAnswer:
        """The answer to a command in this term's name."""
        return await self._ask(server, f"AS {self._term} {command}")

    @staticmethod
    async def _ask(server: Address, command: str) -> AdminAnswer:
        """The answer to a command; a refusal is logged. ``TermSupersededError`` if a later term is known
        there."""
        answer = await send_admin_command(server, command)
        if answer.refused:
            where = "{}:{}".format(*server)
            log.warning(
                "admin command refused", extra=fields(console=where, command=command, reason=answer.text)
            )
            if SUPERSEDED_MARK in answer.text:
                raise TermSupersededError(answer.text)
        return answer

    async def replace_process(self, router: str, label: str) -> None:
        """Make this router run that label, and it alone; if it does already, nothing is done.
        ``StepFailedError`` if it did not work: then the old process still serves, unless it was gone
        before."""
        await self.announce_term()
        place = self._plan.routers[router]
        build = self._plan.new if label == self._plan.new.label else self._plan.old
        found = await self._inspect(router)
        for server, reason in found.unreadable.items():  # of an unknown build, so neither kept nor ended
            raise StepFailedError("{}:{} is held by a process of unknown label: ".format(*server) + reason)
        if not any(counters.label == label for counters in found.counters.values()):
            await self._start(place, self._free_address(found), build, self._term)
            await self._wait_until_serving(router, label)
        for server, counters in found.counters.items():
            if counters.label != label:
                await self._end_process(server)

    @staticmethod
    def _free_address(found: RouterProcesses) -> Address:
        """Where a process may be started; ``StepFailedError`` where all addresses are held."""
        if not found.free:
            raise StepFailedError("all admin addresses are held, and by no process of the wanted label")
        return found.free[-1]

    async def _wait_until_serving(self, router: str, label: str) -> None:
        """Wait until a process of that label serves."""
        timeout_s = self._plan.step_timeout_s
        try:
            async with asyncio.timeout(timeout_s):
                while not await self._is_serving(router, label):
                    await asyncio.sleep(POLL_INTERVAL_S)
        except TimeoutError:
            failure = f"{label} did not serve within {timeout_s:g} s"
            for server, counters in (await self.read_processes(router)).items():
                if counters.label == label:  # it is there and does not serve: it must not begin to later
                    answer = await self._ask_in_term(server, "END")
                    failure += "" if answer.succeeded else f", and its end was not taken ({answer})"
            raise StepFailedError(failure) from None

    async def _is_serving(self, router: str, label: str) -> bool:
        processes = await self.read_processes(router)
        return any(each.label == label and each.state == SERVING for each in processes.values())

    async def _end_process(self, server: Address) -> None:
        """Have a process end as planned, and wait until nothing listens at its address."""
        timeout_s = self._plan.step_timeout_s
        try:
            async with asyncio.timeout(timeout_s):
                while not (answer := await self._ask_in_term(server, "END")).is_address_free:
                    if answer.refused:
                        raise StepFailedError(f"the process before refused to end: {answer.text}")
                    await asyncio.sleep(POLL_INTERVAL_S)
        except TimeoutError:
            raise StepFailedError(f"the process before did not end within {timeout_s:g} s") from None
