"""Groups that take no new requests and finish those in flight before they are dissolved."""

from __future__ import annotations

import enum
from collections.abc import Callable
from dataclasses import dataclass

from mulleinreach.common import Clock
from mulleinreach.gateway.upstream import Upstream

# Covers the reports of nodes after the last request of a group.
END_MARGIN_S = 0.5
# A group that is still listed is dissolved within this time after its retirement.
RETENTION_S = 0.3


class RetirementReason(enum.StrEnum):
    """Why a group has to end, or may have to."""

    MEMBER_DRAINS = "a member drains"
    MEMBER_UNHEARD = "a member doesn't respond, and the group works"
    MEMBER_SLOW = "a member is slow"
    MEMBER_SILENT = "a member is silent"
    HEAD_DELISTED = "the head is off the list"
    HOSTS_MOVE = "hosts move to another model"


# The head is of little use in this time, so requests that can go on elsewhere move at once.
_URGENT_REASONS = frozenset({RetirementReason.MEMBER_SLOW, RetirementReason.MEMBER_SILENT})


@dataclass(frozen=True)
class Retirement:
    """A group that accepts no new requests, and is dissolved after those in flight.

    Parameters
    ==========

    ends_at : by when the requests in flight have reached the timeouts of their routes.
    """

    head: str
    reason: RetirementReason
    began_at: float
    ends_at: float

    @property
    def is_urgent(self) -> bool:
        """Whether requests that can go on elsewhere should move at once."""
        return self.reason in _URGENT_REASONS


class Retirements:
    """The retiring groups of this coordinator's term.

    Parameters
    ==========

    longest_timeout_s : returns the longest time that a request to a service may take.
    """

    def __init__(self, longest_timeout_s: Callable[[str], float], clock: Clock):
        self._longest_timeout_s = longest_timeout_s
        self._clock = clock
        self._by_key: dict[tuple[str, int], Retirement] = {}

    def begin(self, key: tuple[str, int], head: Upstream, reason: RetirementReason) -> None:
        """Let a group finish its requests in flight and accept no new ones."""
        now = self._clock.now()
        ends_at = now + self.max_duration_s(head.service)
        self._by_key[key] = Retirement(head.id, reason, now, ends_at)

    def max_duration_s(self, service: str) -> float:
        """Return how long the retirement of a group of a service takes at most."""
        return self._longest_timeout_s(service) + END_MARGIN_S

    def end(self, key: tuple[str, int]) -> None:
        """Forget the retirement of a group that is dissolved or goes on serving."""
        self._by_key.pop(key, None)

    def get(self, key: tuple[str, int]) -> Retirement | None:
        """Return the retirement of a group, ``None`` if it isn't retiring."""
        return self._by_key.get(key)

    def yields_hosts(self, key: tuple[str, int]) -> bool:
        """Whether a group is retiring so that its hosts can move to another model."""
        retirement = self._by_key.get(key)
        return retirement is not None and retirement.reason is RetirementReason.HOSTS_MOVE

    def current(self) -> list[Retirement]:
        """Return all retirements, without those of groups that must be gone."""
        oldest = self._clock.now() - RETENTION_S
        self._by_key = {key: r for key, r in self._by_key.items() if r.ends_at > oldest}
        return list(self._by_key.values())

    def cancel_moves(self) -> None:
        """Return groups that retire for a move to service, since no orders can be sent."""
        self._by_key = {
            key: r for key, r in self._by_key.items() if r.reason is not RetirementReason.HOSTS_MOVE
        }

    def clear(self) -> None:
        """Forget all retirements, which belong to an earlier term."""
        self._by_key.clear()
