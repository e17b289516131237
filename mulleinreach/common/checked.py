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

from mulleinreach.common.address import Address

# Printable ASCII only, since names go into headers, log lines and messages between nodes.
Name = Annotated[str, Meta(pattern=r"^[!-~]{1,200}\Z")]
# Messages between nodes encode counts as 16-bit integers.
Count = Annotated[int, Meta(ge=0, le=65_535)]
Number = Annotated[int, Meta(ge=0, le=2**63 - 1)]
Size = Annotated[int, Meta(ge=1, le=65_535)]
Priority = Annotated[int, Meta(ge=-65_535, le=65_535)]
# Times, rates and weights; larger ones have no meaning.
Amount = Annotated[float, Meta(ge=0, le=1e10)]
Positive = Annotated[float, Meta(gt=0, le=1e10)]

# What is read can also be written again, which a deeper document may not.
MAX_DEPTH = 64

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
    """Parse the address of a server; raises :class:`CheckError` if it can't be one."""
    try:
        address = Address.parse(text)
    except ValueError as error:
        raise CheckError(f"address: {error}") from error
    if not address.is_connectable():
        raise CheckError(f"address: {address} is not that of a server")
    return address


def read_object(data: bytes) -> dict[str, object]:
    """Parse a JSON object; raises :class:`CheckError` if the data is anything else.

    Numbers are finite, as in standard JSON [1]_, and the nesting is bounded.

    Examples
    ========

    >>> read_object(b'{"version": 3}')
    {'version': 3}
    >>> read_object(b'{"version": 1e400}')
    Traceback (most recent call last):
    ...
    mulleinreach.common.checked.CheckError: ValidationError: Number out of range - at `$[...]`

    References
    ==========

    .. [1] RFC 8259, "The JavaScript Object Notation (JSON) Data Interchange Format", section 6.
    """
    try:
        document = msgspec.json.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise CheckError(f"{type(error).__name__}: {error}") from error
    if not isinstance(document, dict):
        raise CheckError("not an object")
    if data.count(b"[") + data.count(b"{") > MAX_DEPTH and _depth(document) > MAX_DEPTH:
        raise CheckError(f"nested more than {MAX_DEPTH} deep")
    return document


def _depth(document: object) -> int:
    """Return how deeply arrays and objects are nested; a plain value has depth 0.

    Examples
    ========

    >>> _depth({"a": [1, {}]}), _depth(7)
    (3, 0)
    """
    depth = 0
    level = [document]
    while level := [value for value in level if isinstance(value, dict | list)]:
        depth += 1
        level = [
            item
            for value in level
            for item in (value.values() if isinstance(value, dict) else value)
        ]
    return depth


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
