"""Opens listening sockets, also where an address is still in use for a short time."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Awaitable, Callable

from mulleinreach.common.address import Address
from mulleinreach.common.errors import Code, MulleinreachError

# A process that uses the address may be about to end.
PATIENCE_S = 5.0
RETRY_INTERVAL_S = 0.1


async def listen_when_free(
    address: Address,
    listen: Callable[[], Awaitable[object]],
    gives_up: Callable[[], bool] = lambda: False,
) -> None:
    """Open a listening socket, and try again for ``PATIENCE_S`` if its address is in use.

    Raises :class:`MulleinreachError` if that is in vain, or the address can't be used at all.

    Parameters
    ==========

    listen : opens the socket; raises ``OSError`` if that fails.
    gives_up : whether to try no more before that.
    """
    loop = asyncio.get_running_loop()
    until = loop.time() + PATIENCE_S
    while True:
        try:
            await listen()
            return
        except OSError as error:
            is_over = loop.time() >= until or gives_up()
            if error.errno != errno.EADDRINUSE or is_over:
                message = f"can't listen on {address}: {error.strerror or error}"
                raise MulleinreachError(Code.ADDRESS_UNAVAILABLE, message) from error
        await asyncio.sleep(RETRY_INTERVAL_S)
