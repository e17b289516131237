"""Checks documents that others wrote against schemas, so that only sound fields get further.

Types are strict: a number in a text, a fraction for a count or a truth for a number is refused.
"""

from __future__ import annotations

import json
import zlib
from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta

from mulleinreach.common.net import Address

# Names go into headers, log lines and messages between nodes.
Name = Annotated[str, Meta(pattern=r"^[!-~]{1,200}\Z")]
# The most that messages between nodes hold.
Count = Annotated[int, Meta(ge=0, le=65_535)]
Number = Annotated[int, Meta(ge=0, le=2**63 - 1)]

Schema = TypeVar("Schema", bound=msgspec.Struct)


class CheckError(ValueError):
    """A document isn't what its schema says; the text names the field and says why."""


def validate(schema: type[Schema], document: object) -> Schema:
    """Return what a document says by a schema; raises :class:`CheckError`.

    Examples
    ========

    >>> class Place(msgspec.Struct):
    ...     rank: Count
    >>> validate(Place, {"rank": 2})
    Place(rank=2)
    >>> validate(Place, {"rank": "2"})
    Traceback (most recent call last):
    ...
    mulleinreach.common.checked.CheckError: Expected `int`, got `str` - at `$.rank`
    """
    try:
        return msgspec.convert(document, schema)
    except msgspec.ValidationError as error:
        raise CheckError(str(error)) from error


def parse_address(text: str) -> Address:
    """Return the address that a text tells; raises :class:`CheckError`."""
    try:
        return Address.parse(text)
    except ValueError as error:
        raise CheckError(f"address: {error}") from error


def read_object(data: bytes) -> dict[str, object]:
    """Return the JSON object that bytes hold; raises :class:`CheckError`.

    Examples
    ========

    >>> read_object(b'{"version": 3}')
    {'version': 3}
    """
    try:
        document = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise CheckError(f"{type(error).__name__}: {error}") from error
    if not isinstance(document, dict):
        raise CheckError("not an object")
    return document


def pack_document(document: dict[str, object]) -> bytes:
    """Return a document in a small form, for other nodes.

    Examples
    ========

    >>> unpack_document(pack_document({"version": 3}))
    {'version': 3}
    """
    return zlib.compress(json.dumps(document).encode())


def unpack_document(data: bytes) -> dict[str, object]:
    """Return a document that was packed; raises :class:`CheckError`."""
    try:
        return read_object(zlib.decompress(data))
    except zlib.error as error:
        raise CheckError(str(error)) from error
