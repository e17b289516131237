"""Choice of repair options and placements, in a fleet built by each test."""

from dataclasses import replace

import pytest

from mulleinreach.groups.model import GroupRecord, GroupState, HostRecord, HostUse
from mulleinreach.groups.placement import Placement, Shortage, place_replica
from mulleinreach.groups.planner import FleetPlanner
from mulleinreach.groups.repair import LoadTimeModel, RepairKind, RepairPlanner
from mulleinreach.groups.view import FleetView, HostView
from mulleinreach.intents import ConfigDocument, Intent
from mulleinreach.roster.messages import HostReport
from mulleinreach.stores import Host, HostKind

LOADS = LoadTimeModel(host_load_s=90.0, parallel_loads=16)


def service(name, hosts, replicas, priority=1):
    return {
        "name": name,
        "kind": "model",
        "model": name,
        "hosts_per_replica": hosts,
        "replicas": replicas,
        "priority": priority,
    }


class Fleet:
    """Builds a fleet: domains of free hosts, then groups on them."""

    def __init__(self, services, domains, downtime=1.0, stranded=1.0):
        measures = {"group_downtime": downtime, "stranded_accelerators": stranded}
        intent = Intent(kind="intent", services=services, measures=measures)
        self.config = ConfigDocument(version=1, intent=intent)
        self.hosts, self.groups = {}, []
        for domain, count in domains.items():
            for number in range(count):
                self._add_host(f"{domain}{number:02d}", domain, f"{domain}-r{number // 4}")

    def _add_host(self, name, domain, rack):
        host = Host(name, "10.0.0.1:80", HostKind.ENGINE, "hall", domain=domain, rack=rack)
        report = HostReport(name, 1, "", 0, "idle", "", 0)
        self.hosts[name] = HostView(host, HostRecord(name), report, 0.1, False, False)

    def group(self, name, service_name, hosts):
        epoch = len(self.groups) + 1
        group = GroupRecord(
            name,
            service_name,
            epoch,
            hosts[0][0],
            tuple(hosts),
            service_name,
            "1",
            (),
            GroupState.SERVING,
            "",
            0.0,
            version=epoch,
        )
        self.groups.append(group)
        for host in hosts:
            record = HostRecord(
                host, 1, HostUse.MEMBER, name, epoch, incarnation=1, order_id=f"{name}@{epoch}/load"
            )
            report = HostReport(host, 1, name, epoch, "ready", record.order_id, 0)
            self.hosts[host] = replace(self.hosts[host], record=record, report=report)
        return group

    def lose(self, name, absent_s):
        self.hosts[name] = replace(self.hosts[name], lost=True, absent_s=absent_s)

    def restart(self, name):
        report = HostReport(name, 2, "", 0, "idle", "", 0)
        self.hosts[name] = replace(self.hosts[name], report=report)

    def view(self):
        return FleetView(0.0, 0.0, self.config, dict(self.hosts), list(self.groups))

    def best(self, group):
        return RepairPlanner(LOADS).options_for_group(self.view(), group, 0)[0]


def names(domain, start, stop):
    return [f"{domain}{number:02d}" for number in range(start, stop)]


def test_a_spare_gets_the_rank_of_the_lost_host():
    fleet = Fleet([service("s", 4, 1)], {"a": 6})
    group = fleet.group("s-1", "s", names("a", 0, 4))
    fleet.lose("a01", 60)
    best = fleet.best(group)
    assert best.kind is RepairKind.SPARE
    assert best.hosts == ("a00", "a04", "a02", "a03")


def test_a_short_absence_leads_to_waiting():
    fleet = Fleet([service("s", 4, 1)], {"a": 6})
    group = fleet.group("s-1", "s", names("a", 0, 4))
    fleet.lose("a01", 3)
    assert fleet.best(group).kind is RepairKind.WAIT


def test_restarted_members_rejoin_without_waiting():
    fleet = Fleet([service("s", 4, 1)], {"a": 4})
    group = fleet.group("s-1", "s", names("a", 0, 4))
    fleet.restart("a01")
    options = RepairPlanner(LOADS).options_for_group(fleet.view(), group, 0)
    assert [option.kind for option in options] == [RepairKind.REJOIN]


def test_without_a_spare_a_replica_is_formed_again_in_another_domain():
    fleet = Fleet([service("s", 4, 1)], {"a": 4, "b": 4})
    group = fleet.group("s-1", "s", names("a", 0, 4))
    fleet.lose("a01", 600)
    best = fleet.best(group)
    assert (best.kind, best.domain) == (RepairKind.REFORM, "b")


