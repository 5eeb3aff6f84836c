"""Carries out a coordinator's steps: sends admin commands to routers and replaces their processes. What is
done, and when, is decided by the coordinator."""

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
"""Polling interval while waiting for a process to serve or to end: short compared with its start."""
MAX_REASON_LENGTH = 200
"""Maximum characters of a start command's last error line that a failure shows."""
SERVING = "serving"
"""Lifecycle state of a process that takes requests."""
SUPERSEDED_MARK = " is over, the latest is "
"""Part of the rejection by a router that knows a later term, see ``extensions.fencing``."""
MAX_SHOWN_ROUTERS = 3
"""Maximum number of routers whose answers an error shows; the log has all rejections."""

StartProcess = Callable[[RouterPlace, Address, Build, int], Awaitable[None]]
"""Starts a process of a build at a router, with the given admin address and term."""


async def start_by_command(router: RouterPlace, server: Address, build: Build, term: int) -> None:
    """Start a process with the build's start command, which returns without waiting for the process to serve.

    Raises ``StepFailedError`` if the command cannot be run or fails.
    """
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
    """Processes found at the admin addresses of one router."""

    counters: dict[Address, ProcessCounters] = field(default_factory=dict)
    """Counters of the processes that report them, by address."""
    unreadable: dict[Address, str] = field(default_factory=dict)
    """Reason why a process that answered reports no readable counters, by address."""
    free: list[Address] = field(default_factory=list)
    """Addresses at which no process listens."""


def _failed_answers_text(answers: dict[str, list[AdminAnswer]]) -> str:
    """Answers of the routers at which no process succeeded, for an error message; empty if there are none."""
    shown = [
        f"{name} {answer}"
        for name, all_answers in answers.items()
        if not any(answer.succeeded for answer in all_answers)
        for answer in all_answers[:1]
    ]
    more = f" and {len(shown) - MAX_SHOWN_ROUTERS} more" if len(shown) > MAX_SHOWN_ROUTERS else ""
    return "; ".join(shown[:MAX_SHOWN_ROUTERS]) + more


