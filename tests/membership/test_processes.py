"""Membership of eight real router processes under load, with injected faults.

All waits are for events, with generous time limits; the tests assert invariants, never speeds.
"""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from magpieshift.admin.answer import AdminAnswer, AnswerStatus
from magpieshift.control.errors import UnusableDocumentError
from magpieshift.lab.fault_injection import scenario
from magpieshift.lab.fault_injection.built_in_scenarios import BUILT_IN_SCENARIOS
from magpieshift.lab.fault_injection.cluster import Cluster
from magpieshift.lab.fault_injection.link_faults import ANY_ROUTER, LinkFault

ROUTERS = 8


class MembershipProcessesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)  # debug mode slows all emulators down by half
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.cluster = await self.enterAsyncContext(
            Cluster(Path(self.folder.name), ROUTERS, requests_per_s=15.0, slack_s=1.0)
        )
        self.names = list(self.cluster.routers)

    async def other_views(self, excluded: str) -> list[dict[str, object]]:
        views = await self.cluster.membership_views(
            [n for n in self.names if n != excluded and self.cluster.routers[n].alive]
        )
        return list(views.values())

    async def wait_for_state(self, member_name: str, expected_state: str) -> None:
        async def is_reached() -> bool:
            views = await self.other_views(member_name)
            return bool(views) and all(
                self.cluster.member_state(view, member_name) == expected_state for view in views
            )

        await self.cluster.wait_until(
            is_reached, f"all other routers see {member_name} as {expected_state}", 60.0
        )

    async def wait_for_own_state(self, member_name: str, state: str) -> None:
        """Wait until all others see this lifecycle state in its record, and see it as alive."""

        async def is_reached() -> bool:
            rows = [row for view in await self.other_views(member_name) for row in view["members"]]  # type: ignore[attr-defined]
            seen = {(row["state"], row["standing"]) for row in rows if row["name"] == member_name}
            return seen == {(state, "alive")}

        await self.cluster.wait_until(
            is_reached, f"all other routers see the lifecycle state {state} of {member_name}", 60.0
        )

    async def wait_for_agreement(self) -> None:
        await self.cluster.wait_until(
            lambda: self.cluster.views_agree(), "all views agree, with all live routers present", 60.0
        )

    async def declared_dead(self) -> set[str]:
        """The routers that any router ever declared dead, according to the logs."""
        found = set()
        for log in Path(self.folder.name).glob("*.log"):
            for line in log.read_text(errors="replace").splitlines():
                if ' event="member state changed" ' in line and " after=gone " in line:
                    found.add(line.partition(" name=")[2].split()[0])
        return found

    async def test_views_agree_after_each_fault_under_load(self) -> None:
        cluster, names = self.cluster, self.names
        await cluster.start(*names)
        await cluster.wait_until_serving(*names)
        await self.wait_for_agreement()
        cluster.start_load()

        with self.subTest("one router is paused, then three at once"):
            for paused in (["r1"], ["r4", "r5", "r6"]):
                for name in paused:
                    cluster.pause(name)
                for name in paused:
                    await self.wait_for_state(name, "suspected") if len(paused) == 1 else None
                for name in paused:
                    cluster.resume(name)
                await self.wait_for_agreement()
            self.assertEqual(await self.declared_dead(), set())

        with self.subTest("all routers are paused, half a second apart, while 20% of datagrams are lost"):
            cluster.network.add_fault("lossy", ANY_ROUTER, ANY_ROUTER, LinkFault(loss_fraction=0.2))

            async def pause_briefly(number: int, name: str) -> None:
                await asyncio.sleep(number / 2)
                cluster.pause(name)
                await asyncio.sleep(4.0)
                cluster.resume(name)

            await asyncio.gather(*(pause_briefly(number, name) for number, name in enumerate(names)))
            cluster.network.remove_fault("lossy")
            await self.wait_for_agreement()
            self.assertEqual(await self.declared_dead(), set())

        with self.subTest("one router enters lame duck and rejoins, another is replaced"):
            self.assertEqual(
                await cluster.call("r3", "LAMEDUCK"), AdminAnswer(AnswerStatus.SUCCEEDED, "lame-duck")
            )
            await self.wait_for_own_state("r3", "lame-duck")
            self.assertEqual(
                await cluster.call("r3", "REJOIN"), AdminAnswer(AnswerStatus.SUCCEEDED, "serving")
            )
            await cluster.replace("r1")
            await self.wait_for_own_state("r3", "serving")
            await self.wait_for_agreement()
            self.assertEqual(await self.declared_dead(), set())

        with self.subTest("one router's datagrams are all lost, while it receives those of the others"):
            cluster.network.add_fault("r2 sends nothing", "r2", ANY_ROUTER, LinkFault(cut=True))
            await self.wait_for_state("r2", "gone")
            self.assertEqual(await self.declared_dead(), {"r2"})
            cluster.network.remove_fault("r2 sends nothing")
            await self.wait_for_agreement()

        with self.subTest("one router receives no datagrams, while the others receive its datagrams"):
            cluster.network.add_fault("r3 receives nothing", ANY_ROUTER, "r3", LinkFault(cut=True))

            async def is_isolated() -> bool:
                view = await cluster.membership_view("r3")
                return view is not None and view["isolated"]

            await cluster.wait_until(is_isolated, "r3 reports that it is isolated")
            cluster.network.remove_fault("r3 receives nothing")
            await self.wait_for_agreement()
            self.assertEqual(await self.declared_dead(), {"r2"})

        with self.subTest("one router receives no datagrams from three others, while another dies"):
            for name in names[:3]:
                cluster.network.add_fault("r4 receives half", name, "r4", LinkFault(cut=True))
            cluster.kill("r6")
            await cluster.wait_for_exit("r6")
            await self.wait_for_state("r6", "gone")
            self.assertEqual(await self.declared_dead(), {"r2", "r6"})

        with self.subTest("a partition into halves while quotas grow, with a leave in one half"):
            cluster.network.remove_fault("r4 receives half")
            half = names[:4]
            for a in names:
                for b in names:
                    if (a in half) != (b in half):
                        cluster.network.add_fault("halves", a, b, LinkFault(cut=True))

            async def is_partitioned() -> bool:
                views = await cluster.membership_views()
                return all(len(cluster.present_members(view)) <= ROUTERS // 2 for view in views.values())

            await cluster.stop("r7")
            await cluster.wait_until(is_partitioned, "each half sees only its own members", 60.0)
            cluster.network.remove_fault("halves")
            await self.wait_for_agreement()

        with self.subTest("four more routers are killed at once, and all are restarted under their names"):
            killed = names[2:6]
            before = await cluster.membership_view("r0")
            assert before is not None
            old = {row["name"]: row["incarnation"] for row in before["members"]}
            for name in killed:
                cluster.kill(name)
            await cluster.wait_for_exit(*killed)
            await cluster.start("r6", "r7", *killed)
            await cluster.wait_until_serving("r6", "r7", *killed)
            await self.wait_for_agreement()
            after = await cluster.membership_view("r0")
            assert after is not None
            for row in after["members"]:
                if row["name"] in killed:
                    self.assertGreater(row["incarnation"], old[row["name"]])

        request_counts = await cluster.finish()
        self.assertEqual((cluster.violations, cluster.unexpected_exits), ([], []))
        self.assertEqual((request_counts["lost"], request_counts["doubles"]), (0, 0))
        self.assertGreater(request_counts["served"], 100)
        await cluster.close()
        self.assertEqual(cluster.left_running(), 0)


class JoinProcessesTest(unittest.IsolatedAsyncioTestCase):
    async def test_sixteen_start_while_their_one_seed_is_down_and_one_is_paused_as_it_joins(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        with tempfile.TemporaryDirectory() as folder:
            async with Cluster(Path(folder), 16, requests_per_s=3.0, slack_s=1.0, seed_count=1) as cluster:
                first, *rest = cluster.routers
                began = asyncio.get_running_loop().time()
                await cluster.start(*rest)
                await cluster.wait_until_serving(*rest)
                cluster.start_load()
                await asyncio.sleep(max(0.0, began + 10.0 - asyncio.get_running_loop().time()))
                views = await cluster.membership_views()
                self.assertEqual({len(cluster.present_members(view)) for view in views.values()}, {1})
                self.assertLessEqual(sum(view["share"] for view in views.values()), 0.5)
                await cluster.start(first)
                await cluster.wait_until_serving(first)

                async def joining() -> bool:
                    view = await cluster.membership_view(rest[-1])
                    return view is not None and len(cluster.present_members(view)) > 1

                await cluster.wait_until(joining, "the last router has begun to join", 60.0)
                cluster.pause(rest[-1])
                running_routers = [first, *rest[:-1]]

                async def others_see_each_other() -> bool:
                    views = await cluster.membership_views(running_routers)
                    return all(
                        set(running_routers) <= set(cluster.present_members(view)) for view in views.values()
                    )

                await cluster.wait_until(others_see_each_other, "the other routers see each other", 60.0)
                cluster.resume(rest[-1])
                await cluster.wait_until(lambda: cluster.views_agree(), "all views agree", 60.0)
                request_counts = await cluster.finish()
                self.assertEqual(
                    (cluster.violations, cluster.unexpected_exits, request_counts["lost"]), ([], [], 0)
                )
                self.assertNotIn("after=gone", "".join(p.read_text() for p in Path(folder).glob("*.log")))
            self.assertEqual(cluster.left_running(), 0)


class ReplacementProcessesTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_failed_replacement_leaves_no_process_running(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            async with Cluster(Path(folder), 2) as cluster:
                await cluster.start("r1")
                await cluster.wait_until_serving("r1")
                # Invalid settings: the new process cannot start.
                (Path(folder) / "r1.sexp").write_text("(edge-router")
                with self.assertRaises(AssertionError):
                    await cluster.replace("r1", 3.0)
                self.assertEqual(cluster.left_running(), 1)
            self.assertEqual(cluster.left_running(), 0)


class FleetRunCommandTest(unittest.TestCase):
    def test_a_short_fleet_run_writes_the_files_to_repeat_it(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            arguments = ["lab", "fleet-run", "quiet", "--routers", "2", "--seed", "3", "--folder", folder]
            done = subprocess.run(
                [sys.executable, "-m", "magpieshift", *arguments, "--json"],
                capture_output=True,
                text=True,
                timeout=120,
            )
            self.assertEqual(done.returncode, 0, done.stderr + done.stdout)
            verdict = json.loads(done.stdout.splitlines()[-1])
            for key in ("routers", "asked", "served", "lost", "rules_broken", "faults", "left_running"):
                self.assertIn(key, verdict)
            self.assertEqual((verdict["routers"], verdict["lost"], verdict["left_running"]), (2, 0, 0))
            file_names = {path.name for path in Path(folder).iterdir()}
            repeated = scenario.load_file(str(Path(folder) / "scenario.sexp"))
            self.assertEqual((repeated.duration_s, repeated.routers, repeated.seed), (10, 2, 3))
            self.assertLessEqual({"scenario.json", "verdict.json", "r0.sexp", "r0.1.log"}, file_names)

    def test_every_built_in_scenario_is_unchanged_after_writing_and_reading(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            for name, data in BUILT_IN_SCENARIOS.items():
                with self.subTest(name):
                    run, path = scenario.load(data), Path(folder) / "scenario.sexp"
                    path.write_text(scenario.format_scenario(run))
                    self.assertEqual(scenario.load_file(str(path)), run)

    def test_all_mistakes_of_a_scenario_are_reported(self) -> None:
        with self.assertRaises(UnusableDocumentError) as raised:
            scenario.load(
                {
                    "seconds": 5,
                    "routers": 3,
                    "faults": {
                        "a": {"what": "pause", "who": "r7", "at-s": 1},
                        "b": {"what": "cut", "source": "rx", "at-s": 1},
                    },
                }
            )
        self.assertEqual(len(raised.exception.problems), 2)
        with self.assertRaises(UnusableDocumentError):
            scenario.load({"seconds": 5, "faults": {"a": {"what": "burn", "at-s": 1}}})


if __name__ == "__main__":
    unittest.main()
