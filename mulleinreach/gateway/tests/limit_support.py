"""Helpers for tests of upstreams that limit their requests per second."""

from __future__ import annotations

import asyncio
import itertools
import math

from mulleinreach.standins.gateway.dialect import LIMIT
from mulleinreach.standins.gateway.world import GatewayWorld

# The operators' bound on the requests in any window: ``OVERAGE`` times the limit, plus ``SLACK``.
WINDOW_S = 4.0
OVERAGE, SLACK = 1.5, 5
# How soon a limit applies at the node that received it, and at all nodes.
NODE_PROPAGATION_S, SYSTEM_PROPAGATION_S = 0.5, 3.0


def limit_headers(per_s: float) -> dict[str, str]:
    """Return the headers with which an upstream's answers state its limit."""
    return {LIMIT: f"{per_s:g}"}


def max_allowed_requests(per_s: float) -> float:
    """Return the maximum number of requests within a window."""
    return OVERAGE * per_s * WINDOW_S + SLACK


def max_requests_in_window(arrivals: list[float], since: float = -math.inf) -> int:
    """Return the largest number of arrivals in any window that begins at or after ``since``."""
    later = sorted(at for at in arrivals if at >= since)
    return max(
        (sum(first <= at < first + WINDOW_S for at in later) for first in later),
        default=0,
    )


def assert_limit_kept(arrivals: list[float], per_s: float, since: float = -math.inf) -> None:
    """Check that no window from ``since`` on has more arrivals than a limit allows."""
    assert max_requests_in_window(arrivals, since) <= max_allowed_requests(per_s)


def requests_per_s(arrivals: list[float], since: float, until: float) -> float:
    """Return the mean rate of arrivals between two times."""
    return sum(since <= at < until for at in arrivals) / (until - since)


async def request_all_nodes(
    world: GatewayWorld, seconds: float, per_s: float, send
) -> list[object]:
    """Send requests to all nodes in turn at a fixed rate, without waiting for answers.

    Parameters
    ==========

    per_s : the total rate of requests.
    send : sends one request; called with a node's name.

    Returns
    =======

    list
        The answers and the exceptions, in the order of the requests.
    """
    pending = []
    names = itertools.cycle(sorted(world.nodes))
    for _ in range(round(seconds * per_s)):
        name = next(name for name in names if name in world.nodes)
        pending.append(asyncio.ensure_future(send(name)))
        await asyncio.sleep(1 / per_s)
    return list(await asyncio.gather(*pending, return_exceptions=True))
