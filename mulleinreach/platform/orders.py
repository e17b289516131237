"""Gives orders to replicas and asks them for their reports."""

from __future__ import annotations

import asyncio
import json

import aiohttp

from mulleinreach.gateway.ports import Accepted, NoAnswer, OrderResult, Rejected, Unavailable
from mulleinreach.gateway.upstreams import Upstream
from mulleinreach.platform.upstreams import parse_report

ORDER_TIMEOUT_S = 0.4
EXPECT_INSTANCE = "X-Mulleinreach-Expect-Instance"


class PlatformOrders:
    """Orders over HTTP; each names the incarnation that it is meant for."""

    def __init__(self, session: aiohttp.ClientSession):
        self._session = session

    async def join(
        self, host: Upstream, group: str, epoch: int, model: str, members: list[str]
    ) -> OrderResult:
        """Make the host a member of a group."""
        order = {
            "op": "join",
            "group": group,
            "epoch": epoch,
            "model": model,
            "members": members,
        }
        return await self._order(host, order)

    async def open(self, head: Upstream, group: str, epoch: int) -> OrderResult:
        """Let a group serve."""
        return await self._order(head, {"op": "open", "group": group, "epoch": epoch})

    async def leave(self, host: Upstream, group: str, epoch: int) -> OrderResult:
        """Take the host out of a group at once."""
        return await self._order(host, {"op": "leave", "group": group, "epoch": epoch})

    async def report(self, host: Upstream, timeout_s: float) -> Upstream | Unavailable:
        """Ask the host for its state."""
        url = host.address.url + "/mulleinreach/report"
        headers = {EXPECT_INSTANCE: host.id}
        try:
            async with asyncio.timeout(timeout_s):
                async with self._session.get(url, headers=headers) as response:
                    if response.status != 200:
                        return Unavailable(f"status {response.status}")
                    return parse_report(host, json.loads(await response.read()))
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return Unavailable(f"{type(error).__name__}: {error}")
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            return Unavailable(f"a report of another shape: {error!r}")

    async def _order(self, host: Upstream, order: dict) -> OrderResult:
        url = host.address.url + "/mulleinreach/order"
        headers = {EXPECT_INSTANCE: host.id}
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                async with self._session.post(url, json=order, headers=headers) as response:
                    if response.status in (200, 202):
                        return Accepted()
                    if response.status >= 500:
                        return NoAnswer(f"status {response.status}")
                    return Rejected(response.status)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return NoAnswer(f"{type(error).__name__}: {error}")
