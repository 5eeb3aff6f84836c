"""The executor: admin commands under a fencing term and the replacement of processes."""

from __future__ import annotations

import asyncio
import json
import unittest

from magpieshift.config import Address
from magpieshift.lab.fault_injection.ports import free_ports
from magpieshift.rollout.errors import StepFailedError, TermUnknownError
from magpieshift.rollout.executor import Executor
from magpieshift.rollout.plan import Build, Plan, RouterPlace
from tests.rollout.coordinator_harness import make_plan

ROUTERS = 3
SERVERS_PER_ROUTER = 2
STEP_TIMEOUT_S = 1.0
"""Step time-out in seconds, short so that tests of a late process are fast."""


def counters_answer(label: str, state: str) -> str:
    """Answer to FIGURES of a process with this label and state."""
    row = {"label": label, "incarnation": "1", "state": state, "up_us": 1, "classes": {}}
    return f"OK {json.dumps(row)}"


class AnnounceTerm(unittest.IsolatedAsyncioTestCase):
    async def announce_to_routers(self, answer: str) -> None:
        """Announce a term to routers that all return this answer."""
        servers = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readline()
            writer.write(f"{answer}\n".encode())
            writer.close()

        for _ in range(ROUTERS * SERVERS_PER_ROUTER):
            servers.append(await asyncio.start_server(serve, "127.0.0.1", 0))
        addresses = [f"127.0.0.1:{server.sockets[0].getsockname()[1]}" for server in servers]
        routers = {f"r{i}": {"doors": addresses[2 * i : 2 * i + 2], "zone": "a"} for i in range(ROUTERS)}
        stages = {"all": {"share": 1.0}}
        try:
            await Executor(make_plan(routers=routers, stages=stages), term=5).announce_term()
        finally:
            for server in servers:
                server.close()

    async def test_routers_that_accept_the_term_are_enough(self) -> None:
        await self.announce_to_routers("OK serving")

    async def test_routers_that_cannot_store_the_term_are_not_counted(self) -> None:
        """A router that cannot store the term, for example on a full disk, would still obey an older
        coordinator, so that two coordinators could change the fleet. It must not count towards the
        majority."""
        with self.assertRaises(StepFailedError):
            await self.announce_to_routers("ERR AS not now: the term cannot be kept: No space left on device")


class ScriptedRouters:
    """Routers whose admin servers answer each command from a table; an address without a table is closed."""

    def __init__(self) -> None:
        self.commands: list[tuple[str, str]] = []
        """Each command received: the router and the line."""
        self.started: list[str] = []
        """Routers at which a process was started."""
        self._servers: list[asyncio.Server] = []

    async def open(self, answers: dict[str, list[dict[str, str] | None]]) -> Plan:
        """Start the admin servers and return a plan for these routers. Each admin address has a table of
        answers by command, or None if it is closed."""
        doors: dict[str, list[str]] = {name: [] for name in answers}
        # reserved in one call, so that no port occurs twice
        closed_ports = iter(free_ports(SERVERS_PER_ROUTER * len(answers)))
        for name, addresses in answers.items():
            for table in [*addresses, None][:SERVERS_PER_ROUTER]:
                port = next(closed_ports) if table is None else await self._listen(name, table)
                doors[name].append(f"127.0.0.1:{port}")
        routers = {name: {"doors": addresses, "zone": "a"} for name, addresses in doors.items()}
        return make_plan(routers=routers, stages={"all": {"share": 1.0}}, **{"step-s": STEP_TIMEOUT_S})

    async def _listen(self, name: str, table: dict[str, str]) -> int:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            line = (await reader.readline()).decode().rstrip("\n")
            self.commands.append((name, line))
            if (answer := table.get(line.split()[-1])) is not None:
                writer.write(f"{answer}\n".encode())
                writer.close()

        self._servers.append(await asyncio.start_server(serve, "127.0.0.1", 0))
        return int(self._servers[-1].sockets[0].getsockname()[1])

    async def start(self, router: RouterPlace, server: Address, build: Build, term: int) -> None:
        self.started.append(router.name)

    def close(self) -> None:
        for server in self._servers:
            server.close()


