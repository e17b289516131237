"""Rows of a versioned store, and the results of reading and writing them."""

from __future__ import annotations

from dataclasses import dataclass

from mulleinreach.gateway.revision import era_of


@dataclass(frozen=True)
class StoreRow:
    """A row; ``value`` is ``None`` if the row was removed or can't be decoded.

    Parameters
    ==========

    version : the revision of its latest change.
    unreadable_reason : why it can't be decoded; empty if it can.
    """

    key: str
    version: int
    value: dict | None
    is_removed: bool = False
    unreadable_reason: str = ""


@dataclass(frozen=True)
class StoreRows:
    """A consistent read of several rows at one revision of the store."""

    revision: int
    rows: list[StoreRow]
    has_more: bool = False


@dataclass(frozen=True)
class Written:
    """The row was written; ``version`` is its new revision."""

    version: int


@dataclass(frozen=True)
class RowState:
    """A row's table and key, and the revision of its latest change; 0 if it is absent."""

    table: str
    key: str
    version: int


@dataclass(frozen=True)
class Conflict:
    """A row had another version than expected, or a version of an earlier era.

    Nothing was written, unless the store was restored during the write. ``rows`` holds the
    current states of the rows that the conflict was reported for.
    """

    rows: tuple[RowState, ...] = ()


def is_of_earlier_era(row: RowState, era: int) -> bool:
    """Whether a row's version is from before ``era``; always false for an absent row.

    Examples
    ========

    >>> is_of_earlier_era(RowState("t", "k", 7), era=1)
    True
    >>> is_of_earlier_era(RowState("t", "k", 0), era=1)
    False
    """
    return row.version != 0 and era_of(row.version) < era
