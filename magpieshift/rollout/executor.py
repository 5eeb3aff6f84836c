"""Carries out a coordinator's steps: admin commands to routers, and the replacement of processes. A thin
driver; what is to be done and when is the coordinator's."""

from __future__ import annotations

import asyncio
import logging
import shlex
from collections.abc import Awaitable, Callable

from magpieshift.config import Address
from magpieshift.log import fields
from magpieshift.rollout.errors import StepFailedError, TermSupersededError, UnreadableCountersError
from magpieshift.rollout.plan import Build, Plan, RouterPlace
from magpieshift.rollout.process_counters import ProcessCounters, parse_counters

log = logging.getLogger(__name__)

COMMAND_TIMEOUT_S = 2.0
"""For an admin server, which owes its answer within one second."""
POLL_INTERVAL_S = 0.1
"""Between two looks whether a process serves, or has ended: a small part of its start."""
MAX_ANSWER_BYTES = 1 << 20
"""Of an admin server's answer; counters of all classes take a tenth."""
MAX_REASON_LENGTH = 200
"""Characters of a command's last line of errors."""
SERVING = "serving"
"""The state of a process that takes requests."""
OK_PREFIX = "OK "
"""Of an admin server's answer to what it has done."""

StartProcess = Callable[[RouterPlace, Address, Build, int], Awaitable[None]]
"""Starts a process of a build at a router, with an admin address and a term."""


async def send_admin_command(server: Address, line: str) -> str | None:
    """The answer of an admin server without its end; None if there is none in time."""
    writer = None
    try:
        async with asyncio.timeout(COMMAND_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*server, limit=MAX_ANSWER_BYTES)
            writer.write(f"{line}\n".encode())
            answer = await reader.readline()
    except (OSError, TimeoutError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()
    return answer.decode("utf-8", "replace").rstrip("\n") or None


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


class Executor:
    """Acts at routers in one term's name."""

    def __init__(self, plan: Plan, term: int, start: StartProcess = start_by_command) -> None:
        """``start`` starts processes."""
        self._plan = plan
        self._term = term
        self._start = start

    async def read_processes(self, router: str) -> dict[Address, ProcessCounters]:
        """The processes of a router that answer, by their admin addresses."""
        servers = self._plan.routers[router].admin_addresses
        answers = await asyncio.gather(*(send_admin_command(server, "FIGURES") for server in servers))
        found: dict[Address, ProcessCounters] = {}
        for server, answer in zip(servers, answers, strict=True):
            if answer is None:
                continue
            try:
                found[server] = parse_counters(answer.removeprefix(OK_PREFIX))
            except UnreadableCountersError as err:
                log.warning("counters not read", extra=fields(router=router, reason=err))
        return found

    async def latest_term(self, routers: list[str]) -> int:
        """The latest term that any of these routers has heard of; 0 if none answers."""
        latest = 0
        for router in routers:
            for server in self._plan.routers[router].admin_addresses:
                answer = await send_admin_command(server, "TERM")
                if answer is not None and answer.startswith(OK_PREFIX):
                    term = answer.removeprefix(OK_PREFIX)
                    latest = max(latest, int(term) if term.isdecimal() else 0)
        return latest

    async def _send_in_term(self, server: Address, command: str) -> str | None:
        """A command in this term's name; None if nothing answers. ``TermSupersededError`` if a later term is
        known there."""
        answer = await send_admin_command(server, f"AS {self._term} {command}")
        if answer is not None and " is over, the latest is " in answer:
            raise TermSupersededError(answer)
        return answer

    async def announce_term(self) -> None:
        """Announce this term to all routers, and make sure that more than half of them go by it: of two
        coordinators that could at once, one hears of the other. ``TermSupersededError``, or
        ``StepFailedError`` if too few answer."""

        async def announce(router: RouterPlace) -> bool:
            """Whether a process of the router has taken the term."""
            answers = await asyncio.gather(
                *(self._send_in_term(server, "PING") for server in router.admin_addresses)
            )
            return any(answer is not None for answer in answers)

        answered = await asyncio.gather(*(announce(router) for router in self._plan.routers.values()))
        if 2 * sum(answered) <= len(answered):
            raise StepFailedError(
                f"{sum(answered)} of {len(answered)} routers answer, more than half must know the term"
            )

    async def replace_process(self, router: str, label: str) -> None:
        """Make this router run that label, and it alone; if it does already, nothing is done.
        ``StepFailedError`` if it did not work: then the old process still serves, unless it was gone
        before."""
        await self.announce_term()
        place = self._plan.routers[router]
        build = self._plan.new if label == self._plan.new.label else self._plan.old
        found = await self.read_processes(router)
        if not any(counters.label == label for counters in found.values()):
            free = [server for server in place.admin_addresses if server not in found]
            if not free:
                raise StepFailedError("two processes answer, and neither is the one that is wanted")
            # a silent process may hold its address: the other one is tried first if nothing answers at all
            await self._start(place, free[-1], build, self._term)
            await self._wait_until_serving(router, label)
        for server, counters in found.items():
            if counters.label != label:
                await self._end_process(server)

    async def _wait_until_serving(self, router: str, label: str) -> None:
        """Wait until a process of that label serves."""
        timeout_s = self._plan.step_timeout_s
        try:
            async with asyncio.timeout(timeout_s):
                while not await self._is_serving(router, label):
                    await asyncio.sleep(POLL_INTERVAL_S)
        except TimeoutError:
            for server, counters in (await self.read_processes(router)).items():
                if counters.label == label:  # it is there and does not serve: it must not begin to later
                    await self._send_in_term(server, "END")
            raise StepFailedError(f"{label} did not serve within {timeout_s:g} s") from None

    async def _is_serving(self, router: str, label: str) -> bool:
        processes = await self.read_processes(router)
        return any(each.label == label and each.state == SERVING for each in processes.values())

    async def _end_process(self, server: Address) -> None:
        """Have a process end as planned, and wait until it has."""
        timeout_s = self._plan.step_timeout_s
        try:
            async with asyncio.timeout(timeout_s):
                while True:
                    answer = await self._send_in_term(server, "END")
                    if answer is None and await send_admin_command(server, "PING") is None:
                        return
                    await asyncio.sleep(POLL_INTERVAL_S)
        except TimeoutError:
            raise StepFailedError(f"the process before did not end within {timeout_s:g} s") from None
