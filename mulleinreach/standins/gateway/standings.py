"""What hosts know of their groups, and what a host needs of its fabric."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from mulleinreach.gateway.upstream import MemberState
from mulleinreach.standins.gateway.store import MemoryStore


@dataclass
class Standing:
    """What a host knows of its group."""

    group: str
    epoch: int
    model: str
    members: tuple[str, ...]
    state: MemberState


@dataclass(frozen=True)
class ColdStart:
    """A run that began at a cold host.

    Parameters
    ==========

    at : the loop's time.
    told_for_s : for how long the host's row had told that it is cold; negative if it hadn't.
    """

    host_id: str
    at: float
    told_for_s: float


@dataclass
class RunProgress:
    """How far a run has come.

    Parameters
    ==========

    began_at : the loop's time.
    events : which it has to make in all.

    Examples
    ========

    >>> progress = RunProgress(began_at=10.0, events=4)
    >>> progress.would_end_at(gap_s=0.5)
    12.0
    >>> progress.note_event(11.0)
    >>> progress.would_end_at(gap_s=0.5)
    14.0
    """

    began_at: float
    events: int
    made: int = 0
    latest_at: float = 0.0

    def note_event(self, now: float) -> None:
        """Note that an event was made."""
        self.made += 1
        self.latest_at = now

    def would_end_at(self, gap_s: float) -> float:
        """Return when the last event would come at the pace of those that were made.

        Parameters
        ==========

        gap_s : the time between two events, as long as none was made.
        """
        if not self.made:
            return self.began_at + self.events * gap_s
        return self.began_at + (self.latest_at - self.began_at) * self.events / self.made


@dataclass(frozen=True)
class BrokenRun:
    """A run that its group broke off, since it lacked a member or was told to leave.

    Parameters
    ==========

    began_at : the loop's time.
    would_end_at : when its last event would have come at the pace of the others.
    """

    request_id: str
    members: tuple[str, ...]
    began_at: float
    broken_at: float
    would_end_at: float


@dataclass
class FabricChecks:
    """What broke a promise, which members were ever ready, and what ran or loaded when."""

    broken: list[str] = field(default_factory=list)
    ready: set[tuple[str, int, str]] = field(default_factory=set)
    runs: dict[str, list[str]] = field(default_factory=dict)
    started_at: dict[str, list[float]] = field(default_factory=dict)
    priorities: dict[str, list[str]] = field(default_factory=dict)
    cold_starts: list[ColdStart] = field(default_factory=list)
    loads_begun_at: list[float] = field(default_factory=list)
    broken_runs: list[BrokenRun] = field(default_factory=list)


class HostFabric(Protocol):
    """What a host needs of the fabric that it belongs to."""

    store: MemoryStore
    checks: FabricChecks

    def check_join(self, host_id: str, group: str, epoch: int) -> None:
        """Check that a host may join a group now."""

    def check_start(self, standing: Standing) -> None:
        """Check that a request may start in a group now."""

    def is_whole(self, standing: Standing) -> bool:
        """Whether all members still stand in the group."""

    def pace(self, standing: Standing) -> float:
        """Return the pace of a group's slowest member."""
