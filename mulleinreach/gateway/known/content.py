"""Names a request by its content, so that one that comes again is known at any node."""

from __future__ import annotations

import hashlib

# Two of the contents that a deployment keeps track of, some hundreds, then have the same digest
# once in 10**14 times.
DIGEST_BYTES = 8


def content_digest(method: str, host: str, target: str, caller: str, body: bytes) -> int:
    """Return the digest of what a caller asks for, whatever its headers say.

    Explanation
    ===========

    Each attempt of a caller has an id of its own, so ids can't tell that a request was there
    before. Two requests of one caller that ask for the same have the same digest.

    Parameters
    ==========

    target : path and query as they came.
    caller : the organisation; empty where none is known.

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
    """Return a digest as it stands in log lines.

    Examples
    ========

    >>> format_digest(255)
    '00000000000000ff'
    """
    return f"{digest:0{2 * DIGEST_BYTES}x}"


def parse_digest(text: str) -> int:
    """Return the digest that a text tells.

    Examples
    ========

    >>> parse_digest(format_digest(255))
    255
    """
    digest = int(text, 16)
    if not 0 <= digest < 1 << 8 * DIGEST_BYTES:
        raise ValueError(f"not a digest: {text!r}")
    return digest
