"""Several real routers that tell each other of failing stores, with what can go wrong with that put between
them."""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from pathlib import Path

from magpieshift.lab.proving.ground import Ground
from magpieshift.lab.proving.ways import ROUTERS as ALL

ROUTERS = 6
TRIERS = 2


class Talk(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.ground = await self.enterAsyncContext(
            Ground(Path(folder.name), ROUTERS, rate=20.0, slack_s=1.0, boxes=3, hubs=2, digests=True)
        )
        self.names = list(self.ground.places)

    async def left(self) -> dict[str, list[str]]:
        """Which stores each router that answers leaves to others."""
        told = await asyncio.gather(*(self.ground.talk(name) for name in self.names))
        return {name: said["left"] for name, said in zip(self.names, told, strict=True) if said}

    async def until_left(self, store: str, least: int, what: str) -> None:
        async def true() -> bool:
            return sum(store in stores for stores in (await self.left()).values()) >= least

        await self.ground.until(true, what, 60.0)

    async def until_none(self, what: str) -> None:
        async def true() -> bool:
            left = await self.left()
            return len(left) == ROUTERS and not any(left.values())

        await self.ground.until(true, what, 60.0)

    async def test_a_dead_parent_is_left_to_a_few_and_lost_digests_are_borne(self) -> None:
        ground, names = self.ground, self.names
        await ground.start(*names)
        await ground.serving(*names)
        await ground.until(lambda: ground.agreed(), "all agree", 60.0)
        ground.load()
        hub = ground.stores.places["hub1"]

        with self.subTest("it dies, and the list says so late"):
            late = asyncio.ensure_future(ground.stores.fail("late-list", for_s=20.0))
            death = asyncio.ensure_future(ground.stores.fail("die", "hub1", 15.0))
            await self.until_left(hub.ident, 2, "routers leave it to others")
            most = 0
            for _ in range(10):
                left = await self.left()
                most = max(most, sum(hub.ident in stores for stores in left.values()))
                await asyncio.sleep(0.2)
            self.assertLessEqual(most, ROUTERS - TRIERS)

        with self.subTest("all digests are lost: each goes by itself, and the news is forgotten"):
            ground.ways.put("mute", ALL, ALL, cut=True)
            await self.until_none("nobody goes by old news")
            ground.ways.heal("mute")
            await asyncio.gather(late, death)

        with self.subTest("it is back, and nobody leaves anything to others"):
            await ground.until(lambda: ground.agreed(), "all agree again", 60.0)
            await self.until_none("all are well")

            async def asked() -> bool:
                return ground.stores.places["hub1"].ident != hub.ident and ground.service() > 0.5

            await ground.until(asked, "it is back and clients are served", 60.0)

        with self.subTest("one that stood still wakes and acts on nothing it had heard"):
            ground.pause("r1")
            await asyncio.sleep(5.0)
            ground.wake("r1")
            await ground.until(lambda: ground.agreed(), "all agree with it", 60.0)
            await self.until_none("nothing is left over")

        counted = await ground.settle()
        self.assertEqual((ground.broken, ground.ended_wrong), ([], []))
        self.assertEqual((counted["lost"], counted["doubles"]), (0, 0))
        await ground.close()
        self.assertEqual(ground.left_running(), 0)


class Relief(unittest.IsolatedAsyncioTestCase):
    async def test_a_starved_router_sends_clients_to_its_neighbours_and_ends(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        with tempfile.TemporaryDirectory() as folder:
            async with Ground(
                Path(folder), 4, rate=25.0, slack_s=1.0, digests=True, hand_over=True
            ) as ground:
                names = list(ground.places)
                await ground.start(*names)
                await ground.serving(*names)
                await ground.until(lambda: ground.agreed(), "all agree", 60.0)
                ground.load(roam=True)
                starving = asyncio.ensure_future(self.starve(ground, "r1"))

                async def handing() -> bool:
                    told = await ground.talk("r1")
                    return told is not None and told["handed"] > 0

                await ground.until(handing, "r1 hands clients over", 60.0)
                told = [await ground.talk(name) for name in names if name != "r1"]
                self.assertEqual([said["over"] for said in told if said], [False] * 3)
                starving.cancel()
                await asyncio.wait([starving])

                async def over() -> bool:
                    told = await ground.talk("r1")
                    return told is not None and not told["over"]

                await ground.until(over, "r1 hands nothing over any more", 60.0)
                told_at_end = await ground.talk("r1")
                assert told_at_end is not None
                self.assertLessEqual(told_at_end["changes"], 2)
                counted = await ground.settle()
                self.assertEqual((ground.broken, ground.ended_wrong), ([], []))
                self.assertEqual((counted["lost"], counted["doubles"]), (0, 0))
            self.assertEqual(ground.left_running(), 0)

    async def starve(self, ground: Ground, name: str) -> None:
        """A quarter of its processor time, in pieces."""
        try:
            while True:
                ground.pause(name)
                await asyncio.sleep(0.3)
                ground.wake(name)
                await asyncio.sleep(0.1)
        finally:
            if ground.places[name].paused:
                ground.wake(name)


if __name__ == "__main__":
    unittest.main()
