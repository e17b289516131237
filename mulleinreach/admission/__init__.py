"""Admission control: API keys, limits of organisations, and the request queue."""

from mulleinreach.admission.keys import KeyTable, hash_key
from mulleinreach.admission.queue import AdmissionQueue, Ticket
from mulleinreach.admission.shares import DistributedLimiter

__all__ = ["AdmissionQueue", "DistributedLimiter", "KeyTable", "Ticket", "hash_key"]
