"""Finds that a whole hall has failed, and that it is back.

Explanation
===========

A hall that loses power takes its nodes and its hosts along in one moment. Each group would
be found silent by itself, and its members be asked one by one. Two signs together tell it
sooner and without a question: no head there answers, and no node there reports. Then all
upstreams of the hall are lost at once, and no order goes there.

The finding holds until a node there reports, a host answers or a host's row changes. Hosts
that have not shown themselves by then stay lost, each until it answers.

A coordinator whose own hall is cut off sees all others fail at once. So nothing is found
unless requests make progress in a third hall; with two halls, groups are only looked at one
by one.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from mulleinreach.common import Clock, EventLog
from mulleinreach.gateway.coordination.hub import RecentNode
from mulleinreach.gateway.coordination.totals import sum_loads
from mulleinreach.gateway.fleet.duties import HostTasks
from mulleinreach.gateway.fleet.formation import GroupOperator
from mulleinreach.gateway.fleet.hosts import HostRegistry
from mulleinreach.gateway.known.load import LoadReport
from mulleinreach.gateway.known.upstreams import Head
from mulleinreach.gateway.ports import Unavailable
from mulleinreach.gateway.upstream import Upstream

# A busy group gives some caller a byte every few tens of milliseconds. Callers wait for what
# stands still, so no longer than it takes until a group by itself is suspected.
STALLED_HEAD_S = 0.3
# Three reports where there are many nodes. A single node that is short of processor time
# may be as late, but not all nodes of a hall at once.
SILENT_NODES_S = 0.6
# One group may stand still for a lost member; two at once are no accident of one group.
MIN_STALLED_HEADS = 2
# Where no node tells of the hall, heads alone must stand still for longer than a report or a
# garbage collection is late. Nodes leave a head that stands still a little later (1.3 s).
LONG_STALLED_HEAD_S = 1.0
# Nodes report no more often than that, and adding up the loads of all nodes takes time.
HALL_CHECK_INTERVAL_S = 0.1
# Callers wait for the places of a hall that is back, and a question costs a host little.
PROBE_INTERVAL_S = 1.0
# A host that is asked may be one that doesn't come back.
HOSTS_PER_PROBE_ROUND = 2
# Rows that were written just before the failure are heard of by then.
ROW_DELAY_S = 1.0
NEVER = float("-inf")


@dataclass(frozen=True)
class HallHealth:
    """What tells whether a hall is alive.

    Parameters
    ==========

    heads : open groups there.
    moving : those that gave a byte of an answer lately.
    still : those whose requests stand still, or that were found to be lost.
    long_still : those of the latter that have stood still for so long that they tell alone.
    nodes : nodes there that were heard in the last seconds.
    nodes_silent_s : time since any of them was heard; infinite without one.
    """

    hall: str
    heads: int
    moving: int
    still: int
    long_still: int
    nodes: int
    nodes_silent_s: float

    def has_failed(self) -> bool:
        """Whether these signs are those of a hall that has failed.

        Examples
        ========

        >>> HallHealth("a", 6, 0, 2, 0, 3, 0.7).has_failed()
        True
        >>> HallHealth("a", 6, 1, 3, 0, 3, 0.7).has_failed()
        False
        >>> HallHealth("a", 6, 0, 2, 0, 3, 0.1).has_failed()
        False
        >>> HallHealth("a", 6, 0, 3, 2, 0, float("inf")).has_failed()
        False
        >>> HallHealth("a", 6, 0, 3, 3, 0, float("inf")).has_failed()
        True
        """
        least = min(MIN_STALLED_HEADS, self.heads)
        if self.moving or not self.heads or self.still < least:
            return False
        if self.nodes:
            return self.nodes_silent_s >= SILENT_NODES_S
        # Nodes pass over heads that stand still, so not all of them have requests.
        return self.long_still >= max(least, self.heads / 2)


@dataclass
class _FailedHall:
    """A hall that has failed, and the rows of its upstreams as they stood last."""

    failed_at: float
    rows: dict[str, Upstream]
    # When hosts there were asked last, and how often: it decides which ones are next.
    probed_at: float = NEVER
    probe_rounds: int = 0


class HallMonitor:
    """Looks at all halls, and tells :class:`HostRegistry` which ones are failure.

    Parameters
    ==========

    own_hall : the hall of this node.
    nodes : returns the nodes that were heard lately.
    """

    def __init__(
        self,
        own_hall: str,
        hosts: HostRegistry,
        operator: GroupOperator,
        duties: HostTasks,
        nodes: Callable[[], list[RecentNode]],
        clock: Clock,
        log: EventLog,
    ):
        self._own_hall = own_hall
        self._hosts = hosts
        self._operator = operator
        self._host_tasks = duties
        self._nodes = nodes
        self._clock = clock
        self._log = log
        self._checked_at = NEVER
        self._failures: dict[str, _FailedHall] = {}

    def check_halls(self, heads: Iterable[Head]) -> None:
        """Decide which halls are down.

        Parameters
        ==========

        heads : the open groups of all services, those of lost hosts too.
        """
        now = self._clock.now()
        if now - self._checked_at < HALL_CHECK_INTERVAL_S:
            return
        self._checked_at = now
        nodes = self._nodes()
        for hall, failure in list(self._failures.items()):
            self._check_recovery(hall, failure, nodes)
        up = [head for head in heads if head.upstream.hall not in self._failures]
        if _may_have_failed(up, nodes):
            for signs in failed_halls(self._hall_health(up, nodes), self._own_hall):
                self._mark_down(signs)

    def _hall_health(self, heads: list[Head], nodes: list[RecentNode]) -> list[HallHealth]:
        """Return the signs of all halls with open groups.

        What a silent node told last would show progress that there is no more.
        """
        reports = [node.report for node in nodes if node.silent_s < SILENT_NODES_S]
        loads = {load.upstream_id: load for load in sum_loads(reports)}
        lost = {h.upstream.id for h in heads if self._hosts.is_lost(h.upstream.id)}
        return [
            assess_hall(hall, [h for h in heads if h.upstream.hall == hall], loads, lost, nodes)
            for hall in sorted({h.upstream.hall for h in heads})
        ]

    def _mark_down(self, signs: HallHealth) -> None:
        now = self._clock.now()
        self._failures[signs.hall] = _FailedHall(now, self._hosts.upstreams_in_hall(signs.hall))
        self._hosts.mark_hall_down(signs.hall)
        self._log.event(
            "hall_down",
            hall=signs.hall,
            heads=signs.heads,
            still=signs.still,
            long_still=signs.long_still,
            nodes=signs.nodes,
            nodes_silent_s=round(signs.nodes_silent_s, 2),
            upstreams=len(self._failures[signs.hall].rows),
        )

    def _check_recovery(self, hall: str, failure: _FailedHall, nodes: list[RecentNode]) -> None:
        now = self._clock.now()
        reported = [
            n for n in nodes if n.report.hall == hall and now - n.silent_s > failure.failed_at
        ]
        if reported:
            self._mark_up(hall, "a node there reports")
            return
        if self._has_changed(hall, failure):
            self._mark_up(hall, "a row there has changed")
            return
        if now - failure.probed_at >= PROBE_INTERVAL_S:
            failure.probed_at = now
            for host in self._next_probed(failure):
                self._host_tasks.spawn_probe(self._probe(hall, host))

    def _has_changed(self, hall: str, failure: _FailedHall) -> bool:
        """Whether a row there has changed or come; one that goes has merely lapsed."""
        rows = self._hosts.upstreams_in_hall(hall)
        if self._clock.now() - failure.failed_at < ROW_DELAY_S:
            failure.rows = rows
        return any(failure.rows.get(host) != upstream for host, upstream in rows.items())

    def _next_probed(self, failure: _FailedHall) -> list[Upstream]:
        """Return the hosts to be asked next, each in its turn, and far from each other."""
        hosts = [upstream for upstream in failure.rows.values() if upstream.domain is not None]
        hosts.sort(key=lambda host: (host.domain, host.id))
        apart = max(1, len(hosts) // HOSTS_PER_PROBE_ROUND)
        first, failure.probe_rounds = failure.probe_rounds, failure.probe_rounds + 1
        places = range(min(HOSTS_PER_PROBE_ROUND, len(hosts)))
        return [hosts[(first + place * apart) % len(hosts)] for place in places]

    async def _probe(self, hall: str, host: Upstream) -> None:
        answer = await self._operator.probe(host)
        if hall in self._failures and not isinstance(answer, Unavailable):
            self._mark_up(hall, "a host there answers")
            self._host_tasks.wake.set()

    def _mark_up(self, hall: str, why: str) -> None:
        failure = self._failures.pop(hall)
        back = {
            host
            for host, upstream in self._hosts.upstreams_in_hall(hall).items()
            if failure.rows.get(host) != upstream
        }
        self._hosts.mark_hall_up(hall, back)
        down_for_s = round(self._clock.now() - failure.failed_at, 2)
        self._log.event("hall_up", hall=hall, why=why, down_for_s=down_for_s, back=len(back))

    def end_term(self) -> None:
        """Leave halls that are down as single hosts that gave no answer."""
        for hall in list(self._failures):
            self._mark_up(hall, "the duty ends")


def assess_hall(
    hall: str,
    heads: list[Head],
    loads: dict[str, LoadReport],
    lost: set[str],
    nodes: list[RecentNode],
) -> HallHealth:
    """Return what tells whether a hall is alive.

    Parameters
    ==========

    heads : the open groups there.
    loads : what the nodes that were heard lately have in flight, by upstream.
    lost : heads that were found to give no answer.
    """
    there = [node.silent_s for node in nodes if node.report.hall == hall]
    still = [_stalled_for_s(h.upstream.id, loads, lost) for h in heads]
    return HallHealth(
        hall,
        len(heads),
        sum(_is_progressing(h.upstream.id, loads) for h in heads),
        sum(seconds >= STALLED_HEAD_S for seconds in still),
        sum(seconds >= LONG_STALLED_HEAD_S for seconds in still),
        len(there),
        min(there, default=float("inf")),
    )


def _stalled_for_s(head: str, loads: dict[str, LoadReport], lost: set[str]) -> float:
    """Return for how long requests at a head have stood still; 0 without any."""
    if head in lost:
        return float("inf")
    load = loads.get(head)
    return load.stalled_s if load is not None and load.running else 0.0


def _is_progressing(head: str, loads: dict[str, LoadReport]) -> bool:
    load = loads.get(head)
    return load is not None and load.silent_s < STALLED_HEAD_S


def failed_halls(signs: list[HallHealth], own_hall: str) -> list[HallHealth]:
    """Return the halls that have failed, if a third one shows that others haven't.

    Examples
    ========

    >>> failed = HallHealth("a", 4, 0, 4, 0, 3, 0.7)
    >>> own, third = HallHealth("b", 4, 4, 0, 0, 3, 0.0), HallHealth("c", 4, 4, 0, 0, 3, 0.1)
    >>> [signs.hall for signs in failed_halls([failed, own, third], "b")]
    ['a']
    >>> failed_halls([failed, own], "b")
    []
    """
    has_third = any(other.moving and other.hall != own_hall for other in signs)
    return [found for found in signs if has_third and found.has_failed()]


def _may_have_failed(heads: list[Head], nodes: list[RecentNode]) -> bool:
    """Whether the nodes of some hall are silent, which costs little to see."""
    alive = {node.report.hall for node in nodes if node.silent_s < SILENT_NODES_S}
    return any(head.upstream.hall not in alive for head in heads)
