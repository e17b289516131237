"""A soak without processes, to prove that its checks find what they look for."""

from __future__ import annotations

from types import SimpleNamespace

from mulleinreach.platform.tests.soak.kinds import NO_KINDS, SoakKinds
from mulleinreach.platform.tests.soak.notices import Notices
from mulleinreach.platform.tests.soak.run import Soak
from mulleinreach.platform.tests.soak.world import SoakWorld


def make_soak(kinds: SoakKinds = NO_KINDS) -> tuple[Soak, SimpleNamespace]:
    """Return a soak, and its world, which has run nothing yet."""
    checks = SimpleNamespace(runs={}, started_at={}, cold_starts=[], broken_runs=[])
    world = SimpleNamespace(
        plain=SimpleNamespace(runs=[]),
        fabric=SimpleNamespace(checks=checks),
        revocations=[],
        evacuations=[],
        leavings=[],
        disturbances=[],
        configured_at=[],
        gateways=[
            SimpleNamespace(
                name="gateway-0",
                started_at=[90.0],
                terminated_at=[],
                terminated_unstarted_at=[],
                killed_at=[],
            )
        ],
        notices=Notices(),
        arrivals=lambda: world.notices.arrivals,
        lasting_runs=lambda: world.host_runs,
        host_runs=[],
        resets=[],
        domain_crashes=[],
        is_out_of_touch=lambda *at: SoakWorld.is_out_of_touch(world, *at),
        is_in_touch=lambda *at: SoakWorld.is_in_touch(world, *at),
        hall_of={"desk-0": "hall-a", "desk-1": "hall-b", "host-1": "hall-a"}.get,
    )
    return Soak(world, 1, kinds), world


def find_broken(soak: Soak) -> list[str]:
    """Run the checks; returns what they found."""
    soak.checks.check()
    soak._notice_checks.check()
    soak._limit_checks.check()
    soak._retry_checks.check()
    soak._attempt_checks.check()
    soak._deadline_checks.check()
    soak._crash_checks.check()
    soak._loss_checks.check()
    soak._release_checks.check()
    return soak.report.broken
