"""Callers, operators and peers are authenticated; organisations are kept apart."""

import asyncio

import pytest

from mulleinreach.common import Address
from mulleinreach.roster.link import KeyRing, Link, LinkError, PeerKey, new_hello
from mulleinreach.roster.messages import Ping, Pong, decode, encode
from mulleinreach.settings.model import PeerKeySettings
from mulleinreach.standins.links import Links
from mulleinreach.standins.people import Caller, Operator, demo_intent
from mulleinreach.standins.virtual import VirtualNetwork, run_virtual
from mulleinreach.standins.world import CALLER_KEYS, sha256
from tests.support import run_deployed

OLD, NEW = PeerKey("old", b"old secret"), PeerKey("new", b"new secret")


def handshake(client_ring, server_ring):
    """Run both sides of a handshake; returns what each got, or the error it raised."""

    async def main():
        network = VirtualNetwork(Links(), "test")
        loop = asyncio.get_running_loop()
        server_got = loop.create_future()

        async def serve(reader, writer):
            link = Link(reader, writer)
            try:
                hello = new_hello("server", "s1")
                server_got.set_result(await link.handshake(hello, server_ring, is_client=False))
            except (LinkError, TimeoutError) as error:
                server_got.set_result(error)
                link.close()

        await network.listen(Address("10.0.0.1", 80), serve)
        link = Link(*await network.connect(Address("10.0.0.1", 80)))
        try:
            client_got = await link.handshake(new_hello("client", "c1"), client_ring, True)
        except (LinkError, TimeoutError) as error:
            client_got = error
            link.close()
        return client_got, await server_got

    return run_virtual(main())


def test_peers_with_the_same_key_accept_each_other():
    client_got, server_got = handshake(KeyRing([OLD]), KeyRing([OLD]))
    assert (client_got.node, server_got.node) == ("server", "client")


@pytest.mark.parametrize("key", [NEW, PeerKey("old", b"a guess")])
def test_a_peer_without_the_key_is_refused_by_both_sides(key):
    client_got, server_got = handshake(KeyRing([key]), KeyRing([OLD]))
    assert isinstance(client_got, LinkError | TimeoutError)
    assert isinstance(server_got, LinkError | TimeoutError)


@pytest.mark.parametrize(
    ("first", "second"),
    [
        ([OLD], [OLD, NEW]),  # the new key is added everywhere, one node after the other
        ([OLD, NEW], [NEW, OLD]),  # then it is put first
        ([NEW, OLD], [NEW]),  # then the old one is taken away
    ],
)
def test_a_key_is_turned_over_without_a_stop(first, second):
    for client, server in ((first, second), (second, first)):
        client_got, server_got = handshake(KeyRing(client), KeyRing(server))
        assert (client_got.node, server_got.node) == ("server", "client")


def test_a_proof_can_not_be_sent_back_or_used_again():
    ring = KeyRing([OLD])
    transcript = b"hellos of this connection"
    proof = ring.prove(b"client", transcript)
    assert ring.accepts(proof, b"client", transcript)
    assert not ring.accepts(proof, b"server", transcript)
    assert not ring.accepts(proof, b"client", b"hellos of another connection")


@pytest.mark.parametrize("data", [b"", b"\xff" * 30, encode(Ping(1, 1))[:-3], b"\x00" * 200])
def test_what_is_no_message_is_refused(data):
    try:
        decode(data)
    except ValueError:
        return
    # Packed zeros are a valid empty message; it must not be taken for an answer.
    assert not isinstance(decode(data), Pong)


def test_secrets_come_from_the_environment_or_a_file(tmp_path, monkeypatch):
    monkeypatch.setenv("PEER_KEY", "from the environment")
    assert PeerKeySettings(id="a", secret="env:PEER_KEY").read_secret() == b"from the environment"
    (tmp_path / "key").write_text("from a file\n")
    assert PeerKeySettings(id="a", secret=f"file:{tmp_path}/key").read_secret() == b"from a file"


def test_a_stranger_can_not_join_or_be_heard_by_nodes():
    async def scenario(d):
        node = d.nodes[0]
        network = d.world.network("stranger")
        link = Link(*await network.connect(Address.parse(node.settings.listen.peers)))
        with pytest.raises((LinkError, TimeoutError)):
            await link.handshake(new_hello("apapa-1", "x"), KeyRing([NEW]), is_client=True)
        with pytest.raises((LinkError, OSError)):
            await link.send(Ping(1, 99))
            await link.receive()

    run_deployed(scenario)


def test_operators_need_a_token_and_a_role():
    async def scenario(d):
        viewer, nobody = Operator(d.world, "viewer"), Operator(d.world)
        nobody._token = "a guess"
        node = d.nodes[0]
        assert (await nobody.request(node, "GET", "/get/config")).status == 401
        assert (await viewer.request(node, "GET", "/get/config")).status == 200
        refused = await viewer.plan(node, intent=demo_intent(3))
        assert (refused.status, refused.error["code"]) == (403, "forbidden")
        plan = (await d.operator.plan(node, intent=demo_intent(3))).json["id"]
        assert (await viewer.confirm(node, plan)).status == 403
        await viewer.close()
        await nobody.close()

    run_deployed(scenario)


def test_callers_can_not_use_the_interface_for_operators():
    async def scenario(d):
        operators = Operator(d.world)
        operators._token = CALLER_KEYS["shop-lagos"]
        for path in ("/get/config", "/audit", "/explain/request/x"):
            assert (await operators.request(d.nodes[0], "GET", path)).status == 401
        reply = await d.caller.request(d.nodes[0], "GET", "/explain/request/x")
        assert reply.status == 404
        await operators.close()

    run_deployed(scenario)


def test_organisations_do_not_share_keys_of_requests_or_answers():
    async def scenario(d):
        ibadan = Caller(d.world, CALLER_KEYS["shop-ibadan"])
        headers = {"idempotency-key": "the same key"}
        path = "/services/shop-desk/orders"
        first = await d.caller.request(d.nodes[0], "POST", path, data=b"1", headers=headers)
        other = await ibadan.request(d.nodes[0], "POST", path, data=b"2", headers=headers)
        assert (first.json["order"], other.json["order"]) == ("1", "2")
        await ibadan.close()

    run_deployed(scenario)


def test_a_callers_key_does_not_reach_the_upstream():
    async def scenario(d):
        seen = []
        for service in d.world.plain.values():
            service.on_headers = seen.append
        await d.caller.request(d.nodes[0], "GET", "/services/shop-desk/status")
        assert seen and all("authorization" not in {k.lower() for k in h} for h in seen)

    run_deployed(scenario)


def test_an_organisations_key_is_turned_over_without_a_stop():
    async def scenario(d):
        new_caller = Caller(d.world, "new key")

        async def statuses():
            both = (d.caller, new_caller)
            return [(await c.request(d.nodes[1], "GET", "/v1/models")).status for c in both]

        intent = demo_intent()
        hashes = intent["organisations"][0]["key_sha256"]
        hashes.append(sha256("new key"))
        assert (await d.apply(intent=intent)).json["accepted"]
        assert await statuses() == [200, 200]
        del hashes[0]
        assert (await d.apply(intent=intent)).json["accepted"]
        assert await statuses() == [401, 200]
        await new_caller.close()

    run_deployed(scenario)


def test_no_key_stands_in_the_audit_trail_or_the_configuration():
    async def scenario(d):
        text = str(d.world.table.rows)
        for key in CALLER_KEYS.values():
            assert key not in text

    run_deployed(scenario)
