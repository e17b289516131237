"""The guards around upstreams that start again, and rows of other writers."""

from __future__ import annotations

from benchmarks.breakage import Breakage

GATEWAY = "mulleinreach/gateway"
STARTS = f"{GATEWAY}/state/tests/test_starts.py"
HOSTS = f"{GATEWAY}/fleet/tests/test_restarts.py"
ROWS = "mulleinreach/platform/tests/test_rows.py"

START_BREAKAGES = [
    Breakage(
        "START",
        "requests at an earlier start end at once",
        f"{GATEWAY}/state/upstreams.py",
        "self._on_replaced(before, upstream_id)",
        "pass",
        f"{HOSTS} -k list_alone",
    ),
    Breakage(
        "LOST",
        "a start that is listed late ends nothing that was sent to it",
        f"{GATEWAY}/request/active.py",
        "if exchange.sent_at < started_at - MAX_CLOCK_DIFFERENCE_S:",
        "if True:",
        f"{GATEWAY}/request/tests/test_restarted_upstreams.py",
    ),
    Breakage(
        "START",
        "a later start drops an earlier one",
        f"{GATEWAY}/state/upstreams.py",
        "if before is not None and before != upstream_id:",
        "if False:",
        STARTS,
    ),
    Breakage(
        "START",
        "a head that started again can't be back",
        f"{GATEWAY}/fleet/hosts.py",
        "if self._directory.is_replaced(host):",
        "if False:",
        f"{HOSTS} -k formed_again",
    ),
    Breakage(
        "START",
        "a report of another start is none",
        "mulleinreach/platform/rows.py",
        "if start is not None and report.born not in (None, start):",
        "if False:",
        ROWS,
    ),
    Breakage(
        "ROWS",
        "a row that can't be used takes its upstream off the list",
        "mulleinreach/platform/sources.py",
        "                unusable[row.key] = upstream\n                removed[row.key] = None",
        "                unusable[row.key] = upstream",
        ROWS,
    ),
    Breakage(
        "ROWS",
        "no field is taken for another type",
        "mulleinreach/common/checked.py",
        "msgspec.convert(document, schema)",
        "msgspec.convert(document, schema, strict=False)",
        ROWS,
    ),
]
