"""Client of the platform's object store."""

from __future__ import annotations

import asyncio

import aiohttp

from mulleinreach.common.address import Address

REQUEST_TIMEOUT_S = 5.0


class ObjectStore:
    """Stores, reads and lists objects, each written once and read as a whole."""

    def __init__(self, session: aiohttp.ClientSession, address: Address):
        self._session = session
        self._url = address.url

    async def put(self, name: str, body: bytes) -> bool:
        """Store ``body``; returns whether the store confirmed the write."""
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                url = f"{self._url}/objects/{name}"
                async with self._session.put(url, data=body) as response:
                    return response.status in (200, 201, 204)
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def get(self, name: str) -> bytes | None:
        """Return the body, or ``None`` if it is absent or the request failed."""
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                async with self._session.get(f"{self._url}/objects/{name}") as response:
                    return await response.read() if response.status == 200 else None
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None

    async def list(self, prefix: str) -> list[str] | None:
        """Return the names under ``prefix`` in the store's order, or ``None`` on failure."""
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                params = {"prefix": prefix}
                async with self._session.get(self._url + "/objects", params=params) as response:
                    return await response.json() if response.status == 200 else None
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return None
