"""Small shared modules: errors, clocks, logs, hashing, tasks and the network."""

from mulleinreach.common.clock import Clock, VirtualClock
from mulleinreach.common.errors import Code, MulleinreachError, Ran
from mulleinreach.common.hashing import rendezvous_rank
from mulleinreach.common.log import BoundedEventLog, EventLog
from mulleinreach.common.net import Address, Network
from mulleinreach.common.tasks import TaskGroup, repeat

__all__ = [
    "Address",
    "BoundedEventLog",
    "Clock",
    "Code",
    "EventLog",
    "MulleinreachError",
    "Network",
    "Ran",
    "TaskGroup",
    "VirtualClock",
    "rendezvous_rank",
    "repeat",
]
