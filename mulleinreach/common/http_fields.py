"""Reads values of header fields that HTTP itself defines, and numbers in others."""

from __future__ import annotations

import math

_BEARER = "bearer "


def bearer_key(value: str) -> str | None:
    """Return the key of an ``Authorization`` field, ``None`` if it has another scheme.

    Examples
    ========

    >>> bearer_key("Bearer k1"), bearer_key("Basic azE=")
    ('k1', None)
    """
    if value[: len(_BEARER)].lower() != _BEARER:
        return None
    return value[len(_BEARER) :].strip()


def read_number(text: str | None) -> float | None:
    """Return a number, ``None`` where there is none.

    Examples
    ========

    >>> read_number("2.5"), read_number("many"), read_number(None)
    (2.5, None, None)
    """
    try:
        return float(text) if text else None
    except ValueError:
        return None


def read_count(text: str | None) -> int | None:
    """Return a whole number, ``None`` where there is none.

    Examples
    ========

    >>> read_count("12"), read_count("-1"), read_count("1.5"), read_count(None)
    (12, None, None, None)
    """
    return int(text) if text and text.isascii() and text.isdigit() else None


def retry_after_s(text: str | None) -> float:
    """Return the seconds of a ``Retry-After`` field, fractions included; 0 where it has none.

    Examples
    ========

    >>> [retry_after_s(text) for text in ("2.5", "soon", "-1", "inf", None)]
    [2.5, 0.0, 0.0, 0.0, 0.0]
    """
    seconds = read_number(text)
    return seconds if seconds is not None and math.isfinite(seconds) and seconds > 0 else 0.0
