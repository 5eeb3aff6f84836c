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
            name: [figures.label for figures in (await executor.read_processes(name)).values()]
            for name in self.cluster.routers
        }

    async def end(self) -> None:
        counted = await self.cluster.finish()
        self.assertEqual((self.cluster.violations, self.cluster.unexpected_exits), ([], []))
        self.assertEqual((counted["lost"], counted["doubles"]), (0, 0))
        await self.cluster.close()
        self.assertEqual(self.cluster.left_running(), 0)

    async def test_a_good_one_is_broken_off_resumed_and_loses_nothing(self) -> None:
        cluster = self.cluster
        plan = plan_for(
            cluster, **{"worse-by": {"served": 0.5, "processor": 9.0, "memory-mb-per-min": 900.0}}
        )
        state = self.folder / "state"
        first = asyncio.ensure_future(RolloutRunner(plan, state, process_starter(cluster)).run())

        async def changed() -> bool:
            return any(record["what"] == "intent" for record in read_rows(state))

        await cluster.wait_until(changed, "the first step has started", 60.0)
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
            door = next(iter(await executor.read_processes("r0")))
            self.assertRegex(
                str(await send_admin_command(door, "AS 1 END")), "term 1 is over, the latest is 2"
            )
            serving = router.process
            router.process = None
            free = next(port for port in router.admin_ports if port != door[1])
            await cluster.start_successor("r0", free, ("--label", OLD_LABEL, "--term", "1"))
            assert router.process is not None
            self.assertEqual(await asyncio.wait_for(router.process.wait(), 30.0), 2)
            router.process = serving
            router.admin_port = door[1]
            self.assertEqual(await self.labels(executor), {name: [NEW_LABEL] for name in cluster.routers})
        await self.end()

    async def test_a_silent_router_is_waited_for_and_one_emptied_by_hand_is_not_judged(self) -> None:
        cluster = self.cluster
        loose = {"served": 0.5, "processor": 9.0, "memory-mb-per-min": 900.0}
        stages = {"all": {"share": 1.0, "soak-s": 1.0}}
        plan = plan_for(cluster, **{"worse-by": loose, "step-s": 8.0, "stages": stages})
        state = self.folder / "state"
        seen: list[str] = []
        running = asyncio.ensure_future(
            RolloutRunner(
                plan, state, process_starter(cluster), lambda status: seen.append(str(status["why"]))
            ).run()
        )

        async def begun() -> bool:
            return any(record["what"] == "done" for record in read_rows(state))

        await cluster.wait_until(begun, "the first router has been changed", 60.0)
        # the last router has no step in flight yet, and the first one is already changed
        by_hand, *_, still = plan.stages[0].targets
        cluster.pause(still)
        lame_duck = AdminAnswer(AnswerStatus.SUCCEEDED, "lame-duck")
        self.assertEqual(await cluster.call(by_hand, "LAMEDUCK"), lame_duck)

        async def waits() -> bool:
            return any("unreachable" in why and still in why for why in seen)

        await cluster.wait_until(waits, "the router is unreachable, and no step starts", 90.0)
        cluster.resume(still)
        status = await asyncio.wait_for(running, 120.0)
        self.assertEqual((status["way"], status["new"]), ("ended", sorted(cluster.routers)), status)
        await self.end()

    async def test_one_that_cannot_start_is_put_back_and_one_that_says_no_to_some_as_well(self) -> None:
        cluster = self.cluster
        for defect, by, why in (
            ("no-start", 0.0, "replacing the process failed"),
            ("worse", 0.6, "served in time"),
        ):
            with self.subTest(defect):
                plan = plan_for(cluster, **{"step-s": 2.0 if defect == "no-start" else 15.0, "name": defect})
                state = self.folder / defect
                runner = RolloutRunner(plan, state, process_starter(cluster, defect, by))
                status = await asyncio.wait_for(runner.run(), 120.0)
                self.assertEqual((status["way"], status["old"]), ("ended", sorted(cluster.routers)), status)
                self.assertIn(why, status["why"])
                self.assertEqual(
                    await self.labels(Executor(plan, 0)), {name: [OLD_LABEL] for name in cluster.routers}
                )
        await self.end()


class Scenarios(unittest.TestCase):
    def test_every_defect_can_be_put_in(self) -> None:
        from magpieshift.lab.fault_injection.defective_router import DEFECTS

        self.assertEqual({one.defect for one in rollouts.SCENARIOS.values()}, set(DEFECTS))


if __name__ == "__main__":
    unittest.main()
