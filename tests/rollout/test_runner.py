"""One run of a coordinator whose step in flight ends by an unexpected error."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from magpieshift.rollout.instructions import ReplaceProcess
from magpieshift.rollout.runner import _Run
from tests.rollout.coordinator_harness import make_plan

WAIT_TIMEOUT_S = 20.0


class StepThatCannotBeRecorded(unittest.IsolatedAsyncioTestCase):
    async def test_an_unexpected_error_after_a_step_ends_the_run(self) -> None:
        """Guards against a coordinator that waits forever for a step whose task has ended unseen."""
        coordinator = mock.Mock(plan=make_plan())
        coordinator.step_finished.side_effect = ZeroDivisionError("raised by the test")
        run = _Run(coordinator, mock.AsyncMock(), mock.Mock(), mock.Mock(), mock.Mock())
        with self.assertLogs("magpieshift.rollout.runner", "ERROR"):
            await run._execute([ReplaceProcess(1, "r1", "v7")])
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                while not coordinator.supersede.called:
                    await asyncio.sleep(0.001)
        coordinator.supersede.assert_called_once_with("ZeroDivisionError: raised by the test")


if __name__ == "__main__":
    unittest.main()
