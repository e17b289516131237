"""Reads typed values out of a JSON object from an external source."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

from mulleinreach.common.checked import CheckError

Value = TypeVar("Value")
_REQUIRED: Any = object()


class ObjectReader:
    """Reads the fields of an object; types are strict, unknown fields are ignored.

    Parameters
    ==========

    place : where the object stands in its document, for error messages.

    Examples
    ========

    >>> reader = ObjectReader({"slots": 13, "name": None})
    >>> reader.read("slots", int), reader.read("name", str, "none")
    (13, 'none')
    >>> reader.read("slots", str)
    Traceback (most recent call last):
    ...
    mulleinreach.common.checked.CheckError: $.slots: Expected `str`, got `int`
    """

    def __init__(self, raw: object, place: str = "$"):
        if not isinstance(raw, dict):
            raise CheckError(f"{place}: not an object")
        self._raw = raw
        self._place = place

    def read(self, key: str, kind: type[Value], default: Any = _REQUIRED) -> Value:
        """Return a field; a null counts as absent.

        Raises
        ======

        CheckError : if the field is of another type or out of range, or absent without a default.
        """
        value = self._raw.get(key)
        if value is None and default is not _REQUIRED:
            return default
        try:
            return msgspec.convert(value, kind)
        except msgspec.ValidationError as error:
            raise CheckError(f"{self._place}.{key}: {error}") from error

    def objects(self, key: str) -> list[ObjectReader]:
        """Return the readers of a list of objects, which is empty if it is absent."""
        items = self.read(key, list, [])
        return [
            ObjectReader(item, f"{self._place}.{key}[{number}]")
            for number, item in enumerate(items)
        ]

    def object(self, key: str) -> ObjectReader | None:
        """Return the reader of an object; ``None`` if it is absent or empty."""
        raw = self.read(key, dict, None)
        return ObjectReader(raw, f"{self._place}.{key}") if raw else None
