"""One gateway node on the users' platform, from its settings to its planned stop."""

from __future__ import annotations

import asyncio
import signal
import socket
import sys

from absl import logging

from mulleinreach.common import Clock, Network
from mulleinreach.common.log import write_without_blocking
from mulleinreach.common.loop import SuspendAwareEventLoop
from mulleinreach.gateway.node import GatewayNode
from mulleinreach.gateway.ports import Ports
from mulleinreach.platform.dialect import PlatformDialect
from mulleinreach.platform.early import SETTINGS_VARIABLE
from mulleinreach.platform.orders import PlatformOrders
from mulleinreach.platform.settings import PlatformSettings, SettingsError, read_settings
from mulleinreach.platform.sources import (
    PlatformConfigurations,
    PlatformLease,
    PlatformUpstreams,
)
from mulleinreach.platform.store import PlatformStore

EXIT_BAD_SETTINGS = 2


def make_ports(settings: PlatformSettings, network: Network) -> Ports:
    """Return the gateway's ports on the platform's services."""
    store = PlatformStore(network.http_client, settings.store)
    return Ports(
        configurations=PlatformConfigurations(store),
        upstreams=PlatformUpstreams(store),
        lease=PlatformLease(store),
        orders=PlatformOrders(network.http_client(), settings.engines_check_token),
        dialect=PlatformDialect(),
    )


async def run_node(settings: PlatformSettings, callers: socket.socket | None) -> None:
    """Run a node until it gets SIGTERM or SIGINT, then stop as planned."""
    network = Network(settings.identity.name)
    node = GatewayNode(
        settings.identity,
        settings.bounds,
        make_ports(settings, network),
        network,
        Clock(),
        callers_socket=callers,
    )
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    # Settings that a running node uses don't change; a new start reads the others.
    loop.add_signal_handler(signal.SIGHUP, lambda: node.log.event("settings_changed"))
    await node.start()
    await stopped.wait()
    await node.stop()


def run(settings_path: str, callers: socket.socket | None) -> None:
    """Read the settings and run the node.

    Parameters
    ==========

    callers : listens on the callers' address already; ``None`` if nothing does.
    """
    logging.set_verbosity(logging.INFO)
    write_without_blocking()
    try:
        settings = read_settings(settings_path)
    except SettingsError as error:
        print(f"{SETTINGS_VARIABLE}: {error}", file=sys.stderr)
        raise SystemExit(EXIT_BAD_SETTINGS) from error
    with asyncio.Runner(loop_factory=SuspendAwareEventLoop) as runner:
        runner.run(run_node(settings, callers))
