"""Addresses that a socket can't connect to are refused, or fail like any that nobody answers."""

from __future__ import annotations

import asyncio

import pytest

from mulleinreach.common import Address, Network
from mulleinreach.common.checked import CheckError, parse_address

ODD_ADDRESSES = [
    "..:80",
    "127.0.0.1..:80",
    "1.2:80",
    "256.1.1.1:80",
    "01.2.3.4:80",
    "::1:80",
    "::::::80",
    "[::1:80",
    "[::1]:0",
    "-a.example:80",
    "a" * 64 + ":80",
    "a." * 127 + "a:80",
    "0.0.0.0:80",
    "[::]:80",
    "255.255.255.255:80",
    "224.0.0.1:80",
    "10.0.0.1:0",
    "10.0.0.1:65536",
    "10.0.0.1:080",
    "10.0.0.1:" + "9" * 5000,
    "10.0.0.1",
    "",
]


@pytest.mark.parametrize("text", ODD_ADDRESSES)
def test_address_that_can_not_be_connected_to_is_refused(text):
    with pytest.raises(CheckError):
        parse_address(text)


@pytest.mark.parametrize("text", ["10.0.0.1:80", "[::1]:65535", "engine-7.example:1", "host:80"])
def test_address_of_a_server_is_accepted(text):
    assert str(parse_address(text)) == text


# Guards against callers of the network that expect no other error.
@pytest.mark.parametrize("host", ["..", "a" * 64, "a..example"])
def test_host_that_can_not_be_resolved_is_an_os_error(host):
    async def run():
        network, address = Network(), Address(host, 80)
        with pytest.raises(OSError):
            await network.create_connection(asyncio.Protocol, address)
        with pytest.raises(OSError):
            await network.connect(address)

    asyncio.run(run())
