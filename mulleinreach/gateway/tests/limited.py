"""Upstreams that name a limit of requests a second, and how many they got."""

from __future__ import annotations

import asyncio
import itertools
import math

from mulleinreach.standins.gateway.dialect import LIMIT
from mulleinreach.standins.gateway.world import GatewayWorld

# The operators' rule: what may come within so many seconds from nodes that know of the limit.
WINDOW_S = 4.0
OVERAGE, SLACK = 1.5, 5
# From when on it binds a node that was told by an answer, and the whole system.
NODE_PROPAGATION_S, SYSTEM_PROPAGATION_S = 0.5, 3.0


def limit_headers(per_s: float) -> dict[str, str]:
    """Return the headers of an upstream's answers that name a limit."""
    return {LIMIT: f"{per_s:g}"}


def max_allowed_requests(per_s: float) -> float:
    """Return how many requests may come within a window."""
    return OVERAGE * per_s * WINDOW_S + SLACK


def max_requests_in_window(arrivals: list[float], since: float = -math.inf) -> int:
    """Return the most requests that came within any window that begins after a moment."""
    later = sorted(at for at in arrivals if at >= since)
    return max(
        (sum(first <= at < first + WINDOW_S for at in later) for first in later),
        default=0,
    )


def assert_limit_kept(arrivals: list[float], per_s: float, since: float = -math.inf) -> None:
    """Check that a limit was kept from a moment on."""
    assert max_requests_in_window(arrivals, since) <= max_allowed_requests(per_s)


def requests_per_s(arrivals: list[float], since: float, until: float) -> float:
    """Return how many requests came a second in a time."""
    return sum(since <= at < until for at in arrivals) / (until - since)


async def request_all_nodes(world: GatewayWorld, seconds: float, per_s: float, ask) -> list[object]:
    """Ask all nodes in turn, so many times a second together, whatever became of earlier asks.

    Parameters
    ==========

    ask : called with a node's name.
    """
    asking = []
    names = itertools.cycle(sorted(world.nodes))
    for _ in range(round(seconds * per_s)):
        name = next(name for name in names if name in world.nodes)
        asking.append(asyncio.ensure_future(ask(name)))
        await asyncio.sleep(1 / per_s)
    return list(await asyncio.gather(*asking, return_exceptions=True))
