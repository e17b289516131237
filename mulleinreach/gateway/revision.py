"""The order of what a store tells: by its era, then by its version.

Explanation
===========

A store may come back from a copy that lacks its latest writes. Its versions then go back, and
are given out again; each such return begins a new era. A revision holds both in one whole
number, the era in its upper bits, so that the greater of two revisions is the later one, and
those of different eras never meet. ZooKeeper numbers its transactions in the same way.
"""

from __future__ import annotations

# A thousand writes a second fill them in 34 years.
VERSION_BITS = 40


def make_revision(era: int, version: int) -> int:
    """Return the revision of a version; raises :class:`ValueError` for one that is no version.

    Examples
    ========

    >>> make_revision(1, 5) > make_revision(0, 900)
    True
    >>> make_revision(0, -1)
    Traceback (most recent call last):
    ...
    ValueError: no version: -1
    """
    if not 0 <= version < 1 << VERSION_BITS:
        raise ValueError(f"no version: {version}")
    return (era << VERSION_BITS) | version


def row_revision(era: int, version: int) -> int:
    """Return the revision of a row's latest change, 0 for an absent row, whose version is 0.

    Examples
    ========

    >>> row_revision(3, 0), row_revision(0, 7)
    (0, 7)
    """
    return make_revision(era, version) if version else 0


def era_of(revision: int) -> int:
    """Return the era of a revision.

    Examples
    ========

    >>> era_of(make_revision(3, 7))
    3
    """
    return revision >> VERSION_BITS


def version_of(revision: int) -> int:
    """Return the version of a revision within its era.

    Examples
    ========

    >>> version_of(make_revision(3, 7))
    7
    """
    return revision & ((1 << VERSION_BITS) - 1)


def format_revision(revision: int) -> str:
    """Return a revision as it stands in a log line, without an era where there is none.

    Examples
    ========

    >>> format_revision(make_revision(3, 7)), format_revision(7)
    ('3.7', '7')
    """
    era = era_of(revision)
    return f"{era}.{version_of(revision)}" if era else str(revision)
