"""Rendezvous hashing: nodes with the same member list agree on a choice without communication.

References
==========

.. [1] Thaler and Ravishankar, "A name-based mapping scheme for rendezvous", 1996.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def rendezvous_rank(key: str, members: Iterable[str]) -> list[str]:
    """Return ``members`` sorted by their hash score for ``key``, highest first.

    Explanation
    ===========

    Removing a member moves only the keys for which it was first.

    Examples
    ========

    >>> sorted(rendezvous_rank("k", ["a", "b", "c"]))
    ['a', 'b', 'c']
    >>> first = rendezvous_rank("k", ["a", "b", "c"])
    >>> rendezvous_rank("k", first[1:]) == first[1:]
    True
    """
    scored = [(xxhash.xxh64_intdigest(f"{key}\0{member}".encode()), member) for member in members]
    scored.sort(reverse=True)
    return [member for _, member in scored]
