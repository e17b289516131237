"""What would follow from a configuration, and whether it can be met at all."""

from __future__ import annotations

from dataclasses import replace

from mulleinreach.common import Code, MulleinreachError
from mulleinreach.groups.placement import Shortage, allowed_hosts, place_replica
from mulleinreach.groups.planner import FleetPlanner
from mulleinreach.groups.view import FleetView
from mulleinreach.intents.document import ConfigDocument
from mulleinreach.stores import HostDirectory, HostState

MAX_LINES = 60


def preview(
    view: FleetView, document: ConfigDocument, planner: FleetPlanner, directory: HostDirectory
) -> list[str]:
    """Return what would follow from ``document``, or raise ``UNSATISFIABLE``."""
    problems = find_problems(view, document, directory)
    if problems:
        raise MulleinreachError(Code.UNSATISFIABLE, "; ".join(problems))
    lines = _describe_settings(view.config, document)
    trial = replace(view, config=document, reserved_names=set(), hosts=_with_drains(view, document))
    decision = planner.decide(trial, 0, lambda group: False, 0)
    for change in decision.changes:
        where = ""
        if change.group is not None and change.action in ("form", "repair"):
            where = f" on {', '.join(change.group.hosts)} in {change.group.domain}"
        lines.append(f"{change.action} {change.subject}{where}: {change.why}")
    lines += [note for note in decision.notes.values() if note not in lines]
    if len(lines) > MAX_LINES:
        lines = lines[:MAX_LINES] + [f"and {len(lines) - MAX_LINES} more"]
    return lines or ["no group changes"]


def _with_drains(view: FleetView, document: ConfigDocument) -> dict:
    return {
        name: replace(
            host, leaving=host.host.state is HostState.LEAVING or name in document.drained_hosts
        )
        for name, host in view.hosts.items()
    }


def _describe_settings(before: ConfigDocument, after: ConfigDocument) -> list[str]:
    """Tell the changes that aren't about groups."""
    lines = []
    old = {o.name: o for o in before.intent.organisations}
    new = {o.name: o for o in after.intent.organisations}
    lines += [f"add organisation {name}" for name in new if name not in old]
    lines += [f"remove organisation {name}" for name in old if name not in new]
    lines += [
        f"change organisation {name}" for name in new if name in old and new[name] != old[name]
    ]
    if before.intent.measures != after.intent.measures:
        weights = after.intent.measures
        lines.append(
            f"weigh group downtime {weights.group_downtime:g},"
            f" stranded accelerators {weights.stranded_accelerators:g}"
        )
    drained = set(after.drained_hosts) - set(before.drained_hosts)
    lines += [f"drain {name}" for name in sorted(drained)]
    returned = set(before.drained_hosts) - set(after.drained_hosts)
    lines += [f"return {name} to work" for name in sorted(returned)]
    return lines


def find_problems(view: FleetView, document: ConfigDocument, directory: HostDirectory) -> list[str]:
    """Return which constraints can't be met, and by how much."""
    problems = []
    for name in document.drained_hosts:
        if directory.get(name) is None and name not in view.hosts:
            problems.append(f"host {name!r} is not in the host list")
    known = {host.host.domain for host in view.hosts.values()}
    for service in document.intent.services:
        if service.kind != "model":
            continue
        unknown = sorted(set(service.domains) - known)
        if unknown:
            problems.append(f"{service.name}: there is no fabric domain {unknown[0]!r}")
    if document.intent == view.config.intent:
        return problems
    return problems + _find_shortages(view, document)


def _find_shortages(view: FleetView, document: ConfigDocument) -> list[str]:
    """Fill an empty fleet with all services, in order of priority."""
    empty = {
        name: replace(host, record=type(host.record)(name))
        for name, host in _with_drains(view, document).items()
    }
    trial = FleetView(view.now, view.wall, document, empty, [])
    problems = []
    services = [s for s in document.intent.services if s.kind == "model"]
    for service in sorted(services, key=lambda s: (s.priority, s.name)):
        placed = 0
        while placed < service.replicas:
            placement = place_replica(trial, service)
            if isinstance(placement, Shortage):
                problems.append(_describe_shortage(trial, service, placed, placement))
                break
            trial.reserved_names.update(placement.hosts)
            placed += 1
    return problems


def _describe_shortage(view: FleetView, service, placed: int, shortage: Shortage) -> str:
    free = sum(len(hosts) for hosts in allowed_hosts(service, view.free_hosts()).values())
    missing = service.replicas - placed
    return (
        f"{service.name}: {placed} of {service.replicas} replicas fit;"
        f" the other {missing} need {missing * service.hosts_per_replica} hosts in domains of"
        f" {service.hosts_per_replica}, {free} are left, the fullest domain lacks {shortage.needed}"
    )
