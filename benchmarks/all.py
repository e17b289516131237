"""Runs every benchmark, one after the other."""

from __future__ import annotations

import sys

from benchmarks import limits, logs, overload, relay, repair, routing, rows, tunnels


def main() -> None:
    """Print all figures."""
    sys.argv = sys.argv[:1]
    for benchmark in (relay, routing, rows, repair, overload, limits, logs, tunnels):
        print(f"\n== {benchmark.__name__}", flush=True)
        benchmark.main()


if __name__ == "__main__":
    main()
