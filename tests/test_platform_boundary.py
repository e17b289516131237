"""Nothing outside ``mulleinreach/platform`` knows the names of the users' platform."""

import re
from pathlib import Path

PACKAGE = Path(__file__).parent.parent / "mulleinreach"
NAMES = re.compile(
    r"X-Mulleinreach|rows-(tx|get|feed|parts)|blob-(put|get)|tls_key|expected_rev|after_rev"
    r"|api_keys\"|traffic_split|gap_target_ms|MULLEINREACH_NODE_FILE|\btenants?\b|\bzones?\b"
)
MAX_ADAPTER_LINES = 1200


def test_names_of_the_platform_stand_in_its_folder_only():
    found = []
    for path in PACKAGE.rglob("*.py"):
        relative = path.relative_to(PACKAGE)
        if relative.parts[0] == "platform":
            continue
        for number, line in enumerate(path.read_text().splitlines(), start=1):
            if NAMES.search(line):
                found.append(f"{relative}:{number}: {line.strip()}")
    assert found == []


def test_adapter_stays_small():
    files = [p for p in (PACKAGE / "platform").rglob("*.py") if "tests" not in p.parts]
    assert sum(len(p.read_text().splitlines()) for p in files) < MAX_ADAPTER_LINES
