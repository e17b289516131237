"""What a case saw, as lines of text with the seconds since its start."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Collects lines and the breaches of the rule; ``write`` stores them."""

    def __init__(self, path: Path):
        self._path = path
        self._began_at = time.monotonic()
        self._lines: list[str] = []
        self.breaches: list[str] = []

    def note(self, text: str) -> None:
        """Add a line."""
        self._lines.append(f"{time.monotonic() - self._began_at:8.3f} {text}")

    def breach(self, text: str) -> None:
        """Add a line that says that the rule was broken."""
        self.breaches.append(text)
        self.note(f"RULE BROKEN {text}")

    def write(self) -> None:
        """Write all lines."""
        self._path.write_text("".join(f"{line}\n" for line in self._lines))
