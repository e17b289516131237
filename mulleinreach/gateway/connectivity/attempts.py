"""Makes several attempts at one connection, each a little later than the one before."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from mulleinreach.gateway.connectivity.connector import UpstreamConnection

Attempt = Callable[[], Awaitable[UpstreamConnection]]


async def open_first(attempts: Sequence[Attempt], delay_s: float) -> UpstreamConnection:
    """Return the first connection that one of several attempts opens.

    Explanation
    ===========

    An attempt begins when the one before has failed, or has taken ``delay_s`` seconds, as for
    clients of hosts with several addresses [1]_. Other connections that open are closed.

    Raises
    ======

    OSError : the error of the first attempt that failed, if all fail.

    References
    ==========

    .. [1] RFC 8305, "Happy Eyeballs Version 2", section 5.
    """
    waiting = list(attempts)
    running: set[asyncio.Task] = set()
    errors: list[OSError] = []
    opened: UpstreamConnection | None = None
    try:
        while opened is None and (waiting or running):
            if waiting:
                running.add(asyncio.ensure_future(waiting.pop(0)()))
            timeout_s = delay_s if waiting else None
            done, running = await asyncio.wait(
                running, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
            )
            for attempt in done:
                opened = _result(attempt, errors, opened)
    finally:
        await _cancel(running)
    if opened is None:
        raise errors[0]
    return opened


def _result(
    attempt: asyncio.Task, errors: list[OSError], opened: UpstreamConnection | None
) -> UpstreamConnection | None:
    """Return the connection to use after an attempt has ended."""
    try:
        connection = attempt.result()
    except OSError as error:
        errors.append(error)
        return opened
    if opened is None:
        return connection
    connection.transport.close()
    return opened


async def _cancel(attempts: set[asyncio.Task]) -> None:
    for attempt in attempts:
        attempt.cancel()
    for result in await asyncio.gather(*attempts, return_exceptions=True):
        if not isinstance(result, BaseException):
            result.transport.close()
