"""Client of the platform's object store: named bodies, put once and read whole."""

from __future__ import annotations

import asyncio

import aiohttp

from mulleinreach.common.net import Address

REQUEST_TIMEOUT_S = 5.0


class ObjectStore:
    """``PUT`` and ``GET`` of ``/objects/NAME``, and a list by prefix."""

    def __init__(self, session: aiohttp.ClientSession, address: Address):
        self._session = session
        self._url = address.url

    async def put(self, name: str, body: bytes) -> bool:
        """Store ``body``; returns whether the store said that it holds it."""
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                url = f"{self._url}/objects/{name}"
                async with self._session.put(url, data=body) as response:
                    return response.status in (200, 201, 204)
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def get(self, name: str) -> bytes | None:
        """Return the body, or ``None`` if it is absent or the store can't be reached."""
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                async with self._session.get(f"{self._url}/objects/{name}") as response:
                    return await response.read() if response.status == 200 else None
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None

    async def list(self, prefix: str) -> list[str] | None:
        """Return the names under ``prefix`` in order, or ``None`` without an answer."""
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                params = {"prefix": prefix}
                async with self._session.get(self._url + "/objects", params=params) as response:
                    return await response.json() if response.status == 200 else None
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return None
