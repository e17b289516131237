"""Orders to replicas and their reports, by the platform's protocol."""

from dataclasses import replace

import pytest
from aiohttp import web

from mulleinreach.common import Address
from mulleinreach.gateway.ports import Accepted, Fenced, NoAnswer, Rejected, Unavailable
from mulleinreach.gateway.upstream import Membership, MemberState, Upstream
from mulleinreach.platform.orders import PlatformOrders
from mulleinreach.platform.tests.standin import ReplicaStandIn, row_of
from mulleinreach.standins.links import Links
from mulleinreach.standins.virtual import VirtualNetwork, run_virtual

HOST = Upstream("u-1", "models", Address("10.0.1.1", 80), "hall-a", slots=3, domain="d1")


def run_orders(order_statuses, test, sends_token=False, links=None):
    """Run a test against a fake replica."""

    async def run():
        replica = ReplicaStandIn(HOST.id, order_statuses)
        network = VirtualNetwork(links or Links(), "test")
        server = await network.serve_http(replica.app(), HOST.address)
        sessions = []

        def make_session(keeps_connections=True):
            sessions.append(network.http_client(keeps_connections))
            return sessions[-1]

        try:
            await test(PlatformOrders(make_session, sends_token), replica)
        finally:
            for session in sessions:
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


def test_orders_carry_the_token_if_engines_check_it():
    async def test(orders, replica):
        assert await orders.join(HOST, "g", 12, "m", ["u-1"], 3) == Accepted()
        assert await orders.open(HOST, "g", 12, 3) == Accepted()
        assert await orders.leave(HOST, "g", 12, 3) == Fenced()
        assert [order["fence"] for order in replica.orders] == [3, 3, 3]

    run_orders([202, 202, 412], test, sends_token=True)


def test_orders_carry_no_token_if_engines_do_not_check_it():
    async def test(orders, replica):
        await orders.open(HOST, "g", 12, 3)
        assert "fence" not in replica.orders[0]

    run_orders([202], test)


def test_order_that_times_out_returns_no_answer():
    async def test(orders, replica):
        assert isinstance(await orders.open(HOST, "g", 12, 3), NoAnswer)

    run_orders([0], test)


def test_order_for_another_incarnation_is_rejected():
    async def test(orders, replica):
        other = replace(HOST, id="u-old")
        assert await orders.leave(other, "g", 12, 3) == Rejected(421)
        assert replica.orders == []

    run_orders([], test)


def test_valid_report_is_parsed_and_invalid_one_is_unavailable():
    async def test(orders, replica):
        membership = Membership("g", 5, 1, MemberState.READY)
        replica.report = row_of(replace(HOST, membership=membership, staged=("m",)))
        report = await orders.report(HOST, 0.2)
        assert (report.membership, report.staged) == (membership, ("m",))
        replica.report = ["no", "report"]
        assert isinstance(await orders.report(HOST, 0.2), Unavailable)

    run_orders([], test)


# Guards against hosts that count as lost since a kept connection to them has fallen silent.
def test_report_arrives_after_open_connections_fell_silent():
    links = Links()

    async def test(orders, replica):
        assert await orders.join(HOST, "g", 12, "m", ["u-1"], 3) == Accepted()
        links.silence(["test"])
        assert not isinstance(await orders.report(HOST, 0.25), Unavailable)
        assert await orders.leave(HOST, "g", 12, 3) == Accepted()

    run_orders([202, 202], test, links=links)


# Guards against slow hosts that count as lost since a second question gets too little time.
def test_slow_report_is_the_answer_to_the_first_question():
    async def test(orders, replica):
        replica.report_delay_s = 0.2
        assert not isinstance(await orders.report(HOST, 0.25), Unavailable)

    run_orders([], test)


def test_report_of_a_silent_host_is_unavailable():
    links = Links()

    async def test(orders, replica):
        links.silence(["test"])
        replica.report_delay_s = 60
        assert isinstance(await orders.report(HOST, 0.25), Unavailable)

    run_orders([], test, links=links)


# Guards against a process that has ended and is given time as if it were only silent.
def test_refused_connection_is_told_apart_from_silence():
    async def test(orders, replica):
        ended = replace(HOST, address=Address("10.0.1.1", 81))
        assert (await orders.report(ended, 0.5)).is_refused
        replica.report_delay_s = 1.0
        assert not (await orders.report(HOST, 0.5)).is_refused

    run_orders([], test)


HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"


# Guards against a part of an answer that counts as an accepted order, or as a report.
@pytest.mark.parametrize("sent_bytes", range(len(HEAD)))
def test_answer_that_ends_inside_its_head_is_none(sent_bytes):
    async def answer(request):
        await request.read()
        request.transport.write(HEAD[:sent_bytes])
        request.transport.close()
        return web.Response()

    async def run():
        app = web.Application()
        app.router.add_route("*", "/{tail:.*}", answer)
        network = VirtualNetwork(Links(), "test")
        server = await network.serve_http(app, HOST.address)
        sessions = [network.http_client(), network.http_client(False)]
        orders = PlatformOrders(
            lambda keeps_connections=True: sessions[not keeps_connections], False
        )
        try:
            assert isinstance(await orders.join(HOST, "g", 12, "m", ["u-1"], 3), NoAnswer)
            assert isinstance(await orders.report(HOST, 1.0), Unavailable)
        finally:
            for session in sessions:
                await session.close()
            await server.close()

    run_virtual(run())
