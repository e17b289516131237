"""Sends orders to replicas and reads their reports."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from http import HTTPStatus

import aiohttp

from mulleinreach.common.checked import CheckError, read_object
from mulleinreach.common.hedge import hedge
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
# Part of a report's timeout after which the host is asked on a new connection, too.
HEDGE_DELAY_RATIO = 0.4
MAX_REPORT_BYTES = 65_536
EXPECT_INSTANCE = "X-Mulleinreach-Expect-Instance"


class PlatformOrders:
    """Sends orders over HTTP; each names the incarnation of the replica that it is for.

    Parameters
    ==========

    make_session : returns a session that keeps connections, or not if it is given ``False``.
    sends_token : whether the engines check the fencing token of orders.
    """

    def __init__(self, make_session: Callable[..., aiohttp.ClientSession], sends_token: bool):
        self._session, self._fresh_session = make_session(), make_session(False)
        self._sends_token = sends_token
        self._on_notice: Callable[[Upstream, Notice], None] = lambda host, notice: None

    def subscribe(self, on_notice: Callable[[Upstream, Notice], None]) -> None:
        """Call ``on_notice`` for the notice in each response of a host."""
        self._on_notice = on_notice

    async def join(
        self, host: Upstream, group: str, epoch: int, model: str, members: list[str], token: int
    ) -> OrderResult:
        """Make the host a member of a group."""
        order = {"op": "join", "group": group, "epoch": epoch, "model": model}
        order["members"] = [upstream_name(member) for member in members]
        return await self._order(host, order, token)

    async def open(self, head: Upstream, group: str, epoch: int, token: int) -> OrderResult:
        """Make the head of a group start serving."""
        return await self._order(head, {"op": "open", "group": group, "epoch": epoch}, token)

    async def leave(self, host: Upstream, group: str, epoch: int, token: int) -> OrderResult:
        """Remove the host from a group immediately."""
        return await self._order(host, {"op": "leave", "group": group, "epoch": epoch}, token)

    async def stage(self, host: Upstream, model: str, token: int) -> OrderResult:
        """Make the host load a model's weights while it continues its other work."""
        return await self._order(host, {"op": "stage", "model": model}, token)

    async def report(self, host: Upstream, timeout_s: float) -> Upstream | Unavailable:
        """Return the host with the state that it reports.

        A kept connection may have fallen silent while the host answers on new ones.
        """
        try:
            async with asyncio.timeout(timeout_s):
                return await hedge(
                    partial(self._read_report, self._session, host),
                    partial(self._read_report, self._fresh_session, host),
                    timeout_s * HEDGE_DELAY_RATIO,
                    lambda result: not isinstance(result, Unavailable),
                )
        except TimeoutError:
            return Unavailable(f"no answer in {timeout_s:g} s")

    async def _read_report(
        self, session: aiohttp.ClientSession, host: Upstream
    ) -> Upstream | Unavailable:
        url = host.address.url + "/mulleinreach/report"
        headers = {EXPECT_INSTANCE: upstream_name(host.id)}
        try:
            async with session.get(url, headers=headers) as response:
                self._on_notice(host, read_notice(response.status, response.headers))
                if response.status != 200:
                    return Unavailable(f"status {response.status}")
                return parse_report(host, read_object(await response.read(MAX_REPORT_BYTES)))
        except CheckError as error:
            return Unavailable(f"invalid report: {error}")
        except (aiohttp.ClientError, OSError, ValueError, RuntimeError) as error:
            is_refused = isinstance(getattr(error, "os_error", None), ConnectionRefusedError)
            return Unavailable(f"{type(error).__name__}: {error}", is_refused)

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
                        # Also returned for a join with an old epoch. Epochs rise with the
                        # token, so a later coordinator has sent an order in both cases.
                        return Fenced()
                    if response.status >= 500:
                        return NoAnswer(f"status {response.status}")
                    return Rejected(response.status)
        except (aiohttp.ClientError, OSError, ValueError, RuntimeError) as error:
            return NoAnswer(f"{type(error).__name__}: {error}")
