"""Hosts that are replaced as planned break off no stream that ends while their group lasts."""

from __future__ import annotations

from mulleinreach.platform.tests.soak.release_faults import MAX_STAY_S
from mulleinreach.platform.tests.soak.report import SoakReport
from mulleinreach.platform.tests.soak.world import SoakWorld
from mulleinreach.standins.gateway.standings import BrokenRun


class ReleaseChecks:
    """Counts the runs that hosts broke off, and checks them where all work is planned."""

    def __init__(self, world: SoakWorld, report: SoakReport, is_planned: bool):
        self._world = world
        self._report = report
        self._is_planned = is_planned

    def check(self) -> None:
        """Check that each run that was broken off would have outlasted a leaving member."""
        runs = self._world.fabric.checks.broken_runs
        self._report.broken_runs = len(runs)
        if not self._is_planned:
            return
        for run in runs:
            if run.would_end_at <= self._lasts_until(run):
                self._report.broken.append(f"broken off although its group lasts: {run}")

    def _lasts_until(self, run: BrokenRun) -> float:
        """Return until when all members of a run's group wait for its work."""
        leavings = self._world.leavings
        announced = [each.since for each in leavings if each.upstream_id in run.members]
        return min(announced, default=float("inf")) + MAX_STAY_S
