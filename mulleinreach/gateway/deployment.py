"""The settings of a deployment and of one of its nodes."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from mulleinreach.common import Address


@dataclass(frozen=True)
class DeploymentBounds:
    """Time limits, quotas and the fault tolerance that a deployment must keep to.

    Parameters
    ==========

    max_key_evidence_age_s : the maximum age of the proof that the configuration is current
        with which API keys are accepted.
    trusts_keys_in_outages : whether keys are accepted while no node can read the store;
        otherwise a revoked key must stop working in an outage, too.
    leaving_propagation_s, config_propagation_s : the maximum time until all nodes know
        that an upstream is leaving, and a new configuration.
    stop_grace_s : the time between SIGTERM and SIGKILL.
    group_stall_s : how long a head hangs after the loss of a member until it reports a
        broken group.
    retry_ratio, retry_slack, retry_window_s : the retry quota of a service: in each window,
        the ratio times its requests, plus the slack.
    evacuation_s : the maximum time from an operator's evacuation request until the hall's
        upstreams get no more requests.
    cold_ratio, cold_slack : the limit on requests per second to a cold upstream from all
        nodes together: the ratio times ``cold_per_s`` of its service, plus the slack.
    max_lost_halls : the number of halls whose simultaneous loss must be tolerated.
    heartbeat_s : the interval at which upstreams write their rows.
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
    """The name, location, addresses and resources of a node.

    Parameters
    ==========

    callers_address, readiness_address, peers_address, tunnel_address, metrics_address : where
        the node accepts requests of callers, readiness probes, reports of other nodes, their
        requests for tunnels, and requests for its metrics; ``None`` for no metrics.
    processor_cores : the processor time that the node may use, in cores.
    link_mbps : the bandwidth of its network link, in megabits per second.
    memory_mb, max_descriptors : the memory and the open descriptors that its process may have.
    is_first_start : whether the whole system starts for the first time, without a lease.
    regions : the region of each hall of the deployment, by the hall's name.
    """

    name: str
    hall: str
    callers_address: Address
    readiness_address: Address
    peers_address: Address
    tunnel_address: Address
    metrics_address: Address | None = None
    processor_cores: float = 1.0
    link_mbps: float = 1000.0
    memory_mb: float = 300.0
    max_descriptors: int = 4096
    is_first_start: bool = False
    regions: Mapping[str, str] = field(default_factory=dict)
