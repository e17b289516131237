"""Reading and checking what callers send, within bounds."""

from __future__ import annotations

import json
from dataclasses import dataclass

import xxhash
from aiohttp import web

from mulleinreach.common import Code, MulleinreachError
from mulleinreach.common.server.body import BodyRefusal
from mulleinreach.common.server.body import read_body as body_within_bounds
from mulleinreach.common.server.bounds import OVERLOAD_RETRY_AFTER_S

MAX_TOKENS = 1_000_000
MAX_KEY_CHARS = 200
AFFINITY_CHARS = 2048
DEADLINE_HEADER = "x-deadline-ms"
KEY_HEADER = "idempotency-key"


@dataclass(frozen=True)
class CompletionFields:
    """A completion request that was checked."""

    body: bytes
    fields: dict
    model: str
    affinity: str


async def read_body(request: web.Request, max_bytes: int) -> bytes:
    """Return the whole body, or raise ``BODY_TOO_LARGE``, ``BAD_REQUEST`` or ``OVERLOADED``."""
    body = await body_within_bounds(request, max_bytes)
    if body is BodyRefusal.TOO_LARGE:
        raise _too_large(max_bytes)
    if body is BodyRefusal.MALFORMED:
        raise MulleinreachError(Code.BAD_REQUEST, "the body's framing can't be parsed")
    if body is BodyRefusal.NO_MEMORY:
        raise no_memory()
    return body


def no_memory() -> MulleinreachError:
    """Return the error of a request for which there is no memory; it has not run."""
    message = "there is no memory for the body beside other requests"
    return MulleinreachError(Code.OVERLOADED, message, retry_after_s=OVERLOAD_RETRY_AFTER_S)


def _too_large(most: int) -> MulleinreachError:
    return MulleinreachError(Code.BODY_TOO_LARGE, f"the body is over {most} bytes")


def parse_json(body: bytes, most_depth: int) -> dict:
    """Return the JSON object in ``body``, or raise ``BAD_REQUEST``.

    Examples
    ========

    >>> parse_json(b'{"a": [1]}', 2)
    {'a': [1]}
    >>> parse_json(b'[[[1]]]', 2)
    Traceback (most recent call last):
    ...
    mulleinreach.common.errors.MulleinreachError: bad_request: the body is nested deeper than 2
    """
    # Fewer brackets than the limit can't nest deeper; most bodies end here.
    if body.count(b"{") + body.count(b"[") > most_depth and depth_of(body) > most_depth:
        raise bad_request(f"the body is nested deeper than {most_depth}")
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise bad_request(f"the body is not JSON: {error}") from error
    if not isinstance(document, dict):
        raise bad_request(f"the body is a {type(document).__name__}, not an object")
    return document


def depth_of(body: bytes) -> int:
    """Return how deep brackets nest, those in strings left out."""
    depth = deepest = 0
    in_string = escaped = False
    for byte in body:
        if in_string:
            if escaped:
                escaped = False
            elif byte == 0x5C:
                escaped = True
            elif byte == 0x22:
                in_string = False
        elif byte == 0x22:
            in_string = True
        elif byte in b"{[":
            depth += 1
            deepest = max(deepest, depth)
        elif byte in b"}]":
            depth -= 1
    return deepest


def bad_request(message: str) -> MulleinreachError:
    """Return a ``BAD_REQUEST`` error."""
    return MulleinreachError(Code.BAD_REQUEST, message)


def check_completion(body: bytes, fields: dict, is_chat: bool) -> CompletionFields:
    """Check the fields of a completion request that this system relies on."""
    model = fields.get("model")
    if not isinstance(model, str) or not model:
        raise bad_request(f"'model' must be a name, not {model!r:.80}")
    if not isinstance(fields.get("stream", False), bool):
        raise bad_request(f"'stream' must be true or false, not {fields['stream']!r:.80}")
    _check_integer(fields, "max_tokens", 1, MAX_TOKENS)
    _check_integer(fields, "n", 1, 1)
    head = _check_messages(fields) if is_chat else _check_prompt(fields)
    affinity = xxhash.xxh64_hexdigest(f"{model}\0{head[:AFFINITY_CHARS]}".encode())
    return CompletionFields(body, fields, model, affinity)


def _check_integer(fields: dict, name: str, least: int, most: int) -> None:
    value = fields.get(name)
    if value is None:
        return
    if not isinstance(value, int) or isinstance(value, bool) or not least <= value <= most:
        raise bad_request(f"{name!r} must be an integer of {least} to {most}, not {value!r:.80}")


def _check_messages(fields: dict) -> str:
    """Check the messages; returns the text that a conversation's turns share."""
    messages = fields.get("messages")
    if not isinstance(messages, list) or not messages:
        raise bad_request(f"'messages' must be a list with entries, not {messages!r:.80}")
    for index, message in enumerate(messages):
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            raise bad_request(f"'messages[{index}]' must be an object with a role")
        if not isinstance(message.get("content"), str | list | None):
            raise bad_request(f"'messages[{index}].content' must be text or a list")
    return json.dumps(messages[:2])


def _check_prompt(fields: dict) -> str:
    prompt = fields.get("prompt")
    if not isinstance(prompt, str):
        raise bad_request(f"'prompt' must be text, not {prompt!r:.80}")
    return prompt


def read_deadline_s(request: web.Request, most_s: float) -> float:
    """Return the seconds that the caller gives us, at most the service's own."""
    text = request.headers.get(DEADLINE_HEADER)
    if text is None:
        return most_s
    if not text.isdigit() or int(text) == 0:
        raise bad_request(f"{DEADLINE_HEADER} must be a number of milliseconds, not {text!r:.40}")
    return min(most_s, int(text) / 1000)


def read_key(request: web.Request) -> str | None:
    """Return the caller's key for a request that may run at most once."""
    key = request.headers.get(KEY_HEADER)
    if key is not None and not 0 < len(key) <= MAX_KEY_CHARS:
        raise bad_request(f"{KEY_HEADER} must have 1 to {MAX_KEY_CHARS} characters")
    return key
