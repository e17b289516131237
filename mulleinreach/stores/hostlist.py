"""Client of the platform's host list: the state of each host, with some delay."""

from __future__ import annotations

import asyncio
import enum
from dataclasses import dataclass

import aiohttp

from mulleinreach.common.address import Address

REQUEST_TIMEOUT_S = 2.0


class HostState(enum.StrEnum):
    """State of a host in the list; ``GONE`` means that its processes have ended."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class HostKind(enum.StrEnum):
    """Kind of software that runs on a host."""

    ENGINE = "engine"
    PLAIN = "plain"
    ENTRY = "entry"


@dataclass(frozen=True)
class Host:
    """One host of the list.

    Parameters
    ==========

    name : unique and stable.
    address : ``ip:port`` of its upstream or node.
    domain : fabric domain; empty if the host has none.
    service : name of the plain service on the host; empty for other kinds.
    """

    name: str
    address: str
    kind: HostKind
    hall: str
    state: HostState = HostState.LIVE
    domain: str = ""
    rack: str = ""
    service: str = ""


class HostListClient:
    """Reads ``GET /hosts``."""

    def __init__(self, session: aiohttp.ClientSession, address: Address):
        self._session = session
        self._url = address.url

    async def read(self) -> list[Host] | None:
        """Return the hosts, or ``None`` if the request failed or the response is malformed."""
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                async with self._session.get(self._url + "/hosts") as response:
                    if response.status != 200:
                        return None
                    answer = await response.json()
                    return [_parse_host(host) for host in answer["hosts"]]
        except (aiohttp.ClientError, TimeoutError, ValueError, KeyError, TypeError, OSError):
            return None


def _parse_host(fields: dict) -> Host:
    typed = dict(fields)
    typed["kind"] = HostKind(fields["kind"])
    typed["state"] = HostState(fields["state"])
    return Host(**typed)


class HostDirectory:
    """The latest host list; it is kept while the service is unavailable.

    Explanation
    ===========

    A host counts as gone once it has been missing from ``GONE_AFTER_READS``
    consecutive lists, so that one incomplete response doesn't free a host.
    """

    GONE_AFTER_READS = 3

    def __init__(self) -> None:
        self._hosts: dict[str, Host] = {}
        self._missing: dict[str, int] = {}
        self.reads = 0

    def update(self, hosts: list[Host]) -> None:
        """Apply a newly read list."""
        fresh = {host.name: host for host in hosts}
        for name in list(self._hosts):
            if name in fresh:
                self._missing.pop(name, None)
            else:
                self._record_missing(name)
        self._hosts.update(fresh)
        self.reads += 1

    def _record_missing(self, name: str) -> None:
        self._missing[name] = self._missing.get(name, 0) + 1
        if self._missing[name] >= self.GONE_AFTER_READS:
            host = self._hosts[name]
            self._hosts[name] = Host(**{**host.__dict__, "state": HostState.GONE})

    @property
    def was_read(self) -> bool:
        """Whether enough lists were read to conclude that a host is not listed."""
        return self.reads >= self.GONE_AFTER_READS

    def get(self, name: str) -> Host | None:
        """Return the host ``name``, or ``None`` if it was never listed."""
        return self._hosts.get(name)

    def is_gone(self, name: str) -> bool:
        """Whether the host is gone: its processes have ended."""
        host = self._hosts.get(name)
        if host is None:
            return False
        return host.state is HostState.GONE

    def of_kind(self, kind: HostKind) -> list[Host]:
        """Return the hosts of a kind, except gone ones, sorted by name."""
        hosts = [h for h in self._hosts.values() if h.kind is kind]
        return sorted((h for h in hosts if h.state is not HostState.GONE), key=lambda h: h.name)

    def live_plain_hosts(self, service: str) -> list[Host]:
        """Return the live hosts of a plain service; leaving hosts get no new requests."""
        hosts = self.of_kind(HostKind.PLAIN)
        return [h for h in hosts if h.service == service and h.state is HostState.LIVE]
