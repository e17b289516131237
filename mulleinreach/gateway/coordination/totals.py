"""Makes what all nodes are told: adds up their loads, and leaves out what they know already."""

from __future__ import annotations

from dataclasses import replace

from mulleinreach.gateway.coordination.reports import NodeReport, Totals
from mulleinreach.gateway.known.load import LoadReport

# One report in so many names open heads and held requests even if they are as they were told last:
# a node that has just come has missed that.
FULL_TOTALS_INTERVAL_ROUNDS = 10


class SendOnChange:
    """Decides when a value is told: when it has changed, and now and then all the same.

    Parameters
    ==========

    last_sent : what counts as last_sent at first.
    """

    def __init__(self, last_sent: object):
        self._last_sent = last_sent

    def is_due(self, value: object, is_full_round: bool) -> bool:
        """Whether to tell a value now, which then counts as told."""
        if value == self._last_sent and not is_full_round:
            return False
        self._last_sent = value
        return True


class TotalsCompactor:
    """Leaves out of totals what all nodes know already, or have no use for."""

    def __init__(self) -> None:
        self._round = 0
        # A coordinator that has just begun knows of no heads yet; nodes keep those that they know.
        self._heads = SendOnChange([])
        self._held = SendOnChange(set())
        self._limits = SendOnChange(set())

    def compact(self, totals: Totals) -> Totals:
        """Return the totals to send in the next round."""
        self._round += 1
        is_full_round = self._round % FULL_TOTALS_INTERVAL_ROUNDS == 0
        # The times that remain to what is held change all the while.
        contents = {held.content for held in totals.held or ()}
        limits = {(limit.upstream_id, limit.per_s) for limit in totals.limits or ()}
        return replace(
            totals,
            loads=[load for load in totals.loads if load.running > 0],
            heads=totals.heads if self._heads.is_due(totals.heads, is_full_round) else None,
            held=totals.held if self._held.is_due(contents, is_full_round) else None,
            limits=totals.limits if self._limits.is_due(limits, is_full_round) else None,
        )


def sum_loads(reports: list[NodeReport]) -> list[LoadReport]:
    """Return the load of several nodes together, one report an upstream.

    Examples
    ========

    >>> one = NodeReport("a", [LoadReport("u", 1, 10, 0.5, 0.5)])
    >>> two = NodeReport("b", [LoadReport("u", 2, 0, 0.1, 2.0)])
    >>> sum_loads([one, two])  # doctest: +NORMALIZE_WHITESPACE
    [LoadReport(upstream_id='u', running=3, pending_tokens=10, silent_s=0.1, oldest_s=2.0,
    standing_back=0)]
    """
    totals: dict[str, LoadReport] = {}
    for report in reports:
        for load in report.loads:
            known = totals.get(load.upstream_id)
            if known is not None:
                load = LoadReport(
                    load.upstream_id,
                    known.running + load.running,
                    known.pending_tokens + load.pending_tokens,
                    min(known.silent_s, load.silent_s),
                    max(known.oldest_s, load.oldest_s),
                    known.standing_back + load.standing_back,
                )
            totals[load.upstream_id] = load
    return list(totals.values())
