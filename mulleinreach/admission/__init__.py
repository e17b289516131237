"""Who may send how much: keys, limits of organisations, and the queue under load."""

from mulleinreach.admission.keys import KeyTable, hash_key
from mulleinreach.admission.queue import AdmissionQueue, Ticket
from mulleinreach.admission.shares import DistributedLimiter

__all__ = ["AdmissionQueue", "KeyTable", "ShareLimits", "Ticket", "hash_key"]
