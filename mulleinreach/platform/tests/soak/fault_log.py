"""Writes down what was done to a soak's deployment, beside the logs of its gateways."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from mulleinreach.platform.tests.soak.report import SoakReport
from mulleinreach.platform.tests.soak.world import SoakWorld

FILE_NAME = "faults.log"


def write_fault_log(directory: Path, report: SoakReport, world: SoakWorld) -> None:
    """Write the faults and the records that checks use, ordered by their times of day."""
    offset_s = time.time() - asyncio.get_running_loop().time()
    entries = [(fault.at, f"fault={fault.name}") for fault in report.begun_faults]
    records = [*world.disturbances, *world.evacuations, *world.leavings, *world.revocations]
    entries += [(record.since + offset_s, f"record={record!r}") for record in records]
    entries += [
        (at + offset_s, f"gateway_started={gateway.name}")
        for gateway in world.gateways
        for at in gateway.started_at
    ]
    lines = [f"{_time_of_day(at)} {text}\n" for at, text in sorted(entries)]
    lines.append(f"the loop's times in records began at {_time_of_day(offset_s)}\n")
    (directory / FILE_NAME).write_text("".join(lines))


def _time_of_day(at: float) -> str:
    """Return a time as it stands in the gateways' logs."""
    return time.strftime("%H:%M:%S", time.localtime(at)) + f".{int(at % 1 * 1000):03}"
