"""Parses the operator's configuration document."""

from __future__ import annotations

from mulleinreach.gateway.model import (
    Configuration,
    EngineModel,
    EngineProfile,
    Organisation,
    RequestLimits,
    Route,
    RouteKind,
    Service,
    WeightedService,
)


def parse_configuration(document: dict) -> Configuration:
    """Return the parsed configuration; raises ``KeyError``, ``TypeError`` or ``ValueError``."""
    services = [_parse_service(raw) for raw in document.get("services", [])]
    tenants = document.get("tenants")
    return Configuration(
        version=int(document["version"]),
        routes=tuple(_parse_route(raw) for raw in document.get("routes", [])),
        services={service.name: service for service in services},
        limits=_parse_limits(document.get("limits") or {}),
        organisations=None if tenants is None else tuple(_parse_tenant(raw) for raw in tenants),
    )


def _parse_route(raw: dict) -> Route:
    split = raw.get("traffic_split") or [{"service": raw["service"], "weight": 1}]
    timeout_s = float(raw["timeout_ms"]) / 1000
    return Route(
        name=str(raw["name"]),
        host=str(raw["host"]),
        path_prefix=str(raw["path_prefix"]),
        kind=RouteKind(raw["kind"]),
        timeout_s=timeout_s,
        objective_s=float(raw.get("target_latency_ms", raw["timeout_ms"])) / 1000,
        priority=int(raw.get("priority", 0)),
        destinations=tuple(
            WeightedService(str(part["service"]), float(part["weight"])) for part in split
        ),
        max_attempts=int(raw.get("max_attempts", 1)),
        is_public=bool(raw.get("public", False)),
        is_resumable=bool(raw.get("resumable", False)),
        gap_objective_s=float(raw.get("gap_target_ms", 1000)) / 1000,
        allowed_regions=_parse_allowed_regions(raw),
    )


def _parse_allowed_regions(raw: dict) -> frozenset[str] | None:
    """Return the regions that a route or an organisation may use, ``None`` for all."""
    regions = raw.get("allowed_regions")
    return frozenset(str(region) for region in regions) if regions else None


def _parse_service(raw: dict) -> Service:
    engine = raw.get("engine")
    return Service(
        name=str(raw["name"]),
        max_connections=int(raw.get("max_conns", 100)),
        engine=None if not engine else _parse_engine(engine),
        cold_s=float(raw.get("cold_s", 0)),
        cold_per_s=float(raw.get("cold_per_s", 0)),
    )


def _parse_engine(raw: dict) -> EngineProfile:
    models = tuple(
        EngineModel(
            name=str(model["name"]),
            size=int(model["size"]),
            share=float(model.get("share", 1)),
            pace=float(model.get("pace", 1)),
            load_s=float(model.get("load_s", 10)),
            warm_s=float(model.get("warm_s", 1)),
        )
        for model in raw.get("models", [])
    )
    return EngineProfile(
        models=models,
        slots=int(raw["slots"]),
        step_ms=float(raw["step_ms"]),
        per_sequence_ms=float(raw.get("per_seq_ms", 0)),
        read_tokens_per_s=float(raw["read_per_s"]),
        stride=int(raw.get("stride", 1)),
        formation_s=float(raw.get("form_ms", 0)) / 1000,
        loads_per_s=float(raw.get("loads_per_s", 1)),
        max_concurrent_loads=int(raw.get("loads_at_once", 1)),
        report_lag_s=float(raw.get("report_lag_ms", 200)) / 1000,
    )


def _parse_limits(raw: dict) -> RequestLimits:
    default = RequestLimits()
    return RequestLimits(
        header_bytes=int(raw.get("max_header_bytes", default.header_bytes)),
        body_bytes=int(raw.get("max_body_bytes", default.body_bytes)),
        header_timeout_s=float(raw.get("header_timeout_ms", default.header_timeout_s * 1000))
        / 1000,
        idle_timeout_s=float(raw.get("idle_timeout_ms", default.idle_timeout_s * 1000)) / 1000,
    )


def _parse_tenant(raw: dict) -> Organisation:
    priority = raw.get("priority")
    return Organisation(
        name=str(raw["name"]),
        api_keys=frozenset(str(key) for key in raw.get("api_keys", [])),
        priority=None if priority is None else int(priority),
        allowed_regions=_parse_allowed_regions(raw),
    )
