"""Runs one gateway node as a process until it receives a stop signal."""

from __future__ import annotations

import asyncio
import signal
import socket

from absl import logging

from mulleinreach.common import Clock, MulleinreachError, Network
from mulleinreach.common.log import install_queued_logging
from mulleinreach.common.loop import SuspendAwareEventLoop
from mulleinreach.gateway.deployment import DeploymentBounds, GatewayIdentity
from mulleinreach.gateway.node import GatewayNode
from mulleinreach.gateway.ports import MakePorts
from mulleinreach.start_refusals import refuse_waiting

EXIT_START_FAILED = 3


def run_process(
    identity: GatewayIdentity,
    bounds: DeploymentBounds,
    make_ports: MakePorts,
    callers: socket.socket | None,
) -> None:
    """Run a node until SIGTERM or SIGINT, then stop it gracefully.

    Parameters
    ==========

    make_ports : creates the adapter's ports; called within the node's event loop.
    callers : a socket that already listens on the callers' address; ``None`` to open one.
    """
    logging.set_verbosity(logging.INFO)
    install_queued_logging()
    with asyncio.Runner(loop_factory=SuspendAwareEventLoop) as runner:
        runner.run(_run_node(identity, bounds, make_ports, callers))


async def _run_node(
    identity: GatewayIdentity,
    bounds: DeploymentBounds,
    make_ports: MakePorts,
    callers: socket.socket | None,
) -> None:
    network = Network(identity.name)
    node = GatewayNode(identity, bounds, make_ports, network, Clock(), callers_socket=callers)
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    # A running node doesn't reload its settings; changes apply at the next start.
    loop.add_signal_handler(signal.SIGHUP, lambda: node.log.event("settings_changed"))
    try:
        await node.start(gives_up=stop_requested.is_set)
    except MulleinreachError as error:
        node.log.event("start_failed", code=error.code, why=error.message)
        if callers is not None and callers.fileno() >= 0:
            refuse_waiting(callers)
        await node.abort()
        raise SystemExit(EXIT_START_FAILED) from error
    await stop_requested.wait()
    await node.stop()
