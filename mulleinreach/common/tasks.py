"""Groups of background tasks that are cancelled together."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine

from absl import logging

# Pauses before an endless action that ended is run again.
MIN_RESTART_PAUSE_S = 0.1
MAX_RESTART_PAUSE_S = 2.0
# After a longer run the next pause is the shortest one again.
LONG_RUN_S = 10.0


class TaskGroup:
    """Background tasks of one owner; the failure of a task is logged.

    See Also
    ========

    asyncio.TaskGroup : cancels all tasks when one fails, which a daemon must not do.
    """

    def __init__(self) -> None:
        # A dict keeps the order of start, so that tests are deterministic.
        self._tasks: dict[asyncio.Task, None] = {}

    def spawn(self, coroutine: Coroutine) -> asyncio.Task:
        """Run ``coroutine`` as a task until it ends or the group is closed."""
        task = asyncio.create_task(coroutine)
        self._tasks[task] = None
        task.add_done_callback(self._finished)
        return task

    def spawn_forever(self, name: str, action: Callable[[], Awaitable[None]]) -> asyncio.Task:
        """Run an endless ``action`` until the group is closed; see :func:`run_forever`."""
        return self.spawn(run_forever(name, action))

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


async def run_forever(name: str, action: Callable[[], Awaitable[None]]) -> None:
    """Run an endless ``action``, and run it again whenever it ends.

    Explanation
    ===========

    An exception is logged, so that one malformed document can't end a duty for the life of the
    process. The pause before the next run doubles while runs are short.

    Parameters
    ==========

    name : of the action, for log lines.
    """
    loop = asyncio.get_running_loop()
    pause_s = MIN_RESTART_PAUSE_S
    while True:
        started_at = loop.time()
        try:
            await action()
            logging.error("event=task_restarted task=%s error=none", name)
        except Exception as error:
            logging.error("event=task_restarted task=%s error=%r", name, error, exc_info=error)
        if loop.time() - started_at > LONG_RUN_S:
            pause_s = MIN_RESTART_PAUSE_S
        await asyncio.sleep(pause_s)
        pause_s = min(2 * pause_s, MAX_RESTART_PAUSE_S)


async def run_periodically(interval_s: float, action: Callable[[], Awaitable[object]]) -> None:
    """Call ``action`` repeatedly, with a pause of ``interval_s`` seconds after each call.

    Explanation
    ===========

    An exception is logged and doesn't stop the loop, so that one malformed row or
    response can't disable a periodic task.
    """
    while True:
        try:
            await action()
        except Exception as error:
            logging.error("event=round_failed error=%r", error, exc_info=error)
        await asyncio.sleep(interval_s)
