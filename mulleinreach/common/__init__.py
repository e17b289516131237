"""Small shared modules: errors, clocks, logs, hashing, tasks and the network."""

from mulleinreach.common.clock import Clock, VirtualClock
from mulleinreach.common.errors import Code, ExecutionStatus, MulleinreachError
from mulleinreach.common.hashing import rendezvous_rank
from mulleinreach.common.log import EventLog, RateLimitedEventLog
from mulleinreach.common.net import Address, Network
from mulleinreach.common.tasks import TaskGroup, run_periodically

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
    "repeat",
]
