"""A retry budget, which limits retries to a fraction of the requests.

References
==========

.. [1] "The Site Reliability Workbook", Google, 2018, on retry budgets.
"""

from __future__ import annotations


class RetryBudget:
    """Adds ``ratio`` of a retry for each request, up to ``reserve``, the initial balance.

    Examples
    ========

    >>> budget = RetryBudget(ratio=0.5, reserve=1)
    >>> budget.try_spend(), budget.try_spend()
    (True, False)
    >>> budget.earn(); budget.earn()
    >>> budget.try_spend()
    True
    """

    def __init__(self, ratio: float = 0.08, reserve: float = 10.0):
        self._ratio = ratio
        self._reserve = reserve
        self._tokens = reserve
        self.refused = 0
        self.spent = 0

    def earn(self) -> None:
        """Credit the budget for one request of a caller."""
        self._tokens = min(self._reserve, self._tokens + self._ratio)

    def try_spend(self) -> bool:
        """Spend one retry; returns whether the balance allowed it."""
        if self._tokens < 1:
            self.refused += 1
            return False
        self._tokens -= 1
        self.spent += 1
        return True