class RefusedCommands(unittest.IsolatedAsyncioTestCase):
    """The status of an answer decides what it means: a rejected command has not been carried out, and an
    address that answers is in use."""

    def setUp(self) -> None:
        self.routers = ScriptedRouters()
        self.addCleanup(self.routers.close)

    async def executor(self, answers: dict[str, list[dict[str, str] | None]]) -> Executor:
        others = {name: [{"PING": "OK serving"}, None] for name in ("r1", "r2") if name not in answers}
        return Executor(await self.routers.open(answers | others), 5, self.routers.start)

    async def test_an_address_that_rejects_the_counters_command_is_not_considered_free(self) -> None:
        """Guards against starting a second process beside one that answers ERR to FIGURES."""
        table = {"FIGURES": "ERR FIGURES not now: starting", "PING": "OK serving"}
        cases: list[list[dict[str, str] | None]] = [[table, table], [table, None], [None, table]]
        for addresses in cases:
            with self.subTest(addresses=addresses):
                executor = await self.executor({"r0": addresses})
                with self.assertRaisesRegex(StepFailedError, "FIGURES not now: starting"):
                    await executor.replace_process("r0", "new")
                self.assertEqual(self.routers.started, [])

    async def test_an_address_that_does_not_answer_is_not_considered_free(self) -> None:
        """Guards against starting a process at the admin address of one that hangs."""
        old = counters_answer("old", "serving")
        executor = await self.executor({"r0": [{"FIGURES": old, "PING": "OK serving"}, {}]})
        with self.assertRaisesRegex(StepFailedError, "all admin addresses are held"):
            await executor.replace_process("r0", "new")
        self.assertEqual(self.routers.started, [])

    async def test_a_rejected_end_command_fails_the_step_at_once_with_the_reason(self) -> None:
        """Guards against repeating a rejected END until the step time-out and reporting it as a late end."""
        reason = "AS not now: the term cannot be kept: No space left on device"
        old = {"FIGURES": counters_answer("old", "serving"), "PING": "OK serving", "END": f"ERR {reason}"}
        new = {"FIGURES": counters_answer("new", "serving"), "PING": "OK serving"}
        executor = await self.executor({"r0": [old, new]})
        with (
            self.assertLogs("magpieshift.rollout.executor", "WARNING") as logged,
            self.assertRaisesRegex(StepFailedError, f"refused to end: {reason}"),
        ):
            await executor.replace_process("r0", "new")
        self.assertEqual(sum(line.endswith("END") for _, line in self.routers.commands), 1)
        self.assertEqual(logged.records[0].getMessage(), "admin command refused")

    async def test_a_process_that_hangs_has_not_ended(self) -> None:
        """Guards against treating a process that does not answer as ended."""
        old = {"FIGURES": counters_answer("old", "serving"), "PING": "OK serving"}
        new = {"FIGURES": counters_answer("new", "serving"), "PING": "OK serving"}
        executor = await self.executor({"r0": [old, new]})
        with self.assertRaisesRegex(StepFailedError, "did not end within"):
            await executor.replace_process("r0", "new")

    async def test_a_rejected_term_command_does_not_count_as_no_term(self) -> None:
        """Guards against a coordinator that starts at or below a term that routers hold but cannot report."""
        refused = {"TERM": "ERR TERM not now: the term cannot be read: Input/output error"}
        executor = await self.executor({"r0": [refused], "r1": [refused], "r2": [{"TERM": "OK 4"}]})
        with self.assertRaisesRegex(TermUnknownError, "1 of 3 routers .*r0 refused: .*Input/output error"):
            await executor.latest_term()

    async def test_a_majority_that_reports_its_term_is_enough(self) -> None:
        refused = {"TERM": "ERR TERM not now: the term cannot be read"}
        executor = await self.executor(
            {"r0": [refused], "r1": [{"TERM": "OK 7"}, None], "r2": [{"TERM": "OK 4"}]}
        )
        self.assertEqual(await executor.latest_term(), 7)


if __name__ == "__main__":
    unittest.main()