class Executor:
    """Sends commands to routers and replaces their processes under one fencing term."""

    def __init__(self, plan: Plan, term: int, start: StartProcess = start_by_command) -> None:
        """``start`` starts a process at a router."""
        self._plan = plan
        self._term = term
        self._start = start

    async def read_processes(self, router: str) -> dict[Address, ProcessCounters]:
        """Counters of a router's processes that report them, by admin address."""
        return (await self._inspect(router)).counters

    async def _inspect(self, router: str) -> RouterProcesses:
        """Read the counters at all admin addresses of a router."""
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
        """Add a process's answer to FIGURES to ``found``."""
        try:
            if answer.refused:
                raise UnreadableCountersError(str(answer))
            found.counters[server] = parse_counters(answer.text)
        except UnreadableCountersError as err:
            log.warning("counters not read", extra=fields(router=router, reason=err))
            found.unreadable[server] = str(err)

    async def latest_term(self) -> int:
        """The highest term reported by a majority of the plan's routers. A term is in force once a majority
        holds it, and two majorities overlap, so this is at least the term in force. Raises
        ``TermUnknownError`` if fewer than a majority report their term."""
        answers = await self._send_to_all_routers("TERM")
        terms = {
            name: max(int(answer.text) for answer in reported)
            for name, all_answers in answers.items()
            if (reported := [a for a in all_answers if a.succeeded and a.text.isdecimal()])
        }
        if not self._is_majority(len(terms)):
            raise TermUnknownError(
                f"{len(terms)} of {len(answers)} routers reported their term, expected more than half: "
                + _failed_answers_text(answers)
            )
        return max(terms.values())

    async def announce_term(self) -> None:
        """Announce this term to all routers, and check that a majority accepts it. As two majorities overlap,
        the older of two concurrent coordinators is rejected by at least one router. Raises
        ``TermSupersededError`` if a router knows a later term, ``StepFailedError`` if fewer than a majority
        accept."""
        answers = await self._send_to_all_routers(f"AS {self._term} PING")
        accepted = sum(any(answer.succeeded for answer in each) for each in answers.values())
        if not self._is_majority(accepted):
            raise StepFailedError(
                f"{accepted} of {len(answers)} routers go by term {self._term}, more than half must: "
                + _failed_answers_text(answers)
            )

    def _is_majority(self, count: int) -> bool:
        return 2 * count > len(self._plan.routers)

    async def _send_to_all_routers(self, command: str) -> dict[str, list[AdminAnswer]]:
        """Send a command to all admin addresses; returns the answers by router."""

        async def send_to_router(router: RouterPlace) -> list[AdminAnswer]:
            return await asyncio.gather(*(self._send(server, command) for server in router.admin_addresses))

        routers = self._plan.routers
        answers = await asyncio.gather(*(send_to_router(router) for router in routers.values()))
        return dict(zip(routers, answers, strict=True))

    async def _send_in_term(self, server: Address, command: str) -> AdminAnswer:
        """Send a command under this term; returns the answer."""
        return await self._send(server, f"AS {self._term} {command}")

    @staticmethod
    async def _send(server: Address, command: str) -> AdminAnswer:
        """Send a command; returns the answer. A rejection is logged. Raises ``TermSupersededError`` if the
        router knows a later term."""
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
        """Make this router run the build with this label and no other; does nothing if it does so already.

        Raises ``StepFailedError`` on failure. If the new process does not serve, the old one is not ended.
        """
        await self.announce_term()
        place = self._plan.routers[router]
        build = self._plan.new if label == self._plan.new.label else self._plan.old
        found = await self._inspect(router)
        # a process of unknown label is neither kept nor ended
        for server, reason in found.unreadable.items():
            raise StepFailedError("{}:{} is held by a process of unknown label: ".format(*server) + reason)
        if not any(counters.label == label for counters in found.counters.values()):
            await self._start(place, self._free_address(found), build, self._term)
            await self._wait_until_serving(router, label)
        for server, counters in found.counters.items():
            if counters.label != label:
                await self._end_process(server)

    @staticmethod
    def _free_address(found: RouterProcesses) -> Address:
        """An admin address for a new process; raises ``StepFailedError`` if all are in use."""
        if not found.free:
            raise StepFailedError("all admin addresses are held, and by no process of the wanted label")
        return found.free[-1]

    async def _wait_until_serving(self, router: str, label: str) -> None:
        """Wait until a process of this label serves; raises ``StepFailedError`` after the step time-out."""
        timeout_s = self._plan.step_timeout_s
        try:
            async with asyncio.timeout(timeout_s):
                while not await self._is_serving(router, label):
                    await asyncio.sleep(POLL_INTERVAL_S)
        except TimeoutError:
            failure = f"{label} did not serve within {timeout_s:g} s"
            for server, counters in (await self.read_processes(router)).items():
                # end a process that was started but does not serve, so that it does not start serving later
                if counters.label == label:
                    answer = await self._send_in_term(server, "END")
                    failure += "" if answer.succeeded else f", and its end was not taken ({answer})"
            raise StepFailedError(failure) from None

    async def _is_serving(self, router: str, label: str) -> bool:
        processes = await self.read_processes(router)
        return any(each.label == label and each.state == SERVING for each in processes.values())

    async def _end_process(self, server: Address) -> None:
        """Tell a process to end, and wait until nothing listens at its address; raises ``StepFailedError`` if
        it rejects the command or is late."""
        timeout_s = self._plan.step_timeout_s
        try:
            async with asyncio.timeout(timeout_s):
                while not (answer := await self._send_in_term(server, "END")).is_address_free:
                    if answer.refused:
                        raise StepFailedError(f"the process before refused to end: {answer.text}")
                    await asyncio.sleep(POLL_INTERVAL_S)
        except TimeoutError:
            raise StepFailedError(f"the process before did not end within {timeout_s:g} s") from None
