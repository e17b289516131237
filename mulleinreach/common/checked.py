"""Validates documents from external sources against schemas.

Types are strict: a string or a boolean in place of a number is rejected, and so is a fraction in
place of an integer.
"""

from __future__ import annotations

import json
import zlib
from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta

from mulleinreach.common.net import Address

# Printable ASCII only, since names go into headers, log lines and messages between nodes.
Name = Annotated[str, Meta(pattern=r"^[!-~]{1,200}\Z")]
# Messages between nodes encode counts as 16-bit integers.
Count = Annotated[int, Meta(ge=0, le=65_535)]
Number = Annotated[int, Meta(ge=0, le=2**63 - 1)]

Schema = TypeVar("Schema", bound=msgspec.Struct)


class CheckError(ValueError):
    """A document doesn't match its schema; the message names the field and the reason."""


def validate(schema: type[Schema], document: object) -> Schema:
    """Convert ``document`` to ``schema``; raises :class:`CheckError` if it doesn't match.

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
    """Parse ``host:port``; raises :class:`CheckError` if it is malformed."""
    try:
        return Address.parse(text)
    except ValueError as error:
        raise CheckError(f"address: {error}") from error


def read_object(data: bytes) -> dict[str, object]:
    """Parse a JSON object; raises :class:`CheckError` if the data is anything else.

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
    """Serialize a document as compressed JSON, to send to other nodes.

    Examples
    ========

    >>> unpack_document(pack_document({"version": 3}))
    {'version': 3}
    """
    return zlib.compress(json.dumps(document).encode())


def unpack_document(data: bytes) -> dict[str, object]:
    """Read a document from compressed JSON; raises :class:`CheckError` if it is malformed."""
    try:
        return read_object(zlib.decompress(data))
    except zlib.error as error:
        raise CheckError(str(error)) from error
