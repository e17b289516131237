"""What a breakage is: one rule that is taken out, and the tests that must notice."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Breakage:
    """A rule that is taken out: ``old`` becomes ``new`` in ``file``."""

    promise: str
    rule: str
    file: str
    old: str
    new: str
    tests: str
