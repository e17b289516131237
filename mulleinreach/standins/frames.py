"""What a stand-in engine says: its tokens, its events, and what it does wrong."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass

import xxhash
from aiohttp import web

MAX_TOKENS_DEFAULT = 12
CHARS_PER_TOKEN = 4


@dataclass
class EngineFaults:
    """Knobs for what an engine does wrong; each is off by default."""

    checks_epoch: bool = True
    garbage: bool = False
    swap_request_id: bool = False  # answer with the id and the text of another request
    cut_at: int | None = None  # abort the stream after this many tokens, once
    skip_at: int | None = None  # leave out this position, once
    double_at: int | None = None  # send this position twice
    swap_at: int | None = None  # send this position after the next one, once
    stall_at: int | None = None  # send nothing more from this position on, once
    refuse: bool = False  # answer 503 and say that nothing was run
    fail: bool = False  # answer 500 after having run the request
    order_delay_s: float = 0.0  # an order takes effect this much later
    lose_order_answers: bool = False


class FrameWriter:
    """Writes the events of one stream, with the faults that are asked for."""

    def __init__(self, response, attempt_id: str, faults: EngineFaults, request):
        self._response = response
        self._attempt_id = attempt_id
        self._faults = faults
        self._request = request
        self._held_back: bytes = b""

    async def write_token(self, position: int, token: str, request_id: str, chat: bool) -> None:
        faults = self._faults
        await self._interrupt(position)
        frame = self._frame(position, token, request_id, chat)
        if faults.skip_at == position:
            faults.skip_at = None
            return
        if faults.swap_at == position:
            faults.swap_at = None
            self._held_back = frame
            return
        copies = 2 if faults.double_at == position else 1
        await self._response.write(frame * copies + self._held_back)
        self._held_back = b""

    async def _interrupt(self, position: int) -> None:
        faults = self._faults
        if faults.cut_at == position:
            faults.cut_at = None
            self._request.transport.abort()
            raise ConnectionResetError("cut by a test")
        if faults.stall_at == position:
            faults.stall_at = None
            await asyncio.Event().wait()

    def _frame(self, position: int, token: str, request_id: str, chat: bool) -> bytes:
        choice = {"index": 0, "finish_reason": None}
        choice.update({"delta": {"content": token}} if chat else {"text": token})
        data = json.dumps({"id": request_id, "choices": [choice]})
        return f"id: {self._attempt_id}:{position}\ndata: {data}\n\n".encode()

    async def write_end(self, position: int) -> None:
        await self._interrupt(position)
        frame = f"id: {self._attempt_id}:{position}\ndata: [DONE]\n\n".encode()
        await self._response.write(self._held_back + frame)


def check_resume(body: dict, last_event_id: str) -> None:
    """Refuse to go on with an answer whose delivered text is not what we would say."""
    delivered = int(last_event_id.rpartition(":")[2]) + 1
    expected = "".join(token_of(prompt_of(body), i) for i in range(delivered))
    if body.get("resume_text") != expected:
        raise web.HTTPBadRequest(text="resume_text is not the text up to the position")


def prompt_of(body: dict) -> str:
    """Return the whole prompt of a request as one text."""
    if "prompt" in body:
        return str(body["prompt"])
    return "\n".join(f"{m['role']}: {m['content']}" for m in body["messages"])


def usage_of(prompt: str, answered: int) -> dict[str, int]:
    """Return the tokens of a prompt and of its answer, as the engine counts them.

    Examples
    ========

    >>> usage_of("p" * 40, 5)
    {'prompt_tokens': 10, 'completion_tokens': 5, 'total_tokens': 15}
    """
    asked = len(prompt) // CHARS_PER_TOKEN
    return {
        "prompt_tokens": asked,
        "completion_tokens": answered,
        "total_tokens": asked + answered,
    }


def token_of(prompt: str, position: int) -> str:
    """Return the token that every engine gives at a position of an answer."""
    seed = xxhash.xxh32_intdigest(f"{prompt}:{position}".encode())
    return f"t{seed % 1000} "


def whole_text(body: dict) -> str:
    """Return the whole answer that a request must get, for tests."""
    length = int(body.get("max_tokens") or MAX_TOKENS_DEFAULT)
    return "".join(token_of(prompt_of(body), i) for i in range(length))
