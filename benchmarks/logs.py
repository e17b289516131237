"""Processor time of a node's log lines, at the rates that issue 10 asks for.

Prints the share of one core that the lines of requests take, as they are written by
a gateway node: by a bounded log, through a queue, by a thread into a file.
"""

from __future__ import annotations

import asyncio
import os
import time

from mulleinreach.common import Clock, RateLimitedEventLog
from mulleinreach.common.log import install_queued_logging

RATES_PER_S = (20, 200)
SECONDS = 5


def _write_lines_of_a_request(log: RateLimitedEventLog, number: int) -> None:
    log.event(
        "request_sent",
        id=f"{number:016x}",
        route="r-6iaa4mq",
        version=31,
        upstream="i-6923e3aabe",
        attempt=1,
        running=9,
        pending_tokens=1414,
        priority=2,
        after="",
    )
    log.event(
        "request_answered",
        id=f"{number:016x}",
        route="r-6iaa4mq",
        version=31,
        status=200,
        upstream="i-6923e3aabe",
        sends=1,
        events=28,
        first_ms=188,
        ms=1173,
    )


async def _share_of_a_core(requests_per_s: int, writes: bool) -> float:
    log = RateLimitedEventLog("front-a-1", Clock())
    started_at = time.process_time()
    for number in range(requests_per_s * SECONDS):
        if writes:
            _write_lines_of_a_request(log, number)
        await asyncio.sleep(1 / requests_per_s)
    return (time.process_time() - started_at) / SECONDS


def main() -> None:
    """Print one line for each rate."""
    with open(os.devnull, "w", encoding="utf-8") as sink:
        install_queued_logging(sink)
        for rate in RATES_PER_S:
            idle = asyncio.run(_share_of_a_core(rate, writes=False))
            writing = asyncio.run(_share_of_a_core(rate, writes=True))
            print(
                f"{rate} requests a second: {100 * (writing - idle):.2f}% of a core for lines,"
                f" {100 * idle:.2f}% for the loop alone"
            )


if __name__ == "__main__":
    main()
