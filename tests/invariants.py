"""Checks what must always hold, many times a second, while faults go on."""

from __future__ import annotations

import asyncio

from mulleinreach.common.net import Address
from mulleinreach.groups.model import GROUPS_PREFIX, HOSTS_PREFIX
from tests.support import Deployment

STEP_S = 0.05
WITHDRAWAL_S = 3.0


class Invariants:
    """Collects violations of the brief's promises in ``broken``."""

    def __init__(self, deployment: Deployment):
        self._d = deployment
        self._dead_since: dict[str, float] = {}
        self._accepted = 0
        self.broken: list[str] = []
        self.checks = 0
        deployment.world.fabric.on_obey = self._on_obey

    async def watch(self) -> None:
        """Check for ever."""
        while True:
            self._check_groups()
            self._check_routing()
            self._check_configuration()
            self.checks += 1
            await asyncio.sleep(STEP_S)

    def _say(self, text: str) -> None:
        self.broken.append(f"{self._d.now:.2f} s: {text}")

    def _check_groups(self) -> None:
        """No host is in two groups."""
        owner: dict[str, str] = {}
        for key, group in self._d.world.table.values(GROUPS_PREFIX).items():
            for host in group["hosts"]:
                if host in owner:
                    self._say(f"{host} is in {owner[host]} and {key}")
                owner[host] = key
                row = self._d.world.table.value(HOSTS_PREFIX + host)
                if row["use"] != "member" or row["epoch"] != group["epoch"]:
                    self._say(f"{host} is in {key} but its row says {row}")

    def _on_obey(self, engine, order: dict) -> None:
        """An engine carries out only orders that the table still counts with."""
        row = self._d.world.table.value(HOSTS_PREFIX + engine.name)
        is_current = row["order_id"] == order["order_id"]
        if not is_current and row["unresolved"] == 0:
            self._say(f"{engine.name} obeyed {order['order_id']} while its row says {row}")

    def _check_routing(self) -> None:
        """No node sends work to a replica that has a dead or old member."""
        world = self._d.world
        for name, engine in world.engines.items():
            if engine.alive and not engine.paused:
                self._dead_since.pop(name, None)
            else:
                self._dead_since.setdefault(name, self._d.now)
        for node in self._d.nodes:
            for candidate in node.replicas.candidates("tint-model"):
                self._check_candidate(node, candidate)

    def _check_candidate(self, node, candidate) -> None:
        groups = {g.replica: g for g in node.replicas.all_groups()}
        group = groups[candidate.replica]
        for host in group.hosts:
            engine = self._d.world.engines[host]
            dead_s = self._d.now - self._dead_since.get(host, self._d.now)
            if dead_s > WITHDRAWAL_S:
                self._say(f"{node.name} uses {group.replica}, whose {host} died {dead_s:.2f} s ago")
            if not self._dead_since.get(host) and engine.state.epoch > group.epoch:
                self._note_old_epoch(node, group, engine)
        head = self._d.world.engines[group.head]
        address = Address.parse(node.directory.get(head.name).address)
        if address != candidate.address:
            self._say(f"{node.name} sends {group.replica} to {candidate.address}, not its head")

    def _note_old_epoch(self, node, group, engine) -> None:
        # Evidence asked for before the new order may still be fresh; after that
        # the old epoch must be gone.
        sighting = node.wholeness.age_s(group.replica)
        if sighting > WITHDRAWAL_S:
            self._say(f"{node.name} uses {group.replica} epoch {group.epoch}, {engine.name} left")

    def _check_configuration(self) -> None:
        """No node serves with a version below one that was told to be accepted."""
        for node in self._d.nodes:
            if node.force.version and node.force.acceptance().accepted:
                self._accepted = max(self._accepted, node.force.version)
        for node in self._d.nodes:
            if node.force.is_fresh() and node.force.version < self._accepted:
                version = node.force.version
                self._say(f"{node.name} serves version {version}, accepted is {self._accepted}")
