"""The retry budget: retries are at most a share of the traffic.

References
==========

.. [1] "The Site Reliability Workbook", Google, 2018, on retry budgets.
"""

from __future__ import annotations


class RetryBudget:
    """Earns ``ratio`` of a retry with each request; starts with ``reserve``.

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
        """Count one request of a caller."""
        self._tokens = min(self._reserve, self._tokens + self._ratio)

    def try_spend(self) -> bool:
        """Take one retry from the budget, if there is one."""
        if self._tokens < 1:
            self.refused += 1
            return False
        self._tokens -= 1
        self.spent += 1
        return True
