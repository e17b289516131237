"""The same checks of the sources and the lease, on memory and on the platform's protocol."""

import asyncio
from dataclasses import replace

import pytest

from mulleinreach.common import Address
from mulleinreach.gateway.model import RouteWait
from mulleinreach.gateway.ports import (
    Accepted,
    ConfigurationRead,
    Fenced,
    HistoryLost,
    LeaseConflict,
    LeaseRecord,
    LeaseWritten,
    NoAnswer,
    OperatorRows,
    OperatorRowsChanged,
    Rejected,
    Unavailable,
    UpstreamsRead,
)
from mulleinreach.gateway.upstream import Membership, MemberState, Upstream
from mulleinreach.platform.orders import PlatformOrders
from mulleinreach.platform.sources import (
    PlatformConfigurations,
    PlatformLease,
    PlatformUpstreams,
)
from mulleinreach.platform.store import PlatformStore
from mulleinreach.platform.tests.standin import ReplicaStandIn, StoreStandIn, row_of
from mulleinreach.standins.gateway.store import (
    CONFIGURATION,
    UPSTREAMS,
    MemoryConfigurations,
    MemoryLease,
    MemoryStore,
    MemoryUpstreams,
)
from mulleinreach.standins.gateway.world import make_configuration
from mulleinreach.standins.links import Links
from mulleinreach.standins.virtual import VirtualNetwork, run_virtual

STORE_ADDRESS = Address("10.9.0.1", 8000)
HOST = Upstream("u-1", "models", Address("10.0.1.1", 80), "hall-a", slots=3, domain="d1")
DOCUMENT = {
    "version": 7,
    "routes": [
        {
            "name": "r",
            "host": "h.example",
            "path_prefix": "/a/",
            "kind": "streaming",
            "timeout_ms": 8000,
            "target_latency_ms": 500,
            "priority": 1,
            "traffic_split": [
                {"service": "s", "weight": 90},
                {"service": "t", "weight": 10},
            ],
            "max_attempts": 2,
            "public": False,
            "resumable": True,
            "gap_target_ms": 300,
            "a_new_field": 1,
        }
    ],
    "services": [{"name": "s", "max_conns": 10}],
    "limits": {"max_body_bytes": 1000},
    "tenants": [{"name": "o", "api_keys": ["k"], "priority": 0}],
}


class OnMemory:
    """The ports on memory."""

    def __init__(self, memory, store):
        self.memory = memory
        self.configurations = MemoryConfigurations(memory)
        self.upstreams = MemoryUpstreams(memory)
        self.lease = MemoryLease(memory)

    def put_configuration(self, version):
        self.memory.put(CONFIGURATION, "newest", make_configuration(version))

    def put_upstream(self, upstream):
        self.memory.put(UPSTREAMS, upstream.id, upstream)

    def remove_upstream(self, upstream_id):
        self.memory.put(UPSTREAMS, upstream_id, None)

    def fail(self):
        self.memory.is_down = True


class OnPlatform:
    """The ports on the platform's protocol."""

    def __init__(self, memory, store):
        self.memory = memory
        self._standin, client = store
        self.configurations = PlatformConfigurations(client)
        self.upstreams = PlatformUpstreams(client)
        self.lease = PlatformLease(client)

    def put_configuration(self, version):
        self.memory.put("op", "config", {**DOCUMENT, "version": version})

    def put_upstream(self, upstream):
        self.memory.put("servers", upstream.id, row_of(upstream))

    def remove_upstream(self, upstream_id):
        self.memory.put("servers", upstream_id, None)

    def fail(self):
        self._standin.status = 503


def run_ports(kind, test):
    """Run a test on one kind of ports."""

    async def run():
        memory = MemoryStore()
        standin = StoreStandIn(memory)
        network = VirtualNetwork(Links(), "test")
        server = await network.serve_http(standin.app(), STORE_ADDRESS)
        store = PlatformStore(network.http_client, STORE_ADDRESS)
        try:
            await test(kind(memory, (standin, store)))
        finally:
            await store.close()
            await server.close()

    run_virtual(run())


both = pytest.mark.parametrize("kind", [OnMemory, OnPlatform])


