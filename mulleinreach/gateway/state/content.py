"""Digests of requests and of prompt parts, by which any node recognises them again."""

from __future__ import annotations

import hashlib
from collections.abc import Sequence

# Collisions are negligible among the few hundred contents that a deployment tracks.
DIGEST_BYTES = 8
# Bounds what one request adds to reports.
MAX_PROMPT_PARTS = 32


def content_digest(method: str, host: str, target: str, caller: str, body: bytes) -> int:
    """Return the digest of a request, without its headers.

    Explanation
    ===========

    Each attempt of a caller has its own id, so ids don't identify a repeated request. Equal
    requests of one caller have the same digest.

    Parameters
    ==========

    target : path and query as received.
    caller : the organisation, empty if unknown.

    Examples
    ========

    >>> digest = content_digest("POST", "h.example", "/a/", "tint", b"body")
    >>> digest == content_digest("POST", "h.example", "/a/", "tint", b"body")
    True
    >>> digest == content_digest("POST", "h.example", "/a/", "lens", b"body")
    False
    """
    state = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (method, host, target, caller):
        state.update(part.encode(errors="surrogateescape"))
        state.update(b"\0")
    state.update(body)
    return int.from_bytes(state.digest(), "big")


def prompt_part_digests(part_ids: Sequence[str]) -> tuple[int, ...]:
    """Return the digests of a prompt's shared parts, at most :data:`MAX_PROMPT_PARTS`.

    Parameters
    ==========

    part_ids : the ids of all parts in their order. The last one belongs to the request or its
        session and is left out.

    Examples
    ========

    >>> first, second = prompt_part_digests(["5c1e07a2", "91bd3f06", "e4402b7d"])
    >>> prompt_part_digests(["5C1E07A2", "e4402b7d"]) == (first,)
    True
    >>> prompt_part_digests(["e4402b7d"])
    ()
    """
    return tuple(_prompt_part_digest(part_id) for part_id in part_ids[:-1][:MAX_PROMPT_PARTS])


def _prompt_part_digest(part_id: str) -> int:
    """Return a digest that differs from those of requests' contents."""
    state = hashlib.blake2b(digest_size=DIGEST_BYTES, person=b"prompt part")
    state.update(part_id.strip().lower().encode(errors="surrogateescape"))
    return int.from_bytes(state.digest(), "big")


def format_digest(digest: int) -> str:
    """Return a digest as text for log lines.

    Examples
    ========

    >>> format_digest(255)
    '00000000000000ff'
    """
    return f"{digest:0{2 * DIGEST_BYTES}x}"


def parse_digest(text: str) -> int:
    """Parse a digest from the text of :func:`format_digest`.

    Examples
    ========

    >>> parse_digest(format_digest(255))
    255
    """
    digest = int(text, 16)
    if not 0 <= digest < 1 << 8 * DIGEST_BYTES:
        raise ValueError(f"not a digest: {text!r}")
    return digest
