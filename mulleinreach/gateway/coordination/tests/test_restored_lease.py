"""Two nodes never hold the lease at once after a restore of the store."""

from __future__ import annotations

import asyncio

import pytest

from mulleinreach.common import Clock, EventLog
from mulleinreach.gateway.coordination.lease import (
    LEASE_DURATION_S,
    RENEW_INTERVAL_S,
    CoordinatorLease,
    LeaseState,
    RenewalOutcome,
)
from mulleinreach.gateway.model import HandoverState, ShareStatement
from mulleinreach.gateway.tests.support import run_world
from mulleinreach.standins.gateway.restoring import restore, write_hosts_again, write_others
from mulleinreach.standins.gateway.store import MemoryLease, MemoryStore
from mulleinreach.standins.virtual import run_virtual

EXPIRY_WAIT_S = 1.1 * LEASE_DURATION_S
# Time for a renewal, a read of the row and another renewal.
REELECTION_S = 1.0


def make_lease(store: MemoryStore, holder: str) -> CoordinatorLease:
    """Return a node's view of the lease."""
    name = holder.partition(".")[0]
    return CoordinatorLease(
        MemoryLease(store), holder, f"10.0.0.1:{len(name)}", Clock(), EventLog(name)
    )


async def _take_over(store: MemoryStore, holder: str) -> CoordinatorLease:
    """Return a lease that a node has acquired after the previous one expired."""
    lease = make_lease(store, holder)
    await lease.read_state()
    await asyncio.sleep(EXPIRY_WAIT_S)
    assert await lease.read_state() is LeaseState.FREE
    assert await lease.acquire()
    return lease


async def _lose_takeover_in_restore(store: MemoryStore) -> CoordinatorLease:
    """Return a lease that was acquired, and whose row was then lost in a restore."""
    copy = store.copy()
    later = await _take_over(store, "b.1")
    store.restore(copy)
    return later


async def _assert_never_both_hold(first: CoordinatorLease, second: CoordinatorLease, act) -> None:
    """Repeat an action until any lease has expired, checking that only one node holds it."""
    for _ in range(int(EXPIRY_WAIT_S / 0.05)):
        await act()
        assert not (first.is_held() and second.is_held())
        await asyncio.sleep(0.05)


def test_holder_named_by_restored_row_never_holds_with_lost_later_holder():
    async def test():
        store = MemoryStore()
        earlier = make_lease(store, "a.1")
        assert await earlier.acquire()
        later = await _lose_takeover_in_restore(store)
        assert later.is_held()
        await _assert_never_both_hold(earlier, later, earlier.renew)
        assert earlier.is_held()

    run_virtual(test())


def test_restarted_holder_of_restored_row_never_holds_with_lost_later_holder():
    async def test():
        store = MemoryStore()
        assert await make_lease(store, "a.1").acquire()
        later = await _lose_takeover_in_restore(store)
        again = make_lease(store, "a.2")

        async def take():
            if await again.read_state() is LeaseState.FREE:
                await again.acquire()

        await _assert_never_both_hold(again, later, take)

    run_virtual(test())


def test_write_that_succeeds_on_reissued_version_gives_no_second_holder():
    async def test():
        store = MemoryStore()
        earlier = make_lease(store, "a.1")
        copy = store.copy()
        assert await earlier.acquire()
        store.restore(copy)
        later = make_lease(store, "b.1")
        assert await later.read_state() is LeaseState.FREE
        assert await later.acquire()
        assert store.version == 1
        await _assert_never_both_hold(earlier, later, earlier.renew)

    run_virtual(test())


def test_holder_in_restored_row_keeps_its_lease():
    async def test():
        store = MemoryStore()
        lease = make_lease(store, "a.1")
        assert await lease.acquire()
        copy = store.copy()
        for _ in range(4):
            await asyncio.sleep(RENEW_INTERVAL_S)
            assert await lease.renew() is RenewalOutcome.RENEWED
        store.restore(copy)
        write_others(store, 9)
        for _ in range(20):
            await asyncio.sleep(0.15)
            await lease.renew()
            assert lease.is_held()
        assert lease.token == 1

    run_virtual(test())


def test_tokens_exceed_those_lost_in_a_restore():
    async def test():
        store = MemoryStore()
        assert await make_lease(store, "a.1").acquire()
        later = await _lose_takeover_in_restore(store)
        other = await _take_over(store, "c.1")
        assert other.token > later.token

    run_virtual(test())


def test_renewal_lost_in_a_restore_is_not_mistaken_for_a_late_write():
    async def test():
        store = MemoryStore()
        lease = make_lease(store, "a.1")
        assert await lease.acquire()
        copy = store.copy()
        store.loses = True
        assert await lease.renew() is RenewalOutcome.UNKNOWN
        store.loses = False
        store.restore(copy)
        assert await lease.renew() is RenewalOutcome.UNKNOWN
        assert await lease.renew() is RenewalOutcome.RENEWED

    run_virtual(test())


@pytest.mark.parametrize("away_s", [0.4, 1.0, 2.4, 5.0])
@pytest.mark.parametrize("is_killed", [False, True])
def test_at_most_one_coordinator_and_prompt_election_after_restore(away_s, is_killed):
    async def test(world):
        await world.until_formed()
        await asyncio.sleep(2)
        copy = world.store.copy()
        if is_killed:
            await world.kill_node(world.coordinator())
            await world.until(lambda: world.coordinator() is not None, 5)
        await asyncio.sleep(1)
        watch = asyncio.create_task(watch_holders(world))
        await restore(world.store, copy, away_s)
        write_hosts_again(world.fabric)
        back_s = await world.until(lambda: world.coordinator() is not None, 8)
        assert back_s <= 2 * LEASE_DURATION_S + REELECTION_S
        await asyncio.sleep(4)
        assert not watch.done(), watch.exception()
        watch.cancel()
        assert world.coordinator() is not None

    run_world(test, nodes=4)


async def watch_holders(world) -> None:
    """Check until cancelled that at most one node holds the lease."""
    while True:
        holders = [name for name, node in world.nodes.items() if node.lease.is_held()]
        assert len(holders) <= 1, holders
        await asyncio.sleep(0.02)


# Guards against a coordinator that takes a restored statement of shares for the latest one.
def test_statement_of_shares_from_before_a_restore_is_not_inherited():
    async def test():
        store = MemoryStore()
        first = make_lease(store, "a.1")
        await first.read_state()
        assert await first.acquire()
        await first.renew(inheritance=HandoverState(shares=ShareStatement(1, 0.5)))
        kept = await _take_over(store, "b.1")
        assert kept.record.inheritance.shares == ShareStatement(1, 0.5)
        store.restore(store.copy())
        assert (await _take_over(store, "c.1")).record.inheritance.shares is None

    run_virtual(test())
