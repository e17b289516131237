"""Accounts for the memory that clients make a server hold, and bounds their sum."""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable


class HoldState(enum.Enum):
    """What a connection's memory is held for.

    ``PENDING``: a request that isn't read whole, or hasn't begun to run.
    ``RUNNING``: a request that runs; it can't be refused any more.
    ``ANSWERING``: an answer that the client hasn't taken yet.
    """

    PENDING = enum.auto()
    RUNNING = enum.auto()
    ANSWERING = enum.auto()


class MemoryAccount:
    """What one connection makes the process hold.

    Parameters
    ==========

    on_evicted : called when the memory is needed for others; it has been released by then.

    Explanation
    ===========

    ``is_stalled`` tells that the client has taken nothing of its answer for some time.
    """

    def __init__(self, ledger: MemoryLedger, on_evicted: Callable[[], None]):
        self._ledger = ledger
        self._on_evicted = on_evicted
        self.held_bytes = 0
        self.state = HoldState.PENDING
        self.is_evicted = False
        self.is_stalled = False

    @property
    def yields_to_requests(self) -> bool:
        """Whether the account makes way for a request."""
        return self.is_stalled or self.state is HoldState.PENDING

    @property
    def yields_to_answers(self) -> bool:
        """Whether the account makes way for an answer, if no other does."""
        return self.is_stalled or self.state is not HoldState.RUNNING

    def try_charge(self, size: int) -> bool:
        """Hold more bytes for a request; ``False`` if they aren't there."""
        if self.is_evicted or not self._ledger.make_room_for_request(self, size):
            return False
        self._hold(size)
        return True

    def begin_run(self) -> bool:
        """Keep what is held until the request has an answer; ``False`` if it was evicted."""
        self.state = HoldState.RUNNING
        return not self.is_evicted

    def hold_answer(self, size: int) -> None:
        """Hold an answer in place of its request, whose connection is evicted if it is too much."""
        self.release()
        self.state = HoldState.ANSWERING
        self._hold(size)
        self._ledger.make_room_for_answers()

    def reset(self) -> None:
        """Release all for the connection's next request."""
        self.release()
        self.state = HoldState.PENDING
        self.is_evicted = self.is_stalled = False

    def evict(self) -> None:
        """Release all for others."""
        self.release()
        self.is_evicted = True
        self._on_evicted()

    def release(self) -> None:
        """Hold nothing any more."""
        self._ledger.give_back(self)

    def _hold(self, size: int) -> None:
        self.held_bytes += size
        self._ledger.take(self, size)


class MemoryLedger:
    """Bounds the memory that all connections hold together.

    Explanation
    ===========

    If there is too little, the connection that holds most goes first, so that clients which hold
    much don't harm those which hold little. A request that runs keeps what it holds.

    Parameters
    ==========

    limit_bytes : bound on the sum of all accounts.

    Examples
    ========

    >>> ledger = MemoryLedger(100)
    >>> large, small = (ledger.open(lambda: None) for _ in range(2))
    >>> large.try_charge(80), small.try_charge(30), large.is_evicted
    (True, True, True)
    >>> small.try_charge(80)
    False
    """

    def __init__(self, limit_bytes: int):
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.evictions = 0
        # Only accounts that hold something.
        self._accounts: set[MemoryAccount] = set()

    def open(self, on_evicted: Callable[[], None]) -> MemoryAccount:
        """Return an account that holds nothing yet."""
        return MemoryAccount(self, on_evicted)

    def make_room_for_request(self, account: MemoryAccount, size: int) -> bool:
        """Evict accounts that hold more than ``account`` would; ``False`` if that isn't enough."""
        while self.held_bytes + size > self.limit_bytes:
            largest = self._largest(a for a in self._accounts if a.yields_to_requests)
            if largest is None or largest.held_bytes <= account.held_bytes + size:
                return False
            self._evict(largest)
        return True

    def make_room_for_answers(self) -> None:
        """Evict requests that don't run yet, then answers, until the bound is kept."""
        while self.held_bytes > self.limit_bytes:
            largest = self._largest(
                a for a in self._accounts if a.yields_to_requests
            ) or self._largest(a for a in self._accounts if a.yields_to_answers)
            if largest is None:
                return
            self._evict(largest)

    def take(self, account: MemoryAccount, size: int) -> None:
        """Count bytes that an account holds from now on."""
        self.held_bytes += size
        self._accounts.add(account)

    def give_back(self, account: MemoryAccount) -> None:
        """Count an account's bytes no longer."""
        self.held_bytes -= account.held_bytes
        account.held_bytes = 0
        self._accounts.discard(account)

    def _largest(self, accounts: Iterable[MemoryAccount]) -> MemoryAccount | None:
        return max(accounts, key=lambda account: account.held_bytes, default=None)

    def _evict(self, account: MemoryAccount) -> None:
        self.evictions += 1
        account.evict()