def test_survivors_of_two_broken_replicas_are_merged():
    fleet = Fleet([service("s", 4, 2)], {"a": 8})
    first = fleet.group("s-1", "s", names("a", 0, 4))
    fleet.group("s-2", "s", names("a", 4, 8))
    fleet.lose("a01", 600)
    fleet.lose("a05", 600)
    best = fleet.best(first)
    assert (best.kind, best.victims) == (RepairKind.TAKE, ("s-2",))
    assert not {"a01", "a05"} & set(best.hosts)


@pytest.mark.parametrize(("priority", "kind"), [(3, RepairKind.TAKE), (1, RepairKind.WAIT)])
def test_only_a_replica_of_lower_priority_becomes_a_victim(priority, kind):
    services = [service("s", 4, 1, 1), service("low", 4, 1, priority)]
    fleet = Fleet(services, {"a": 8}, downtime=30.0)
    group = fleet.group("s-1", "s", names("a", 0, 4))
    fleet.group("low-1", "low", names("a", 4, 8))
    fleet.lose("a01", 600)
    assert fleet.best(group).kind is kind


def test_a_small_replica_that_fits_elsewhere_becomes_a_victim():
    services = [service("big", 8, 1), service("s", 4, 1)]
    fleet = Fleet(services, {"a": 12, "b": 4})
    group = fleet.group("big-1", "big", names("a", 0, 8))
    fleet.group("s-1", "s", names("a", 8, 12))
    fleet.lose("a01", 1200)
    best = fleet.best(group)
    assert (best.kind, best.victims) == (RepairKind.TAKE, ("s-1",))


def test_the_two_weightings_choose_differently():
    """Two replicas lose a host each and there is one spare in their domain."""
    services = [service("big", 16, 1), service("s", 4, 1, priority=0)]

    def first_repaired(downtime, stranded):
        fleet = Fleet(services, {"a": 21}, downtime, stranded)
        fleet.group("big-1", "big", names("a", 0, 16))
        fleet.group("s-1", "s", names("a", 16, 20))
        fleet.lose("a01", 600)
        fleet.lose("a17", 600)
        planner = FleetPlanner(LOADS, frozenset(), 60.0)
        changes = planner.decide(fleet.view(), 9, lambda group: True, 1).changes
        return changes[0].subject

    assert first_repaired(downtime=30.0, stranded=1.0) == "s-1"
    assert first_repaired(downtime=1.0, stranded=3.0) == "big-1"


def test_the_reason_of_a_repair_lists_all_options():
    fleet = Fleet([service("s", 4, 1)], {"a": 6, "b": 4})
    fleet.group("s-1", "s", names("a", 0, 4))
    fleet.lose("a01", 60)
    planner = FleetPlanner(LOADS, frozenset(), 60.0)
    decision = planner.decide(fleet.view(), 9, lambda group: True, 1)
    (change,) = decision.changes
    for kind in ("spare", "wait", "reform"):
        assert f"{kind}" in change.why
    assert {row.name for row in change.hosts} == {"a00", "a01", "a02", "a03", "a04"}


def test_formation_avoids_fragments_and_keeps_spares_in_each_domain():
    services = [service("s", 4, 3)]
    fleet = Fleet(services, {"a": 8, "b": 8})
    planner = FleetPlanner(LOADS, frozenset(), 60.0)
    changes = planner.decide(fleet.view(), 0, lambda group: True, 1).changes
    assert sorted(change.group.domain for change in changes) == ["a", "a", "b"] or sorted(
        change.group.domain for change in changes
    ) == ["a", "b", "b"]


def test_a_shortage_reports_how_many_hosts_are_needed():
    fleet = Fleet([service("s", 16, 1)], {"a": 6, "b": 4})
    placement = place_replica(fleet.view(), fleet.config.intent.service("s"))
    assert isinstance(placement, Shortage)
    assert placement.needed == 10


def test_a_replica_is_placed_on_as_few_racks_as_possible():
    fleet = Fleet([service("s", 4, 1)], {"a": 10})
    fleet.group("x-1", "x", names("a", 0, 2))
    placement = place_replica(fleet.view(), fleet.config.intent.service("s"))
    assert isinstance(placement, Placement)
    racks = {fleet.hosts[name].host.rack for name in placement.hosts}
    assert len(racks) == 1