@both
def test_configuration_is_read_and_waited_for(kind):
    async def test(ports):
        first = await ports.configurations.read()
        assert first.configuration is None
        ports.put_configuration(3)
        read = await ports.configurations.read()
        assert read.configuration.version == 3
        asking = asyncio.create_task(ports.configurations.wait(read.revision, 5.0))
        await asyncio.sleep(1)
        ports.put_configuration(9)
        waited = await asking
        assert waited.configuration.version == 9
        assert waited.revision > read.revision

    run_ports(kind, test)


@both
def test_wait_without_a_change_ends_with_nothing_new(kind):
    async def test(ports):
        ports.put_configuration(3)
        read = await ports.configurations.read()
        waited = await ports.configurations.wait(read.revision, 0.5)
        assert isinstance(waited, ConfigurationRead)
        assert waited.configuration is None

    run_ports(kind, test)


@both
def test_all_upstreams_are_read_and_changes_follow(kind):
    async def test(ports):
        hosts = [replace(HOST, id=f"u-{number}") for number in range(8)]
        for host in hosts:
            ports.put_upstream(host)
        read = await ports.upstreams.read()
        assert sorted(read.upstreams, key=lambda u: u.id) == hosts
        membership = Membership("g", 5, 0, MemberState.OPEN)
        changed = replace(HOST, models=("m",), staged=("m",), membership=membership)
        ports.put_upstream(changed)
        ports.remove_upstream("u-2")
        waited = await ports.upstreams.wait(read.revision, 1.0)
        assert waited == UpstreamsRead(waited.revision, [changed], ["u-2"])

    run_ports(kind, test)


@both
def test_lost_history_is_told(kind):
    async def test(ports):
        ports.put_configuration(3)
        ports.memory.history_from = 100
        assert await ports.configurations.wait(1, 0.5) == HistoryLost()
        assert await ports.upstreams.wait(1, 0.5) == HistoryLost()

    run_ports(kind, test)


@both
def test_store_that_is_down_gives_nothing(kind):
    async def test(ports):
        ports.fail()
        results = [
            await ports.configurations.read(),
            await ports.configurations.wait(0, 0.5),
            await ports.upstreams.read(),
            await ports.lease.read(),
            await ports.lease.write(0, LeaseRecord("a.1", "10.0.0.1:1", 1, 0)),
        ]
        assert all(isinstance(result, Unavailable) for result in results)

    run_ports(kind, test)


@both
def test_lease_is_written_once_under_its_version(kind):
    async def test(ports):
        waits = (RouteWait("r", 5.5), RouteWait("s", 0.25))
        record = LeaseRecord("a.1", "10.0.0.1:1", 1, 0, "secret", waits)
        empty = await ports.lease.read()
        assert (empty.version, empty.record) == (0, None)
        written = await ports.lease.write(0, record)
        assert isinstance(written, LeaseWritten)
        assert await ports.lease.write(0, record) == LeaseConflict()
        read = await ports.lease.read()
        assert (read.version, read.record) == (written.version, record)

    run_ports(kind, test)


@both
def test_lease_is_written_only_under_the_configuration_that_is_named(kind):
    async def test(ports):
        ports.put_configuration(7)
        record = LeaseRecord("a.1", "10.0.0.1:1", 1, 0)
        written = await ports.lease.write(0, record)
        rows = OperatorRows((await ports.configurations.read()).row_version)
        renewed = await ports.lease.write(written.version, record, rows)
        assert isinstance(renewed, LeaseWritten)
        ports.put_configuration(8)
        assert await ports.lease.write(renewed.version, record, rows) == OperatorRowsChanged()
        assert await ports.lease.write(written.version, record, rows) == LeaseConflict()
        rows = OperatorRows((await ports.configurations.read()).row_version)
        assert isinstance(await ports.lease.write(renewed.version, record, rows), LeaseWritten)

    run_ports(kind, test)


@both
def test_wait_that_ends_without_a_change_tells_no_version_of_the_row(kind):
    async def test(ports):
        ports.put_configuration(7)
        read = await ports.configurations.read()
        assert read.row_version is not None
        assert (await ports.configurations.wait(read.revision, 0.01)).row_version is None

    run_ports(kind, test)


