"""Orders to model engines, and their status."""

from mulleinreach.orders.engine import EngineClient, EngineStatus, Order, OrderResult

__all__ = ["EngineClient", "EngineStatus", "Order", "OrderResult"]
