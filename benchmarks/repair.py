"""Group downtime and stranded accelerators of planners, under one script of failures.

Both deployments get the same hosts and failures and differ in their weights.
The bound is what nobody could beat: at each moment the best packing of the
hosts alive, loaded in no time.
"""

from __future__ import annotations

import multiprocessing
import sys

from benchmarks.baselines import FixedSpares, GreedyFirstFit
from benchmarks.fleet import DAY_S, HOST_LOAD_S, LOAD_STREAMS, Fleet, make_failures, make_hosts
from mulleinreach.groups.planner import FleetPlanner
from mulleinreach.groups.repair import LoadTimeModel
from mulleinreach.intents import Intent

SERVICES = [("small", 4, 30, 1), ("medium", 8, 12, 1), ("large", 16, 4, 1), ("huge", 32, 2, 1)]
DOMAINS, RACKS, HOSTS = 5, 9, 8
DAYS = 0.5
DEPLOYMENTS = {"tint desk": (30.0, 1.0), "Kozha Optika": (1.0, 3.0)}
PLANNERS = ["ours", "spares 1", "spares 4", "greedy", "bound"]
SEEDS = (1, 2, 3)


def make_intent(weights: tuple[float, float]) -> Intent:
    """Return the intent of 48 replicas of 4 to 32 hosts."""
    services = [
        {
            "name": name,
            "kind": "model",
            "model": name,
            "hosts_per_replica": hosts,
            "replicas": replicas,
            "priority": priority,
        }
        for name, hosts, replicas, priority in SERVICES
    ]
    measures = {"group_downtime": weights[0], "stranded_accelerators": weights[1]}
    return Intent(kind="intent", services=services, measures=measures)


def make_planner(name: str):
    """Return a planner by its name in the table."""
    if name == "ours":
        return FleetPlanner(LoadTimeModel(HOST_LOAD_S, LOAD_STREAMS), frozenset(), 60.0)
    if name.startswith("spares"):
        return FixedSpares(int(name.split()[1]))
    return GreedyFirstFit()


def best_packing(free: dict[str, int], weights: tuple[float, float]) -> tuple[int, int]:
    """Return (replicas down, hosts idle) of a best packing, by weighted cost.

    Small replicas first bring most replicas back, large ones first leave fewest
    hosts idle; the cheaper of the two greedy packings is an estimate from the
    side that favours the bound, since replicas down and idle are taken from
    the better one each.
    """
    results = []
    for order in (sorted(SERVICES, key=lambda s: s[1]), sorted(SERVICES, key=lambda s: -s[1])):
        left, down = dict(free), 0
        for _, size, wanted, _ in order:
            placed = 0
            for domain in left:
                while placed < wanted and left[domain] >= size:
                    left[domain] -= size
                    placed += 1
            down += wanted - placed
        results.append((down, sum(left.values())))
    return min(r[0] for r in results), min(r[1] for r in results)


class BoundFleet(Fleet):
    """Measures the best packing instead of the groups."""

    def _decide(self) -> None:
        return

    def _measure(self, passed: float) -> None:
        free: dict[str, int] = {}
        for engine in self.engines.values():
            free[engine.host.domain] = free.get(engine.host.domain, 0) + engine.alive
        down, idle = best_packing(free, (1.0, 1.0))
        self.measures.downtime += passed * down
        self.measures.stranded += passed * idle


def measure(job: tuple[str, str, int]):
    """Run one planner in one deployment with one seed."""
    deployment, planner, seed = job
    hosts = make_hosts(DOMAINS, RACKS, HOSTS)
    failures = make_failures(hosts, seed, DAYS)
    kind = BoundFleet if planner == "bound" else Fleet
    fleet = kind(make_intent(DEPLOYMENTS[deployment]), hosts, make_planner(planner), failures)
    measures = fleet.run(DAYS * DAY_S)
    return measures, fleet.decisions


def main() -> None:
    """Print a table for each deployment."""
    seeds = [int(a) for a in sys.argv[1:]] or list(SEEDS)
    jobs = [(d, p, s) for d in DEPLOYMENTS for p in PLANNERS for s in seeds]
    with multiprocessing.Pool() as pool:
        results = iter(pool.map(measure, jobs, chunksize=1))
    for deployment, weights in DEPLOYMENTS.items():
        print(f"\n{deployment}: group downtime x {weights[0]:g}, stranded x {weights[1]:g}")
        print("planner      down h  stranded h     cost  decisions")
        for planner in PLANNERS:
            downtime = stranded = cost = 0.0
            decisions: dict[str, int] = {}
            for _ in seeds:
                measures, made = next(results)
                downtime += measures.downtime / 3600 / len(seeds)
                stranded += measures.stranded / 3600 / len(seeds)
                cost += measures.cost(*weights) / 3600 / len(seeds)
                for kind, count in made.items():
                    decisions[kind] = decisions.get(kind, 0) + count
            told = ", ".join(f"{k} {v}" for k, v in sorted(decisions.items()) if k != "serve")
            print(f"{planner:10s} {downtime:8.1f}  {stranded:10.1f} {cost:8.0f}  {told}")


if __name__ == "__main__":
    main()
