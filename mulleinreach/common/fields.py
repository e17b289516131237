"""Parses settings files of ``name=value`` lines into typed fields."""

from __future__ import annotations

import math

from mulleinreach.common.address import Address


class SettingsError(Exception):
    """A field is missing or malformed; the message names it."""


def parse_lines(text: str) -> dict[str, str]:
    """Return the fields of a settings file.

    Examples
    ========

    >>> parse_lines("ip=10.0.0.1\\nbounds.config_ms=2000\\n")
    {'ip': '10.0.0.1', 'bounds.config_ms': '2000'}
    """
    fields = {}
    for line in text.splitlines():
        name, separator, value = line.partition("=")
        if separator:
            fields[name.strip()] = value.strip()
    return fields


class FieldReader:
    """Parses typed fields; raises :class:`SettingsError` for missing or malformed ones."""

    def __init__(self, fields: dict[str, str]):
        self._fields = fields

    def text(self, name: str) -> str:
        """Return a required, non-empty field."""
        value = self._fields.get(name, "")
        if not value:
            raise SettingsError(f"field {name!r} is missing")
        return value

    def address(self, name: str) -> Address:
        """Return a required ``host:port`` field."""
        try:
            return Address.parse(self.text(name))
        except ValueError as error:
            raise SettingsError(f"field {name!r}: {error}") from error

    def number(self, name: str) -> float:
        """Return a required, finite number."""
        value = self.text(name)
        try:
            number = float(value)
        except ValueError as error:
            raise SettingsError(f"field {name!r}: {value!r} is not a number") from error
        if not math.isfinite(number):
            raise SettingsError(f"field {name!r}: {value!r} is not finite")
        return number

    def optional(self, name: str, default: float) -> float:
        """Return a number, or ``default`` if the field is absent or empty."""
        return self.number(name) if self._fields.get(name) else default

    def optional_count(self, name: str, default: int = 0) -> int:
        """Return a number without its fraction, or ``default`` if the field is absent or empty."""
        return int(self.optional(name, default))

    def fields_with_prefix(self, prefix: str) -> dict[str, str]:
        """Return the fields whose name starts with ``prefix``, keyed by the rest of the name."""
        return {
            name.removeprefix(prefix): value
            for name, value in self._fields.items()
            if name.startswith(prefix)
        }

    def flag(self, name: str) -> bool:
        """Return a required boolean, ``true`` or ``false``."""
        value = self.text(name)
        if value not in ("true", "false"):
            raise SettingsError(f"field {name!r}: {value!r} is neither 'true' nor 'false'")
        return value == "true"

    def seconds(self, name: str) -> float:
        """Return a duration in seconds; the field is in milliseconds."""
        return self.number(name) / 1000

    def first_port(self, name: str) -> int:
        """Return the first port of a comma-separated list."""
        value = self.text(name).partition(",")[0]
        if not value.isdigit():
            raise SettingsError(f"field {name!r}: {value!r} is not a port")
        return int(value)
