"""What the coordinator knows of hosts beyond their list: who is busy, lost or free."""

from __future__ import annotations

import itertools
from dataclasses import dataclass, replace

from mulleinreach.common import Clock
from mulleinreach.gateway.known.upstream_following import RELISTING_GRACE_S
from mulleinreach.gateway.known.upstreams import Group, UpstreamDirectory
from mulleinreach.gateway.upstream import MemberState, Upstream, UpstreamState, model_of_group

LOST_RETENTION_S = 30.0
# Retiring takes less; what is older concerns a group that is gone from the list.
RETIRING_RETENTION_S = 8.0
MAX_NORMAL_PACE = 1.6
MAX_PACE_AGE_S = 3.0
# By then the list shows that a head has left its group.
END_VISIBLE_S = 1.0
MAX_END_RETRY_DOUBLINGS = 4
NEVER = float("-inf")


@dataclass
class EndedGroup:
    """A group that this coordinator ended, and who is known to have left it.

    ``left`` is ``None`` if the head has left, after which every member is free;
    ``tries`` counts how often the group was told to end.
    """

    ended_at: float
    left: set[str] | None
    tries: int = 1


@dataclass(frozen=True)
class RetiringGroup:
    """A group that takes nothing new, and is ended when it has finished its work.

    ``yields_hosts`` if its hosts are to serve another model.
    """

    head: str
    since: float
    yields_hosts: bool = False


@dataclass(frozen=True)
class GroupDeparture:
    """A group, by name and epoch, that a host was told to leave and took the order.

    A host that stands in another group takes such an order too, and stays there.
    """

    place: tuple[str, int]
    at: float


@dataclass(frozen=True)
class PendingFormation:
    """A group, or a standby on its own, that is being formed."""

    domain: str
    model: str
    is_group: bool


