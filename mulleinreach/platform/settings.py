"""Reads the settings file that the platform lays for a process."""

from __future__ import annotations

import math
from dataclasses import dataclass

from mulleinreach.common import Address
from mulleinreach.gateway.ports import Bounds, GatewayIdentity

METRICS_PORT_OFFSET = 1
# The bounds on keys count from the acknowledgement; the rest covers the way.
KEY_EVIDENCE_SHARE = 0.9


class SettingsError(Exception):
    """A field is missing or malformed; the text names it."""


@dataclass(frozen=True)
class PlatformSettings:
    """What a process is told at its start.

    Parameters
    ==========

    engines_check_token : whether engines refuse orders that carry an old fencing token.
    """

    identity: GatewayIdentity
    bounds: Bounds
    store: Address
    engines_check_token: bool


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


def read_settings(path: str) -> PlatformSettings:
    """Return the settings in a file; raises :class:`SettingsError`."""
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"can't read {path!r}: {error}") from error
    return make_settings(parse_lines(text))


def make_settings(fields: dict[str, str]) -> PlatformSettings:
    """Check the fields that are used; others are ignored.

    Examples
    ========

    >>> make_settings({"node_name": "a"})
    Traceback (most recent call last):
    ...
    mulleinreach.platform.settings.SettingsError: field 'internal_ports' is missing
    """
    reader = _FieldReader(fields)
    peer_port = reader.first_port("internal_ports")
    ip = reader.text("ip")
    identity = GatewayIdentity(
        name=reader.text("node_name"),
        hall=reader.text("zone"),
        callers=reader.address("listen.front"),
        readiness=reader.address("listen.readiness"),
        peers=Address(ip, peer_port),
        metrics=Address(ip, peer_port + METRICS_PORT_OFFSET),
        is_first_start=reader.flag("bootstrap"),
        processor_cores=reader.number("limits.cores") * reader.number("limits.cpu_fraction"),
        link_mbps=reader.optional("limits.link_mbps", GatewayIdentity.link_mbps),
        regions=reader.entries("zones."),
    )
    bounds = Bounds(
        key_evidence_s=KEY_EVIDENCE_SHARE * _key_bound_s(reader),
        trusts_keys_in_outages=not reader.flag("bounds.strict_revoke"),
        config_s=reader.seconds("bounds.config_ms"),
        leaving_s=reader.seconds("bounds.drain_ms"),
        stop_grace_s=reader.number("bounds.grace_s"),
        stall_s=reader.seconds("bounds.stall_ms"),
        retry_ratio=reader.number("bounds.retry_budget_ratio"),
        retry_slack=reader.number("bounds.retry_slack"),
        retry_window_s=reader.number("bounds.budget_window_s"),
        evacuation_s=reader.optional("bounds.evac_ms", 1000 * Bounds.evacuation_s) / 1000,
        cold_ratio=reader.optional("bounds.cold_overage", Bounds.cold_ratio),
        cold_slack=reader.optional("bounds.cold_slack", Bounds.cold_slack),
        halls_at_once=int(reader.optional("fault_tolerance.zones", Bounds.halls_at_once)),
    )
    return PlatformSettings(
        identity,
        bounds,
        reader.address("platform.address"),
        engines_check_token=reader.flag("bounds.require_fence"),
    )


def _key_bound_s(reader: _FieldReader) -> float:
    """Return how long after it was taken away a key may still be accepted.

    ``strict_revoke`` binds every node within ``revoke_ms``. Where it is false, keys are
    like the rest of a configuration: in force within ``config_ms``, and ``outer_ms``
    later at a node that the store turns away while it serves others.
    """
    if reader.flag("bounds.strict_revoke"):
        return reader.seconds("bounds.revoke_ms")
    return reader.seconds("bounds.config_ms") + reader.seconds("bounds.outer_ms")


class _FieldReader:
    """Reads typed fields."""

    def __init__(self, fields: dict[str, str]):
        self._fields = fields

    def text(self, name: str) -> str:
        value = self._fields.get(name, "")
        if not value:
            raise SettingsError(f"field {name!r} is missing")
        return value

    def address(self, name: str) -> Address:
        try:
            return Address.parse(self.text(name))
        except ValueError as error:
            raise SettingsError(f"field {name!r}: {error}") from error

    def number(self, name: str) -> float:
        value = self.text(name)
        try:
            number = float(value)
        except ValueError as error:
            raise SettingsError(f"field {name!r}: {value!r} is not a number") from error
        if not math.isfinite(number):
            raise SettingsError(f"field {name!r}: {value!r} is not finite")
        return number

    def optional(self, name: str, usual: float) -> float:
        """Return a number that not every deployment has."""
        return self.number(name) if self._fields.get(name) else usual

    def entries(self, prefix: str) -> dict[str, str]:
        """Return the fields of a table, by what follows on its name."""
        return {
            name.removeprefix(prefix): value
            for name, value in self._fields.items()
            if name.startswith(prefix)
        }

    def flag(self, name: str) -> bool:
        value = self.text(name)
        if value not in ("true", "false"):
            raise SettingsError(f"field {name!r}: {value!r} is neither 'true' nor 'false'")
        return value == "true"

    def seconds(self, name: str) -> float:
        return self.number(name) / 1000

    def first_port(self, name: str) -> int:
        value = self.text(name).partition(",")[0]
        if not value.isdigit():
            raise SettingsError(f"field {name!r}: {value!r} is not a port")
        return int(value)
