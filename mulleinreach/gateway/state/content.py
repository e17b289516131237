"""Digests of requests by content, so that any node recognises a repeated request."""

from __future__ import annotations

import hashlib

# Collisions are negligible among the few hundred contents that a deployment tracks.
DIGEST_BYTES = 8


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
