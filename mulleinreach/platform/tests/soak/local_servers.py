"""HTTP servers of the soak's own process, on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import socket

from aiohttp import web

from mulleinreach.platform.tests.soak.processes import LOCAL

CLEAN_UP_S = 2.0


class LocalServers:
    """Serves applications on ports that the system chooses."""

    def __init__(self) -> None:
        self._runners: list[web.AppRunner] = []

    async def serve(self, app: web.Application, receive_buffer_bytes: int | None = None) -> int:
        """Serve an application; returns its port.

        Parameters
        ==========

        receive_buffer_bytes : how much the system takes of what isn't read; ``None`` for its usual.
        """
        runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
        await runner.setup()
        listener = socket.socket()
        if receive_buffer_bytes is not None:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        listener.bind((LOCAL, 0))
        await web.SockSite(runner, listener).start()
        self._runners.append(runner)
        return listener.getsockname()[1]

    async def close(self) -> None:
        """End all servers, and what they still answer."""
        await asyncio.gather(*(_clean_up(runner) for runner in self._runners))


async def _clean_up(runner: web.AppRunner) -> None:
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(CLEAN_UP_S):
            await runner.cleanup()
