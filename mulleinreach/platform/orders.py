"""Gives orders to replicas and asks them for their reports."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from http import HTTPStatus

import aiohttp

from mulleinreach.common.checked import CheckError, read_object
from mulleinreach.gateway.ports import (
    Accepted,
    Fenced,
    NoAnswer,
    OrderResult,
    Rejected,
    Unavailable,
)
from mulleinreach.gateway.upstream import Notice, Upstream, upstream_name
from mulleinreach.platform.notices import read_notice
from mulleinreach.platform.rows import parse_report

ORDER_TIMEOUT_S = 0.4
EXPECT_INSTANCE = "X-Mulleinreach-Expect-Instance"


class PlatformOrders:
    """Orders over HTTP; each names the incarnation that it is meant for.

    Parameters
    ==========

    sends_token : whether the engines here look at the fencing token of orders.
    """

    def __init__(self, session: aiohttp.ClientSession, sends_token: bool):
        self._session = session
        self._sends_token = sends_token
        self._on_notice: Callable[[Upstream, Notice], None] = lambda host, notice: None

    def listen(self, on_notice: Callable[[Upstream, Notice], None]) -> None:
        """Have what hosts say of themselves in their answers told, too."""
        self._on_notice = on_notice

    async def join(
        self,
        host: Upstream,
        group: str,
        epoch: int,
        model: str,
        members: list[str],
        token: int,
    ) -> OrderResult:
        """Make the host a member of a group."""
        order = {
            "op": "join",
            "group": group,
            "epoch": epoch,
            "model": model,
            "members": [upstream_name(member) for member in members],
        }
        return await self._order(host, order, token)

    async def open(self, head: Upstream, group: str, epoch: int, token: int) -> OrderResult:
        """Let a group serve."""
        return await self._order(head, {"op": "open", "group": group, "epoch": epoch}, token)

    async def leave(self, host: Upstream, group: str, epoch: int, token: int) -> OrderResult:
        """Take the host out of a group at once."""
        return await self._order(host, {"op": "leave", "group": group, "epoch": epoch}, token)

    async def stage(self, host: Upstream, model: str, token: int) -> OrderResult:
        """Make the host load a model's weights beside what it does."""
        return await self._order(host, {"op": "stage", "model": model}, token)

    async def report(self, host: Upstream, timeout_s: float) -> Upstream | Unavailable:
        """Ask the host for its state."""
        url = host.address.url + "/mulleinreach/report"
        headers = {EXPECT_INSTANCE: upstream_name(host.id)}
        try:
            async with asyncio.timeout(timeout_s):
                async with self._session.get(url, headers=headers) as response:
                    self._on_notice(host, read_notice(response.status, response.headers))
                    if response.status != 200:
                        return Unavailable(f"status {response.status}")
                    return parse_report(host, read_object(await response.read()))
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return Unavailable(f"{type(error).__name__}: {error}")
        except CheckError as error:
            return Unavailable(f"a report that is none: {error}")

    async def _order(self, host: Upstream, order: dict, token: int) -> OrderResult:
        if self._sends_token:
            order = {**order, "fence": token}
        url = host.address.url + "/mulleinreach/order"
        headers = {EXPECT_INSTANCE: upstream_name(host.id)}
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                async with self._session.post(url, json=order, headers=headers) as response:
                    self._on_notice(host, read_notice(response.status, response.headers))
                    if response.status in (200, 202):
                        return Accepted()
                    if response.status == HTTPStatus.PRECONDITION_FAILED and self._sends_token:
                        # A join is refused so for its epoch too. Epochs rise with the
                        # token, so that also shows an order of a later coordinator.
                        return Fenced()
                    if response.status >= 500:
                        return NoAnswer(f"status {response.status}")
                    return Rejected(response.status)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return NoAnswer(f"{type(error).__name__}: {error}")
