"""Configurations, upstreams and the lease, on in-memory ports and on the platform's protocol."""

import asyncio
from dataclasses import replace

import pytest

from mulleinreach.gateway.model import CallerTimeout, HandoverState, HeldContent
from mulleinreach.gateway.ports import (
    ConfigurationRead,
    EvacuationRow,
    HistoryLost,
    LeaseConflict,
    LeaseRecord,
    LeaseWritten,
    OperatorRows,
    OperatorRowsChanged,
    Unavailable,
    UpstreamsRead,
)
from mulleinreach.gateway.upstream import Membership, MemberState
from mulleinreach.platform.tests.port_kinds import HOST, PlatformPorts, both_ports, run_ports


@both_ports
def test_configuration_is_read_and_waited_for(kind):
    async def test(ports):
        first = await ports.configurations.read()
        assert first.configuration is None
        ports.put_configuration(3)
        read = await ports.configurations.read()
        assert read.configuration.version == 3
        waiting = asyncio.create_task(ports.configurations.wait(read.revision, 5.0))
        await asyncio.sleep(1)
        ports.put_configuration(9)
        waited = await waiting
        assert waited.configuration.version == 9
        assert waited.revision > read.revision

    run_ports(kind, test)


@both_ports
def test_wait_without_a_change_ends_with_nothing_new(kind):
    async def test(ports):
        ports.put_configuration(3)
        read = await ports.configurations.read()
        waited = await ports.configurations.wait(read.revision, 0.5)
        assert isinstance(waited, ConfigurationRead)
        assert waited.configuration is None

    run_ports(kind, test)


@both_ports
def test_evacuation_requests_are_read_and_waited_for(kind):
    async def test(ports):
        ports.put_configuration(3)
        in_b = ports.put_evacuation("hall-b", {})
        ports.put_evacuation("hall-c", {})
        ports.put_evacuation("hall-c", None)
        read = await ports.configurations.read()
        # In a complete read, a missing hall has no evacuation request.
        assert (read.evacuations, read.is_whole) == ((EvacuationRow("hall-b", in_b),), True)
        waiting = asyncio.create_task(ports.configurations.wait(read.revision, 5.0))
        await asyncio.sleep(1)
        in_a = ports.put_evacuation("hall-a", {})
        waited = await waiting
        assert (waited.evacuations, waited.is_whole) == ((EvacuationRow("hall-a", in_a),), False)
        assert waited.configuration is None
        ports.put_evacuation("hall-b", None)
        waited = await ports.configurations.wait(waited.revision, 5.0)
        assert (waited.evacuations, waited.is_whole) == ((EvacuationRow("hall-b", 0),), False)

    run_ports(kind, test)


@both_ports
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


@both_ports
def test_lost_history_is_reported(kind):
    async def test(ports):
        ports.put_configuration(3)
        ports.memory.history_from = 100
        assert await ports.configurations.wait(1, 0.5) == HistoryLost()
        assert await ports.upstreams.wait(1, 0.5) == HistoryLost()

    run_ports(kind, test)


@both_ports
def test_failing_store_is_reported_as_unavailable(kind):
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


@both_ports
def test_lease_is_written_once_under_its_version(kind):
    async def test(ports):
        waits = (CallerTimeout("r", 5.5), CallerTimeout("s", 0.25))
        inheritance = HandoverState(
            waits, held=(HeldContent(2**64 - 1, 3600.0), HeldContent(7, 0.5))
        )
        record = LeaseRecord("a.1", "10.0.0.1:1", 1, 0, "secret", inheritance)
        empty = await ports.lease.read()
        assert (empty.version, empty.record) == (0, None)
        written = await ports.lease.write(0, record)
        assert isinstance(written, LeaseWritten)
        assert await ports.lease.write(0, record) == LeaseConflict()
        read = await ports.lease.read()
        assert (read.version, read.record) == (written.version, record)

    run_ports(kind, test)


@both_ports
def test_lease_is_written_only_if_the_configuration_is_unchanged(kind):
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


