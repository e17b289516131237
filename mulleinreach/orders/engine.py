"""Client of the model engines' control interface.

Explanation
===========

- ``GET /status`` answers what the engine holds: ``host``, ``incarnation`` (new
  with each process), ``replica``, ``epoch``, ``state`` (``idle``, ``loading``
  or ``ready``), ``last_order``, ``running``, ``waiting``, ``slots``, ``kv_use``
  and ``cached`` (hashes of prefix blocks, late and with gaps).
- ``POST /orders`` gives an order. An engine that checks answers 409 to an
  epoch lower than its own, or to an order meant for an earlier process.
  The same ``order_id`` twice is one order.
"""

from __future__ import annotations

import asyncio
import enum
from dataclasses import asdict, dataclass

import aiohttp

from mulleinreach.common.address import Address

STATUS_TIMEOUT_S = 1.0
ORDER_TIMEOUT_S = 2.0
MAX_STATUS_BYTES = 65_536


@dataclass(frozen=True)
class EngineStatus:
    """What an engine says of itself; ``kv_use`` from 0 to 1."""

    host: str
    incarnation: int
    replica: str
    epoch: int
    state: str
    last_order: str
    running: int
    waiting: int
    slots: int
    kv_use: float
    cached: list[int]


@dataclass(frozen=True)
class Order:
    """An order to one engine; ``action`` is ``load`` or ``stop``."""

    order_id: str
    action: str
    replica: str
    epoch: int
    incarnation: int
    members: list[str]
    model: str = ""
    model_version: str = ""
    adapters: list[str] | None = None


class OrderResult(enum.StrEnum):
    """``UNKNOWN`` means that the order may still arrive."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


class EngineClient:
    """Reads the status of engines and gives them orders."""

    def __init__(self, session: aiohttp.ClientSession):
        self._session = session

    async def status(self, address: Address, host: str) -> EngineStatus | None:
        """Return the status, or ``None`` if there was no usable answer of ``host``."""
        try:
            async with asyncio.timeout(STATUS_TIMEOUT_S):
                async with self._session.get(address.url + "/status") as response:
                    if response.status != 200:
                        return None
                    status = _parse_status(await response.json())
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError, KeyError, TypeError):
            return None
        return status if status.host == host else None

    async def order(self, address: Address, order: Order) -> OrderResult:
        """Send an order once; it is never sent again behind the caller's back."""
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                async with self._session.post(
                    address.url + "/orders", json=asdict(order)
                ) as response:
                    if response.status == 200:
                        return OrderResult.ACCEPTED
                    refused = response.status == 409
                    return OrderResult.REFUSED if refused else OrderResult.UNKNOWN
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return OrderResult.NOT_SENT
        except (aiohttp.ClientError, TimeoutError, OSError):
            return OrderResult.UNKNOWN


def _parse_status(answer: dict) -> EngineStatus:
    return EngineStatus(
        host=str(answer["host"]),
        incarnation=int(answer["incarnation"]),
        replica=str(answer["replica"]),
        epoch=int(answer["epoch"]),
        state=str(answer["state"]),
        last_order=str(answer["last_order"]),
        running=int(answer["running"]),
        waiting=int(answer["waiting"]),
        slots=int(answer["slots"]),
        kv_use=float(answer["kv_use"]),
        cached=[int(block) for block in answer.get("cached", [])],
    )
