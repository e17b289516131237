"""The limits of an organisation hold over all nodes, whatever is late or cut off."""

import pytest

from benchmarks.limits import NODES, PATTERNS, RATE, WINDOWS_S, Exchange, bound, make_document
from mulleinreach.admission import DistributedLimiter
from mulleinreach.common import Code, MulleinreachError
from mulleinreach.roster.messages import Demand


@pytest.mark.parametrize("pattern", PATTERNS)
def test_the_stated_bound_holds(pattern):
    exchange = Exchange()
    exchange.run(pattern, seconds=25.0)
    for window_s in WINDOWS_S:
        assert exchange.most_in(window_s) <= bound(window_s)


def test_a_single_busy_node_gets_most_of_the_rate():
    exchange = Exchange()
    exchange.run("one node", seconds=20.0)
    late = [at for at in exchange.admitted if at > 5.0]
    assert len(late) / 15.0 > 0.8 * RATE


def test_isolated_node_is_limited_to_its_own_share():
    exchange = Exchange()
    exchange.cut = {frozenset((a, b)) for a in NODES for b in NODES if a != b}
    exchange.run("one node", seconds=20.0)
    assert len(exchange.admitted) <= RATE / len(NODES) * 21 + 1


def test_lent_share_stays_reserved_when_the_grant_is_lost():
    exchange = Exchange()
    lender = exchange.nodes[NODES[0]]
    before = lender.snapshot()["shop"][0]
    lender.lend(NODES[1], [Demand("shop", 50.0, 0.0)])  # the grant never arrives
    assert lender.snapshot()["shop"][0] < before
    exchange.clock.time += 2.1
    assert lender.snapshot()["shop"][0] == before


@pytest.mark.parametrize(("concurrency", "nodes"), [(4, 9), (10, 3), (1, 1)])
def test_concurrency_never_exceeds_its_limit_over_all_nodes(concurrency, nodes):
    exchange = Exchange()
    names = NODES[:nodes]
    admitted = 0
    for name in names:
        limits = DistributedLimiter(name, exchange.clock, 0.02)
        limits.set_nodes(names)
        limits.follow(make_document(10_000.0, concurrency))
        for _ in range(concurrency + 1):
            try:
                limits.admit("shop")
                admitted += 1
            except MulleinreachError as error:
                assert error.code is Code.CONCURRENCY_LIMITED
    assert admitted == concurrency


def test_rejection_has_a_retry_after():
    exchange = Exchange()
    with pytest.raises(MulleinreachError) as raised:
        for _ in range(1000):
            exchange.nodes[NODES[0]].admit("shop")
    assert raised.value.code is Code.RATE_LIMITED
    assert raised.value.retry_after_s > 0
