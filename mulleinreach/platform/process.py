"""Runs one gateway node on the users' platform."""

from __future__ import annotations

import socket
import sys
from functools import partial

from mulleinreach.common import Network
from mulleinreach.common.fields import SettingsError
from mulleinreach.gateway.ports import Ports
from mulleinreach.gateway.process import run_process
from mulleinreach.platform.dialect import PlatformDialect
from mulleinreach.platform.early import SETTINGS_VARIABLE
from mulleinreach.platform.orders import PlatformOrders
from mulleinreach.platform.settings import PlatformSettings, read_settings
from mulleinreach.platform.sources import (
    PlatformConfigurations,
    PlatformLease,
    PlatformUpstreams,
)
from mulleinreach.platform.store import PlatformStore
from mulleinreach.start_refusals import refuse_waiting

EXIT_BAD_SETTINGS = 2


def make_ports(settings: PlatformSettings, network: Network) -> Ports:
    """Return the gateway's ports, implemented by the platform's services."""
    store = PlatformStore(network.http_client, settings.store)
    return Ports(
        configurations=PlatformConfigurations(store),
        upstreams=PlatformUpstreams(store),
        lease=PlatformLease(store),
        orders=PlatformOrders(network.http_client, settings.engines_check_token),
        dialect=PlatformDialect(),
    )


def run(settings_path: str, listener: socket.socket | None) -> None:
    """Read the settings and run the node.

    Parameters
    ==========

    listener : socket that already listens on the callers' address, if there is one.
    """
    try:
        settings = read_settings(settings_path)
    except SettingsError as error:
        print(f"{SETTINGS_VARIABLE}: {error}", file=sys.stderr)
        if listener is not None:
            refuse_waiting(listener)
        raise SystemExit(EXIT_BAD_SETTINGS) from error
    run_process(settings.identity, settings.bounds, partial(make_ports, settings), listener)
