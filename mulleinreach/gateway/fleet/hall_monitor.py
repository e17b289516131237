"""Detects the failure and the recovery of whole halls.

Explanation
===========

A hall counts as down when no head in it makes progress and no node in it reports. Its
upstreams are then lost at once, without probing each group, and get no orders. The hall is
up again when one of its nodes reports, a host responds or a host's row changes; each of the
other hosts stays lost until it responds.

A coordinator in a hall that is cut off sees all other halls fail. So a failure is declared
only if requests progress in a third hall; with two halls, only single groups are checked.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from mulleinreach.common import Clock, EventLog
from mulleinreach.gateway.coordination.hub import RecentNode
from mulleinreach.gateway.coordination.totals import sum_loads
from mulleinreach.gateway.fleet.formation import GroupOperator
from mulleinreach.gateway.fleet.host_tasks import HostTasks
from mulleinreach.gateway.fleet.hosts import HostRegistry
from mulleinreach.gateway.ports import Unavailable
from mulleinreach.gateway.state.groups import Head
from mulleinreach.gateway.state.load import LoadReport
from mulleinreach.gateway.upstream import Upstream

STALLED_HEAD_S = 0.3
# Longer than a single slow node delays its reports.
SILENT_NODES_S = 0.6
# A single group may stall because of a lost member.
MIN_STALLED_HEADS = 2
# For halls without nodes; longer than a delayed report or a garbage collection.
LONG_STALLED_HEAD_S = 1.0
HALL_CHECK_INTERVAL_S = 0.1
PROBE_INTERVAL_S = 1.0
# More than one, since a single probed host may never recover.
HOSTS_PER_PROBE_ROUND = 2
# Rows written just before the failure are received within this time.
ROW_DELAY_S = 1.0
NEVER = float("-inf")


@dataclass(frozen=True)
class HallHealth:
    """The observations that decide whether a hall is down.

    Parameters
    ==========

    heads : the number of open heads in the hall.
    progressing : heads that sent response data recently.
    stalled : heads that are lost, or whose requests have stalled.
    long_stalled : stalled heads for at least ``LONG_STALLED_HEAD_S``.
    nodes : nodes in the hall that reported within the last seconds.
    nodes_silent_s : time since the latest report of these nodes; infinite without nodes.
    """

    hall: str
    heads: int
    progressing: int
    stalled: int
    long_stalled: int
    nodes: int
    nodes_silent_s: float

    def has_failed(self) -> bool:
        """Whether the hall has failed by these observations.

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
        if self.progressing or not self.heads or self.stalled < least:
            return False
        if self.nodes:
            return self.nodes_silent_s >= SILENT_NODES_S
        # Nodes avoid stalled heads, so not every head has requests.
        return self.long_stalled >= max(least, self.heads / 2)


@dataclass
class _FailedHall:
    """A hall that is down, and the last known rows of its upstreams."""

    failed_at: float
    rows: dict[str, Upstream]
    probed_at: float = NEVER
    # Selects the hosts to probe next.
    probe_rounds: int = 0


