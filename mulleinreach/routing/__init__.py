"""Load balancing of requests over replicas."""

from mulleinreach.routing.replicas import Candidate, ReplicaTable
from mulleinreach.routing.router import Choice, Router

__all__ = ["Candidate", "Choice", "ReplicaTable", "Router"]
