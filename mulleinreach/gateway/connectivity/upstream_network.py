"""Opens connections to upstreams: directly, or through another node if the direct path is lost."""

from __future__ import annotations

import asyncio
import errno
import random
from collections.abc import Callable, Collection
from functools import partial

import aiohttp

from mulleinreach.common import Address, Clock, EventLog, Network
from mulleinreach.gateway.connectivity.attempts import Attempt, open_first
from mulleinreach.gateway.connectivity.connector import (
    ProtocolFactory,
    UpstreamConnection,
    UpstreamConnector,
)
from mulleinreach.gateway.connectivity.messages import TunnelError, TunnelOutcome, TunnelRequest
from mulleinreach.gateway.connectivity.process_state import (
    PROBE_TIMEOUT_S,
    ProcessState,
    probe_process,
)
from mulleinreach.gateway.connectivity.reachability import ReachabilityTracker
from mulleinreach.gateway.connectivity.tunnel import open_tunnel
from mulleinreach.gateway.connectivity.tunnel_servers import TunnelServers

CONNECT_TIMEOUT_S = 0.35
# They say nothing of the server's paths to other upstreams.
OUTCOMES_OF_ONE_UPSTREAM = frozenset({TunnelOutcome.REFUSED, TunnelOutcome.UNREACHABLE})
# After this time without a connection, another path is tried beside the first one.
ATTEMPT_DELAY_S = 0.1
TUNNELS_PER_CONNECTION = 2
PROBE_INTERVAL_S = 0.25
# Direct connections that are tried in an interval while paths are lost; doubled as long as all of
# them open.
MIN_PROBES = 2


# What another node's attempt to connect to an upstream shows of its process.
_STATES = {
    TunnelOutcome.OPENED: ProcessState.RUNNING,
    TunnelOutcome.UNREACHABLE: ProcessState.UNKNOWN,
    TunnelOutcome.REFUSED: ProcessState.ENDED,
}


