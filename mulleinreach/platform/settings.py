"""Reads the settings file that the platform provides to a gateway process."""

from __future__ import annotations

from dataclasses import dataclass

from mulleinreach.common import Address
from mulleinreach.common.fields import FieldReader, SettingsError, parse_lines
from mulleinreach.gateway.deployment import DeploymentBounds, GatewayIdentity

METRICS_PORT_OFFSET = 1
TUNNEL_PORT_OFFSET = 2
# Leaves time for a revocation to reach the node; the bound starts at its acknowledgement.
KEY_EVIDENCE_BOUND_RATIO = 0.9


@dataclass(frozen=True)
class PlatformSettings:
    """Settings of a gateway process.

    Parameters
    ==========

    engines_check_token : whether engines reject orders with an outdated fencing token.
    """

    identity: GatewayIdentity
    bounds: DeploymentBounds
    store: Address
    engines_check_token: bool


def read_settings(path: str) -> PlatformSettings:
    """Return the settings in a file; raises :class:`SettingsError`."""
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"can't read {path!r}: {error}") from error
    return make_settings(parse_lines(text))


def make_settings(fields: dict[str, str]) -> PlatformSettings:
    """Return the settings in validated fields; unknown fields are ignored.

    Examples
    ========

    >>> make_settings({"node_name": "a"})
    Traceback (most recent call last):
    ...
    mulleinreach.common.fields.SettingsError: field 'internal_ports' is missing
    """
    reader = FieldReader(fields)
    peer_port = reader.first_port("internal_ports")
    ip = reader.text("ip")
    identity = GatewayIdentity(
        name=reader.text("node_name"),
        hall=reader.text("zone"),
        callers_address=reader.address("listen.front"),
        readiness_address=reader.address("listen.readiness"),
        peers_address=Address(ip, peer_port),
        tunnel_address=Address(ip, peer_port + TUNNEL_PORT_OFFSET),
        metrics_address=Address(ip, peer_port + METRICS_PORT_OFFSET),
        is_first_start=reader.flag("bootstrap"),
        processor_cores=reader.number("limits.cores") * reader.number("limits.cpu_fraction"),
        link_mbps=reader.optional("limits.link_mbps", GatewayIdentity.link_mbps),
        memory_mb=reader.optional("limits.memory_mb", GatewayIdentity.memory_mb),
        max_descriptors=reader.optional_count("limits.max_fds", GatewayIdentity.max_descriptors),
        regions=reader.fields_with_prefix("zones."),
    )
    bounds = DeploymentBounds(
        max_key_evidence_age_s=KEY_EVIDENCE_BOUND_RATIO * _key_revocation_bound_s(reader),
        trusts_keys_in_outages=not reader.flag("bounds.strict_revoke"),
        config_propagation_s=reader.seconds("bounds.config_ms"),
        leaving_propagation_s=reader.seconds("bounds.drain_ms"),
        stop_grace_s=reader.number("bounds.grace_s"),
        group_stall_s=reader.seconds("bounds.stall_ms"),
        retry_ratio=reader.number("bounds.retry_budget_ratio"),
        retry_slack=reader.number("bounds.retry_slack"),
        retry_window_s=reader.number("bounds.budget_window_s"),
        evacuation_s=reader.optional("bounds.evac_ms", 1000 * DeploymentBounds.evacuation_s) / 1000,
        cold_ratio=reader.optional("bounds.cold_overage", DeploymentBounds.cold_ratio),
        cold_slack=reader.optional("bounds.cold_slack", DeploymentBounds.cold_slack),
        max_lost_halls=reader.optional_count("fault_tolerance.zones"),
        heartbeat_s=reader.optional("heartbeat_ms", 1000 * DeploymentBounds.heartbeat_s) / 1000,
    )
    return PlatformSettings(
        identity,
        bounds,
        reader.address("platform.address"),
        engines_check_token=reader.flag("bounds.require_fence"),
    )


def _key_revocation_bound_s(reader: FieldReader) -> float:
    """Return for how many seconds a revoked API key may still be accepted.

    With ``strict_revoke`` every node must stop accepting it within ``revoke_ms``. Otherwise
    keys change like other configuration, within ``config_ms``, or up to ``outer_ms`` later on
    a node that can't reach the store while other nodes can.
    """
    if reader.flag("bounds.strict_revoke"):
        return reader.seconds("bounds.revoke_ms")
    return reader.seconds("bounds.config_ms") + reader.seconds("bounds.outer_ms")
