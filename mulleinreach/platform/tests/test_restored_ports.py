"""Ports detect that the store was restored from a backup and assigns versions again."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from mulleinreach.gateway.ports import (
    HistoryLost,
    LeaseConflict,
    LeaseRecord,
    LeaseWritten,
    OperatorRows,
    OperatorRowsChanged,
    Unavailable,
)
from mulleinreach.gateway.revision import era_of, version_of
from mulleinreach.platform.store import ERA_HEADER
from mulleinreach.platform.tests.port_kinds import HOST, PlatformPorts, both_ports, run_ports

RECORD = LeaseRecord("a.1", "10.0.0.1:1", 1, 0, "secret")
OTHER_RECORD = LeaseRecord("b.1", "10.0.0.2:1", 2, 0, "other")
WAIT_S = 0.2


@both_ports
def test_revisions_after_a_restore_are_later_than_all_before(kind):
    async def test(ports):
        copy = ports.memory.copy()
        for _ in range(5):
            ports.put_upstream(HOST)
        before = await ports.upstreams.read()
        ports.memory.restore(copy)
        after = await ports.upstreams.read()
        assert version_of(after.revision) < version_of(before.revision)
        assert after.revision > before.revision
        assert era_of(after.revision) == 1

    run_ports(kind, test)


@pytest.mark.parametrize("writes", [0, 1, 9])
@both_ports
def test_wait_from_a_revision_before_a_restore_fails(kind, writes):
    async def test(ports):
        copy = ports.memory.copy()
        ports.put_upstream(HOST)
        ports.put_configuration(7)
        read = await ports.upstreams.read()
        ports.memory.restore(copy)
        for _ in range(writes):
            ports.put_upstream(HOST)
        assert await ports.upstreams.wait(read.revision, WAIT_S) == HistoryLost()
        assert await ports.configurations.wait(read.revision, WAIT_S) == HistoryLost()
        restored = await ports.upstreams.read()
        ports.put_upstream(replace(HOST, id="u-2"))
        (changed,) = (await ports.upstreams.wait(restored.revision, WAIT_S)).upstreams
        assert changed.id == "u-2"

    run_ports(kind, test)


def test_pending_wait_ends_once_another_answer_reports_the_restore():
    async def test(ports):
        for _ in range(9):
            ports.put_upstream(HOST)
        copy = ports.memory.copy()
        ports.put_configuration(7)
        read = await ports.upstreams.read()
        waiting = asyncio.create_task(ports.upstreams.wait(read.revision, 30.0))
        await asyncio.sleep(1)
        # Only responses to new calls report the restore.
        ports.memory.restore(copy, ends_waits=False)
        await ports.configurations.read()
        async with asyncio.timeout(0.2):
            assert await waiting == HistoryLost()

    run_ports(PlatformPorts, test)


@pytest.mark.parametrize("has_seen_restore", [False, True])
@both_ports
def test_lease_is_not_written_under_a_reused_version(kind, has_seen_restore):
    async def test(ports):
        ports.put_upstream(HOST)
        copy = ports.memory.copy()
        written = await ports.lease.write(0, RECORD)
        ports.memory.restore(copy)
        reused_version = ports.memory.put("mulleinreach", "coordinator", {})
        if kind is not PlatformPorts:
            reused_version = ports.memory.put("lease", "coordinator", OTHER_RECORD)
            ports.memory.version = reused_version = version_of(written.version)
        assert reused_version == version_of(written.version)
        if has_seen_restore:
            await ports.upstreams.read()
        assert await ports.lease.write(written.version, RECORD) == LeaseConflict()

    run_ports(kind, test)


@both_ports
def test_lease_is_written_under_a_version_read_after_the_restore(kind):
    async def test(ports):
        written = await ports.lease.write(0, RECORD)
        copy = ports.memory.copy()
        renewed = await ports.lease.write(written.version, replace(RECORD, renewal=1))
        ports.memory.restore(copy)
        assert await ports.lease.write(renewed.version, RECORD) == LeaseConflict()
        read = await ports.lease.read()
        assert (read.record, read.era, era_of(read.version)) == (RECORD, 1, 1)
        renewal = await ports.lease.write(read.version, replace(RECORD, renewal=1, era=1))
        assert isinstance(renewal, LeaseWritten)
        assert (await ports.lease.read()).record.era == 1

    run_ports(kind, test)


@both_ports
def test_renewal_fails_for_rows_read_before_the_restore(kind):
    async def test(ports):
        ports.put_configuration(7)
        await ports.lease.write(0, RECORD)
        row = (await ports.configurations.read()).row_version
        ports.memory.restore(ports.memory.copy())
        lease = await ports.lease.read()
        renewal = await ports.lease.write(lease.version, RECORD, OperatorRows(row))
        assert renewal == OperatorRowsChanged()
        row = (await ports.configurations.read()).row_version
        renewal = await ports.lease.write(lease.version, RECORD, OperatorRows(row))
        assert isinstance(renewal, LeaseWritten)

    run_ports(kind, test)


def test_table_restored_between_two_pages_is_not_returned():
    async def test(ports):
        for number in range(7):
            ports.put_upstream(replace(HOST, id=f"u-{number}"))
        copy, arrived = ports.memory.copy(), []

        async def restore_then_get(request):
            if arrived:
                ports.memory.restore(copy)
            arrived.append(request)
            return await get(request)

        get = ports.standin.get_rows
        ports.standin.get_rows = restore_then_get
        assert isinstance(await ports.upstreams.read(), Unavailable)

    run_ports(PlatformPorts, test)


@pytest.mark.parametrize("header", ["", "x", "-1", "²", "1.5"])
def test_unreadable_era_header_keeps_the_known_era(header):
    async def test(ports):
        ports.memory.restore(ports.memory.copy())
        ports.put_upstream(HOST)
        before = await ports.upstreams.read()
        ports.standin.headers[ERA_HEADER] = header
        after = await ports.upstreams.read()
        assert after.revision == before.revision

    run_ports(PlatformPorts, test)
