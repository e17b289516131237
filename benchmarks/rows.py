"""How long the rows of all hosts take to read, at the size to design for."""

from __future__ import annotations

import time

from mulleinreach.platform.rows import parse_upstream

# Letter 1's size: 710 replicas of four hosts each.
HOSTS = 2840
ROUNDS = 5
ROW = {
    "service": "models",
    "address": "10.1.64.27:8508",
    "zone": "hall-a",
    "version": "v1",
    "slots": 13,
    "state": "ready",
    "seq": 6,
    "cold_remaining_ms": 0,
    "born": 1_790_000_000_000,
    "stage": "hybrid",
    "models": [{"name": "wide", "version": 1, "adapters": []}],
    "domain": "hall-a-d0",
    "staged": ["wide"],
    "group": {"name": "g1000047.wide", "epoch": 1_000_047, "rank": 0, "state": "open"},
}


def measure() -> float:
    """Return the milliseconds of processor time that one reading of all rows takes."""
    started_at = time.process_time()
    for number in range(HOSTS * ROUNDS):
        parse_upstream(f"i-{number % HOSTS}", ROW)
    return (time.process_time() - started_at) / ROUNDS * 1000


def main() -> None:
    """Print the figure."""
    print(f"{HOSTS} rows: {measure():.0f} ms")


if __name__ == "__main__":
    main()