class HallMonitor:
    """Monitors all halls, and marks failed ones as down in :class:`HostRegistry`.

    Parameters
    ==========

    own_hall : the hall of this node.
    nodes : returns the nodes that reported recently.
    """

    def __init__(
        self,
        own_hall: str,
        hosts: HostRegistry,
        operator: GroupOperator,
        host_tasks: HostTasks,
        nodes: Callable[[], list[RecentNode]],
        clock: Clock,
        log: EventLog,
    ):
        self._own_hall = own_hall
        self._hosts = hosts
        self._operator = operator
        self._host_tasks = host_tasks
        self._nodes = nodes
        self._clock = clock
        self._log = log
        self._checked_at = NEVER
        self._failures: dict[str, _FailedHall] = {}

    def check_halls(self, heads: Iterable[Head]) -> None:
        """Detect halls that have failed or recovered.

        Parameters
        ==========

        heads : the open heads of all services, including those of lost hosts.
        """
        now = self._clock.now()
        if now - self._checked_at < HALL_CHECK_INTERVAL_S:
            return
        self._checked_at = now
        nodes = self._nodes()
        for hall, failure in list(self._failures.items()):
            self._check_recovery(hall, failure, nodes)
        running = [head for head in heads if head.upstream.hall not in self._failures]
        if _may_have_failed(running, nodes):
            for health in failed_halls(self._hall_health(running, nodes), self._own_hall):
                self._mark_down(health)

    def _hall_health(self, heads: list[Head], nodes: list[RecentNode]) -> list[HallHealth]:
        """Return the health of all halls with open groups.

        The last reports of silent nodes are left out, since they show outdated progress.
        """
        reports = [node.report for node in nodes if node.silent_s < SILENT_NODES_S]
        loads = {load.upstream_id: load for load in sum_loads(reports)}
        lost = {h.upstream.id for h in heads if self._hosts.is_lost(h.upstream.id)}
        return [
            assess_hall(hall, [h for h in heads if h.upstream.hall == hall], loads, lost, nodes)
            for hall in sorted({h.upstream.hall for h in heads})
        ]

    def _mark_down(self, health: HallHealth) -> None:
        now = self._clock.now()
        self._failures[health.hall] = _FailedHall(now, self._hosts.upstreams_in_hall(health.hall))
        self._hosts.mark_hall_down(health.hall)
        self._log.event(
            "hall_down",
            hall=health.hall,
            heads=health.heads,
            still=health.stalled,
            long_still=health.long_stalled,
            nodes=health.nodes,
            nodes_silent_s=round(health.nodes_silent_s, 2),
            upstreams=len(self._failures[health.hall].rows),
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
        """Whether a row of the hall was changed or added; removed rows have only expired."""
        rows = self._hosts.upstreams_in_hall(hall)
        if self._clock.now() - failure.failed_at < ROW_DELAY_S:
            failure.rows = rows
        return any(failure.rows.get(host) != upstream for host, upstream in rows.items())

    def _next_probed(self, failure: _FailedHall) -> list[Upstream]:
        """Return the hosts to probe next, in turn and from different domains if possible."""
        hosts = [upstream for upstream in failure.rows.values() if upstream.domain is not None]
        hosts.sort(key=lambda host: (host.domain, host.id))
        stride = max(1, len(hosts) // HOSTS_PER_PROBE_ROUND)
        first, failure.probe_rounds = failure.probe_rounds, failure.probe_rounds + 1
        offsets = range(min(HOSTS_PER_PROBE_ROUND, len(hosts)))
        return [hosts[(first + offset * stride) % len(hosts)] for offset in offsets]

    async def _probe(self, hall: str, host: Upstream) -> None:
        answer = await self._operator.probe(host)
        if hall in self._failures and not isinstance(answer, Unavailable):
            self._mark_up(hall, "a host there answers")
            self._host_tasks.wake.set()

    def _mark_up(self, hall: str, why: str) -> None:
        failure = self._failures.pop(hall)
        recovered = {
            host
            for host, upstream in self._hosts.upstreams_in_hall(hall).items()
            if failure.rows.get(host) != upstream
        }
        self._hosts.mark_hall_up(hall, recovered)
        down_for_s = round(self._clock.now() - failure.failed_at, 2)
        self._log.event("hall_up", hall=hall, why=why, down_for_s=down_for_s, back=len(recovered))

    def end_term(self) -> None:
        """Clear all hall failures; hosts that have not responded stay lost individually."""
        for hall in list(self._failures):
            self._mark_up(hall, "the coordinator's term has ended")


def assess_hall(
    hall: str,
    heads: list[Head],
    loads: dict[str, LoadReport],
    lost: set[str],
    nodes: list[RecentNode],
) -> HallHealth:
    """Return the health of one hall.

    Parameters
    ==========

    heads : the open heads in the hall.
    loads : the requests in flight of all nodes that reported recently, by upstream.
    lost : the ids of heads that do not respond.
    """
    silent_s = [node.silent_s for node in nodes if node.report.hall == hall]
    stalled_s = [_stalled_for_s(h.upstream.id, loads, lost) for h in heads]
    return HallHealth(
        hall,
        len(heads),
        sum(_is_progressing(h.upstream.id, loads) for h in heads),
        sum(seconds >= STALLED_HEAD_S for seconds in stalled_s),
        sum(seconds >= LONG_STALLED_HEAD_S for seconds in stalled_s),
        len(silent_s),
        min(silent_s, default=float("inf")),
    )


def _stalled_for_s(head: str, loads: dict[str, LoadReport], lost: set[str]) -> float:
    """Return for how many seconds the requests at a head have stalled; 0 without requests."""
    if head in lost:
        return float("inf")
    load = loads.get(head)
    return load.stalled_s if load is not None and load.running else 0.0


def _is_progressing(head: str, loads: dict[str, LoadReport]) -> bool:
    load = loads.get(head)
    return load is not None and load.silent_s < STALLED_HEAD_S


def failed_halls(halls: list[HallHealth], own_hall: str) -> list[HallHealth]:
    """Return the halls that have failed; none unless requests progress in a third hall.

    Examples
    ========

    >>> failed = HallHealth("a", 4, 0, 4, 0, 3, 0.7)
    >>> own, third = HallHealth("b", 4, 4, 0, 0, 3, 0.0), HallHealth("c", 4, 4, 0, 0, 3, 0.1)
    >>> [health.hall for health in failed_halls([failed, own, third], "b")]
    ['a']
    >>> failed_halls([failed, own], "b")
    []
    """
    has_third = any(other.progressing and other.hall != own_hall for other in halls)
    return [health for health in halls if has_third and health.has_failed()]


def _may_have_failed(heads: list[Head], nodes: list[RecentNode]) -> bool:
    """Whether the nodes of some hall are silent; a cheap check before loads are summed."""
    alive = {node.report.hall for node in nodes if node.silent_s < SILENT_NODES_S}
    return any(head.upstream.hall not in alive for head in heads)
