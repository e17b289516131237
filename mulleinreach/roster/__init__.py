"""Nodes: connections between them, their messages, and leases on control duties."""

from mulleinreach.roster.lease import Lease
from mulleinreach.roster.link import KeyRing, PeerKey
from mulleinreach.roster.messages import (
    ConfigPush,
    Demand,
    Grant,
    HostReport,
    Ping,
    Pong,
    ReplicaReport,
    Withdrawal,
)
from mulleinreach.roster.roster import NodeRecord, PeerProtocol, Roster

__all__ = [
    "ConfigPush",
    "Demand",
    "Grant",
    "HostReport",
    "KeyRing",
    "Lease",
    "NodeRecord",
    "PeerKey",
    "PeerProtocol",
    "Ping",
    "Pong",
    "ReplicaReport",
    "Roster",
    "Withdrawal",
]
