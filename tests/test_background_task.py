"""Tasks that run for the life of their owner are started again after an error, and the error is logged."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from magpieshift.background_task import BackgroundTask, log_failure, run_until_first_ends

WAIT_TIMEOUT_S = 20.0
LOGGER = "magpieshift.background_task"
RESTART_DELAY = f"{LOGGER}.RESTART_DELAY_S"


class BackgroundTasks(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.runs = 0
        self.is_done = asyncio.Event()

    async def run_failing(self, error: BaseException) -> list[str]:
        """Run work that fails twice with this error and then returns; returns the logged lines."""

        async def work() -> None:
            self.runs += 1
            if self.runs <= 2:
                raise error

        task = BackgroundTask("example", work)
        with (
            mock.patch(RESTART_DELAY, 0.0),
            self.assertLogs(LOGGER, "ERROR") as logged,
        ):
            task.start()
            await asyncio.wait_for(task.wait(), WAIT_TIMEOUT_S)
        self.assertFalse(task.is_running)
        return logged.output

    async def test_work_that_fails_is_logged_and_started_again(self) -> None:
        self.assertEqual(len(await self.run_failing(ZeroDivisionError())), 2)
        self.assertEqual(self.runs, 3)

    async def test_a_cancelled_wait_inside_the_work_does_not_end_it(self) -> None:
        self.assertEqual(len(await self.run_failing(asyncio.CancelledError())), 2)
        self.assertEqual(self.runs, 3)

    async def test_cancelled_work_ends(self) -> None:
        async def work() -> None:
            self.runs += 1
            await asyncio.Event().wait()

        task = BackgroundTask("example", work)
        task.cancel()  # not started yet: no effect
        task.start()
        await asyncio.sleep(0)
        self.assertTrue(task.is_running)
        task.cancel()
        await asyncio.wait_for(task.wait(), WAIT_TIMEOUT_S)
        self.assertEqual((self.runs, task.is_running), (1, False))

    async def test_a_task_is_cancelled_while_it_waits_to_start_again(self) -> None:
        async def work() -> None:
            self.is_done.set()
            raise ZeroDivisionError

        task = BackgroundTask("example", work)
        with (
            mock.patch(RESTART_DELAY, WAIT_TIMEOUT_S),
            self.assertLogs(LOGGER, "ERROR"),
        ):
            task.start()
            await asyncio.wait_for(self.is_done.wait(), WAIT_TIMEOUT_S)
            await asyncio.sleep(0)
        task.cancel()
        await asyncio.wait_for(task.wait(), WAIT_TIMEOUT_S)
        self.assertFalse(task.is_running)

    async def test_the_error_of_a_task_that_is_not_started_again_is_logged(self) -> None:
        async def fail() -> None:
            raise ZeroDivisionError

        async def wait_forever() -> None:
            await asyncio.Event().wait()

        failed, cancelled = asyncio.ensure_future(fail()), asyncio.ensure_future(wait_forever())
        for task in (failed, cancelled):
            task.add_done_callback(log_failure("example"))
        with self.assertLogs(LOGGER, "ERROR") as logged:
            cancelled.cancel()
            await asyncio.wait([failed, cancelled])
            await asyncio.sleep(0)
        self.assertEqual(len(logged.output), 1)

    async def test_the_first_work_to_end_ends_the_others_and_its_error_is_raised(self) -> None:
        ends = []

        async def wait_forever() -> None:
            try:
                await asyncio.Event().wait()
            finally:
                ends.append("waiting")

        async def fail() -> None:
            raise ZeroDivisionError

        async def return_at_once() -> None:
            return None

        with self.assertRaises(ZeroDivisionError):
            await asyncio.wait_for(run_until_first_ends(wait_forever(), fail()), WAIT_TIMEOUT_S)
        await asyncio.wait_for(run_until_first_ends(return_at_once(), wait_forever()), WAIT_TIMEOUT_S)
        self.assertEqual(ends, ["waiting", "waiting"])


if __name__ == "__main__":
    unittest.main()
