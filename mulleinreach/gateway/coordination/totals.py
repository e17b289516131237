"""Sums the loads of all nodes, and omits unchanged values from the totals sent to them."""

from __future__ import annotations

from dataclasses import replace

from mulleinreach.gateway.coordination.reports import NodeReport, Totals
from mulleinreach.gateway.state.load import LoadReport

# Unchanged values are sent again in every such round, for nodes that have joined since.
FULL_TOTALS_INTERVAL_ROUNDS = 10


class SendOnChange:
    """Decides when to send a value: when it has changed, and in every full round.

    Parameters
    ==========

    last_sent : the initial value, which counts as sent.
    """

    def __init__(self, last_sent: object):
        self._last_sent = last_sent

    def is_due(self, value: object, is_full_round: bool) -> bool:
        """Whether to send a value now; if so, it is recorded as sent."""
        if value == self._last_sent and not is_full_round:
            return False
        self._last_sent = value
        return True


class TotalsCompactor:
    """Omits from totals what all nodes already have, and loads of idle upstreams."""

    def __init__(self) -> None:
        self._round = 0
        # Empty, so that nodes keep their heads until a new coordinator has found some.
        self._heads = SendOnChange([])
        self._held = SendOnChange(set())
        self._limits = SendOnChange(set())
        self._suspects = SendOnChange(set())

    def compact(self, totals: Totals) -> Totals:
        """Return the totals to send in the next round."""
        self._round += 1
        is_full_round = self._round % FULL_TOTALS_INTERVAL_ROUNDS == 0
        # Without the remaining times and ages, which change constantly.
        contents = {held.content for held in totals.held or ()}
        limits = {(limit.upstream_id, limit.per_s) for limit in totals.limits or ()}
        suspects = set(totals.suspects or ())
        return replace(
            totals,
            loads=[load for load in totals.loads if load.running > 0],
            heads=totals.heads if self._heads.is_due(totals.heads, is_full_round) else None,
            held=totals.held if self._held.is_due(contents, is_full_round) else None,
            limits=totals.limits if self._limits.is_due(limits, is_full_round) else None,
            suspects=totals.suspects if self._suspects.is_due(suspects, is_full_round) else None,
        )


def sum_loads(reports: list[NodeReport]) -> list[LoadReport]:
    """Return the load of each upstream, summed over several nodes.

    Examples
    ========

    >>> one = NodeReport("a", [LoadReport("u", 1, 10, 0.5, 0.5)])
    >>> two = NodeReport("b", [LoadReport("u", 2, 0, 0.1, 2.0)])
    >>> sum_loads([one, two])  # doctest: +NORMALIZE_WHITESPACE
    [LoadReport(upstream_id='u', running=3, pending_tokens=10, silent_s=0.1, oldest_s=2.0,
    standing_back=0, fixed=0)]
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
                    known.fixed + load.fixed,
                )
            totals[load.upstream_id] = load
    return list(totals.values())
