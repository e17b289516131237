"""Decides whether a request may be served, by the configuration in force and its age."""

from __future__ import annotations

from dataclasses import dataclass

from mulleinreach.gateway.deployment import DeploymentBounds
from mulleinreach.gateway.model import Configuration, Route
from mulleinreach.gateway.ports import CallerHeaders
from mulleinreach.gateway.state.configuration_follower import ConfigurationInForce
from mulleinreach.gateway.state.store_reading import FOLLOWER_WAIT_S, MAX_EVIDENCE_AGE_S

# Not exceeded in normal operation; beyond this age, a new route or key may be missing.
MAX_CURRENT_EVIDENCE_AGE_S = MAX_EVIDENCE_AGE_S + 2 * FOLLOWER_WAIT_S + 0.2
RETRY_AFTER_S = 0.3


@dataclass(frozen=True)
class Admitted:
    """The request may be sent to an upstream.

    Parameters
    ==========

    allowed_regions : the regions whose upstreams may serve it; ``None`` if any may.
    """

    configuration: Configuration
    route: Route
    organisation: str | None
    priority: int
    allowed_regions: frozenset[str] | None = None


@dataclass(frozen=True)
class Denied:
    """The request is refused; ``retry_after_s`` is set if a retry may succeed."""

    status: int
    reason: str
    retry_after_s: float | None = None


def common_regions(
    first: frozenset[str] | None, second: frozenset[str] | None
) -> frozenset[str] | None:
    """Return the regions in both sets; ``None`` stands for all regions.

    Examples
    ========

    >>> sorted(common_regions(frozenset({"a", "b"}), frozenset({"b", "c"})))
    ['b']
    >>> sorted(common_regions(None, frozenset({"c"})))
    ['c']
    """
    if first is None or second is None:
        return first if second is None else second
    return first & second


class Admission:
    """Checks the route and the API key of a request."""

    def __init__(self, in_force: ConfigurationInForce, bounds: DeploymentBounds):
        self._in_force = in_force
        self._bounds = bounds

    def evidence_age_s(self) -> float:
        """Return the age of the evidence that the configuration is current."""
        return self._in_force.evidence_age_s()

    def check(self, host: str, path: str, headers: CallerHeaders) -> Admitted | Denied:
        """Return the conditions under which a request is served, or why it is refused."""
        configuration = self._in_force.configuration
        if configuration is None:
            return Denied(503, "no configuration was read yet", RETRY_AFTER_S)
        route = configuration.match(host.partition(":")[0], path)
        if route is None:
            return self._deny(404, "no route")
        if route.is_public or not configuration.needs_keys:
            return Admitted(configuration, route, None, route.priority, route.allowed_regions)
        return self._check_key(configuration, route, headers)

    def _check_key(
        self, configuration: Configuration, route: Route, headers: CallerHeaders
    ) -> Admitted | Denied:
        if self._key_evidence_age_s() > self._bounds.max_key_evidence_age_s:
            # A key may have been revoked since.
            return Denied(503, "the configuration can't be confirmed", RETRY_AFTER_S)
        organisation = configuration.organisation_for_key(headers.api_key or "")
        if organisation is None:
            return self._deny(401, "unknown key")
        own_priority = organisation.priority
        priority = route.priority if own_priority is None else own_priority
        allowed_regions = common_regions(route.allowed_regions, organisation.allowed_regions)
        return Admitted(configuration, route, organisation.name, priority, allowed_regions)

    def _key_evidence_age_s(self) -> float:
        """Return the age of the evidence that no key was revoked; a store outage may renew it."""
        age_s = self._in_force.evidence_age_s()
        if self._bounds.trusts_keys_in_outages:
            return min(age_s, self._in_force.store_unreachable_age_s())
        return age_s

    def _deny(self, status: int, reason: str) -> Denied:
        if self._in_force.evidence_age_s() > MAX_CURRENT_EVIDENCE_AGE_S:
            return Denied(503, f"{reason} in an old configuration", RETRY_AFTER_S)
        return Denied(status, reason)
