"""What a node is told of its deployment: the operators' bounds, and who it is."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from mulleinreach.common import Address


@dataclass(frozen=True)
class DeploymentBounds:
    """Times and shares that the operators of a deployment have agreed on.

    Parameters
    ==========

    max_key_evidence_age_s : the greatest age of evidence on which a key is accepted.
    trusts_keys_in_outages : whether keys are accepted for as long as no node can read
        the store. Elsewhere a key that was taken away must stop working in any case.
    leaving_propagation_s, config_propagation_s : how soon nodes must have heard that an upstream leaves, and of a
        new configuration.
    stop_grace_s : the time between the order to stop and the kill.
    group_stall_s : how long a head with a missing member stands still before it breaks.
    retry_ratio, retry_slack, retry_window_s : the budget of second sends of a service.
    evacuation_s : how soon after an operator's request a hall's upstreams get nothing more.
    cold_ratio, cold_slack : the requests a second that a cold upstream may get from all
        nodes together: the ratio times what its service tells, and the slack.
    max_lost_halls : how many halls may be lost at once with all promises kept.
    heartbeat_s : how often upstreams write their rows.
    """

    max_key_evidence_age_s: float = 4.5
    trusts_keys_in_outages: bool = False
    leaving_propagation_s: float = 2.0
    config_propagation_s: float = 2.0
    stop_grace_s: float = 8.0
    group_stall_s: float = 5.0
    retry_ratio: float = 0.2
    retry_slack: float = 100.0
    retry_window_s: float = 10.0
    evacuation_s: float = 5.0
    cold_ratio: float = 1.0
    cold_slack: float = 0.0
    max_lost_halls: int = 0
    heartbeat_s: float = 1.2


@dataclass(frozen=True)
class GatewayIdentity:
    """Who a node is and where it listens.

    Parameters
    ==========

    processor_cores : how much processor time the node may use.
    link_mbps : how many megabits a second its link carries.
    is_first_start : whether the whole system starts for the first time, before any request.
    regions : the region of each hall of the deployment, by the hall's name.
    """

    name: str
    hall: str
    callers: Address
    readiness: Address
    peers: Address
    metrics: Address | None = None
    processor_cores: float = 1.0
    link_mbps: float = 1000.0
    is_first_start: bool = False
    regions: Mapping[str, str] = field(default_factory=dict)
