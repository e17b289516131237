"""Parses standard HTTP header fields, and numbers in other fields."""

from __future__ import annotations

import re

_BEARER = "bearer "
_NUMBER = re.compile(r"[+-]?([0-9]+\.?[0-9]*|\.[0-9]+)([eE][+-]?[0-9]+)?")
# Larger than any value with a meaning; sums and products of such numbers stay finite.
MAX_NUMBER = 1e15
MAX_COUNT_DIGITS = 15


def bearer_key(value: str) -> str | None:
    """Return the bearer token of an ``Authorization`` field, ``None`` for other schemes.

    Examples
    ========

    >>> bearer_key("Bearer k1"), bearer_key("Basic azE=")
    ('k1', None)
    """
    if value[: len(_BEARER)].lower() != _BEARER:
        return None
    return value[len(_BEARER) :].strip()


def read_number(text: str | None) -> float | None:
    """Parse a decimal number; returns ``None`` if the text isn't one, or is out of range.

    Examples
    ========

    >>> read_number("2.5"), read_number("many"), read_number("1e400"), read_number(None)
    (2.5, None, None, None)
    """
    text = (text or "").strip()
    if not _NUMBER.fullmatch(text):
        return None
    number = float(text)
    return number if abs(number) <= MAX_NUMBER else None


def keys_of_pairs(text: str) -> list[str]:
    """Return the keys in a list of ``key:value`` pairs that are separated by commas.

    Examples
    ========

    >>> keys_of_pairs("5c1e:800, 91bd:410,e440"), keys_of_pairs("")
    (['5c1e', '91bd', 'e440'], [])
    """
    pairs = [pair.strip() for pair in text.split(",")]
    return [pair.partition(":")[0] for pair in pairs if pair]


def read_count(text: str | None) -> int | None:
    """Parse a non-negative integer; returns ``None`` if the text isn't one.

    Examples
    ========

    >>> read_count("12"), read_count("-1"), read_count("1.5"), read_count(None)
    (12, None, None, None)
    """
    is_count = text and text.isascii() and text.isdigit() and len(text) <= MAX_COUNT_DIGITS
    return int(text) if is_count else None


def retry_after_s(text: str | None) -> float:
    """Return the seconds of a ``Retry-After`` field, or 0 if it holds no positive number.

    Examples
    ========

    >>> [retry_after_s(text) for text in ("2.5", "soon", "-1", "inf", None)]
    [2.5, 0.0, 0.0, 0.0, 0.0]
    """
    seconds = read_number(text)
    return seconds if seconds is not None and seconds > 0 else 0.0
