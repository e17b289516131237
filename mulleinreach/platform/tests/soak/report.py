"""What a soak saw."""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass, field


@dataclass(frozen=True)
class BegunFault:
    """A fault that began; ``at`` is the system's time of day, as in the gateways' logs."""

    name: str
    at: float


@dataclass
class SoakReport:
    """What a soak saw; ``broken`` is empty if every promise was kept.

    Parameters
    ==========

    most_retries : by service, the most retries that arrived in a window of its budget.
    excessive_attempts : requests that ran on more hosts than their route allows.
    excessive_deadlines : sends that gave an upstream more time than their caller waits.
    late_fatal : arrivals of requests that crash replicas, after these should have been known.
    retry_bound_used : by service, the largest part of the bound on retries that was used.
    lost : requests that were read and whose connections ended without an answer.
    broken_runs : streams that the hosts of this process broke off before their last event.
    """

    seed: int
    broken: list[str] = field(default_factory=list)
    answers: Counter = field(default_factory=Counter)
    faults: Counter = field(default_factory=Counter)
    most_retries: dict[str, int] = field(default_factory=dict)
    excessive_attempts: int = 0
    excessive_deadlines: int = 0
    late_fatal: int = 0
    retry_bound_used: dict[str, float] = field(default_factory=dict)
    lost: int = 0
    broken_runs: int = 0
    begun_faults: list[BegunFault] = field(default_factory=list)

    def note_fault(self, name: str) -> None:
        """Note that a fault begins."""
        self.faults[name] += 1
        self.begun_faults.append(BegunFault(name, time.time()))

    def to_json(self) -> dict:
        """Return the report in the form in which ``--report`` writes it."""
        return {
            "seed": self.seed,
            "broken": self.broken,
            "answers": dict(self.answers),
            "faults": dict(self.faults),
            "most_retries": self.most_retries,
            "excessive_attempts": self.excessive_attempts,
            "excessive_deadlines": self.excessive_deadlines,
            "late_fatal": self.late_fatal,
            "retry_bound_used": self.retry_bound_used,
            "lost": self.lost,
            "broken_runs": self.broken_runs,
        }
