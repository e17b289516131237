"""What an operator states: services, organisations and the weights of the measures."""

from __future__ import annotations

import fnmatch
from typing import Annotated, Literal

from pydantic import Field, model_validator

from mulleinreach.settings.model import Name, Sha256, StrictModel


class UnrepeatableRule(StrictModel):
    """Requests that may run at most once: a method, and a path pattern with ``*``.

    Examples
    ========

    >>> UnrepeatableRule(method="POST", path="/orders*").matches("POST", "/orders/7")
    True
    """

    method: Annotated[str, Field(pattern=r"^[A-Z]{3,10}$")]
    path: Annotated[str, Field(pattern=r"^/.*$", max_length=200)]

    def matches(self, method: str, path: str) -> bool:
        """Whether a request falls under this rule."""
        return method == self.method and fnmatch.fnmatchcase(path, self.path)


class ServiceIntent(StrictModel):
    """One service: replicas of a model that span hosts, or a plain service.

    Parameters
    ==========

    hosts_per_replica : machines of one fabric domain that form a replica.
    replicas : how many are wanted; for a plain service, how many hosts are expected.
    priority : 0 goes before 1, and so on, when hosts or capacity are short.
    domains, halls : where replicas may stand; empty means anywhere.
    deadline_s : longest time for one request, in seconds.
    unrepeatable : requests that may run at most once.
    """

    name: Name
    kind: Literal["model", "plain"]
    model: str = Field("", max_length=200)
    version: str = Field("1", max_length=100)
    adapters: list[Annotated[str, Field(max_length=200)]] = []
    hosts_per_replica: int = Field(4, ge=1, le=64)
    replicas: int = Field(ge=0, le=10_000)
    priority: int = Field(1, ge=0, le=9)
    domains: list[Name] = []
    halls: list[Name] = []
    deadline_s: float = Field(60.0, gt=0, le=3600)
    unrepeatable: list[UnrepeatableRule] = []

    @model_validator(mode="after")
    def _check_model(self) -> ServiceIntent:
        if self.kind == "model" and not self.model:
            raise ValueError(f"service {self.name!r} is of kind 'model' and names no model")
        return self

    def is_unrepeatable(self, method: str, path: str) -> bool:
        """Whether a request to this service may run at most once."""
        return any(rule.matches(method, path) for rule in self.unrepeatable)


class OrganisationIntent(StrictModel):
    """One organisation: its keys by hash, its limits, its weight in fair shares.

    Parameters
    ==========

    key_sha256 : SHA-256 of each API key, in hexadecimal; several while one is turned over.
    rate : requests a second, over all nodes.
    concurrency : requests in flight, over all nodes.
    weight : its share under overload, relative to the other organisations.
    priority : 0 goes before 1, and so on.
    """

    name: Name
    key_sha256: list[Sha256] = Field(min_length=1)
    rate: float = Field(100.0, gt=0, le=100_000)
    concurrency: int = Field(100, ge=1, le=100_000)
    weight: float = Field(1.0, gt=0, le=1000)
    priority: int = Field(1, ge=0, le=9)


class MeasureWeights(StrictModel):
    """What an hour of a replica down and of an idle accelerator cost, relatively."""

    group_downtime: float = Field(1.0, ge=0, le=1000)
    stranded_accelerators: float = Field(1.0, ge=0, le=1000)


class Intent(StrictModel):
    """The whole of what is wanted."""

    kind: Literal["intent"]
    services: list[ServiceIntent] = []
    organisations: list[OrganisationIntent] = []
    measures: MeasureWeights = MeasureWeights()

    @model_validator(mode="after")
    def _check_names(self) -> Intent:
        for what, names in (
            ("service", [s.name for s in self.services]),
            ("organisation", [o.name for o in self.organisations]),
            ("API key", [key for o in self.organisations for key in o.key_sha256]),
        ):
            doubled = sorted({name for name in names if names.count(name) > 1})
            if doubled:
                raise ValueError(f"{what} {doubled[0]!r} stands twice")
        return self

    def service(self, name: str) -> ServiceIntent | None:
        """Return the service called ``name``, if there is one."""
        return next((s for s in self.services if s.name == name), None)
