"""This node's share of a bound that holds for all nodes together, and what it has used of it.

The coordinator leases shares to the nodes. A node that receives no reports keeps its share until
the lease of the share ends, so that the coordinator knows when it may give the share to others.
"""

from __future__ import annotations

from dataclasses import dataclass

from mulleinreach.common import Clock
from mulleinreach.gateway.deployment import DeploymentBounds
from mulleinreach.gateway.state.arrivals import SendCharge

# Longer than it takes to replace a coordinator whose lease has to expire first.
SHARE_DURATION_S = 4.0
# For so long a refused retry shows that a node needs more; longer than two reports.
WANTED_FOR_S = 0.5


@dataclass(frozen=True)
class ShareLease:
    """A share that a coordinator leases to a node.

    Parameters
    ==========

    fraction : the part of the whole bound.
    number : rises with each lease of another fraction, also from one coordinator to the next; 0
        if the coordinator's release numbers none.
    """

    fraction: float
    number: int = 0


@dataclass(frozen=True)
class HeldShare:
    """What a node reports of its share.

    Parameters
    ==========

    fraction : the unexpired share; 0 if there is none.
    number : the number of its lease, which shows that no earlier one is used any more.
    used : the part of the whole bound that what it sent under its shares may still use up.
    is_released : whether the node uses no share any more, as it ends.
    wanted : the part of the whole bound that it lacks for retries that were refused just now.
    """

    fraction: float = 0.0
    number: int = 0
    used: float = 0.0
    is_released: bool = False
    wanted: float = 0.0


@dataclass(frozen=True)
class _ShareUse:
    """A retry, and the part of it that the ratio of requests doesn't cover."""

    charge: SendCharge
    part: float


class LeasedShare:
    """A fraction of the slack of services' retry budgets, used until its lease ends."""

    def __init__(self, clock: Clock, bounds: DeploymentBounds):
        self._clock = clock
        self._bounds = bounds
        self._lease = ShareLease(0.0)
        self._asked_at = float("-inf")
        self._is_released = False
        self._uses: dict[str, list[_ShareUse]] = {}
        # By service, which requests a retry was refused to, and when.
        self._refused: dict[str, dict[str, float]] = {}

    def receive(self, lease: ShareLease, asked_at: float) -> None:
        """Replace the share by one that the coordinator has leased to this node.

        Parameters
        ==========

        asked_at : when this node sent the report that the coordinator answers, which is no later
            than the coordinator's decision.
        """
        if asked_at >= self._asked_at:
            self._lease, self._asked_at = lease, asked_at

    def release(self) -> None:
        """Use no share any more, also none that is leased later."""
        self._is_released = True

    @property
    def age_s(self) -> float:
        """Time since this node asked for the share in seconds; infinite if it never had one."""
        return self._clock.now() - self._asked_at

    @property
    def fraction(self) -> float:
        """The share as a fraction of the whole bound; 0 after the end of its lease."""
        is_held = self.age_s < SHARE_DURATION_S and not self._is_released
        return self._lease.fraction if is_held else 0.0

    @property
    def slack(self) -> float:
        """The retries of a service that this share allows in a window."""
        return self.fraction * self._bounds.retry_slack

    def use(self, service: str) -> float:
        """Return what counts in the current window under the share, in retries of a service."""
        uses = [use for use in self._uses.get(service, ()) if use.charge.counts]
        self._uses[service] = uses
        return sum(use.part for use in uses)

    def may_use(self, service: str, part: float) -> bool:
        """Whether the share allows a part of one more retry of a service."""
        return self.use(service) + part <= self.slack

    def charge(self, service: str, charge: SendCharge, part: float) -> None:
        """Count the part of a retry that is sent under the share."""
        self._uses.setdefault(service, []).append(_ShareUse(charge, part))

    def note_refused(self, service: str, request_id: str) -> None:
        """Record that a request lacks a retry, until it gets one or asks no more."""
        self._refused.setdefault(service, {})[request_id] = self._clock.now()

    def note_granted(self, service: str, request_id: str) -> None:
        """Record that a request lacks no retry."""
        self._refused.get(service, {}).pop(request_id, None)

    def held(self) -> HeldShare:
        """Return what the coordinator has to know of this share."""
        return HeldShare(
            self.fraction, self._lease.number, self._used(), self._is_released, self._wanted()
        )

    def _wanted(self) -> float:
        """Return the part of the bound that the service lacks to which most was refused."""
        since = self._clock.now() - WANTED_FOR_S
        self._refused = {
            service: {request: at for request, at in refused.items() if at >= since}
            for service, refused in self._refused.items()
        }
        most = max((len(refused) for refused in self._refused.values()), default=0)
        return self._part_of_bound(most)

    def _used(self) -> float:
        """Return the used part of the bound of the service that has used the most."""
        most = max((self.use(service) for service in list(self._uses)), default=0.0)
        return self._part_of_bound(most)

    def _part_of_bound(self, retries: float) -> float:
        slack = self._bounds.retry_slack
        return min(1.0, retries / slack) if slack else 0.0
