"""The plain service: it runs each request and notes it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from aiohttp import web

from mulleinreach.platform.dialect import EXPECT_INSTANCE, REQUEST_ID, SIGNATURE, TENANT
from mulleinreach.platform.tests.soak.broken_answers import BrokenAnswer, send_broken
from mulleinreach.platform.tests.soak.document import STOCK_PREFIX

PLAIN_WORK_S = 0.05
# Names in a request's query how long it takes, in seconds.
WORK_PARAMETER = "work_s"
# In a request's query: its answer is a body in chunks of one byte, without end.
FLOOD_PARAMETER = "floods"
# In a request's query: the kind of its broken answer, which is sent before the body is read.
BROKEN_PARAMETER = "broken"
FLOOD_BLOCK = b"1\r\nx\r\n" * 10_000


@dataclass
class PlainRun:
    """One run of a request at the plain service; ``started_at`` is the loop's time."""

    request_id: str
    organisation: str
    upstream_id: str
    started_at: float = 0.0


class PlainService:
    """Runs requests and notes them.

    Explanation
    ===========

    Knobs: with ``loses_answers`` answers are lost after the run; while ``failing`` isn't 0, the
    first run of each request fails, but for those that may run once only.
    """

    def __init__(self) -> None:
        self.runs: list[PlainRun] = []
        self.loses_answers = False
        self.failing = 0
        self._failed: set[str] = set()

    def handler(self, upstream_id: str):
        """Return the handler of one upstream."""

        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            request_id = request.headers.get(REQUEST_ID, "")
            if request.headers.get(EXPECT_INSTANCE) != upstream_id:
                return web.Response(status=421, headers={REQUEST_ID: request_id})
            if (broken := request.query.get(BROKEN_PARAMETER)) is not None:
                fields = f"{REQUEST_ID}: {request_id}\r\n{SIGNATURE}: {upstream_id}\r\n"
                return send_broken(BrokenAnswer(broken), request, fields)
            body = await request.read()
            now = asyncio.get_running_loop().time()
            organisation = request.headers.get(TENANT, "")
            self.runs.append(PlainRun(request_id, organisation, upstream_id, now))
            await asyncio.sleep(float(request.query.get(WORK_PARAMETER, PLAIN_WORK_S)))
            if self.loses_answers:
                request.transport.abort()
            if FLOOD_PARAMETER in request.query:
                return await _flood(request, request_id, upstream_id)
            if self._fails(request, request_id):
                return web.Response(status=500, headers={REQUEST_ID: request_id})
            answer = request_id.encode() + b" " + body
            headers = {REQUEST_ID: request_id, SIGNATURE: upstream_id}
            return web.Response(body=answer, headers=headers)

        return handle

    def _fails(self, request: web.BaseRequest, request_id: str) -> bool:
        """Whether a run of a request fails."""
        is_repeatable = request.path.startswith(STOCK_PREFIX)
        if not self.failing or not is_repeatable or request_id in self._failed:
            return False
        self._failed.add(request_id)
        return True


async def _flood(request: web.BaseRequest, request_id: str, upstream_id: str) -> web.StreamResponse:
    """Answer with chunks of one byte until the caller closes."""
    response = web.StreamResponse(headers={REQUEST_ID: request_id, SIGNATURE: upstream_id})
    response.enable_chunked_encoding()
    await response.prepare(request)
    while not request.transport.is_closing():
        request.transport.write(FLOOD_BLOCK)
        await request.protocol._drain_helper()
        await asyncio.sleep(0)
    return response
