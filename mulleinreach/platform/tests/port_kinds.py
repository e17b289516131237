"""Runs the same tests on in-memory ports and on ports that use the platform's protocol."""

from __future__ import annotations

import pytest

from mulleinreach.common import Address
from mulleinreach.gateway.upstream import Upstream
from mulleinreach.platform.sources import (
    PlatformConfigurations,
    PlatformLease,
    PlatformUpstreams,
)
from mulleinreach.platform.store import PlatformStore
from mulleinreach.platform.tests.standin import StoreStandIn, row_of
from mulleinreach.standins.gateway.store import (
    CONFIGURATION,
    EVACUATE,
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


class MemoryPorts:
    """Ports that use an in-memory store directly."""

    def __init__(self, memory, store):
        self.memory = memory
        self.configurations = MemoryConfigurations(memory)
        self.upstreams = MemoryUpstreams(memory)
        self.lease = MemoryLease(memory)

    def put_configuration(self, version):
        self.memory.put(CONFIGURATION, "newest", make_configuration(version))

    def put_evacuation(self, hall, value):
        return self.memory.put(CONFIGURATION, EVACUATE + hall, value)

    def put_upstream(self, upstream):
        self.memory.put(UPSTREAMS, upstream.id, upstream)

    def remove_upstream(self, upstream_id):
        self.memory.put(UPSTREAMS, upstream_id, None)

    def fail(self):
        self.memory.is_down = True


class PlatformPorts:
    """Ports that use a store over the platform's protocol."""

    def __init__(self, memory, store):
        self.memory = memory
        self.standin, client = store
        self.configurations = PlatformConfigurations(client)
        self.upstreams = PlatformUpstreams(client)
        self.lease = PlatformLease(client)

    def put_configuration(self, version):
        self.memory.put("op", "config", {**DOCUMENT, "version": version})

    def put_evacuation(self, hall, value):
        return self.memory.put("op", "evacuate/" + hall, value)

    def put_upstream(self, upstream):
        self.memory.put("servers", upstream.id, row_of(upstream))

    def remove_upstream(self, upstream_id):
        self.memory.put("servers", upstream_id, None)

    def fail(self):
        self.standin.status = 503


def run_ports(kind, test):
    """Run a test on ports of the class ``kind``."""

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


both_ports = pytest.mark.parametrize("kind", [MemoryPorts, PlatformPorts])