@both_ports
def test_lease_is_written_only_if_evacuation_requests_are_unchanged(kind):
    async def test(ports):
        ports.put_configuration(7)
        record = LeaseRecord("a.1", "10.0.0.1:1", 1, 0)
        version = (await ports.lease.write(0, record)).version
        row = (await ports.configurations.read()).row_version

        async def renew(*evacuations):
            return await ports.lease.write(version, record, OperatorRows(row, evacuations))

        absent = EvacuationRow("hall-a", 0), EvacuationRow("hall-b", 0)
        version = (await renew(*absent)).version
        in_b = ports.put_evacuation("hall-b", {})
        assert await renew(*absent) == OperatorRowsChanged()
        assert await renew(absent[0], EvacuationRow("hall-b", in_b - 1)) == OperatorRowsChanged()
        version = (await renew(absent[0], EvacuationRow("hall-b", in_b))).version
        ports.put_evacuation("hall-b", None)
        assert await renew(absent[0], EvacuationRow("hall-b", in_b)) == OperatorRowsChanged()
        assert isinstance(await renew(*absent), LeaseWritten)

    run_ports(kind, test)


@both_ports
def test_wait_that_ends_without_a_change_returns_no_row_version(kind):
    async def test(ports):
        ports.put_configuration(7)
        read = await ports.configurations.read()
        assert read.row_version is not None
        assert (await ports.configurations.wait(read.revision, 0.01)).row_version is None

    run_ports(kind, test)


@both_ports
def test_write_with_a_lost_answer_is_unavailable_but_stored(kind):
    async def test(ports):
        ports.memory.loses = True
        record = LeaseRecord("a.1", "10.0.0.1:1", 1, 0)
        assert isinstance(await ports.lease.write(0, record), Unavailable)
        assert (await ports.lease.read()).record == record

    run_ports(kind, test)


# Invalid rows are possible only on the platform's protocol.


def test_invalid_rows_are_skipped():
    async def test(ports):
        ports.put_upstream(HOST)
        ports.memory.put("servers", "u-2", {"service": "s", "address": "nowhere"})
        ports.memory.put("servers", "u-3", ["a", "list"])
        ports.memory.put("servers", "u-4", b"no base64 \xc3\xa4")
        ports.memory.put("op", "config", {"version": 8, "routes": [{"name": "r"}]})
        read = await ports.upstreams.read()
        assert read.upstreams == [HOST]
        assert (await ports.configurations.read()).configuration is None

    run_ports(PlatformPorts, test)


@pytest.mark.parametrize("value", [{}, ["a", "list"], "text", b"no base64 \xc3\xa4"])
def test_evacuation_request_counts_by_its_presence(value):
    async def test(ports):
        before = (await ports.configurations.read()).revision
        version = ports.put_evacuation("hall-a", value)
        expected = (EvacuationRow("hall-a", version),)
        assert (await ports.configurations.read()).evacuations == expected
        assert (await ports.configurations.wait(before, 1.0)).evacuations == expected

    run_ports(PlatformPorts, test)


def test_configuration_is_parsed():
    async def test(ports):
        ports.put_configuration(7)
        configuration = (await ports.configurations.read()).configuration
        route = configuration.match("h.example", "/a/b")
        assert (route.timeout_s, route.objective_s, route.max_attempts) == (8.0, 0.5, 2)
        assert [(d.service, d.weight) for d in route.destinations] == [("s", 90), ("t", 10)]
        assert configuration.organisation_for_key("k").name == "o"
        assert configuration.limits.body_bytes == 1000

    run_ports(PlatformPorts, test)


@pytest.mark.parametrize("invalid", [{"held": ["x"]}, {"held": 3}, {"first_waits": ["r"]}])
def test_lease_is_read_even_if_its_handover_state_is_unreadable(invalid):
    async def test(ports):
        record = LeaseRecord(
            "a.1", "10.0.0.1:1", 4, 0, "secret", HandoverState(held=(HeldContent(7, 60.0),))
        )
        await ports.lease.write(0, record)
        value = ports.memory.get("mulleinreach", "coordinator").value
        ports.memory.put("mulleinreach", "coordinator", {**value, **invalid})
        read = await ports.lease.read()
        assert read.record == replace(record, inheritance=HandoverState())

    run_ports(PlatformPorts, test)


@pytest.mark.parametrize("value", [{}, ["a"], b"W1tb", {"holder": "a", "token": "x"}])
def test_unreadable_lease_can_be_acquired(value):
    async def test(ports):
        version = ports.memory.put("mulleinreach", "coordinator", value)
        read = await ports.lease.read()
        assert (read.version, read.record) == (version, None)
        record = LeaseRecord("a.1", "10.0.0.1:1", 5, 0, "secret")
        assert isinstance(await ports.lease.write(version, record), LeaseWritten)

    run_ports(PlatformPorts, test)
