"""Runs requests to plain services: any method, bodies and answers streamed."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass

import aiohttp

from mulleinreach.common import Address, Clock, Code, EventLog, ExecutionStatus, MulleinreachError
from mulleinreach.intents import ServiceIntent
from mulleinreach.requests.budget import RetryBudget
from mulleinreach.requests.journal import RequestJournal, RequestTrace
from mulleinreach.stores import Host, HostDirectory

MAX_ATTEMPTS = 3
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length",
        "authorization",
        "expect",
    }
)
RETRY_AFTER_S = 1.0


@dataclass
class PlainCall:
    """A request to a plain service.

    Parameters
    ==========

    target : the path and query at the upstream.
    body : the whole body, or ``None`` where ``content`` streams it.
    """

    request_id: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes | None
    content: AsyncIterator[bytes] | None
    service: ServiceIntent
    deadline: float
    once_only: bool
    trace: RequestTrace

    @property
    def is_repeatable(self) -> bool:
        """Whether it may be sent again after bytes of it were sent."""
        return not self.once_only and self.body is not None and self.method in IDEMPOTENT_METHODS


class PlainRunner:
    """Sends requests to the hosts of plain services."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        directory: HostDirectory,
        leaving_hosts,
        budget: RetryBudget,
        journal: RequestJournal,
        clock: Clock,
        log: EventLog,
    ):
        self._session = session
        self._directory = directory
        self._leaving_hosts = leaving_hosts
        self._budget = budget
        self._journal = journal
        self._clock = clock
        self._log = log
        self._in_flight: dict[str, int] = {}

    async def open(self, call: PlainCall) -> tuple[aiohttp.ClientResponse, str]:
        """Return the head of the answer and the host; the body is still to be read.

        Raises
        ======

        MulleinreachError
            ``not_run`` only if no byte of the request was sent to any upstream.
        """
        self._budget.earn()
        tried: set[str] = set()
        for attempt in range(1, MAX_ATTEMPTS + 1):
            host = self._choose(call, tried)
            tried.add(host.name)
            self._journal.note(call.trace, f"attempt {attempt} to {host.name}")
            try:
                return await self._send(call, host), host.name
            except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
                self._journal.note(call.trace, f"{host.name} was not reached: {error}")
            except TimeoutError:
                raise self._error(Code.DEADLINE_EXCEEDED, "no answer in time") from None
            except (aiohttp.ClientError, OSError) as error:
                self._journal.note(call.trace, f"{host.name} failed after bytes were sent")
                if not call.is_repeatable or not self._budget.try_spend():
                    raise self._error(Code.UPSTREAM_FAILED, str(error)) from error
        message = f"no host of {call.service.name!r} was reached"
        raise MulleinreachError(Code.NO_REPLICA, message, retry_after_s=RETRY_AFTER_S)

    def _error(self, code: Code, message: str) -> MulleinreachError:
        return MulleinreachError(code, message, ran=ExecutionStatus.UNKNOWN)

    def _choose(self, call: PlainCall, tried: set[str]) -> Host:
        leaving = self._leaving_hosts()
        hosts = [
            host
            for host in self._directory.live_plain_hosts(call.service.name)
            if host.name not in leaving and host.name not in tried
        ]
        if not hosts:
            message = f"no host of {call.service.name!r} is left to try"
            raise MulleinreachError(Code.NO_REPLICA, message, retry_after_s=RETRY_AFTER_S)
        return min(hosts, key=lambda host: (self._in_flight.get(host.name, 0), host.name))

    async def _send(self, call: PlainCall, host: Host) -> aiohttp.ClientResponse:
        self._in_flight[host.name] = self._in_flight.get(host.name, 0) + 1
        url = Address.parse(host.address).url + call.target
        headers = {**call.headers, "x-request-id": call.request_id}
        data = call.body if call.content is None else call.content
        try:
            async with asyncio.timeout_at(call.deadline):
                return await self._session.request(
                    call.method, url, data=data, headers=headers, allow_redirects=False
                )
        except BaseException:
            self.finish(host.name)
            raise

    def finish(self, host: str) -> None:
        """Count a request out whose answer has been read, or given up."""
        self._in_flight[host] -= 1


def filter_hop_headers(headers) -> dict[str, str]:
    """Return the headers that go on to the next hop."""
    return {k: v for k, v in headers.items() if k.lower() not in HOP_BY_HOP_HEADERS}
