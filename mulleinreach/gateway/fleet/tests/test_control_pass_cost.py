"""A pass of the control loop looks at each group a bounded number of times."""

from __future__ import annotations

import asyncio

from mulleinreach.gateway.fleet.controller import FleetController
from mulleinreach.gateway.state.groups import Group
from mulleinreach.gateway.tests.support import run_world

FEW_DOMAINS, MANY_DOMAINS = 4, 16
# A look at each group for each domain would let it grow as the domains do.
MAX_GROWTH = 1.5


def looks_per_group_and_pass(domains: int, monkeypatch) -> float:
    """Return how often a pass asks a group for its head, in a deployment that is formed."""
    counts = {"looks": 0, "passes": 0}
    head, run_pass = Group.head.fget, FleetController._run_pass

    def count_look(group):
        counts["looks"] += 1
        return head(group)

    def count_pass(controller):
        counts["passes"] += 1
        run_pass(controller)

    async def test(world):
        await world.until_formed()
        await asyncio.sleep(3)
        with monkeypatch.context() as patch:
            patch.setattr(Group, "head", property(count_look))
            patch.setattr(FleetController, "_run_pass", count_pass)
            await asyncio.sleep(2)

    run_world(test, nodes=1, domains=domains)
    # Each domain of eight hosts holds a wide group and two narrow ones.
    return counts["looks"] / counts["passes"] / (3 * domains)


# Guards against a coordinator that falls behind while thousands of hosts start: it takes sound
# hosts for lost, since their answers wait for its processor, and loses its lease.
def test_cost_of_a_pass_for_each_group_does_not_grow_with_the_domains(monkeypatch):
    few, many = (looks_per_group_and_pass(n, monkeypatch) for n in (FEW_DOMAINS, MANY_DOMAINS))
    assert 0 < many <= MAX_GROWTH * few
