"""Shared utilities: errors, clocks, logging, hashing, background tasks and networking."""

from mulleinreach.common.address import Address
from mulleinreach.common.clock import Clock, VirtualClock
from mulleinreach.common.errors import Code, ExecutionStatus, MulleinreachError
from mulleinreach.common.hashing import rendezvous_rank
from mulleinreach.common.log import EventLog, RateLimitedEventLog
from mulleinreach.common.net import Network
from mulleinreach.common.tasks import TaskGroup, run_forever, run_periodically

__all__ = [
    "Address",
    "RateLimitedEventLog",
    "Clock",
    "Code",
    "EventLog",
    "MulleinreachError",
    "Network",
    "ExecutionStatus",
    "TaskGroup",
    "VirtualClock",
    "rendezvous_rank",
    "run_forever",
    "run_periodically",
]
