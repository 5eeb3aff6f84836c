"""Rollouts of real router processes under load: interruption and resumption, unreachable routers, defective
builds and fencing terms."""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from pathlib import Path

from magpieshift.admin.answer import AdminAnswer, AnswerStatus
from magpieshift.admin.client import send_admin_command
from magpieshift.lab.experiments import rollout_report
from magpieshift.lab.fault_injection import rollouts
from magpieshift.lab.fault_injection.cluster import Cluster
from magpieshift.lab.fault_injection.rollouts import (
    NEW_LABEL,
    OLD_LABEL,
    plan_for,
    process_starter,
    start_old_version,
)
from magpieshift.rollout.errors import TermSupersededError
from magpieshift.rollout.executor import Executor
from magpieshift.rollout.journal import read_rows
from magpieshift.rollout.runner import RolloutRunner

ROUTERS = 4


class Rollouts(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.cluster = await self.enterAsyncContext(
            Cluster(self.folder, ROUTERS, requests_per_s=40.0, slack_s=1.0)
        )
        await start_old_version(self.cluster)
        self.cluster.start_load()

    async def labels(self, executor: Executor) -> dict[str, list[str]]:
        return {
            name: [counters.label for counters in (await executor.read_processes(name)).values()]
            for name in self.cluster.routers
        }

    async def finish_cluster(self) -> None:
        counted = await self.cluster.finish()
        self.assertEqual((self.cluster.violations, self.cluster.unexpected_exits), ([], []))
        self.assertEqual((counted["lost"], counted["doubles"]), (0, 0))
        await self.cluster.close()
        self.assertEqual(self.cluster.left_running(), 0)

    async def test_an_interrupted_rollout_is_resumed_and_loses_no_request(self) -> None:
        cluster = self.cluster
        plan = plan_for(
            cluster, **{"worse-by": {"served": 0.5, "processor": 9.0, "memory-mb-per-min": 900.0}}
        )
        state = self.folder / "state"
        first = asyncio.ensure_future(RolloutRunner(plan, state, process_starter(cluster)).run())

        async def first_step_started() -> bool:
            return any(record["what"] == "intent" for record in read_rows(state))

        await cluster.wait_until(first_step_started, "the first step has started", 60.0)
        first.cancel()  # during the first step
        await asyncio.wait([first])
        status = await asyncio.wait_for(RolloutRunner(plan, state, process_starter(cluster)).run(), 120.0)
        self.assertEqual((status["way"], status["new"]), ("ended", sorted(cluster.routers)), status)
        executor = Executor(plan, 0)
        self.assertEqual(await self.labels(executor), {name: [NEW_LABEL] for name in cluster.routers})
        report = rollout_report.write(state).read_text()
        self.assertIn("Rollout proving: ended", report)
        self.assertIn("data:image/png;base64,", report)
        steps = [record["step"] for record in read_rows(state) if record["what"] == "done"]
        self.assertEqual(len(steps), len(set(steps)))
        with self.subTest("an older coordinator is rejected, and a process that it starts does not serve"):
            with self.assertRaises(TermSupersededError):
                await Executor(plan, 1, process_starter(cluster)).replace_process("r0", OLD_LABEL)
            router = cluster.routers["r0"]
            address = next(iter(await executor.read_processes("r0")))
            self.assertRegex(
                str(await send_admin_command(address, "AS 1 END")), "term 1 is over, the latest is 2"
            )
            serving = router.process
            router.process = None
            free = next(port for port in router.admin_ports if port != address[1])
            await cluster.start_successor("r0", free, ("--label", OLD_LABEL, "--term", "1"))
            assert router.process is not None
            self.assertEqual(await asyncio.wait_for(router.process.wait(), 30.0), 2)
            router.process = serving
            router.admin_port = address[1]
            self.assertEqual(await self.labels(executor), {name: [NEW_LABEL] for name in cluster.routers})
        await self.finish_cluster()

    async def test_an_unreachable_router_is_waited_for_and_a_lame_duck_router_is_not_analysed(self) -> None:
        cluster = self.cluster
        loose_tolerances = {"served": 0.5, "processor": 9.0, "memory-mb-per-min": 900.0}
        stages = {"all": {"share": 1.0, "soak-s": 1.0}}
        plan = plan_for(cluster, **{"worse-by": loose_tolerances, "step-s": 8.0, "stages": stages})
        state = self.folder / "state"
        reasons: list[str] = []
        running = asyncio.ensure_future(
            RolloutRunner(
                plan, state, process_starter(cluster), lambda status: reasons.append(str(status["why"]))
            ).run()
        )

        async def first_router_changed() -> bool:
            return any(record["what"] == "done" for record in read_rows(state))

        await cluster.wait_until(first_router_changed, "the first router has been changed", 60.0)
        # the last router has no step in flight yet, and the first one is already changed
        lame_duck_router, *_, unreachable_router = plan.stages[0].targets
        cluster.pause(unreachable_router)
        lame_duck = AdminAnswer(AnswerStatus.SUCCEEDED, "lame-duck")
        self.assertEqual(await cluster.call(lame_duck_router, "LAMEDUCK"), lame_duck)

        async def rollout_waits() -> bool:
            return any("away" in why and unreachable_router in why for why in reasons)

        await cluster.wait_until(rollout_waits, "the router is unreachable, and no step starts", 90.0)
        cluster.resume(unreachable_router)
        status = await asyncio.wait_for(running, 120.0)
        self.assertEqual((status["way"], status["new"]), ("ended", sorted(cluster.routers)), status)
        await self.finish_cluster()

    async def test_a_build_that_cannot_start_or_fails_requests_is_rolled_back(self) -> None:
        cluster = self.cluster
        for defect, magnitude, reason in (
            ("no-start", 0.0, "could not be changed"),
            ("worse", 0.6, "served in time"),
        ):
            with self.subTest(defect):
                plan = plan_for(cluster, **{"step-s": 2.0 if defect == "no-start" else 15.0, "name": defect})
                state = self.folder / defect
                runner = RolloutRunner(plan, state, process_starter(cluster, defect, magnitude))
                status = await asyncio.wait_for(runner.run(), 120.0)
                self.assertEqual((status["way"], status["old"]), ("ended", sorted(cluster.routers)), status)
                self.assertIn(reason, status["why"])
                self.assertEqual(
                    await self.labels(Executor(plan, 0)), {name: [OLD_LABEL] for name in cluster.routers}
                )
        await self.finish_cluster()


class Scenarios(unittest.TestCase):
    def test_every_defect_has_a_scenario(self) -> None:
        from magpieshift.lab.fault_injection.defective_router import DEFECTS

        self.assertEqual({one.defect for one in rollouts.SCENARIOS.values()}, set(DEFECTS))


if __name__ == "__main__":
    unittest.main()
