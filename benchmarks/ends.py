"""What it costs a node to hear of the loss of many upstreams, and to be told of it again.

Run with ``python -m benchmarks.ends``; prints milliseconds of the loop.
"""

from __future__ import annotations

import asyncio
import random
import time

from mulleinreach.common import Clock, EventLog
from mulleinreach.gateway.state.crashes import CrashTracker, RunObservation
from mulleinreach.gateway.state.upstream_ends import RunOutcome

UPSTREAMS = 100
REQUESTS_EACH = 17
TELLINGS = 10


def make_sightings() -> list[RunObservation]:
    """Return what nodes tell when upstreams of three halls end with requests in flight."""
    rng = random.Random(1)
    return [
        RunObservation(
            rng.getrandbits(64),
            rng.getrandbits(64),
            f"u{number}",
            f"hall-{number % 3}",
            RunOutcome.ENDED_BEGUN,
            0.1,
            (1, 2 + rng.randrange(24), 100 + rng.randrange(400)),
        )
        for number in range(UPSTREAMS)
        for _ in range(REQUESTS_EACH)
    ]


def milliseconds(act) -> float:
    """Return how long a call takes."""
    began = time.perf_counter()
    act()
    return 1000 * (time.perf_counter() - began)


async def measure() -> None:
    """Print the figures."""
    tracker = CrashTracker(Clock(), EventLog("benchmark"), random.Random(1), lambda content: None)
    told = make_sightings()
    first_ms = milliseconds(lambda: tracker.merge_observations(told))
    again_ms = milliseconds(lambda: [tracker.merge_observations(told) for _ in range(TELLINGS)])
    print(f"{len(told)} sightings: {first_ms:.1f} ms; {TELLINGS} tellings more: {again_ms:.1f} ms")
    print(
        f"parts judged: {milliseconds(tracker.held):.1f} ms, again {milliseconds(tracker.held):.1f}"
    )


if __name__ == "__main__":
    asyncio.run(measure())