class HostRegistry:
    """Hosts by id: the list, what hosts reported themselves, and what was found out.

    Explanation
    ===========

    A host is *lost* when it gave no answer while its group stood still, or when its whole
    hall is down; plain upstreams are lost with their hall alone. A host
    that is on no list any more is remembered for a while, since it may still run.
    """

    def __init__(self, directory: UpstreamDirectory, clock: Clock):
        self._directory = directory
        self._clock = clock
        self._last_model: dict[str, str] = {}
        self._ever_listed: dict[str, Upstream] = {}
        self._lost_at: dict[str, float] = {}
        self._paces: dict[str, tuple[float, float]] = {}
        self._cold_until: dict[str, float] = {}
        self._delisted_at: dict[str, float] = {}
        self._left: dict[str, GroupDeparture] = {}
        self._heads: dict[tuple[str, int], str] = {}
        self._ended: dict[tuple[str, int], EndedGroup] = {}
        self._missing_since: dict[tuple[str, str], list[float]] = {}
        self._retiring: dict[tuple[str, int], RetiringGroup] = {}
        self._forming_ids = itertools.count()
        self._grace_ends_at = NEVER
        self.forming: dict[int, PendingFormation] = {}
        self.busy: set[str] = set()
        # Halls of which nothing answers.
        self.down_halls: set[str] = set()

    def refresh(self, service: str) -> None:
        """Take in the latest list."""
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
                self._heads[upstream.place] = upstream.id

    def _update_cold_deadline(self, upstream: Upstream) -> None:
        """Note until when a host is cold, as its row told when it was new here."""
        before = self._ever_listed.get(upstream.id)
        if before is None or before.cold_s != upstream.cold_s:
            self._cold_until[upstream.id] = self._clock.now() + upstream.cold_s

    def cold_s(self, host: str) -> float:
        """Return for how much longer a host is cold; 0 if it is warm."""
        return max(0.0, self._cold_until.get(host, NEVER) - self._clock.now())

    def merge_report(self, report: Upstream, as_of: float) -> bool:
        """Take in what a host said itself; returns whether that is news.

        An answer shows in any case that the host is there.
        """
        is_newer = self._directory.apply_report(report, as_of)
        if not self.is_listed(report.id):
            self._ever_listed[report.id] = report
        self._lost_at.pop(report.id, None)
        self._paces[report.id] = (report.pace, self._clock.now())
        return is_newer

    def record_left(self, host: str, group: Group) -> None:
        """Note that a host took our order to leave a group, ahead of its row."""
        now = self._clock.now()
        self._left[host] = GroupDeparture((group.name, group.epoch), now)
        known = self._directory.get(host)
        if known is not None and is_member(known, group):
            self._directory.apply_report(replace(known, models=(), membership=None), now)

    def has_left_since(self, host: str, place: tuple[str, int] | None, moment: float) -> bool:
        """Whether a host took an order to leave just this group at or after a moment."""
        left = self._left.get(host)
        return left is not None and left.place == place and left.at >= moment

    def pace(self, host: str) -> float:
        """Return how many times longer a host's work takes, as it reported lately."""
        pace, reported_at = self._paces.get(host, (1.0, 0.0))
        return pace if self._clock.now() - reported_at < MAX_PACE_AGE_S else 1.0

    def is_slow(self, host: str) -> bool:
        """Whether a host reported lately that its work takes much longer than usual."""
        return self.pace(host) > MAX_NORMAL_PACE

    def mark_lost(self, host: str) -> None:
        """Note that a host gives no answer."""
        self._lost_at[host] = self._clock.now()

    def is_lost(self, host: str) -> bool:
        """Whether a host was found to give no answer, alone or with its hall, or is gone.

        A host that has started again is another one, which holds nothing of before.
        """
        return (
            host in self._lost_at or self._directory.is_replaced(host) or self.is_in_down_hall(host)
        )

    def lost(self) -> list[str]:
        """Return the upstreams that give no answer, plain ones too."""
        in_halls = [u for hall in sorted(self.down_halls) for u in self.upstreams_in_hall(hall)]
        return list(dict.fromkeys(self.individually_lost() + in_halls))

    def individually_lost(self) -> list[str]:
        """Return the hosts that were found to give no answer, each by itself."""
        oldest = self._clock.now() - LOST_RETENTION_S
        self._lost_at = {h: at for h, at in self._lost_at.items() if at > oldest}
        return list(self._lost_at)

    # Halls.

    def upstreams_in_hall(self, hall: str) -> dict[str, Upstream]:
        """Return the upstreams of a hall that are on the list, by id."""
        whole = self._directory.whole()
        return {u.id: u for u in whole.upstreams if u.hall == hall} if whole else {}

    def is_in_down_hall(self, host: str) -> bool:
        """Whether a host stands in a hall that is down."""
        known = self.get(host) if self.down_halls else None
        return known is not None and known.hall in self.down_halls

    def mark_hall_down(self, hall: str) -> None:
        """Note that nothing in a hall answers."""
        self.down_halls.add(hall)

    def mark_hall_up(self, hall: str, back: set[str]) -> None:
        """Note that something in a hall answers again.

        Hosts that have not shown themselves yet, as those ``back`` have, stay lost until they do.
        What they ran before the loss of power they don't hold any more.
        """
        self.down_halls.discard(hall)
        for host, upstream in self.upstreams_in_hall(hall).items():
            self._last_model.pop(host, None)
            if host in back:
                self._lost_at.pop(host, None)
            elif upstream.domain is not None:
                self.mark_lost(host)

    def last_model(self, host: str) -> str | None:
        """Return the model of a host's last group, as far as this coordinator can tell.

        A host tells its model only while it serves. A coordinator that is new knows it
        by the name of the group in which the host stands.
        """
        known = self._last_model.get(host)
        upstream = self.get(host)
        if known is not None or upstream is None or upstream.membership is None:
            return known
        is_joined = upstream.membership.state is not MemberState.JOINING
        return model_of_group(upstream.membership.group) if is_joined else None

    def get(self, host: str) -> Upstream | None:
        """Return a host, listed or remembered."""
        return self._directory.get(host) or self._ever_listed.get(host)

    def delisted_for_s(self, host: str) -> float:
        """Return for how long a host has been off the list; 0 if it is on it.

        One that has started again can't be back any more, as one can that merely lapsed.
        """
        if self._directory.is_replaced(host):
            return float("inf")
        since = self._delisted_at.get(host)
        return 0.0 if since is None else self._clock.now() - since

    def is_listed(self, host: str) -> bool:
        """Whether the host is on the list."""
        return self._directory.get(host) is not None

    def usable(self, service: str) -> list[Upstream]:
        """Return the hosts that may be members of groups from now on."""
        return [
            u
            for u in self._directory.of_service(service)
            if u.state is UpstreamState.READY and not self.is_lost(u.id)
        ]

    def listed(self, service: str) -> list[Upstream]:
        """Return all hosts on the list."""
        return self._directory.of_service(service)

    def ever_listed(self) -> list[Upstream]:
        """Return all hosts that were ever listed."""
        return list(self._ever_listed.values())

    def record_model(self, host: str, model: str) -> None:
        """Note the model of a host's latest group."""
        self._last_model[host] = model

    def has_lost_member(self, group: Group) -> bool:
        """Whether a member of a group was found to give no answer."""
        return any(self.is_lost(member.id) for member in group.members.values())

    # Groups.

    def begin_forming(self, domain: str, model: str, is_group: bool) -> int:
        """Note that a group is being formed; returns its number."""
        number = next(self._forming_ids)
        self.forming[number] = PendingFormation(domain, model, is_group)
        return number

    def end_forming(self, number: int) -> None:
        """Note that a group was formed, or given up."""
        self.forming.pop(number, None)

    def mark_ended(self, group: Group, left: set[str] | None) -> None:
        """Note who has left a group: the members ``left``, or its head (``None``)."""
        key = (group.name, group.epoch)
        self._retiring.pop(key, None)
        known = self._ended.get(key)
        if left is not None and known is not None:
            left = None if known.left is None else known.left | left
        tries = 1 if known is None else known.tries + 1
        self._ended[key] = EndedGroup(self._clock.now(), left, tries)

    def begin_retiring(self, key: tuple[str, int], head: str, yields_hosts: bool = False) -> None:
        """Let a group finish its work and take nothing new."""
        self._retiring[key] = RetiringGroup(head, self._clock.now(), yields_hosts)

    def yields_hosts(self, key: tuple[str, int]) -> bool:
        """Whether a group is being ended so that its hosts may serve another model."""
        retiring = self._retiring.get(key)
        return retiring is not None and retiring.yields_hosts

    def cancel_moves(self) -> None:
        """Let groups that were to give way serve on, since no more orders can be given."""
        self._retiring = {key: r for key, r in self._retiring.items() if not r.yields_hosts}

    def retiring_for_s(self, key: tuple[str, int]) -> float | None:
        """Return for how long a group has taken nothing new, or ``None``."""
        retiring = self._retiring.get(key)
        return None if retiring is None else self._clock.now() - retiring.since

    def retiring_heads(self) -> list[str]:
        """Return the heads of the groups that take nothing new."""
        oldest = self._clock.now() - RETIRING_RETENTION_S
        self._retiring = {key: r for key, r in self._retiring.items() if r.since > oldest}
        return [retiring.head for retiring in self._retiring.values()]

    def begin_term(self, is_first_holder: bool) -> None:
        """Forget what an earlier term as coordinator had under way.

        Parameters
        ==========

        is_first_holder : whether nobody has coordinated before.
        """
        self._grace_ends_at = NEVER if is_first_holder else self._clock.now() + RELISTING_GRACE_S
        self.busy.clear()
        self._retiring.clear()
        self._missing_since.clear()

    def is_in_grace_period(self) -> bool:
        """Whether hosts that are missing may merely have lapsed before this term.

        A coordinator that has just begun can't know how long the store was away. Hosts
        that live are back on the list soon after its return.
        """
        return self._clock.now() < self._grace_ends_at

    def record_missing_group(self, domain: str, model: str) -> None:
        """Note that a group that served is ended."""
        self._missing_since.setdefault((domain, model), []).append(self._clock.now())

    def pop_missing_s(self, domain: str, model: str) -> float | None:
        """Return for how long the group that one just opened stands for was missing."""
        since = self._missing_since.get((domain, model))
        return self._clock.now() - since.pop(0) if since else None

    def cancel_end(self, key: tuple[str, int]) -> bool:
        """Forget the end of a group that nobody has left; returns whether that is so."""
        ended = self._ended[key]
        if ended.left is None or ended.left:
            return False
        del self._ended[key]
        return True

    def has_left(self, host: str, key: tuple[str, int]) -> bool:
        """Whether a host is free of a group that this coordinator ended.

        A member that gave no answer was not told to leave; while its head may still
        serve, it is as bound as before.
        """
        ended = self._ended.get(key)
        return ended is not None and (ended.left is None or host in ended.left)

    def ended_for_s(self, key: tuple[str, int]) -> float | None:
        """Return how long ago this coordinator ended a group, or ``None``."""
        ended = self._ended.get(key)
        return None if ended is None else self._clock.now() - ended.ended_at

    def may_retry_end(self, key: tuple[str, int]) -> bool:
        """Whether the end of a group should have shown by now, so that it may be ordered again.

        Orders that were taken and change nothing are given ever more rarely.
        """
        ended = self._ended[key]
        doublings = min(ended.tries - 1, MAX_END_RETRY_DOUBLINGS)
        return self._clock.now() - ended.ended_at >= END_VISIBLE_S * 2**doublings

    def head_of(self, key: tuple[str, int]) -> Upstream | None:
        """Return the head that a group was seen with, listed or not."""
        head = self._heads.get(key)
        return None if head is None else self.get(head)


def is_serving(group: Group) -> bool:
    """Whether a group's head says that it takes or finishes requests."""
    head = group.head
    if head is None or head.membership is None:
        return False
    return head.membership.state in (MemberState.OPEN, MemberState.CLOSING)


def is_standby(group: Group) -> bool:
    """Whether this is a host that stands ready on its own; such a group is never opened."""
    return len(group.members) == 1 and not is_serving(group) and group.head is not None


def is_member(host: Upstream, group: Group) -> bool:
    """Whether a host says that it is a member of a group."""
    return host.place == (group.name, group.epoch)
