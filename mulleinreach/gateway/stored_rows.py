"""Rows of a store that numbers its changes, as an adapter reads and writes them."""

from __future__ import annotations

from dataclasses import dataclass

from mulleinreach.gateway.revision import era_of


@dataclass(frozen=True)
class StoreRow:
    """A row; ``value`` is ``None`` for one that was removed or can't be read.

    Parameters
    ==========

    version : the revision of its latest change.
    unreadable_reason : why it can't be read; empty if it can.
    """

    key: str
    version: int
    value: dict | None
    is_removed: bool = False
    unreadable_reason: str = ""


@dataclass(frozen=True)
class StoreRows:
    """Rows of one moment, and the store's revision at that moment."""

    revision: int
    rows: list[StoreRow]
    has_more: bool = False


@dataclass(frozen=True)
class Written:
    """The row was written, and has this revision now."""

    version: int


@dataclass(frozen=True)
class RowState:
    """A row's place and the revision of its latest change; 0 means that it is absent."""

    table: str
    key: str
    version: int


@dataclass(frozen=True)
class Conflict:
    """A row had another version than was expected, or one of an earlier era.

    Nothing was written, unless the store was restored while the write was on its way.
    ``rows`` are the rows that were named, as they are now.
    """

    rows: tuple[RowState, ...] = ()


def is_of_earlier_era(row: RowState, era: int) -> bool:
    """Whether a row's version can't be compared with those of an era; an absent row has none.

    Examples
    ========

    >>> is_of_earlier_era(RowState("t", "k", 7), era=1)
    True
    >>> is_of_earlier_era(RowState("t", "k", 0), era=1)
    False
    """
    return row.version != 0 and era_of(row.version) < era