@both
def test_lost_answer_to_a_write_is_unavailable_and_the_write_stands(kind):
    async def test(ports):
        ports.memory.loses = True
        record = LeaseRecord("a.1", "10.0.0.1:1", 1, 0)
        assert isinstance(await ports.lease.write(0, record), Unavailable)
        assert (await ports.lease.read()).record == record

    run_ports(kind, test)


# Only the platform's rows can be of another shape.


def test_rows_of_another_shape_are_skipped():
    async def test(ports):
        ports.put_upstream(HOST)
        ports.memory.put("servers", "u-2", {"service": "s", "address": "nowhere"})
        ports.memory.put("servers", "u-3", ["a", "list"])
        ports.memory.put("servers", "u-4", b"no base64 \xc3\xa4")
        ports.memory.put("op", "config", {"version": 8, "routes": [{"name": "r"}]})
        read = await ports.upstreams.read()
        assert read.upstreams == [HOST]
        assert (await ports.configurations.read()).configuration is None

    run_ports(OnPlatform, test)


def test_configuration_is_translated():
    async def test(ports):
        ports.put_configuration(7)
        configuration = (await ports.configurations.read()).configuration
        route = configuration.match("h.example", "/a/b")
        assert (route.timeout_s, route.objective_s, route.max_attempts) == (8.0, 0.5, 2)
        assert [(d.service, d.weight) for d in route.destinations] == [("s", 90), ("t", 10)]
        assert configuration.organisation_of("k").name == "o"
        assert configuration.limits.body_bytes == 1000

    run_ports(OnPlatform, test)


# Orders.


def run_orders(answers, test, sends_token=False):
    """Run a test against one replica."""

    async def run():
        replica = ReplicaStandIn(HOST.id, answers)
        network = VirtualNetwork(Links(), "test")
        server = await network.serve_http(replica.app(), HOST.address)
        session = network.http_client()
        try:
            await test(PlatformOrders(session, sends_token), replica)
        finally:
            await session.close()
            await server.close()

    run_virtual(run())


@pytest.mark.parametrize(
    ("status", "expected"),
    [
        (202, Accepted()),
        (200, Accepted()),
        (409, Rejected(409)),
        (412, Rejected(412)),
        (503, NoAnswer("status 503")),
    ],
)
def test_answers_to_orders(status, expected):
    async def test(orders, replica):
        assert await orders.join(HOST, "g", 12, "m", ["u-1", "u-2"], 3) == expected
        assert replica.orders[0]["members"] == ["u-1", "u-2"]

    run_orders([status], test)


def test_orders_carry_the_token_where_engines_look_at_it():
    async def test(orders, replica):
        assert await orders.join(HOST, "g", 12, "m", ["u-1"], 3) == Accepted()
        assert await orders.open(HOST, "g", 12, 3) == Accepted()
        assert await orders.leave(HOST, "g", 12, 3) == Fenced()
        assert [order["fence"] for order in replica.orders] == [3, 3, 3]

    run_orders([202, 202, 412], test, sends_token=True)


def test_orders_carry_no_token_where_engines_do_not_look_at_it():
    async def test(orders, replica):
        await orders.open(HOST, "g", 12, 3)
        assert "fence" not in replica.orders[0]

    run_orders([202], test)


def test_order_without_an_answer_is_unknown():
    async def test(orders, replica):
        assert isinstance(await orders.open(HOST, "g", 12, 3), NoAnswer)

    run_orders([0], test)


def test_order_for_another_incarnation_is_rejected():
    async def test(orders, replica):
        other = replace(HOST, id="u-old")
        assert await orders.leave(other, "g", 12, 3) == Rejected(421)
        assert replica.orders == []

    run_orders([], test)


def test_report_is_read_and_one_of_another_shape_is_not():
    async def test(orders, replica):
        membership = Membership("g", 5, 1, MemberState.READY)
        replica.report = row_of(replace(HOST, membership=membership, staged=("m",)))
        report = await orders.report(HOST, 0.2)
        assert (report.membership, report.staged) == (membership, ("m",))
        replica.report = ["no", "report"]
        assert isinstance(await orders.report(HOST, 0.2), Unavailable)

    run_orders([], test)