class UpstreamNetwork:
    """The connections of a node to upstreams for requests, and the probes of lost paths.

    Explanation
    ===========

    The paths between one node and the upstreams may be lost while other nodes still reach both.
    The node then opens a tunnel, a connection through another node. Whatever is decided, counted or
    limited at a node stays there. Orders take no tunnels: a coordinator gives them to thousands of
    hosts at once.

    Parameters
    ==========

    upstream_addresses : returns the addresses of all listed upstreams.
    secret : returns the secret of the coordinator's lease.
    """

    def __init__(
        self,
        network: Network,
        upstream_addresses: Callable[[], Collection[Address]],
        secret: Callable[[], str],
        clock: Clock,
        log: EventLog,
        rng: random.Random,
    ):
        self._network = network
        self._upstream_addresses = upstream_addresses
        self._secret = secret
        self._rng = rng
        self.reachability = ReachabilityTracker(upstream_addresses, clock, log)
        self.tunnel_servers = TunnelServers(clock, rng)

    def http_client(self, may_tunnel: bool = True) -> aiohttp.ClientSession:
        """Return a client session that opens a new connection for each request.

        Parameters
        ==========

        may_tunnel : whether the requests may pass through another node of this region.
        """
        connector = UpstreamConnector(partial(self.open, may_tunnel=may_tunnel))
        return self._network.http_client_on(connector, CONNECT_TIMEOUT_S)

    def reaches_upstreams(self) -> bool:
        """Whether this node reaches upstreams, directly or through another node."""
        return not self.reachability.is_isolated or bool(self.tunnel_servers.usable())

    async def open(
        self, protocol_factory: ProtocolFactory, address: Address, may_tunnel: bool = True
    ) -> UpstreamConnection:
        """Open a connection to an upstream; raises ``OSError`` if that fails."""
        attempts = self._attempts(protocol_factory, address, may_tunnel)
        connection = await open_first(attempts, ATTEMPT_DELAY_S)
        if connection.is_tunnel:
            self.reachability.note_bypassed(address)
        return connection

    def _attempts(
        self, protocol_factory: ProtocolFactory, address: Address, may_tunnel: bool
    ) -> list[Attempt]:
        """Return the attempts to make at a connection, in order."""
        direct = partial(self._open_directly, protocol_factory, address)
        tunnels = [
            partial(self._open_tunnel, protocol_factory, address, server)
            for server in self.tunnel_servers.choose(TUNNELS_PER_CONNECTION if may_tunnel else 0)
        ]
        if self.reachability.is_isolated:
            if not tunnels and self.reachability.has_failed(address):
                return [partial(_fail, address)]
            return tunnels or [direct]
        if self.reachability.is_bypassed(address):
            return [*tunnels, direct]
        return [direct, *tunnels]

    async def _open_directly(
        self, protocol_factory: ProtocolFactory, address: Address
    ) -> UpstreamConnection:
        began_at = self._now()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                transport, protocol = await self._network.create_connection(
                    protocol_factory, address
                )
        except OSError:
            self.reachability.note_failed(address)
            raise
        except asyncio.CancelledError:
            if self._now() - began_at >= ATTEMPT_DELAY_S:
                self.reachability.note_failed(address)
            raise
        self.reachability.note_connected(address)
        return UpstreamConnection(transport, protocol)

    async def _open_tunnel(
        self, protocol_factory: ProtocolFactory, address: Address, server: Address
    ) -> UpstreamConnection:
        request = TunnelRequest(self._secret(), address)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                return await open_tunnel(self._network, server, request, protocol_factory)
        except TunnelError as error:
            if error.outcome not in OUTCOMES_OF_ONE_UPSTREAM:
                self.tunnel_servers.note_failed(server)
            raise
        except OSError:
            self.tunnel_servers.note_failed(server)
            raise

    async def process_state(self, address: Address) -> ProcessState:
        """Return whether the process of an upstream runs.

        A partition may refuse this node's connections, too, so another node is asked.
        """
        state = await probe_process(self._network, address)
        return await self._state_for_others(address) if state is ProcessState.ENDED else state

    async def _state_for_others(self, address: Address) -> ProcessState:
        """Return what another node finds; if none tells, a refusal counts unless it is isolated."""
        for server in self.tunnel_servers.choose(1):
            outcome = await self._ask_server(server, address)
            if outcome in _STATES:
                return _STATES[outcome]
        is_cut_off = self.reachability.is_isolated
        return ProcessState.UNKNOWN if is_cut_off else ProcessState.ENDED

    async def _ask_server(self, server: Address, address: Address) -> TunnelOutcome | None:
        """Return how another node reaches an upstream, ``None`` if it doesn't tell."""
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                connection = await self._open_tunnel(asyncio.Protocol, address, server)
        except TunnelError as error:
            return error.outcome
        except OSError:
            self.tunnel_servers.note_failed(server)
            return None
        connection.transport.close()
        return TunnelOutcome.OPENED

    async def probe_lost_paths(self) -> None:
        """Try direct connections to upstreams whose paths are lost, until cancelled."""
        count = MIN_PROBES
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            if self.reachability.is_isolated:
                candidates = list(self._upstream_addresses())
            else:
                candidates = self.reachability.bypassed()
            probed = self._rng.sample(candidates, min(count, len(candidates)))
            results = await asyncio.gather(*(self._probe(address) for address in probed))
            count = 2 * count if probed and all(results) else MIN_PROBES

    async def _probe(self, address: Address) -> bool:
        """Try a direct connection; returns whether it was opened."""
        try:
            connection = await self._open_directly(asyncio.Protocol, address)
        except OSError:
            return False
        connection.transport.close()
        return True

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


async def _fail(address: Address) -> UpstreamConnection:
    raise OSError(errno.EHOSTUNREACH, f"no path to {address}")
