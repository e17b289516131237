"""Translates what replicas tell of themselves, in their rows and in their reports."""

from __future__ import annotations

from dataclasses import replace

from mulleinreach.common import Address
from mulleinreach.gateway.upstream import Membership, MemberState, Upstream, UpstreamState


def parse_upstream(upstream_id: str, raw: dict) -> Upstream:
    """Return an upstream from its row."""
    state = UpstreamState.DRAINING if raw.get("state") == "draining" else UpstreamState.READY
    return Upstream(
        id=upstream_id,
        service=str(raw["service"]),
        address=Address.parse(raw["address"]),
        hall=str(raw.get("zone", "")),
        state=state,
        slots=int(raw.get("slots", 1)),
        models=_model_names(raw),
        staged=_staged_names(raw),
        domain=None if raw.get("domain") is None else str(raw["domain"]),
        membership=_parse_membership(raw.get("group")),
        cold_s=float(raw.get("cold_remaining_ms", 0)) / 1000,
    )


def parse_report(known: Upstream, raw: dict) -> Upstream:
    """Return an upstream with what it reported itself."""
    return replace(
        known,
        models=_model_names(raw),
        staged=_staged_names(raw),
        membership=_parse_membership(raw.get("group")),
        pace=float(raw.get("pace", 1)),
    )


def _model_names(raw: dict) -> tuple[str, ...]:
    return tuple(str(model["name"]) for model in raw.get("models") or [])


def _staged_names(raw: dict) -> tuple[str, ...]:
    names = raw.get("staged") or []
    return tuple(str(item["name"]) if isinstance(item, dict) else str(item) for item in names)


def _parse_membership(raw: dict | None) -> Membership | None:
    if not raw:
        return None
    return Membership(
        str(raw["name"]), int(raw["epoch"]), int(raw["rank"]), MemberState(raw["state"])
    )
