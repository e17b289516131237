"""Two simple planners that the real one is measured against."""

from __future__ import annotations

from dataclasses import replace

from mulleinreach.groups.model import GroupState
from mulleinreach.groups.placement import allowed_hosts
from mulleinreach.groups.planner import Change, FleetPlanner, _next_replica_name, _Round
from mulleinreach.groups.repair import LoadTimeModel, RepairKind, RepairOption
from mulleinreach.groups.view import FleetView

LOADS = LoadTimeModel(90.0, 16)


class _BaselineRound(_Round):
    """Shares how changes are written down; decides in its own way."""

    def _first_fit(self, service, keep: int = 0) -> tuple[str, tuple[str, ...]] | None:
        """Return the first domain with room, and its first hosts by name."""
        for domain, free in sorted(allowed_hosts(service, self._view.free_hosts()).items()):
            if len(free) - keep >= service.hosts_per_replica:
                return domain, tuple(h.name for h in free[: service.hosts_per_replica])
        return None

    def _serve_if_ready(self, group) -> bool:
        if group.state is GroupState.LOADING and self._view.is_ready(group):
            serving = replace(group, state=GroupState.SERVING)
            self._add(Change("serve", group.replica, "ready", group=serving))
            return True
        return False

    def _fill_first_fit(self, keep: int) -> None:
        view = self._view
        for service in view.config.intent.services:
            names = {g.replica for g in view.groups}
            missing = service.replicas - len(view.groups_of(service.name))
            for _ in range(missing):
                found = self._first_fit(service, keep)
                if found is None:
                    break
                replica = _next_replica_name(service.name, names)
                names.add(replica)
                group = self._new_group(replica, service.name, *found, "first fit")
                rows = tuple(self._member_rows(group))
                self._add(Change("form", replica, "first fit", group=group, hosts=rows))


class FixedSpares:
    """Keeps ``spares`` hosts of each domain free; swaps one in, or waits."""

    def __init__(self, spares: int):
        self._spares = spares
        self._inner = FleetPlanner(LOADS, frozenset(), 60.0)

    def decide(self, view: FleetView, epoch: int, is_drained, lease_epoch: int):
        """Return the next changes."""
        round_ = _BaselineRound(self._inner, view, epoch, lease_epoch)
        for group in sorted(view.groups, key=lambda g: g.replica):
            lost = view.lost_members(group)
            if not lost:
                round_._serve_if_ready(group)
                continue
            spares = [h.name for h in view.free_hosts() if h.host.domain == group.domain]
            back = [n for n in lost if not view.hosts[n].lost]
            missing = [n for n in lost if n not in back]
            if len(spares) < len(missing):
                continue
            swap = dict(zip(missing, spares, strict=False))
            hosts = tuple(swap.get(name, name) for name in group.hosts)
            option = RepairOption(RepairKind.SPARE, 0, 0, 0, group.domain, hosts)
            round_._replace_members(group, option, "spare: fixed")
        round_._fill_first_fit(self._spares)
        return round_.decision


class GreedyFirstFit:
    """Dissolves what is broken and forms what fits first."""

    def __init__(self):
        self._inner = FleetPlanner(LOADS, frozenset(), 60.0)

    def decide(self, view: FleetView, epoch: int, is_drained, lease_epoch: int):
        """Return the next changes."""
        round_ = _BaselineRound(self._inner, view, epoch, lease_epoch)
        for group in sorted(view.groups, key=lambda g: g.replica):
            if view.lost_members(group):
                round_._dissolve(group, "greedy")
            else:
                round_._serve_if_ready(group)
        round_._fill_first_fit(0)
        return round_.decision
