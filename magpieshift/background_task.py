"""Tasks that run for the life of their owner.

An asyncio task that ends by an error says nothing as long as something refers to it: its work is no longer
done, and whatever waits for that work waits forever. Tasks that must not end unseen are therefore run here.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine
from typing import Any

from magpieshift.log import fields

log = logging.getLogger(__name__)

RESTART_DELAY_S = 0.5
"""Delay before a task that failed is started again, so that one that fails at once does not fill the log."""


class BackgroundTask:
    """Runs a coroutine function until it returns or is cancelled; on an error, logs it and starts again."""

    def __init__(self, name: str, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """``name`` appears in the log. ``work`` is called once more after each failure, so what it must not
        lose belongs to its owner."""
        self._name = name
        self._work = work
        self._task: asyncio.Task[None] | None = None

    @property
    def is_running(self) -> bool:
        """Whether the work has been started and has neither returned nor been cancelled."""
        return self._task is not None and not self._task.done()

    def start(self) -> None:
        """Start the work; must be called on the event loop, and not while it runs."""
        self._task = asyncio.ensure_future(self._run())

    def cancel(self) -> None:
        """Cancel the work; has no effect if it does not run."""
        if self._task is not None:
            self._task.cancel()

    async def wait(self) -> None:
        """Wait until the work has returned or is cancelled; raises no error of the work."""
        if self._task is not None:
            await asyncio.wait([self._task])

    async def _run(self) -> None:
        while True:
            try:
                return await self._work()
            except asyncio.CancelledError:
                if _is_cancel_requested():
                    raise
                # something that the work waited for was cancelled, not the work itself
                log.exception("background task failed", extra=fields(task=self._name))
            except Exception:
                log.exception("background task failed", extra=fields(task=self._name))
            await asyncio.sleep(RESTART_DELAY_S)


def log_failure(name: str) -> Callable[[asyncio.Task[Any]], None]:
    """A done callback for tasks that are not started again: logs the error with which the task ended, if any.

    ``name`` appears in the log.
    """

    def log_if_failed(task: asyncio.Task[Any]) -> None:
        """Log the error of a task that has ended."""
        if not task.cancelled() and (error := task.exception()) is not None:
            log.error("background task failed", exc_info=error, extra=fields(task=name))

    return log_if_failed


async def run_until_first_ends(*works: Coroutine[Any, Any, None]) -> None:
    """Run coroutines side by side until one of them ends, then cancel the others.

    Raises the error of the one that has ended. If several have, it is that of the first one given; errors of
    the others are dropped.
    """
    tasks = [asyncio.ensure_future(work) for work in works]
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            if task.done():
                task.result()
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def _is_cancel_requested() -> bool:
    """Whether the current task was asked to end."""
    task = asyncio.current_task()
    return task is None or task.cancelling() > 0
