"""Parses the operator's configuration document."""

from __future__ import annotations

from mulleinreach.common.checked import Amount, Count, Number, Positive, Priority, Size
from mulleinreach.common.object_reader import ObjectReader
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
    """Return the parsed configuration; raises :class:`CheckError`."""
    reader = ObjectReader(document)
    services = [_parse_service(raw) for raw in reader.objects("services")]
    has_tenants = reader.read("tenants", list, None) is not None
    tenants = tuple(_parse_tenant(raw) for raw in reader.objects("tenants"))
    return Configuration(
        version=reader.read("version", Number),
        routes=tuple(_parse_route(raw) for raw in reader.objects("routes")),
        services={service.name: service for service in services},
        limits=_parse_limits(reader.object("limits") or ObjectReader({})),
        organisations=tenants if has_tenants else None,
    )


def _parse_route(raw: ObjectReader) -> Route:
    timeout_ms = raw.read("timeout_ms", Amount)
    destinations = [
        WeightedService(part.read("service", str), part.read("weight", Amount))
        for part in raw.objects("traffic_split")
    ]
    return Route(
        name=raw.read("name", str),
        host=raw.read("host", str),
        path_prefix=raw.read("path_prefix", str),
        kind=raw.read("kind", RouteKind),
        timeout_s=timeout_ms / 1000,
        objective_s=raw.read("target_latency_ms", Amount, timeout_ms) / 1000,
        priority=raw.read("priority", Priority, 0),
        destinations=tuple(destinations or [WeightedService(raw.read("service", str), 1.0)]),
        max_attempts=raw.read("max_attempts", Count, 1),
        is_public=raw.read("public", bool, False),
        is_resumable=raw.read("resumable", bool, False),
        gap_objective_s=raw.read("gap_target_ms", Amount, 1000.0) / 1000,
        allowed_regions=_parse_allowed_regions(raw),
    )


def _parse_allowed_regions(raw: ObjectReader) -> frozenset[str] | None:
    """Return the regions that a route or an organisation may use, ``None`` for all."""
    return frozenset(raw.read("allowed_regions", list[str], [])) or None


def _parse_service(raw: ObjectReader) -> Service:
    engine = raw.object("engine")
    return Service(
        name=raw.read("name", str),
        max_connections=raw.read("max_conns", Number, 100),
        engine=None if engine is None else _parse_engine(engine),
        cold_s=raw.read("cold_s", Amount, 0.0),
        cold_per_s=raw.read("cold_per_s", Amount, 0.0),
    )


def _parse_engine(raw: ObjectReader) -> EngineProfile:
    models = tuple(
        EngineModel(
            name=model.read("name", str),
            size=model.read("size", Size),
            share=model.read("share", Amount, 1.0),
            pace=model.read("pace", Positive, 1.0),
            load_s=model.read("load_s", Amount, 10.0),
            warm_s=model.read("warm_s", Amount, 1.0),
        )
        for model in raw.objects("models")
    )
    return EngineProfile(
        models=models,
        slots=raw.read("slots", Size),
        step_ms=raw.read("step_ms", Amount),
        per_sequence_ms=raw.read("per_seq_ms", Amount, 0.0),
        read_tokens_per_s=raw.read("read_per_s", Positive),
        stride=raw.read("stride", Size, 1),
        formation_s=raw.read("form_ms", Amount, 0.0) / 1000,
        loads_per_s=raw.read("loads_per_s", Amount, 1.0),
        max_concurrent_loads=raw.read("loads_at_once", Count, 1),
        report_lag_s=raw.read("report_lag_ms", Amount, 200.0) / 1000,
    )


def _parse_limits(raw: ObjectReader) -> RequestLimits:
    default = RequestLimits()
    header_ms = raw.read("header_timeout_ms", Amount, default.header_timeout_s * 1000)
    idle_ms = raw.read("idle_timeout_ms", Amount, default.idle_timeout_s * 1000)
    return RequestLimits(
        header_bytes=raw.read("max_header_bytes", Number, default.header_bytes),
        body_bytes=raw.read("max_body_bytes", Number, default.body_bytes),
        header_timeout_s=header_ms / 1000,
        idle_timeout_s=idle_ms / 1000,
    )


def _parse_tenant(raw: ObjectReader) -> Organisation:
    return Organisation(
        name=raw.read("name", str),
        api_keys=frozenset(raw.read("api_keys", list[str], [])),
        priority=raw.read("priority", Priority, None),
        allowed_regions=_parse_allowed_regions(raw),
    )
