"""Odd documents of other writers end no duty of a node: the next sound one is followed."""

from __future__ import annotations

import asyncio
import json

import pytest

from mulleinreach.common.checked import CheckError, read_object
from mulleinreach.platform.configuration import parse_configuration
from mulleinreach.platform.sources import CONFIGURATION_KEY, CONFIGURATION_TABLE
from mulleinreach.platform.store import ERA_HEADER
from mulleinreach.platform.tests.platform_world import (
    BOUNDS,
    all_have_version,
    run_platform_world,
)
from mulleinreach.platform.tests.port_kinds import DOCUMENT, PlatformPorts, run_ports


def nested(depth: int) -> list:
    """Return a list that is nested so deeply."""
    value: list = []
    for _ in range(depth):
        value = [value]
    return value


ROUTE = DOCUMENT["routes"][0]
ODD_CONFIGURATIONS = {
    "infinite version": {**DOCUMENT, "version": float("inf")},
    "infinite time": {**DOCUMENT, "routes": [{**ROUTE, "timeout_ms": float("inf")}]},
    "no number": {**DOCUMENT, "routes": [{**ROUTE, "priority": float("nan")}]},
    "too large": {**DOCUMENT, "routes": [{**ROUTE, "max_attempts": 10**300}]},
    "too large as a time": {**DOCUMENT, "routes": [{**ROUTE, "timeout_ms": 10**400}]},
    "deep": {**DOCUMENT, "extra": nested(900)},
    "routes of another type": {**DOCUMENT, "routes": "none"},
    "tenants of another type": {**DOCUMENT, "tenants": {"name": 7}},
}


# Guards against followers that end for good by one document.
@pytest.mark.parametrize("name", ODD_CONFIGURATIONS)
def test_nodes_follow_the_configuration_after_an_odd_one(name):
    async def test(world):
        odd = dict(ODD_CONFIGURATIONS[name])
        if odd["version"] == DOCUMENT["version"]:
            odd["version"] = 2
        world.store.put(CONFIGURATION_TABLE, CONFIGURATION_KEY, odd)
        await asyncio.sleep(1)
        assert all_have_version(world, 1)
        world.configure(3)
        configured_s = await world.until(lambda: all_have_version(world, 3))
        assert configured_s <= BOUNDS.config_propagation_s

    run_platform_world(test)


# Guards against duties that end for good by an exception which nobody has foreseen.
@pytest.mark.parametrize("port", ["configurations", "upstreams", "lease"])
def test_duties_go_on_after_an_exception(port):
    async def test(world):
        failures = []
        for node in world.nodes.values():
            _raise_once(getattr(node.ports, port), failures)
        await world.until(lambda: len(failures) > 0)
        world.configure(2)
        await world.until(lambda: all_have_version(world, 2))
        await world.until(lambda: world.coordinator() is not None)

    run_platform_world(test)


def _raise_once(port: object, failures: list[str]) -> None:
    """Let the next call of each method of a port raise."""
    for name in ("read", "wait", "write"):
        method = getattr(port, name, None)
        if method is not None:
            setattr(port, name, _raising_once(port, name, method, failures))


def _raising_once(port: object, name: str, method, failures: list[str]):
    async def call(*args, **kwargs):
        setattr(port, name, method)
        failures.append(name)
        raise OverflowError(name)

    return call


@pytest.mark.parametrize("name", ODD_CONFIGURATIONS)
def test_odd_configuration_is_refused_whole(name):
    document = {**ODD_CONFIGURATIONS[name]}
    with pytest.raises(CheckError):
        parse_configuration(read_object(json.dumps(document).encode()))


def test_configuration_that_can_not_be_read_leaves_no_document():
    async def test(ports: PlatformPorts):
        ports.memory.put("op", "config", {**DOCUMENT, "version": "x"})
        read = await ports.configurations.read()
        assert (read.configuration, read.document) == (None, b"")

    run_ports(PlatformPorts, test)


@pytest.mark.parametrize(
    "data",
    [
        b'{"n": NaN}',
        b'{"n": Infinity}',
        b'{"n": 1e400}',
        b'{"n": ' + b"9" * 5000 + b"}",
        b'{"n": ' + b"[" * 100_000 + b"]" * 100_000 + b"}",
        b'{"n": ' + b"[" * 65 + b"]" * 65 + b"}",
        b'{"n": "\\ud800"}',
        b"[]",
        b"",
        b"\xff",
    ],
)
def test_documents_that_are_not_standard_json_are_refused(data):
    with pytest.raises(CheckError):
        read_object(data)


@pytest.mark.parametrize("era", ["9" * 5000, "-1", "x"])
def test_odd_era_of_an_answer_is_passed_over(era):
    async def test(ports: PlatformPorts):
        ports.standin.headers = {ERA_HEADER: era}
        ports.put_configuration(1)
        read = await ports.configurations.read()
        assert read.configuration.version == 1

    run_ports(PlatformPorts, test)
