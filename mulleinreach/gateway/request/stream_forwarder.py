"""Forwards the events of a stream from its upstream to its caller."""

from __future__ import annotations

import asyncio
from functools import partial

from aiohttp import web

from mulleinreach.common import Clock, EventLog
from mulleinreach.common.responses import BodyFraming
from mulleinreach.gateway.request.active import ActiveExchange
from mulleinreach.gateway.request.events import EventSplitter, EventTooLong
from mulleinreach.gateway.request.exchange import AnswerCut, AnswerSilent, Streaming
from mulleinreach.gateway.request.job import RelayJob
from mulleinreach.gateway.request.send_policy import SendPolicy
from mulleinreach.gateway.state.content import format_digest
from mulleinreach.gateway.state.load import InFlightRequest

# Of a stream with very small events, each of which takes as long as a usual one; engines send some
# hundreds a second.
MAX_EVENTS_PER_S = 2000
# Received bytes are split in pieces; one with no more events than this isn't paced.
EVENT_PIECE_BYTES = 4096
FREE_EVENTS = 100
# Why a stream that its deadline ended broke off.
DEADLINE_REACHED = "deadline"


class StreamForwarder:
    """Passes complete events on as they arrive."""

    def __init__(self, policy: SendPolicy, clock: Clock, log: EventLog):
        self._policy = policy
        self._clock = clock
        self._log = log

    async def forward(
        self,
        job: RelayJob,
        result: Streaming,
        exchange: ActiveExchange,
        ticket: InFlightRequest,
        response: web.StreamResponse,
    ) -> bool:
        """Forward complete events to the caller; returns whether the stream ended without error."""
        splitter = EventSplitter()
        events_before = job.events_sent
        try:
            async with asyncio.timeout(max(0, job.deadline - self._clock.now())):
                async for data in result.chunks(partial(self._policy.may_leave, job, exchange)):
                    exchange.note_body(self._clock.now())
                    ticket.progress()
                    for begin in range(0, len(data), EVENT_PIECE_BYTES):
                        piece = data[begin : begin + EVENT_PIECE_BYTES]
                        await self._write_events(job, splitter, piece, response)
            has_events = job.events_sent > events_before
            self._check_whole(result, splitter, has_events)
        except (AnswerCut, TimeoutError) as error:
            exchange.is_cut = isinstance(error, AnswerCut) and not isinstance(error, AnswerSilent)
            job.broken_by = str(error) or DEADLINE_REACHED
            self._log.event(
                "stream_broken",
                id=job.headers.request_id,
                upstream=exchange.upstream_id,
                content=format_digest(job.content),
                after=job.last_event_id,
                events_here=job.events_sent - events_before,
                why=job.broken_by,
            )
            return False
        finally:
            job.body_end = result.body_end
            result.close()
        return not exchange.is_aborted

    def _check_whole(self, result: Streaming, splitter: EventSplitter, has_events: bool) -> None:
        """Raise :class:`AnswerCut` if a stream ended before its end.

        A process that ends closes its connections, so a stream that ends with its connection and
        has no event may have been broken off as well as one that ends inside an event.
        """
        if splitter.rest:
            raise AnswerCut("the stream ended inside an event")
        if result.body_end.framing is BodyFraming.CLOSE and not has_events:
            raise AnswerCut("the stream ended before any event")

    async def _write_events(
        self, job: RelayJob, splitter: EventSplitter, data: bytes, response: web.StreamResponse
    ) -> None:
        try:
            events = splitter.feed(data)
        except EventTooLong as error:
            raise AnswerCut(str(error)) from error
        if not events:
            return
        await response.write(b"".join(event.data for event in events))
        for event in events:
            if event.id is not None:
                job.last_event_id = event.id
        job.note_events(len(events), self._clock.now())
        if len(events) > FREE_EVENTS:
            await asyncio.sleep(len(events) / MAX_EVENTS_PER_S)
