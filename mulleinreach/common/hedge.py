"""Asks the same question a second time if the answer takes long."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

Answer = TypeVar("Answer")


async def hedge(
    ask: Callable[[], Awaitable[Answer]],
    ask_again: Callable[[], Awaitable[Answer]],
    delay_s: float,
    is_useful: Callable[[Answer], bool],
) -> Answer:
    """Return the first useful answer, or the last one if none is.

    Parameters
    ==========

    delay_s : how long the first answer may take before the second question is asked.

    Examples
    ========

    >>> async def answer(text, after_s):
    ...     await asyncio.sleep(after_s)
    ...     return text
    >>> asyncio.run(hedge(lambda: answer("late", 60), lambda: answer("b", 0), 0.01, bool))
    'b'
    """
    pending = [asyncio.ensure_future(ask())]
    try:
        done, _ = await asyncio.wait(pending, timeout=delay_s)
        if done:
            return pending[0].result()
        pending.append(asyncio.ensure_future(ask_again()))
        for next_answer in asyncio.as_completed(pending):
            answer = await next_answer
            if is_useful(answer):
                break
        return answer
    finally:
        for question in pending:
            question.cancel()
