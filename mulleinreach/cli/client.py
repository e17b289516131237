"""Client of a node's operator API for the command line."""

from __future__ import annotations

import asyncio
import enum
import json
import os
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path

import aiohttp
import typer

from mulleinreach.common import Code, Network


class Exit(enum.IntEnum):
    """Exit codes of the command."""

    OK = 0
    INTERNAL = 1
    USAGE = 2
    BAD_INPUT = 3
    DENIED = 4
    NOT_FOUND = 5
    CONFLICT = 6
    UNSATISFIABLE = 7
    UNAVAILABLE = 8
    NOT_YET_ACCEPTED = 9


EXIT_BY_ERROR_CODE = {
    Code.BAD_REQUEST: Exit.BAD_INPUT,
    Code.BAD_SETTINGS: Exit.BAD_INPUT,
    Code.BODY_TOO_LARGE: Exit.BAD_INPUT,
    Code.UNAUTHENTICATED: Exit.DENIED,
    Code.FORBIDDEN: Exit.DENIED,
    Code.NOT_FOUND: Exit.NOT_FOUND,
    Code.CONFLICT: Exit.CONFLICT,
    Code.PLAN_EXPIRED: Exit.CONFLICT,
    Code.UNSATISFIABLE: Exit.UNSATISFIABLE,
    Code.PLATFORM_UNAVAILABLE: Exit.UNAVAILABLE,
}

TOKEN_ENV = "MULLEINREACH_TOKEN"
CONNECT_TIMEOUT_S = 30.0
CALL_TIMEOUT_S = 60.0


class Output(enum.StrEnum):
    """Output format."""

    TEXT = "text"
    JSON = "json"


def _open_session() -> aiohttp.ClientSession:
    return Network("command line").http_client(connect_timeout_s=CONNECT_TIMEOUT_S)


@dataclass
class Connection:
    """Connection to the operator API of one node."""

    server: str
    token_file: Path | None
    output: Output

    def _headers(self) -> dict[str, str]:
        token = os.environ.get(TOKEN_ENV, "")
        if self.token_file is not None:
            token = self.token_file.read_text().strip()
        return {"authorization": f"Bearer {token}"}

    def call(self, method: str, path: str, body: dict | None = None) -> dict | list:
        """Return the JSON response; on an error, print it and exit."""
        try:
            status, answer = asyncio.run(self._call(method, path, body))
        except (aiohttp.ClientError, OSError, ValueError, TimeoutError) as error:
            typer.echo(f"{self.server}: {error}", err=True)
            raise typer.Exit(Exit.UNAVAILABLE) from error
        if status >= 400:
            self._exit_with_error(answer["error"])
        return answer

    async def _call(self, method: str, path: str, body: dict | None) -> tuple[int, dict]:
        url = f"http://{self.server}{path}"
        async with asyncio.timeout(CALL_TIMEOUT_S), _open_session() as session:
            async with session.request(method, url, json=body, headers=self._headers()) as response:
                return response.status, json.loads(await response.read())

    def _exit_with_error(self, error: dict) -> None:
        if self.output is Output.JSON:
            typer.echo(json.dumps({"error": error}, indent=2))
        else:
            typer.echo(f"{error['code']}: {error['message']}", err=True)
        raise typer.Exit(EXIT_BY_ERROR_CODE.get(Code(error["code"]), Exit.INTERNAL))

    async def lines(self, path: str) -> AsyncIterator[dict]:
        """Yield the events of a stream until it ends."""
        url = f"http://{self.server}{path}"
        async with _open_session() as session:
            async with session.get(url, headers=self._headers()) as response:
                async for line in response.content:
                    if line.startswith(b"data: "):
                        yield json.loads(line.removeprefix(b"data: "))
