"""Intents of operators, plans, and the configuration that is in force."""

from mulleinreach.intents.document import CONFIG_KEY, ConfigDocument
from mulleinreach.intents.force import Acceptance, ConfigInForce
from mulleinreach.intents.intent import (
    Intent,
    MeasureWeights,
    OrganisationIntent,
    ServiceIntent,
    UnrepeatableRule,
)

__all__ = [
    "CONFIG_KEY",
    "Acceptance",
    "ConfigDocument",
    "ConfigInForce",
    "Intent",
    "MeasureWeights",
    "OrganisationIntent",
    "ServiceIntent",
    "UnrepeatableRule",
]
