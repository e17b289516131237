"""Revisions, which order the changes of a store across restores from a backup.

Explanation
===========

A restore from a backup resets the store's versions, which are then assigned again. Each
restore begins a new era. A revision is an integer with the era in its upper bits and the
version in its lower ones, so the greater of two revisions is always the later one. ZooKeeper
builds its transaction ids (zxids) in the same way.
"""

from __future__ import annotations

# Enough for 34 years of a thousand writes per second.
VERSION_BITS = 40


def make_revision(era: int, version: int) -> int:
    """Return the revision of a version in an era.

    Raises
    ======

    ValueError
        If the version is negative or has more than ``VERSION_BITS`` bits.

    Examples
    ========

    >>> make_revision(1, 5) > make_revision(0, 900)
    True
    >>> make_revision(0, -1)
    Traceback (most recent call last):
    ...
    ValueError: version out of range: -1
    """
    if not 0 <= version < 1 << VERSION_BITS:
        raise ValueError(f"version out of range: {version}")
    return (era << VERSION_BITS) | version


def row_revision(era: int, version: int) -> int:
    """Return the revision of a row's latest change; 0 for an absent row (version 0).

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
    """Format a revision for log lines as ``era.version``; era 0 is left out.

    Examples
    ========

    >>> format_revision(make_revision(3, 7)), format_revision(7)
    ('3.7', '7')
    """
    era = era_of(revision)
    return f"{era}.{version_of(revision)}" if era else str(revision)
