"""A set of background tasks that is ended together."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine

from absl import logging


class TaskGroup:
    """Background tasks of one owner; a task that fails is logged, never lost.

    See Also
    ========

    asyncio.TaskGroup : cancels its siblings when one fails, which a daemon must not.
    """

    def __init__(self) -> None:
        # A dict keeps the order of starting, so that a run can be repeated.
        self._tasks: dict[asyncio.Task, None] = {}

    def spawn(self, coroutine: Coroutine) -> asyncio.Task:
        """Run ``coroutine`` until it ends or the group is closed."""
        task = asyncio.create_task(coroutine)
        self._tasks[task] = None
        task.add_done_callback(self._finished)
        return task

    def _finished(self, task: asyncio.Task) -> None:
        self._tasks.pop(task, None)
        if not task.cancelled() and task.exception() is not None:
            logging.error("event=task_failed error=%r", task.exception(), exc_info=task.exception())

    async def close(self) -> None:
        """Cancel every task and wait until all have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def run_periodically(interval_s: float, action: Callable[[], Awaitable[object]]) -> None:
    """Call ``action`` for ever, pausing ``interval_s`` seconds after each call.

    Explanation
    ===========

    A call that fails is logged and the next one is made: one bad row or answer
    must not end a duty for the rest of a node's life.
    """
    while True:
        try:
            await action()
        except Exception as error:
            logging.error("event=round_failed error=%r", error, exc_info=error)
        await asyncio.sleep(interval_s)
