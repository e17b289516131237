"""The plain service: it runs each request and notes it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from aiohttp import web

from mulleinreach.platform.dialect import EXPECT_INSTANCE, REQUEST_ID, SIGNATURE, TENANT

PLAIN_WORK_S = 0.05


@dataclass
class PlainRun:
    """One run of a request at the plain service; ``started_at`` is the loop's time."""

    request_id: str
    organisation: str
    upstream_id: str
    started_at: float = 0.0


class PlainService:
    """Runs requests and notes them; an answer may be lost after the run."""

    def __init__(self) -> None:
        self.runs: list[PlainRun] = []
        self.loses_answers = False

    def handler(self, upstream_id: str):
        """Return the handler of one upstream."""

        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            request_id = request.headers.get(REQUEST_ID, "")
            if request.headers.get(EXPECT_INSTANCE) != upstream_id:
                return web.Response(status=421, headers={REQUEST_ID: request_id})
            body = await request.read()
            now = asyncio.get_running_loop().time()
            organisation = request.headers.get(TENANT, "")
            self.runs.append(PlainRun(request_id, organisation, upstream_id, now))
            await asyncio.sleep(PLAIN_WORK_S)
            if self.loses_answers:
                request.transport.abort()
            answer = request_id.encode() + b" " + body
            headers = {REQUEST_ID: request_id, SIGNATURE: upstream_id}
            return web.Response(body=answer, headers=headers)

        return handle
