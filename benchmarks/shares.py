"""Measures the processor time that a coordinator takes to lease shares to 350 nodes."""

from __future__ import annotations

import time

from mulleinreach.gateway.coordination.share_accounts import FIRST_STATEMENT, FIRST_TOKEN
from mulleinreach.gateway.coordination.share_ledger import ShareLedger
from mulleinreach.gateway.state.leased_share import HeldShare

NODES = 350
ROUNDS = 500
ROUND_S = 0.2
WINDOW_S = 10.0


def round_ms() -> float:
    """Return the mean processor time of one round in milliseconds."""
    ledger = ShareLedger(0.0, WINDOW_S, FIRST_TOKEN, FIRST_STATEMENT)
    held = dict.fromkeys(range(NODES), HeldShare())
    began_at = time.process_time()
    for number in range(ROUNDS):
        # A node is replaced every ten rounds.
        if number % 10 == 0:
            held.pop(next(iter(held)))
            held[NODES + number] = HeldShare()
        leases = ledger.lease(held, number * ROUND_S)
        ledger.confirm(ledger.propose(number * ROUND_S))
        held = {node: HeldShare(lease.fraction, lease.number) for node, lease in leases.items()}
    return 1000 * (time.process_time() - began_at) / ROUNDS


def main() -> None:
    """Print the figure."""
    print(f"shares for {NODES} nodes: {round_ms():.2f} ms a round, of which 5 are in a second")


if __name__ == "__main__":
    main()
