"""Runs one gateway node as a process, until it is told to stop."""

from __future__ import annotations

import asyncio
import signal
import socket
from collections.abc import Callable

from absl import logging

from mulleinreach.common import Clock, Network
from mulleinreach.common.log import write_without_blocking
from mulleinreach.common.loop import SuspendAwareEventLoop
from mulleinreach.gateway.deployment import DeploymentBounds, GatewayIdentity
from mulleinreach.gateway.node import GatewayNode
from mulleinreach.gateway.ports import Ports


def run_process(
    identity: GatewayIdentity,
    bounds: DeploymentBounds,
    make_ports: Callable[[Network], Ports],
    callers: socket.socket | None,
) -> None:
    """Run a node until SIGTERM or SIGINT, then stop it as planned.

    Parameters
    ==========

    make_ports : returns the ports of an adapter; called within the node's event loop.
    callers : listens on the callers' address already; ``None`` if nothing does.
    """
    logging.set_verbosity(logging.INFO)
    write_without_blocking()
    with asyncio.Runner(loop_factory=SuspendAwareEventLoop) as runner:
        runner.run(_run_node(identity, bounds, make_ports, callers))


async def _run_node(
    identity: GatewayIdentity,
    bounds: DeploymentBounds,
    make_ports: Callable[[Network], Ports],
    callers: socket.socket | None,
) -> None:
    network = Network(identity.name)
    ports = make_ports(network)
    node = GatewayNode(identity, bounds, ports, network, Clock(), callers_socket=callers)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    # Settings that a running node uses don't change; a new start reads the others.
    loop.add_signal_handler(signal.SIGHUP, lambda: node.log.event("settings_changed"))
    await node.start()
    await stopped.wait()
    await node.stop()
