"""The command line takes nothing for an answer of its node that is none."""

from __future__ import annotations

import asyncio
import threading

import pytest
import typer

from mulleinreach.cli.client import Connection, Exit, Output
from mulleinreach.gateway.request.tests.fixed_answers import FixedAnswerServer

BODY = b'{"state": "ok"}'
LENGTH = b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY
OK = b"HTTP/1.1 200 OK\r\n"
BROKEN = {
    "status": b"HTTP/1.1 000 X\r\n" + LENGTH,
    "switch": b"HTTP/1.1 101 X\r\n" + LENGTH,
    "blank before colon": OK + b"Connection : close\r\n" + LENGTH,
    "folded": OK + b"X-Odd: a\r\n b\r\n" + LENGTH,
    "control byte": OK + b"X-O\x01dd: a\r\n" + LENGTH,
}


def call(answer: bytes) -> dict | list:
    """Call a node that answers so."""
    serving = threading.Event()
    addresses = []

    async def serve() -> None:
        handler = FixedAnswerServer(answer)
        server = await asyncio.start_server(handler.serve, "127.0.0.1", 0)
        addresses.append("{}:{}".format(*server.sockets[0].getsockname()))
        serving.set()
        await asyncio.to_thread(done.wait)
        handler.end()
        server.close()

    done = threading.Event()
    node = threading.Thread(target=lambda: asyncio.run(serve()))
    node.start()
    serving.wait()
    try:
        return Connection(addresses[0], None, Output.JSON).call("GET", "/x")
    finally:
        done.set()
        node.join()


@pytest.mark.parametrize("name", BROKEN)
def test_broken_answer_is_no_answer(name):
    with pytest.raises(typer.Exit) as ended:
        call(BROKEN[name])
    assert ended.value.exit_code == Exit.UNAVAILABLE


def test_sound_answer_is_read():
    assert call(OK + LENGTH) == {"state": "ok"}
