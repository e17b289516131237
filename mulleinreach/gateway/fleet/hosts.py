"""The coordinator's state of hosts and groups beyond the host list: lost, busy, ended."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import dataclass, replace

from mulleinreach.common import Clock
from mulleinreach.gateway.fleet.retirements import Retirements
from mulleinreach.gateway.state.groups import Group
from mulleinreach.gateway.state.upstream_follower import RELISTING_GRACE_S
from mulleinreach.gateway.state.upstreams import UpstreamDirectory
from mulleinreach.gateway.upstream import MemberState, Upstream, UpstreamState, model_of_group

LOST_RETENTION_S = 30.0
# Relative duration of a host's work; 1.0 is usual.
MAX_NORMAL_PACE = 1.6
MAX_PACE_AGE_S = 3.0
# The list shows within this time that a head has left its group.
END_VISIBLE_S = 1.0
MAX_END_RETRY_DOUBLINGS = 4
NEVER = float("-inf")


@dataclass
class EndedGroup:
    """A group that this coordinator dissolved, and the members that have left it.

    ``left_members`` is ``None`` if the head has left, which frees all members;
    ``attempts`` counts how often the group was ordered to end.
    """

    ended_at: float
    left_members: set[str] | None
    attempts: int = 1


@dataclass(frozen=True)
class GroupDeparture:
    """A host's accepted order to leave a group, which is given by name and epoch.

    A host that is a member of another group accepts such an order too, and stays there.
    """

    key: tuple[str, int]
    left_at: float


@dataclass(frozen=True)
class PendingFormation:
    """A group or a standby host that is being formed."""

    domain: str
    model: str
    is_group: bool


class HostRegistry:
    """Hosts by id, from the host list, their own reports and the coordinator's probes.

    Explanation
    ===========

    A host is *lost* if it did not respond to a probe or an order, or if its hall is down;
    upstreams without a domain are lost only with their hall. Hosts that left the list
    are kept, since they may still run.

    Parameters
    ==========

    longest_timeout_s : returns the longest time that a request to a service may take.
    """

    def __init__(
        self,
        directory: UpstreamDirectory,
        clock: Clock,
        longest_timeout_s: Callable[[str], float],
    ):
        self._directory = directory
        self._clock = clock
        self.retirements = Retirements(longest_timeout_s, clock)
        self._last_model: dict[str, str] = {}
        self._ever_listed: dict[str, Upstream] = {}
        self._lost_at: dict[str, float] = {}
        self._silent_since: dict[str, float] = {}
        self._paces: dict[str, tuple[float, float]] = {}
        self._running: dict[str, int] = {}
        self._cold_until: dict[str, float] = {}
        self._delisted_at: dict[str, float] = {}
        self._departures: dict[str, GroupDeparture] = {}
        self._heads: dict[tuple[str, int], str] = {}
        self._ended: dict[tuple[str, int], EndedGroup] = {}
        self._missing_since: dict[tuple[str, str], list[float]] = {}
        self._forming_ids = itertools.count()
        self._grace_ends_at = NEVER
        self.forming: dict[int, PendingFormation] = {}
        self.busy: set[str] = set()
        self.down_halls: set[str] = set()

    def refresh(self, service: str) -> None:
        """Update the hosts of a service from the latest list."""
        for host, upstream in self._ever_listed.items():
            if upstream.service == service and self._directory.get(host) is None:
                self._delisted_at.setdefault(host, self._clock.now())
        for upstream in self._directory.of_service(service):
            self._delisted_at.pop(upstream.id, None)
            self._update_cold_deadline(upstream)
            self._ever_listed[upstream.id] = upstream
            if upstream.models and not self.is_lost(upstream.id):
                self._last_model[upstream.id] = upstream.models[0]
            membership = upstream.membership
            if membership is not None and membership.rank == 0:
                self._heads[upstream.group_key] = upstream.id

    def _update_cold_deadline(self, upstream: Upstream) -> None:
        """Set the end of a host's cold period when its row is new or announces another one."""
        before = self._ever_listed.get(upstream.id)
        if before is None or before.cold_s != upstream.cold_s:
            self._cold_until[upstream.id] = self._clock.now() + upstream.cold_s

    def cold_s(self, host: str) -> float:
        """Return the remaining cold period of a host in seconds; 0 if it is warm."""
        return max(0.0, self._cold_until.get(host, NEVER) - self._clock.now())

    def merge_report(self, report: Upstream, as_of: float) -> bool:
        """Apply a host's own report; returns whether it is newer than the known state.

        Any report shows that the host is not lost.
        """
        is_newer = self._directory.apply_report(report, as_of)
        if not self.is_listed(report.id):
            self._ever_listed[report.id] = report
        self._lost_at.pop(report.id, None)
        self._silent_since.pop(report.id, None)
        self._paces[report.id] = (report.pace, self._clock.now())
        self._running[report.id] = report.running
        return is_newer

    def record_left(self, host: str, group: Group) -> None:
        """Record that a host accepted the order to leave a group, before its row shows it."""
        now = self._clock.now()
        self._departures[host] = GroupDeparture((group.name, group.epoch), now)
        known = self._directory.get(host)
        if known is not None and is_member(known, group):
            self._directory.apply_report(replace(known, models=(), membership=None), now)

    def has_left_since(self, host: str, key: tuple[str, int] | None, since: float) -> bool:
        """Whether a host accepted an order to leave exactly this group since a time."""
        departure = self._departures.get(host)
        return departure is not None and departure.key == key and departure.left_at >= since

    def reported_running(self, host: str) -> int | None:
        """Return how many requests a host last reported, ``None`` if it wasn't asked."""
        return self._running.get(host)

    def pace(self, host: str) -> float:
        """Return a host's recently reported pace: the duration of its work, 1.0 if usual."""
        pace, reported_at = self._paces.get(host, (1.0, 0.0))
        return pace if self._clock.now() - reported_at < MAX_PACE_AGE_S else 1.0

    def is_slow(self, host: str) -> bool:
        """Whether a host recently reported that its work takes much longer than usual."""
        return self.pace(host) > MAX_NORMAL_PACE

    def mark_lost(self, host: str, is_refused: bool = False) -> None:
        """Record that a host does not respond, or refuses connections."""
        self._lost_at[host] = self._clock.now()
        self._silent_since.setdefault(host, self._clock.now())
        if is_refused:
            self._silent_since[host] = NEVER

    def silent_s(self, host: str) -> float:
        """Return for how many seconds a lost host may only have been silent.

        Infinite if there is evidence that its process has ended; 0 if it isn't lost.
        """
        if not self.is_lost(host):
            return 0.0
        if self._directory.is_replaced(host) or not self.is_listed(host):
            return float("inf")
        return self._clock.now() - self._silent_since.get(host, NEVER)

    def is_lost(self, host: str) -> bool:
        """Whether a host does not respond, was restarted, or is in a hall that is down.

        A restart replaces the host by one with another id and no state.
        """
        return (
            host in self._lost_at or self._directory.is_replaced(host) or self.is_in_down_hall(host)
        )

    def lost(self) -> list[str]:
        """Return all lost upstreams, including those without a domain."""
        in_halls = [u for hall in sorted(self.down_halls) for u in self.upstreams_in_hall(hall)]
        return list(dict.fromkeys(self.individually_lost() + in_halls))

    def individually_lost(self) -> list[str]:
        """Return the hosts that did not respond individually."""
        oldest = self._clock.now() - LOST_RETENTION_S
        self._lost_at = {h: at for h, at in self._lost_at.items() if at > oldest}
        self._silent_since = {h: at for h, at in self._silent_since.items() if h in self._lost_at}
        return list(self._lost_at)

    # Halls.

    def upstreams_in_hall(self, hall: str) -> dict[str, Upstream]:
        """Return the upstreams of a hall that are on the list, by id."""
        whole = self._directory.whole()
        return {u.id: u for u in whole.upstreams if u.hall == hall} if whole else {}

    def is_in_down_hall(self, host: str) -> bool:
        """Whether a host is in a hall that is down."""
        known = self.get(host) if self.down_halls else None
        return known is not None and known.hall in self.down_halls

    def mark_hall_down(self, hall: str) -> None:
        """Record that a hall is down."""
        self.down_halls.add(hall)

    def mark_hall_up(self, hall: str, recovered: set[str]) -> None:
        """Record that a hall is up again.

        All hosts but those in ``recovered`` stay lost until they respond. The models that
        were loaded before the failure are forgotten, since a power loss clears them.
        """
        self.down_halls.discard(hall)
        for host, upstream in self.upstreams_in_hall(hall).items():
            self._last_model.pop(host, None)
            if host in recovered:
                self._lost_at.pop(host, None)
                self._silent_since.pop(host, None)
            elif upstream.domain is not None:
                self.mark_lost(host)

    def last_model(self, host: str) -> str | None:
        """Return the model of a host's last group, or ``None`` if unknown.

        A host reports its model only while it serves; for other members a new coordinator
        derives it from the name of the group.
        """
        known = self._last_model.get(host)
        upstream = self.get(host)
        if known is not None or upstream is None or upstream.membership is None:
            return known
        is_joined = upstream.membership.state is not MemberState.JOINING
        return model_of_group(upstream.membership.group) if is_joined else None

    def get(self, host: str) -> Upstream | None:
        """Return a host that is or was listed."""
        return self._directory.get(host) or self._ever_listed.get(host)

    def delisted_for_s(self, host: str) -> float:
        """Return for how many seconds a host has not been listed; 0 if it is listed.

        Infinite for a host that was restarted, since its id never returns.
        """
        if self._directory.is_replaced(host):
            return float("inf")
        since = self._delisted_at.get(host)
        return 0.0 if since is None else self._clock.now() - since

    def is_listed(self, host: str) -> bool:
        """Whether a host is on the list."""
        return self._directory.get(host) is not None

    def usable(self, service: str) -> list[Upstream]:
        """Return the hosts that may join groups."""
        return [
            u
            for u in self._directory.of_service(service)
            if u.state is UpstreamState.READY and not self.is_lost(u.id)
        ]

    def listed(self, service: str) -> list[Upstream]:
        """Return all listed hosts of a service."""
        return self._directory.of_service(service)

    def ever_listed(self) -> list[Upstream]:
        """Return all hosts that were ever listed."""
        return list(self._ever_listed.values())

    def record_model(self, host: str, model: str) -> None:
        """Record the model of a host's latest group."""
        self._last_model[host] = model

    def has_lost_member(self, group: Group) -> bool:
        """Whether any member of a group is lost."""
        return any(self.is_lost(member.id) for member in group.members.values())

    # Groups.

    def begin_forming(self, domain: str, model: str, is_group: bool) -> int:
        """Record that a group is being formed; returns an id for :meth:`end_forming`."""
        forming_id = next(self._forming_ids)
        self.forming[forming_id] = PendingFormation(domain, model, is_group)
        return forming_id

    def end_forming(self, forming_id: int) -> None:
        """Record that forming a group has succeeded or failed."""
        self.forming.pop(forming_id, None)

    def mark_ended(self, group: Group, left_members: set[str] | None) -> None:
        """Record the members that have left a group; ``None`` if the head has left."""
        key = (group.name, group.epoch)
        self.retirements.end(key)
        known = self._ended.get(key)
        if left_members is not None and known is not None:
            left_members = None if known.left_members is None else known.left_members | left_members
        attempts = 1 if known is None else known.attempts + 1
        self._ended[key] = EndedGroup(self._clock.now(), left_members, attempts)

    def begin_term(self, is_first_holder: bool) -> None:
        """Clear the operations in progress of an earlier term, and start the grace period.

        Parameters
        ==========

        is_first_holder : whether this term is the first one, which needs no grace period.
        """
        self._grace_ends_at = NEVER if is_first_holder else self._clock.now() + RELISTING_GRACE_S
        self.busy.clear()
        self.retirements.clear()
        self._missing_since.clear()

    def is_in_grace_period(self) -> bool:
        """Whether missing hosts may only have expired from the list before this term.

        Rows expire while the store is unavailable, and running hosts are listed again soon
        after it recovers. A new coordinator cannot know how long the outage was.
        """
        return self._clock.now() < self._grace_ends_at

    def record_missing_group(self, domain: str, model: str) -> None:
        """Record that a serving group is being dissolved."""
        self._missing_since.setdefault((domain, model), []).append(self._clock.now())

    def pop_missing_s(self, domain: str, model: str) -> float | None:
        """Return for how many seconds the group replaced by a new one was missing."""
        since = self._missing_since.get((domain, model))
        return self._clock.now() - since.pop(0) if since else None

    def cancel_end(self, key: tuple[str, int]) -> bool:
        """Cancel the end of a group if no member has left it; returns whether it did."""
        ended = self._ended[key]
        if ended.left_members is None or ended.left_members:
            return False
        del self._ended[key]
        return True

    def has_left(self, host: str, key: tuple[str, int]) -> bool:
        """Whether a host is free of a group that this coordinator dissolved.

        A member that did not respond has not left, and stays bound until the head has.
        """
        ended = self._ended.get(key)
        return ended is not None and (ended.left_members is None or host in ended.left_members)

    def ended_for_s(self, key: tuple[str, int]) -> float | None:
        """Return how many seconds ago this coordinator dissolved a group, or ``None``."""
        ended = self._ended.get(key)
        return None if ended is None else self._clock.now() - ended.ended_at

    def may_retry_end(self, key: tuple[str, int]) -> bool:
        """Whether a group that still appears may be ordered to end again.

        The delay doubles with each attempt.
        """
        ended = self._ended[key]
        doublings = min(ended.attempts - 1, MAX_END_RETRY_DOUBLINGS)
        return self._clock.now() - ended.ended_at >= END_VISIBLE_S * 2**doublings

    def head_of(self, key: tuple[str, int]) -> Upstream | None:
        """Return the last known head of a group, listed or not."""
        head = self._heads.get(key)
        return None if head is None else self.get(head)


def is_serving(group: Group) -> bool:
    """Whether a group's head reports that it accepts or finishes requests."""
    head = group.head
    if head is None or head.membership is None:
        return False
    return head.membership.state in (MemberState.OPEN, MemberState.CLOSING)


def is_standby(group: Group) -> bool:
    """Whether this is the group of a standby, which has one member and is never opened."""
    return len(group.members) == 1 and not is_serving(group) and group.head is not None


def is_member(host: Upstream, group: Group) -> bool:
    """Whether a host reports that it is a member of a group."""
    return host.group_key == (group.name, group.epoch)
