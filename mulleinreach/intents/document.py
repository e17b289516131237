"""The configuration document: one row of the table, one version for everything."""

from __future__ import annotations

from pydantic import Field

from mulleinreach.intents.intent import Intent
from mulleinreach.settings.model import StrictModel

CONFIG_KEY = "state/config"


class ConfigDocument(StrictModel):
    """A configuration that was confirmed.

    Parameters
    ==========

    version : grows by one with each write; a node never applies a lower one.
    intent_version : the version that last changed what operators state.
    voters : nodes whose word counts as evidence that a version is the latest.
    previous_voters : the voters of the version before; they accept this one.
    drained_hosts : hosts that get no work by an operator's decision.
    plan : the plan that was confirmed, or the reason of a change of voters.
    """

    version: int = Field(ge=0)
    intent_version: int = Field(0, ge=0)
    intent: Intent
    voters: list[str] = []
    previous_voters: list[str] = []
    drained_hosts: list[str] = []
    plan: str = ""

    @classmethod
    def empty(cls) -> ConfigDocument:
        """Return version 0, which stands before the first confirmed plan."""
        return cls(version=0, intent=Intent(kind="intent"))

    def next(self, plan: str, **changes) -> ConfigDocument:
        """Return the next version with ``changes`` made."""
        fields = {
            **dict(self),
            "version": self.version + 1,
            "previous_voters": self.voters,
            "plan": plan,
            **changes,
        }
        if "intent" in changes or "drained_hosts" in changes:
            fields["intent_version"] = self.version + 1
        return ConfigDocument(**fields)
